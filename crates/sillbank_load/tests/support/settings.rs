//! Commands of a scenario that change and read settings.

use super::runner::{LOOK, Outcome, PATIENCE, Scenario};
use bytes::Bytes;
use goldenscript::Command;
use hyper::Method;
use sillbank_load::fleet::OPERATOR_KEY;
use sillbank_net::client::request;
use sillbank_protocol::platform::Object;
use smol::Timer;
use std::error::Error;
use std::time::Instant;

impl Scenario {
    /// Writes one or two objects from the same version, each through another VM.
    pub(super) fn write(&mut self, command: &Command) -> Outcome<String> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?.to_owned();
        let mut values: Vec<serde_json::Value> = Vec::new();
        while let Some(json) = args.next_pos() {
            values.push(serde_json::from_str(json)?);
        }
        let controls = self.fleet().addresses.control_admins.clone();
        let outcomes = self.block_on(async {
            let here = self.object(controls[0], &key).await?.map(|object| object.version);
            let put = async |number: usize| {
                let written = self.put(controls[number], &key, here, &values[number]).await;
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

    pub(super) fn store(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?;
        let json = args.next_pos().ok_or("name the value as JSON")?;
        let addresses = self.fleet().addresses.clone();
        let platform = addresses.platform.ok_or("no platform")?;
        self.block_on(async {
            let path = format!("/objects/settings/{key}");
            let read = request(Method::GET, &path, Bytes::new());
            let here: Object = self.http.call(platform, read, PATIENCE).await?.json()?;
            let mut call = request(Method::PUT, &path, Bytes::copy_from_slice(json.as_bytes()));
            call.headers_mut().insert("if-match", here.version.into());
            let reply = self.http.call(platform, call, PATIENCE).await?;
            match reply.status.is_success() {
                true => Ok(()),
                false => Err("the platform refused".into()),
            }
        })
    }

    pub(super) fn effective(&mut self, command: &Command) -> Outcome<String> {
        let mut args = command.consume_args();
        let key = args.next_pos().ok_or("name a key")?;
        let name = args.next_pos().ok_or("name a setting")?;
        let vm: usize = args.take_key("vm").unwrap_or("0").parse()?;
        let control = self.fleet().addresses.control_admins[vm];
        let mut call = request(Method::GET, &format!("/v1/effective/{key}"), Bytes::new());
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.block_on(self.http.call(control, call, PATIENCE))?;
        let all: serde_json::Value = reply.json()?;
        Ok(format!("{name} = {} from {}\n", all[name]["value"], all[name]["from"]))
    }

    /// What `sillbank status` prints, once it no longer says that VMs are behind or not heard.
    pub(super) fn fleet_status(&mut self) -> Outcome<String> {
        let fleet = self.fleet();
        let control = fleet.addresses.control_admins[0].to_string();
        let deadline = Instant::now() + PATIENCE;
        loop {
            let environment =
                [("SILLBANK_CONTROL", control.as_str()), ("SILLBANK_KEY", OPERATOR_KEY)];
            let (code, text, _) = fleet.run_program("sillbank", &["status"], &environment);
            let settled = text.contains("in every VM") && !text.contains("not heard");
            let halls = text.lines().filter(|line| line.starts_with("hall")).count();
            if code == 0 && settled && halls == fleet.addresses.control_admins.len() {
                // Versions and who told differ between runs.
                let plain = |line: &str| {
                    let line = line.split(" (told").next().unwrap_or_default();
                    line.chars().filter(|c| !c.is_ascii_digit()).collect::<String>()
                };
                return Ok(text.lines().map(|line| plain(line) + "\n").collect());
            }
            if Instant::now() > deadline {
                return Err(text.into());
            }
        }
    }

    pub(super) fn invalid(&mut self) -> Outcome<String> {
        let control = self.fleet().addresses.control_admins[0];
        let known = self.invalid.clone();
        self.invalid = self.block_on(async {
            let deadline = Instant::now() + PATIENCE;
            loop {
                let status = self.status(control).await.unwrap_or_default();
                let now: Vec<String> = serde_json::from_value(status["invalid"].clone())?;
                if now != known {
                    return Ok::<_, Box<dyn Error>>(now);
                }
                if Instant::now() > deadline {
                    return Err("the list of invalid objects did not change".into());
                }
                Timer::after(LOOK).await;
            }
        })?;
        match self.invalid.is_empty() {
            true => Ok("nothing is invalid\n".to_owned()),
            false => Ok(self.invalid.iter().map(|line| format!("{line}\n")).collect()),
        }
    }
}

/// How a write went, without what differs between runs.
fn describe_write(outcome: &Result<(), String>) -> String {
    let Err(text) = outcome else {
        return "written\n".to_owned();
    };
    let failure: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    let message = failure["message"].as_str().unwrap_or(text);
    let message = message.trim_end_matches('.');
    let plain: String = message.chars().filter(|c| !c.is_ascii_digit()).collect();
    format!(
        "{} {plain}. {}\n",
        failure["code"].as_str().unwrap_or(""),
        failure["remedy"].as_str().unwrap_or("")
    )
}
