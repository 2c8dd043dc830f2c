//! Commands of a scenario that change and read settings.

use super::runner::{CommandResult, POLL_INTERVAL, Scenario, WAIT_TIMEOUT};
use bytes::Bytes;
use goldenscript::Command;
use hyper::Method;
use sillbank_load::fleet::OPERATOR_KEY;
use sillbank_net::client::request_to;
use sillbank_protocol::platform::Object;
use smol::Timer;
use std::error::Error;
use std::time::Instant;

impl Scenario {
    /// Writes one value, or two concurrently from the same version through different VMs; returns
    /// the sorted outcomes.
    pub(super) fn write(&mut self, command: &Command) -> CommandResult<String> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?.to_owned();
        let mut values: Vec<serde_json::Value> = Vec::new();
        while let Some(json) = args.next_pos() {
            values.push(serde_json::from_str(json)?);
        }
        let controls = self.fleet().addresses.control_admins.clone();
        let outcomes = self.block_on(async {
            let current = self.object(controls[0], &key).await?.map(|object| object.version);
            let put = async |number: usize| {
                let written = self.put(controls[number], &key, current, &values[number]).await;
                written.map(|_| ()).map_err(|e| e.to_string())
            };
            Ok::<_, Box<dyn Error>>(match values.len() {
                1 => vec![put(0).await],
                _ => {
                    let (one, other) = futures_lite::future::zip(put(0), put(1)).await;
                    vec![one, other]
                }
            })
        })?;
        let mut lines: Vec<String> = outcomes.into_iter().map(|o| describe_write(&o)).collect();
        lines.sort();
        Ok(lines.concat())
    }

    /// Writes an object directly to the platform, without validation.
    pub(super) fn store(&mut self, command: &Command) -> CommandResult<()> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?;
        let json = args.next_pos().ok_or("name the value as JSON")?;
        let addresses = self.fleet().addresses.clone();
        let platform = addresses.platform.ok_or("no platform")?;
        self.block_on(async {
            let path = format!("/objects/settings/{key}");
            let read = request_to(Method::GET, &path, Bytes::new())?;
            let current: Object = self.http.call(platform, read, WAIT_TIMEOUT).await?.json()?;
            let mut call = request_to(Method::PUT, &path, Bytes::copy_from_slice(json.as_bytes()))?;
            call.headers_mut().insert("if-match", current.version.into());
            let reply = self.http.call(platform, call, WAIT_TIMEOUT).await?;
            match reply.status.is_success() {
                true => Ok(()),
                false => Err("the platform refused".into()),
            }
        })
    }

    /// Returns the value of a setting in force and the object it came from.
    pub(super) fn effective(&mut self, command: &Command) -> CommandResult<String> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?;
        let name = args.next_pos().ok_or("name a setting")?;
        let vm: usize = args.take_key("vm").unwrap_or("0").parse()?;
        let control = self.fleet().addresses.control_admins[vm];
        let mut call = request_to(Method::GET, &format!("/v1/effective/{key}"), Bytes::new())?;
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.block_on(self.http.call(control, call, WAIT_TIMEOUT))?;
        let all: serde_json::Value = reply.json()?;
        Ok(format!("{name} = {} from {}\n", all[name]["value"], all[name]["from"]))
    }

    /// Returns the output of `sillbank status` once every VM has reported that the newest version is in
    /// force.
    pub(super) fn fleet_status(&mut self) -> CommandResult<String> {
        let fleet = self.fleet();
        let control = fleet.addresses.control_admins[0].to_string();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let environment =
                [("SILLBANK_CONTROL", control.as_str()), ("SILLBANK_KEY", OPERATOR_KEY)];
            let (code, text, _) = fleet.run_program("sillbank", &["status"], &environment);
            let is_in_force = text.contains("in every VM") && !text.contains("not heard");
            let halls = text.lines().filter(|line| line.starts_with("hall")).count();
            if code == 0 && is_in_force && halls == fleet.addresses.control_admins.len() {
                // Versions and the reporting VM differ between runs, so they are removed.
                let stable = |line: &str| {
                    let line = line.split(" (told").next().unwrap_or_default();
                    line.chars().filter(|c| !c.is_ascii_digit()).collect::<String>()
                };
                return Ok(text.lines().map(|line| stable(line) + "\n").collect());
            }
            if Instant::now() > deadline {
                return Err(text.into());
            }
        }
    }

    /// Waits until the list of invalid objects changes, and returns it.
    pub(super) fn invalid(&mut self) -> CommandResult<String> {
        let control = self.fleet().addresses.control_admins[0];
        let known = self.invalid.clone();
        self.invalid = self.block_on(async {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            loop {
                let status = self.status(control).await.unwrap_or_default();
                let now: Vec<String> = serde_json::from_value(status["invalid"].clone())?;
                if now != known {
                    return Ok::<_, Box<dyn Error>>(now);
                }
                if Instant::now() > deadline {
                    return Err("the list of invalid objects did not change".into());
                }
                Timer::after(POLL_INTERVAL).await;
            }
        })?;
        match self.invalid.is_empty() {
            true => Ok("nothing is invalid\n".to_owned()),
            false => Ok(self.invalid.iter().map(|line| format!("{line}\n")).collect()),
        }
    }
}

/// Describes the outcome of a write, without the digits, which differ between runs.
fn describe_write(outcome: &Result<(), String>) -> String {
    let Err(text) = outcome else {
        return "written\n".to_owned();
    };
    let failure: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let message = failure["message"].as_str().unwrap_or(text);
    let message = message.trim_end_matches('.');
    let stable: String = message.chars().filter(|c| !c.is_ascii_digit()).collect();
    format!(
        "{} {stable}. {}\n",
        failure["code"].as_str().unwrap_or(""),
        failure["remedy"].as_str().unwrap_or("")
    )
}
