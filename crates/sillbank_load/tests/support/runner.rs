//! The commands of a scripted scenario.
//!
//! - `fleet [vms=2] [halls=3] [engines=12] [cost=1] [links=yes] [stop_limit_ms=30000]` starts a fleet and waits until it is ready.
//! - `ask ID [top=market] [tokens=60] [entry=0] [org=0] [id=NAME]` sends a generation.
//! - `call ID [service=notices] [entry=0] [org=0] [id=NAME]` sends a service call; both also
//!   take `deadline_ms=30000` and `tries=8`.
//! - `until ID tokens=20` waits until so many tokens have come.
//! - `end ID...` waits for the end and says how it was.
//! - `kill NAME`, `freeze NAME`, `wake NAME`, `start NAME`, `stop NAME`, `gone NAME`; a name may
//!   be `stage=1 of=ID`, the engine that holds this stage of a request.
//!   A name may also be `holder`, the control process that gives the orders of its hall; once it
//!   is frozen or killed it keeps that name.
//! - `cut back stage=1 of=ID`, `cut forward ...` cuts the link before an engine one way.
//! - `holds NAME first=0 end=8` waits until an engine holds these layers.
//! - `fences NAME` says whether the orders an engine took came with rising fences.
//! - `fault NAME JSON` makes a fault at a stand-in.
//! - `put KEY JSON` writes an object and waits until every entry has it in force.
//! - `write KEY JSON` writes an object through one VM and says how that went; `race KEY JSON JSON`
//!   writes two at once from the same version, through two VMs.
//! - `store KEY JSON` writes to the platform itself, past every check.
//! - `effective KEY NAME [vm=0]` says a setting's value in force and where it came from.
//! - `invalid` waits until the list of invalid objects changes, and says it.
//! - `ready vm=0` waits until an entry is ready, `unready vm=0` until it is not.
//! - `check` compares all that callers got with all that ran.

use super::fleet::Fleet;
use bytes::Bytes;
use goldenscript::{Command, Context, Runner};
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_load::check::{Ledgers, check};
use sillbank_load::client::{Caller, End, Got, Progress};
use sillbank_load::fleet::{Addresses, OPERATOR_KEY};
use sillbank_load::mix::{MARKET, MATCH, Work, WorkKind, organisation_key, organisation_name};
use sillbank_model::engine::LedgerEntry;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{EngineState, STATE_PATH};
use sillbank_protocol::platform::Object;
use smol::{LocalExecutor, Task, Timer};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(5);
/// A wait that takes longer is a failure of the test.
const PATIENCE: Duration = Duration::from_secs(60);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// A request on its way.
struct Pending {
    task: Task<Got>,
    progress: Progress,
    uid: RequestUid,
}

/// How a request is sent.
struct How {
    entry: Option<usize>,
    deadline: Duration,
    tries: u32,
}

/// One running scenario.
pub(crate) struct Scenario {
    executor: Rc<LocalExecutor<'static>>,
    http: HttpClient,
    fleet: Option<Fleet>,
    caller: Option<Caller>,
    pending: BTreeMap<String, Pending>,
    ended: Vec<Got>,
    invalid: Vec<String>,
    frozen: BTreeSet<String>,
    holder: Option<String>,
}

