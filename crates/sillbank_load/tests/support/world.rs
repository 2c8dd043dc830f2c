//! Calls to the processes of a scenario's fleet, and waits for their states.

use super::runner::{CommandResult, POLL_INTERVAL, Scenario, WAIT_TIMEOUT};
use bytes::Bytes;
use hyper::Method;
use sillbank_load::fleet::{Addresses, OPERATOR_KEY};
use sillbank_net::client::{request, request_to};
use sillbank_protocol::platform::Object;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Scenario {
    /// Waits until a path returns a status.
    pub(super) async fn wait_for_status(
        &self,
        address: SocketAddr,
        path: &str,
        status: u16,
    ) -> CommandResult<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let call = request_to(Method::GET, path, Bytes::new())?;
            let reply = self.http.call(address, call, Duration::from_secs(1)).await;
            if reply.is_ok_and(|reply| reply.status.as_u16() == status) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("{address}{path} never answered {status}").into());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Returns the status page of a process, or `None` if it does not respond.
    pub(super) async fn status(&self, address: SocketAddr) -> Option<serde_json::Value> {
        let call = request(Method::GET, "/v1/status", Bytes::new());
        self.http.call(address, call, Duration::from_secs(1)).await.ok()?.json().ok()
    }

    /// Returns a counter of a process, or 0 if it is missing or the process does not respond.
    pub(super) async fn metric(&self, admin: SocketAddr, name: &str) -> u64 {
        let call = request(Method::GET, "/metrics", Bytes::new());
        let Ok(reply) = self.http.call(admin, call, Duration::from_secs(1)).await else {
            return 0;
        };
        let text = String::from_utf8_lossy(&reply.body);
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Waits until every slot of idempotency keys is held by a VM.
    pub(super) async fn wait_for_slots(&self, addresses: &Addresses) -> CommandResult<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut held = 0;
            for admin in &addresses.control_admins {
                let status = self.status(*admin).await.unwrap_or_default();
                held += status["slots"].as_array().map_or(0, Vec::len);
            }
            if held >= addresses.slots {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("{held} of {} slots are held", addresses.slots).into());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until an entry has a connection to every engine.
    pub(super) async fn wait_for_engines(
        &self,
        entry: SocketAddr,
        engines: usize,
    ) -> CommandResult<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.status(entry).await.unwrap_or_default();
            let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
            let connected = endpoints.iter().filter(|e| e["connected"] == true).count();
            if connected == engines && status["ready"] == true {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("{connected} of {engines} engines are connected").into());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Writes an object that must still be at a version, or absent if `version` is `None`.
    pub(super) async fn put(
        &self,
        control: SocketAddr,
        key: &str,
        version: Option<u64>,
        value: &serde_json::Value,
    ) -> CommandResult<Object> {
        let mut call =
            request_to(Method::PUT, &format!("/v1/objects/{key}"), value.to_string().into())?;
        let headers = call.headers_mut();
        headers.insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        match version {
            Some(version) => headers.insert("if-match", version.into()),
            None => headers.insert("if-none-match", "*".parse()?),
        };
        let reply = self.http.call(control, call, WAIT_TIMEOUT).await?;
        match reply.status.is_success() {
            true => Ok(reply.json()?),
            false => Err(String::from_utf8_lossy(&reply.body).into_owned().into()),
        }
    }

    /// Updates or creates an object, and waits until it is in force in every given entry.
    pub(super) async fn put_and_wait(
        &self,
        addresses: Vec<(SocketAddr, SocketAddr)>,
        key: &str,
        json: &str,
    ) -> CommandResult<()> {
        let control = addresses[0].0;
        let mut call = request_to(Method::GET, &format!("/v1/objects/{key}"), Bytes::new())?;
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.http.call(control, call, WAIT_TIMEOUT).await?;
        let current: Option<Object> =
            reply.status.is_success().then(|| reply.json()).transpose()?;
        let mut value: serde_json::Value = serde_json::from_str(json)?;
        if let (Some(current), Some(fields)) = (&current, value.as_object_mut()) {
            // Fields that the script leaves out keep their values.
            let old: serde_json::Value = serde_json::from_str(&current.value)?;
            for (name, field) in old.as_object().into_iter().flatten() {
                if name != "note" && !fields.contains_key(name) {
                    fields.insert(name.clone(), field.clone());
                }
            }
        }
        let written = self.put(control, key, current.map(|object| object.version), &value).await?;
        for (_, entry) in addresses {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            loop {
                let status = self.status(entry).await.unwrap_or_default();
                if status["in_force_version"].as_u64() >= Some(written.version) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{entry} never had {key} in force").into());
                }
                Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns an object, or `None` if it does not exist.
    pub(super) async fn object(
        &self,
        control: SocketAddr,
        key: &str,
    ) -> CommandResult<Option<Object>> {
        let mut call = request_to(Method::GET, &format!("/v1/objects/{key}"), Bytes::new())?;
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.http.call(control, call, WAIT_TIMEOUT).await?;
        Ok(reply.status.is_success().then(|| reply.json()).transpose()?)
    }
}
