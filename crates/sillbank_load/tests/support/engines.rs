//! Commands of a scenario that inspect engines and inject faults.

use super::runner::{CommandResult, POLL_INTERVAL, Scenario, WAIT_TIMEOUT};
use bytes::Bytes;
use goldenscript::Command;
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_model::engine::LedgerEntry;
use sillbank_net::client::request;
use sillbank_protocol::engine::{EngineState, STATE_PATH};
use smol::Timer;
use std::error::Error;
use std::time::{Duration, Instant};

impl Scenario {
    /// Returns the engine that last ran a stage of a request, according to the ledgers.
    pub(super) fn engine_of(&self, id: &str, stage: u16) -> CommandResult<String> {
        let uid = self.pending.get(id).ok_or("no such request")?.uid.to_string();
        let addresses = self.fleet.as_ref().ok_or("no fleet")?.addresses.clone();
        self.block_on(async {
            let mut newest: Option<(Attempt, usize)> = None;
            for (number, address) in addresses.engines.iter().enumerate() {
                let call = request(Method::GET, "/admin/ledger", Bytes::new());
                let Ok(reply) = self.http.call(*address, call, Duration::from_millis(500)).await
                else {
                    continue;
                };
                let ledger: Vec<LedgerEntry> = reply.json()?;
                let runs = ledger.iter().filter(|e| e.uid == uid && e.layers[0] == stage * 8);
                newest = newest.max(runs.map(|run| (run.attempt, number)).max());
            }
            let (_, number) = newest.ok_or("no engine holds this stage")?;
            Ok(format!("engine{number}"))
        })
    }

    /// Injects a fault into a stand-in.
    pub(super) fn fault(&mut self, name: &str, json: &str) -> CommandResult<()> {
        let addresses = self.fleet().addresses.clone();
        let number = || name.trim_start_matches(char::is_alphabetic).parse::<usize>();
        let address = match name {
            "platform" => addresses.platform.ok_or("no platform")?,
            _ if name.starts_with("link") => addresses.links[number()?],
            _ if name.starts_with("engine") => addresses.engines[number()?],
            _ => addresses.services[number()?],
        };
        let call = request(Method::POST, "/admin/faults", Bytes::copy_from_slice(json.as_bytes()));
        let reply = self.block_on(self.http.call(address, call, WAIT_TIMEOUT))?;
        match reply.status.is_success() {
            true => Ok(()),
            false => Err(String::from_utf8_lossy(&reply.body).into_owned().into()),
        }
    }

    /// Returns the control process that gives the orders of its hall when this is first called.
    pub(super) fn holder(&mut self) -> CommandResult<String> {
        if let Some(name) = &self.holder {
            return Ok(name.clone());
        }
        let admins = self.fleet().addresses.control_admins.clone();
        let number = self.block_on(async {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            loop {
                for (number, admin) in admins.iter().enumerate() {
                    let status = self.status(*admin).await.unwrap_or_default();
                    if status["gives_orders"] == true {
                        return Ok::<_, Box<dyn Error>>(number);
                    }
                }
                if Instant::now() > deadline {
                    return Err("no control process gives orders".into());
                }
                Timer::after(POLL_INTERVAL).await;
            }
        })?;
        let name = format!("control{number}");
        self.holder = Some(name.clone());
        Ok(name)
    }

    /// Cuts the link in front of an engine in one direction.
    pub(super) fn cut(&mut self, command: &Command) -> CommandResult<()> {
        let direction = command.consume_args().next_pos().unwrap_or("back").to_owned();
        let engine = self.process_of(command)?;
        let link = engine.replace("engine", "link");
        self.fault(&link, &format!("{{\"cut_{direction}\": true}}"))
    }

    /// Waits until an entry has found endpoints silent this many times.
    pub(super) fn wait_for_silent_endpoints(&mut self, command: &Command) -> CommandResult<()> {
        let times = command.consume_args().take_key("times").unwrap_or("1").parse()?;
        let address = self.vm_address(command)?;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        self.block_on(async {
            while self.metric(address, "sillbank_entry_silent_endpoints_total").await < times {
                if Instant::now() > deadline {
                    return Err(
                        format!("{address} did not find endpoints silent {times} times").into()
                    );
                }
                Timer::after(POLL_INTERVAL).await;
            }
            Ok(())
        })
    }

    pub(super) fn engine_number(name: &str) -> CommandResult<usize> {
        Ok(name.trim_start_matches(char::is_alphabetic).parse()?)
    }

    /// Waits until an engine has loaded the given layers.
    pub(super) fn wait_for_layers(&mut self, command: &Command) -> CommandResult<()> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("name an engine")?.to_owned();
        let first = args.take_key("first").ok_or("name first=N")?.parse()?;
        let end = args.take_key("end").ok_or("name end=N")?.parse()?;
        let address = self.fleet().addresses.engines[Self::engine_number(&name)?];
        self.block_on(async {
            let deadline = Instant::now() + WAIT_TIMEOUT;
            loop {
                let call = request(Method::GET, STATE_PATH, Bytes::new());
                let state: EngineState =
                    self.http.call(address, call, WAIT_TIMEOUT).await?.json()?;
                if state.layers == (LayerRange { first, end }) && !state.loading {
                    return Ok(());
                }
                if Instant::now() > deadline {
                    return Err(format!("{name} holds {:?}", state.layers).into());
                }
                Timer::after(POLL_INTERVAL).await;
            }
        })
    }

    /// Returns the number of entries in an engine's ledger.
    pub(super) fn runs(&mut self, command: &Command) -> CommandResult<String> {
        let name = command.consume_args().next_pos().ok_or("name an engine")?.to_owned();
        let address = self.fleet().addresses.engines[Self::engine_number(&name)?];
        let call = request(Method::GET, "/admin/ledger", Bytes::new());
        let ledger: Vec<LedgerEntry> =
            self.block_on(self.http.call(address, call, WAIT_TIMEOUT))?.json()?;
        Ok(format!("{} runs\n", ledger.len()))
    }

    /// Returns whether the fencing tokens of the orders that an engine accepted never decreased.
    pub(super) fn fences(&mut self, command: &Command) -> CommandResult<String> {
        let name = command.consume_args().next_pos().ok_or("name an engine")?.to_owned();
        let address = self.fleet().addresses.engines[Self::engine_number(&name)?];
        let call = request(Method::GET, "/admin/orders", Bytes::new());
        let fences: Vec<u64> =
            self.block_on(self.http.call(address, call, WAIT_TIMEOUT))?.json()?;
        let rising = fences.windows(2).all(|pair| pair[0] <= pair[1]);
        Ok(format!("{} orders, {}\n", fences.len(), if rising { "rising" } else { "NOT rising" }))
    }
}