impl Scenario {
    pub(crate) fn new() -> Self {
        let executor = Rc::new(LocalExecutor::new());
        Self {
            http: HttpClient::new(executor.clone(), 256 << 20),
            executor,
            fleet: None,
            caller: None,
            pending: BTreeMap::new(),
            ended: Vec::new(),
            invalid: Vec::new(),
            frozen: BTreeSet::new(),
            holder: None,
        }
    }

    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("the script begins with 'fleet'")
    }

    fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        smol::block_on(self.executor.run(work))
    }

    fn start_fleet(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let number = |value: Option<&str>, usual: u64| value.map_or(Ok(usual), str::parse);
        let vms = number(args.take_key("vms"), 2)?;
        let halls = number(args.take_key("halls"), 3)?;
        let links = args.take_key("links").is_some();
        let engines = number(args.take_key("engines"), 12)?;
        let cost = number(args.take_key("cost"), 1)?;
        let stop_limit_ms = number(args.take_key("stop_limit_ms"), 30_000)?;
        args.reject_next()?;
        let mut fleet = Fleet::lay_out(|arguments| {
            arguments.vms = vms as usize;
            arguments.halls = halls as usize;
            arguments.links = links;
            arguments.engines = engines as usize;
            arguments.cost_factor = cost as f64;
            arguments.stop_limit_ms = stop_limit_ms;
        });
        for name in fleet.names() {
            fleet.start(&name);
        }
        let addresses = fleet.addresses.clone();
        let objects = std::fs::read_to_string(fleet.folder.join("objects/fleet.toml"))?;
        let deadline = Duration::from_secs(30);
        self.caller =
            Some(Caller::new(self.executor.clone(), addresses.entries.clone(), 1, deadline));
        self.fleet = Some(fleet);
        self.block_on(async {
            for admin in &addresses.control_admins {
                self.answers(*admin, "/readyz", 200).await?;
            }
            let objects = sillbank_settings::objects::read_objects_file("fleet", &objects)?;
            for (key, value) in objects {
                self.put(addresses.control_admins[0], &key, None, &value).await?;
            }
            for engine in &addresses.engines {
                self.answers(*engine, "/v1/load", 200).await?;
            }
            for entry in &addresses.entry_admins {
                self.connected(*entry, addresses.engines.len()).await?;
            }
            self.slots_held(&addresses).await
        })
    }

    async fn answers(&self, address: SocketAddr, path: &str, status: u16) -> Outcome<()> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let call = request(Method::GET, path, Bytes::new());
            let reply = self.http.call(address, call, Duration::from_secs(1)).await;
            if reply.is_ok_and(|reply| reply.status.as_u16() == status) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("{address}{path} never answered {status}").into());
            }
            Timer::after(LOOK).await;
        }
    }

    async fn status(&self, address: SocketAddr) -> Option<serde_json::Value> {
        let call = request(Method::GET, "/v1/status", Bytes::new());
        self.http.call(address, call, Duration::from_secs(1)).await.ok()?.json().ok()
    }

    /// Waits until every slot of keys is held by some VM.
    async fn slots_held(&self, addresses: &Addresses) -> Outcome<()> {
        let deadline = Instant::now() + PATIENCE;
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
            Timer::after(LOOK).await;
        }
    }

    /// Waits until an entry has a connection to every engine.
    async fn connected(&self, entry: SocketAddr, engines: usize) -> Outcome<()> {
        let deadline = Instant::now() + PATIENCE;
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
            Timer::after(LOOK).await;
        }
    }

    async fn put(
        &self,
        control: SocketAddr,
        key: &str,
        version: Option<u64>,
        value: &serde_json::Value,
    ) -> Outcome<Object> {
        let mut call =
            request(Method::PUT, &format!("/v1/objects/{key}"), value.to_string().into());
        let headers = call.headers_mut();
        headers.insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        match version {
            Some(version) => headers.insert("if-match", version.into()),
            None => headers.insert("if-none-match", "*".parse()?),
        };
        let reply = self.http.call(control, call, PATIENCE).await?;
        match reply.status.is_success() {
            true => Ok(reply.json()?),
            false => Err(String::from_utf8_lossy(&reply.body).into_owned().into()),
        }
    }

    /// Writes an object over what is there, and waits until every running entry has it.
    async fn change(
        &self,
        addresses: Vec<(SocketAddr, SocketAddr)>,
        key: &str,
        json: &str,
    ) -> Outcome<()> {
        let control = addresses[0].0;
        let mut call = request(Method::GET, &format!("/v1/objects/{key}"), Bytes::new());
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.http.call(control, call, PATIENCE).await?;
        let here: Option<Object> = reply.status.is_success().then(|| reply.json()).transpose()?;
        let mut value: serde_json::Value = serde_json::from_str(json)?;
        if let (Some(here), Some(fields)) = (&here, value.as_object_mut()) {
            // Fields that the script leaves out stay as they are.
            let old: serde_json::Value = serde_json::from_str(&here.value)?;
            for (name, field) in old.as_object().into_iter().flatten() {
                if name != "note" && !fields.contains_key(name) {
                    fields.insert(name.clone(), field.clone());
                }
            }
        }
        let written = self.put(control, key, here.map(|object| object.version), &value).await?;
        for (_, entry) in addresses {
            let deadline = Instant::now() + PATIENCE;
            loop {
                let status = self.status(entry).await.unwrap_or_default();
                if status["in_force_version"].as_u64() >= Some(written.version) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{entry} never had {key} in force").into());
                }
                Timer::after(LOOK).await;
            }
        }
        Ok(())
    }

    async fn object(&self, control: SocketAddr, key: &str) -> Outcome<Option<Object>> {
        let mut call = request(Method::GET, &format!("/v1/objects/{key}"), Bytes::new());
        call.headers_mut().insert("authorization", format!("Bearer {OPERATOR_KEY}").parse()?);
        let reply = self.http.call(control, call, PATIENCE).await?;
        Ok(reply.status.is_success().then(|| reply.json()).transpose()?)
    }

    /// Writes one or two objects from the same version, each through another VM.
    fn write(&mut self, command: &Command) -> Outcome<String> {
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

    fn store(&mut self, command: &Command) -> Outcome<()> {
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

    fn effective(&mut self, command: &Command) -> Outcome<String> {
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

    fn invalid(&mut self) -> Outcome<String> {
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

    fn send(&mut self, id: &str, work: Work, how: &How) {
        let progress = Progress::default();
        let caller = self.caller.as_ref().expect("the script begins with 'fleet'");
        let caller = caller.with_patience(how.deadline, how.tries);
        let entry = how.entry;
        let uid = RequestUid::derive(&work.organisation, &work.request_id);
        let watched = progress.clone();
        let carry = async move { caller.carry_watched(work, entry, watched).await };
        let task = self.executor.spawn(carry);
        self.pending.insert(id.to_owned(), Pending { task, progress, uid });
    }

    fn until(&self, id: &str, tokens: usize) -> Outcome<()> {
        let pending = self.pending.get(id).ok_or("no such request")?;
        let deadline = Instant::now() + PATIENCE;
        self.block_on(async {
            while pending.progress.get() < tokens {
                if Instant::now() > deadline {
                    return Err(format!("{id} has {} tokens only", pending.progress.get()).into());
                }
                Timer::after(Duration::from_millis(1)).await;
            }
            Ok(())
        })
    }

    fn end(&mut self, id: &str) -> Outcome<String> {
        let pending = self.pending.remove(id).ok_or("no such request")?;
        let got = self.block_on(pending.task);
        let line = match &got.end {
            End::Whole => format!("{id}: whole\n"),
            End::Failed { code, run } => format!("{id}: failed {code}, {run:?}\n"),
        };
        self.ended.push(got);
        Ok(line)
    }

    /// The engine that holds a stage of a request, by its ledger.
    fn engine_of(&self, id: &str, stage: u16) -> Outcome<String> {
        let uid = self.pending.get(id).ok_or("no such request")?.uid.to_string();
        let addresses = self.fleet.as_ref().ok_or("no fleet")?.addresses.clone();
        self.block_on(async {
            let mut found: Option<(Attempt, usize)> = None;
            for (number, address) in addresses.engines.iter().enumerate() {
                let call = request(Method::GET, "/admin/ledger", Bytes::new());
                let Ok(reply) = self.http.call(*address, call, Duration::from_millis(500)).await
                else {
                    continue;
                };
                let ledger: Vec<LedgerEntry> = reply.json()?;
                let runs = ledger.iter().filter(|e| e.uid == uid && e.layers[0] == stage * 8);
                found = found.max(runs.map(|run| (run.attempt, number)).max());
            }
            let (_, number) = found.ok_or("no engine holds this stage")?;
            Ok(format!("engine{number}"))
        })
    }

    fn fault(&mut self, name: &str, json: &str) -> Outcome<()> {
        let addresses = self.fleet().addresses.clone();
        let number = || name.trim_start_matches(char::is_alphabetic).parse::<usize>();
        let address = match name {
            "platform" => addresses.platform.ok_or("no platform")?,
            _ if name.starts_with("link") => addresses.links[number()?],
            _ if name.starts_with("engine") => addresses.engines[number()?],
            _ => addresses.services[number()?],
        };
        let call = request(Method::POST, "/admin/faults", Bytes::copy_from_slice(json.as_bytes()));
        let reply = self.block_on(self.http.call(address, call, PATIENCE))?;
        match reply.status.is_success() {
            true => Ok(()),
            false => Err(String::from_utf8_lossy(&reply.body).into_owned().into()),
        }
    }

    fn check(&self) -> Outcome<String> {
        let addresses = self.fleet.as_ref().ok_or("no fleet")?.addresses.clone();
        let ledgers = self.block_on(Ledgers::read(
            self.executor.clone(),
            &addresses.engines,
            &addresses.services,
        ))?;
        let checked = check(&self.ended, &ledgers);
        Ok(match checked.passed() {
            true => "exact\n".to_owned(),
            false => format!("{}\n", serde_json::to_string(&checked)?),
        })
    }

    fn work(&self, command: &Command, generate: bool) -> Outcome<(String, Work, How)> {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("name the request")?.to_owned();
        let text = |value: Option<&str>, usual: &str| value.unwrap_or(usual).to_owned();
        let top = match args.take_key("top") {
            Some("match") => MATCH,
            _ => MARKET,
        };
        let organisation = organisation_name(top.name, text(args.take_key("org"), "0").parse()?);
        let request_id = text(args.take_key("id"), &id);
        let how = How {
            entry: args.take_key("entry").map(str::parse).transpose()?,
            deadline: Duration::from_millis(text(args.take_key("deadline_ms"), "30000").parse()?),
            tries: text(args.take_key("tries"), "8").parse()?,
        };
        let service = text(args.take_key("service"), top.keyed_service);
        let max_tokens = text(args.take_key("tokens"), "60").parse()?;
        args.reject_next()?;
        let prompt: Vec<String> = (0..40).map(|n| format!("{request_id}-{n}")).collect();
        let kind = match generate {
            true => WorkKind::Generate {
                pipeline: top.pipeline.to_owned(),
                prompt: prompt.join(" "),
                max_tokens,
                priority: 4,
            },
            false => WorkKind::Call {
                repeatable: service == top.repeatable_service,
                service,
                path: "do".to_owned(),
            },
        };
        let key = organisation_key(&organisation);
        Ok((id, Work { organisation, key, request_id, kind }, how))
    }

    /// The process a command names, directly or by its part in a request.
    fn process_of(&mut self, command: &Command) -> Outcome<String> {
        let mut args = command.consume_args();
        if let Some(name) = args.next_pos().filter(|name| !["back", "forward"].contains(name)) {
            return match name {
                "holder" => self.holder(),
                _ => Ok(name.to_owned()),
            };
        }
        let stage = args.take_key("stage").ok_or("name a process or a stage")?.parse()?;
        let id = args.take_key("of").ok_or("name the request with of=ID")?;
        self.engine_of(id, stage)
    }

    /// The control process that gives the orders of its hall.
    fn holder(&mut self) -> Outcome<String> {
        if let Some(name) = &self.holder {
            return Ok(name.clone());
        }
        let admins = self.fleet().addresses.control_admins.clone();
        let number = self.block_on(async {
            let deadline = Instant::now() + PATIENCE;
            loop {
                for (number, admin) in admins.iter().enumerate() {
                    let status = self.status(*admin).await.unwrap_or_default();
                    if status["gives_orders"] == true {
                        return Ok::<_, Box<dyn Error>>(number);
                    }
                }
                if Instant::now() > deadline {
                    return Err("nobody gives orders".into());
                }
                Timer::after(LOOK).await;
            }
        })?;
        let name = format!("control{number}");
        self.holder = Some(name.clone());
        Ok(name)
    }

    fn cut(&mut self, command: &Command) -> Outcome<()> {
        let direction = command.consume_args().next_pos().unwrap_or("back").to_owned();
        let engine = self.process_of(command)?;
        let link = engine.replace("engine", "link");
        self.fault(&link, &format!("{{\"cut_{direction}\": true}}"))
    }

    fn engine_number(name: &str) -> Outcome<usize> {
        Ok(name.trim_start_matches(char::is_alphabetic).parse()?)
    }

    fn holds(&mut self, command: &Command) -> Outcome<()> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("name an engine")?.to_owned();
        let first = args.take_key("first").ok_or("name first=N")?.parse()?;
        let end = args.take_key("end").ok_or("name end=N")?.parse()?;
        let address = self.fleet().addresses.engines[Self::engine_number(&name)?];
        self.block_on(async {
            let deadline = Instant::now() + PATIENCE;
            loop {
                let call = request(Method::GET, STATE_PATH, Bytes::new());
                let state: EngineState = self.http.call(address, call, PATIENCE).await?.json()?;
                if state.layers == (LayerRange { first, end }) && !state.loading {
                    return Ok(());
                }
                if Instant::now() > deadline {
                    return Err(format!("{name} holds {:?}", state.layers).into());
                }
                Timer::after(LOOK).await;
            }
        })
    }

    fn fences(&mut self, command: &Command) -> Outcome<String> {
        let name = command.consume_args().next_pos().ok_or("name an engine")?.to_owned();
        let address = self.fleet().addresses.engines[Self::engine_number(&name)?];
        let call = request(Method::GET, "/admin/orders", Bytes::new());
        let fences: Vec<u64> = self.block_on(self.http.call(address, call, PATIENCE))?.json()?;
        let rising = fences.windows(2).all(|pair| pair[0] <= pair[1]);
        Ok(format!("{} orders, {}\n", fences.len(), if rising { "rising" } else { "NOT rising" }))
    }

    fn vm_address(&mut self, command: &Command) -> Outcome<SocketAddr> {
        let mut args = command.consume_args();
        let vm: usize = args.take_key("vm").ok_or("name a VM with vm=N")?.parse()?;
        Ok(self.fleet().addresses.entry_admins[vm])
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

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Outcome<String> {
        match command.name.as_str() {
            "fleet" => self.start_fleet(command)?,
            "ask" | "call" => {
                let (id, work, how) = self.work(command, command.name == "ask")?;
                self.send(&id, work, &how);
            }
            "until" => {
                let mut args = command.consume_args();
                let id = args.next_pos().ok_or("name the request")?.to_owned();
                let tokens = args.take_key("tokens").ok_or("name tokens=N")?.parse()?;
                self.until(&id, tokens)?;
            }
            "end" => {
                let mut output = String::new();
                let mut args = command.consume_args();
                while let Some(id) = args.next_pos() {
                    output.push_str(&self.end(id)?);
                }
                return Ok(output);
            }
            "kill" => {
                let name = self.process_of(command)?;
                self.fleet().kill(&name);
            }
            "freeze" | "wake" | "stop" => {
                let name = self.process_of(command)?;
                let signal = match command.name.as_str() {
                    "freeze" => "-STOP",
                    "wake" => "-CONT",
                    _ => "-TERM",
                };
                match signal {
                    "-STOP" => drop(self.frozen.insert(name.clone())),
                    _ => drop(self.frozen.remove(&name)),
                }
                self.fleet().signal(&name, signal);
            }
            "start" => {
                let name = self.process_of(command)?;
                self.fleet().start(&name);
            }
            "gone" => {
                let name = self.process_of(command)?;
                let code = self.fleet().wait(&name);
                return Ok(format!("exit code {}\n", code.unwrap_or(-1)));
            }
            "fault" => {
                let mut args = command.consume_args();
                let name = args.next_pos().ok_or("name a stand-in")?.to_owned();
                let json = args.next_pos().ok_or("name the fault as JSON")?.to_owned();
                self.fault(&name, &json)?;
            }
            "put" => {
                let mut args = command.consume_args();
                let key = args.next_pos().ok_or("name a key")?.to_owned();
                let json = args.next_pos().ok_or("name the value as JSON")?.to_owned();
                let addresses = self.fleet().addresses.clone();
                let all = addresses.control_admins.into_iter().zip(addresses.entry_admins);
                // A frozen VM neither writes nor is waited for.
                let runs = |number: &usize| !self.frozen.contains(&format!("control{number}"));
                let pairs = (0..).zip(all).filter(|(number, _)| runs(number));
                let pairs = pairs.map(|(_, pair)| pair).collect();
                self.block_on(self.change(pairs, &key, &json))?;
            }
            "ready" | "unready" => {
                let status = if command.name == "ready" { 200 } else { 503 };
                let address = self.vm_address(command)?;
                self.block_on(self.answers(address, "/readyz", status))?;
            }
            "write" | "race" => return self.write(command),
            "store" => self.store(command)?,
            "effective" => return self.effective(command),
            "invalid" => return self.invalid(),
            "cut" => self.cut(command)?,
            "holds" => self.holds(command)?,
            "fences" => return self.fences(command),
            "check" => return self.check(),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}
