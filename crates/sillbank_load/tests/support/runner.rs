//! Runs the commands of a scripted scenario.
//!
//! - `fleet [vms=2] [halls=3] [engines=12] [cost=1] [links=yes] [stop_limit_ms=30000]` starts a fleet and waits until it is ready.
//! - `ask ID [top=market] [tokens=60] [entry=0] [org=0] [id=NAME]` sends a generation.
//! - `call ID [service=notices] [entry=0] [org=0] [id=NAME]` sends a service call. `ask` and
//!   `call` also take `deadline_ms=30000` and `tries=8`.
//! - `until ID tokens=20` waits until this many tokens have been received.
//! - `end ID...` waits for the end of requests and prints their outcomes.
//! - `kill NAME`, `freeze NAME`, `wake NAME`, `start NAME` and `stop NAME` act on a process;
//!   `gone NAME` waits until it has exited and prints its exit code. The name may be replaced by
//!   `stage=1 of=ID`, the engine that runs this stage of a request. The name `holder` stands for
//!   the control process that gives the orders of its hall when `holder` is first used, also after
//!   that process has been frozen or killed.
//! - `cut back stage=1 of=ID`, `cut forward ...` cuts the link in front of an engine in one
//!   direction.
//! - `holds NAME first=0 end=8` waits until an engine has loaded these layers.
//! - `runs NAME` prints the number of entries in an engine's ledger.
//! - `fences NAME` prints whether the fencing tokens of the orders that an engine accepted never
//!   decreased.
//! - `fault NAME JSON` injects a fault into a stand-in.
//! - `put KEY JSON` writes an object and waits until it is in force in every entry.
//! - `write KEY JSON` writes an object through one VM and prints the outcome; `race KEY JSON JSON`
//!   makes two concurrent writes from the same version, through two VMs.
//! - `store KEY JSON` writes directly to the platform, without validation.
//! - `effective KEY NAME [vm=0]` prints the value of a setting in force and the object it came from.
//! - `status` waits until the last change is in force in every VM of a fleet with one VM per hall,
//!   and prints the output of `sillbank status` without digits.
//! - `invalid` waits until the list of invalid objects changes, and prints it.
//! - `silent vm=0 [times=1]` waits until an entry has found endpoints silent this many times.
//! - `ready vm=0` waits until an entry is ready, `unready vm=0` until it is not.
//! - `check` compares the results of callers with the ledgers of the back ends.

use super::fleet::Fleet;
use goldenscript::{Command, Context, Runner};
use sillbank_core::prelude::*;
use sillbank_load::check::{Ledgers, check};
use sillbank_load::client::{Caller, Outcome, Progress, RequestRecord};
use sillbank_load::mix::{
    MARKET, MATCH, RequestKind, RequestSpec, organisation_key, organisation_name,
};
use sillbank_net::prelude::*;
use smol::{LocalExecutor, Task, Timer};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Polling interval of waits.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a wait; a longer one fails the test.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) type CommandResult<T> = Result<T, Box<dyn Error>>;

/// A request in flight.
pub(super) struct PendingRequest {
    task: Task<RequestRecord>,
    progress: Progress,
    pub(super) uid: RequestUid,
}

/// Options for sending a request.
struct SendOptions {
    entry: Option<usize>,
    deadline: Duration,
    tries: u32,
}

/// State of a running scenario.
pub(crate) struct Scenario {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) http: HttpClient,
    pub(super) fleet: Option<Fleet>,
    caller: Option<Caller>,
    pub(super) pending: BTreeMap<String, PendingRequest>,
    records: Vec<RequestRecord>,
    pub(super) invalid: Vec<String>,
    frozen: BTreeSet<String>,
    pub(super) holder: Option<String>,
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
            records: Vec::new(),
            invalid: Vec::new(),
            frozen: BTreeSet::new(),
            holder: None,
        }
    }

    pub(super) fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("the script begins with 'fleet'")
    }

    pub(super) fn block_on<T>(&self, work: impl Future<Output = T>) -> T {
        smol::block_on(self.executor.run(work))
    }

    fn start_fleet(&mut self, command: &Command) -> CommandResult<()> {
        let mut args = command.consume_args();
        let number = |value: Option<&str>, default: u64| value.map_or(Ok(default), str::parse);
        let vms = number(args.take_key("vms"), 2)?;
        let halls = number(args.take_key("halls"), 3)?;
        let links = args.take_key("links").is_some();
        let engines = number(args.take_key("engines"), 12)?;
        let cost = number(args.take_key("cost"), 1)?;
        let stop_limit_ms = number(args.take_key("stop_limit_ms"), 30_000)?;
        args.reject_next()?;
        let mut fleet = Fleet::prepare(|arguments| {
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
                self.wait_for_status(*admin, "/readyz", 200).await?;
            }
            let objects = sillbank_settings::objects::read_objects_file("fleet", &objects)?;
            for (key, value) in objects {
                self.put(addresses.control_admins[0], &key, None, &value).await?;
            }
            for engine in &addresses.engines {
                self.wait_for_status(*engine, "/v1/load", 200).await?;
            }
            for entry in &addresses.entry_admins {
                self.wait_for_engines(*entry, addresses.engines.len()).await?;
            }
            self.wait_for_slots(&addresses).await
        })
    }

    fn send(&mut self, id: &str, spec: RequestSpec, options: &SendOptions) {
        let progress = Progress::default();
        let caller = self.caller.as_ref().expect("the script begins with 'fleet'");
        let caller = caller.with_limits(options.deadline, options.tries);
        let entry = options.entry;
        let uid = RequestUid::derive(&spec.organisation, &spec.request_id);
        let shared_progress = progress.clone();
        let execution =
            async move { caller.execute_with_progress(spec, entry, shared_progress).await };
        let task = self.executor.spawn(execution);
        self.pending.insert(id.to_owned(), PendingRequest { task, progress, uid });
    }

    fn until(&self, id: &str, tokens: usize) -> CommandResult<()> {
        let pending = self.pending.get(id).ok_or("no such request")?;
        let deadline = Instant::now() + WAIT_TIMEOUT;
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

    fn end(&mut self, id: &str) -> CommandResult<String> {
        let pending = self.pending.remove(id).ok_or("no such request")?;
        let record = self.block_on(pending.task);
        let line = match &record.outcome {
            Outcome::Complete => format!("{id}: whole\n"),
            Outcome::Failed { code, run } => format!("{id}: failed {code}, {run:?}\n"),
        };
        self.records.push(record);
        Ok(line)
    }

    fn check(&self) -> CommandResult<String> {
        let addresses = self.fleet.as_ref().ok_or("no fleet")?.addresses.clone();
        let ledgers = self.block_on(Ledgers::read(
            self.executor.clone(),
            &addresses.engines,
            &addresses.services,
        ))?;
        let result = check(&self.records, &ledgers);
        Ok(match result.passed() {
            true => "exact\n".to_owned(),
            false => format!("{}\n", serde_json::to_string(&result)?),
        })
    }

    fn parse_request(
        &self,
        command: &Command,
        generate: bool,
    ) -> CommandResult<(String, RequestSpec, SendOptions)> {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("name the request")?.to_owned();
        let text = |value: Option<&str>, default: &str| value.unwrap_or(default).to_owned();
        let workload = match args.take_key("top") {
            Some("match") => MATCH,
            _ => MARKET,
        };
        let organisation =
            organisation_name(workload.name, text(args.take_key("org"), "0").parse()?);
        let request_id = text(args.take_key("id"), &id);
        let options = SendOptions {
            entry: args.take_key("entry").map(str::parse).transpose()?,
            deadline: Duration::from_millis(text(args.take_key("deadline_ms"), "30000").parse()?),
            tries: text(args.take_key("tries"), "8").parse()?,
        };
        let service = text(args.take_key("service"), workload.keyed_service);
        let max_tokens = text(args.take_key("tokens"), "60").parse()?;
        args.reject_next()?;
        let prompt: Vec<String> = (0..40).map(|n| format!("{request_id}-{n}")).collect();
        let kind = match generate {
            true => RequestKind::Generate {
                pipeline: workload.pipeline.to_owned(),
                prompt: prompt.join(" "),
                max_tokens,
                priority: 4,
            },
            false => RequestKind::Call {
                is_idempotent: service == workload.idempotent_service,
                service,
                path: "do".to_owned(),
            },
        };
        let key = organisation_key(&organisation);
        Ok((id, RequestSpec { organisation, key, request_id, kind }, options))
    }

    /// Returns the process that a command names, directly or by `stage=N of=ID`.
    pub(super) fn process_of(&mut self, command: &Command) -> CommandResult<String> {
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

    pub(super) fn vm_address(&mut self, command: &Command) -> CommandResult<SocketAddr> {
        let mut args = command.consume_args();
        let vm: usize = args.take_key("vm").ok_or("name a VM with vm=N")?.parse()?;
        Ok(self.fleet().addresses.entry_admins[vm])
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> CommandResult<String> {
        if let Some(fleet) = &self.fleet {
            let arguments: Vec<String> = command.args.iter().map(ToString::to_string).collect();
            fleet.record_step(&format!("{} {}", command.name, arguments.join(" ")));
        }
        match command.name.as_str() {
            "fleet" => self.start_fleet(command)?,
            "ask" | "call" => {
                let (id, spec, options) = self.parse_request(command, command.name == "ask")?;
                self.send(&id, spec, &options);
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
                // Frozen VMs are skipped: they cannot write and do not respond.
                let runs = |number: &usize| !self.frozen.contains(&format!("control{number}"));
                let pairs = (0..).zip(all).filter(|(number, _)| runs(number));
                let pairs = pairs.map(|(_, pair)| pair).collect();
                self.block_on(self.put_and_wait(pairs, &key, &json))?;
            }
            "ready" | "unready" => {
                let status = if command.name == "ready" { 200 } else { 503 };
                let address = self.vm_address(command)?;
                self.block_on(self.wait_for_status(address, "/readyz", status))?;
            }
            "silent" => self.wait_for_silent_endpoints(command)?,
            "write" | "race" => return self.write(command),
            "store" => self.store(command)?,
            "effective" => return self.effective(command),
            "invalid" => return self.invalid(),
            "status" => return self.fleet_status(),
            "cut" => self.cut(command)?,
            "holds" => self.wait_for_layers(command)?,
            "fences" => return self.fences(command),
            "runs" => return self.runs(command),
            "check" => return self.check(),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}
