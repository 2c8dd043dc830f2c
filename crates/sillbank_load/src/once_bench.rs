//! The at-most-once benchmark: calls with idempotency keys, each tried several times at several
//! VMs, while `tools/bench.sh` kills and freezes processes and takes the platform down.

use crate::Verdict;
use crate::check::Ledgers;
use crate::fleet::Addresses;
use crate::mix::{MARKET, organisation_key, organisation_name};
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_net::client::{request, request_to};
use sillbank_net::prelude::*;
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(4);

/// Send calls with idempotency keys, each several times, and check that none ran twice.
#[derive(FromArgs)]
#[argh(subcommand, name = "atmostonce")]
pub struct OnceArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// number of calls
    #[argh(option, default = "4000")]
    calls: u32,
    /// calls a second
    #[argh(option, default = "200.0")]
    rate: f64,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
}

/// Outcome of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TryOutcome {
    Done,
    Failed(String, RunState),
    NoReply,
}

/// One idempotency key with all its tries.
struct Call {
    uid: RequestUid,
    minted: bool,
    tries: Vec<TryOutcome>,
}

/// Sends calls with idempotency keys to random entries.
#[derive(Clone)]
struct KeyedCaller {
    http: HttpClient,
    entries: Rc<Vec<SocketAddr>>,
    rng: Rc<RefCell<fastrand::Rng>>,
}

/// Runs the benchmark.
///
/// # Errors
/// If the fleet's files or a ledger cannot be read.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: OnceArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let caller = KeyedCaller {
        http: HttpClient::new(executor.clone(), 1 << 20),
        entries: Rc::new(fleet.entries.clone()),
        rng: Rc::new(RefCell::new(fastrand::Rng::with_seed(arguments.seed))),
    };
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..arguments.calls {
        Timer::at(started + Duration::from_secs_f64(f64::from(number) / arguments.rate)).await;
        let (caller, spawner) = (caller.clone(), executor.clone());
        tasks.push(executor.spawn(async move { caller.call(&spawner, number).await }));
    }
    let mut calls = Vec::new();
    for task in tasks {
        calls.push(task.await);
    }
    let ledgers = Ledgers::read(executor, &[], &fleet.services).await?;
    let figures = summarize(&calls, &ledgers);
    println!("{figures}");
    Ok(figures["ran_twice"] == 0 && figures["false_not_run"] == 0)
}

fn summarize(calls: &[Call], ledgers: &Ledgers) -> serde_json::Value {
    let (mut twice, mut false_not_run, mut done, mut lost) = (0, 0, 0, 0);
    let (mut refused, mut refused_minted, mut minted, mut tries) = (0, 0, 0, 0);
    let mut answers: BTreeMap<String, u64> = BTreeMap::new();
    for call in calls {
        let ran = ledgers.service_runs(&call.uid);
        tries += call.tries.len();
        minted += u32::from(call.minted);
        twice += u32::from(ran > 1);
        let is_done = call.tries.contains(&TryOutcome::Done);
        let not_run =
            |outcome: &TryOutcome| matches!(outcome, TryOutcome::Failed(_, RunState::NotRun));
        false_not_run += u32::from(ran > 0 && call.tries.iter().all(not_run));
        lost += u32::from(is_done && ran == 0);
        done += u32::from(is_done);
        if !is_done && ran == 0 {
            refused += 1;
            refused_minted += u32::from(call.minted);
        }
        for outcome in &call.tries {
            let name = match outcome {
                TryOutcome::Done => "done".to_owned(),
                TryOutcome::NoReply => "no answer".to_owned(),
                TryOutcome::Failed(code, run) => format!("{code}:{run:?}"),
            };
            *answers.entry(name).or_default() += 1;
        }
    }
    let share = |part: u32, of: u32| f64::from(part) / f64::from(of.max(1));
    serde_json::json!({
        "bench": "atmostonce",
        "calls": calls.len(),
        "tries": tries,
        "done": done,
        "ran_twice": twice,
        "false_not_run": false_not_run,
        "done_but_not_in_a_ledger": lost,
        "share_refused_own_keys": share(refused - refused_minted, calls.len() as u32 - minted),
        "share_refused_minted_keys": share(refused_minted, minted),
        "answers": answers,
        "missing_ledgers": ledgers.missing,
    })
}

impl KeyedCaller {
    /// Sends one call with the same key twice at the same time, then once more after 0.1 to 2.5 s,
    /// each to a random entry.
    async fn call(&self, executor: &Rc<LocalExecutor<'static>>, number: u32) -> Call {
        let organisation = organisation_name(MARKET.name, number as usize % 10);
        let key = organisation_key(&organisation);
        let minted = if number.is_multiple_of(2) { self.mint(&key).await } else { None };
        let is_minted = minted.is_some();
        let id = minted.unwrap_or_else(|| format!("once-{number}"));
        let uid = RequestUid::derive(&organisation, &id);
        let concurrent: Vec<_> = (0..2)
            .map(|_| {
                let (caller, key, id) = (self.clone(), key.clone(), id.clone());
                executor.spawn(async move { caller.try_once(&key, &id).await })
            })
            .collect();
        let mut tries = Vec::new();
        for task in concurrent {
            tries.push(task.await);
        }
        let pause_ms = self.rng.borrow_mut().u64(100..2500);
        Timer::after(Duration::from_millis(pause_ms)).await;
        tries.push(self.try_once(&key, &id).await);
        Call { uid, minted: is_minted, tries }
    }

    fn entry(&self) -> SocketAddr {
        self.entries[self.rng.borrow_mut().usize(..self.entries.len())]
    }

    async fn mint(&self, key: &str) -> Option<String> {
        for _ in 0..3 {
            let mut call = request(Method::POST, "/v1/keys", Bytes::new());
            call.headers_mut().insert("authorization", format!("Bearer {key}").parse().ok()?);
            let reply = self.http.call(self.entry(), call, TRY_TIMEOUT).await;
            if let Ok(reply) = reply
                && let Ok(value) = reply.json::<serde_json::Value>()
                && let Some(minted) = value["key"].as_str()
            {
                return Some(minted.to_owned());
            }
        }
        None
    }

    async fn try_once(&self, key: &str, id: &str) -> TryOutcome {
        let path = format!("/v1/services/{}/book", MARKET.keyed_service);
        let call = request_to(Method::POST, &path, Bytes::from_static(b"{}"));
        let Ok(mut call) = call else { return TryOutcome::NoReply };
        let headers = call.headers_mut();
        if let (Ok(key), Ok(id)) = (format!("Bearer {key}").parse(), id.parse()) {
            headers.insert("authorization", key);
            headers.insert("x-request-id", id);
        }
        match self.http.call(self.entry(), call, TRY_TIMEOUT).await {
            Ok(reply) if reply.status.is_success() => TryOutcome::Done,
            Ok(reply) => {
                let value: serde_json::Value = reply.json().unwrap_or_default();
                let code = value["error"]["code"].as_str().unwrap_or("unreadable").to_owned();
                let run = serde_json::from_value(value["error"]["run"].clone());
                TryOutcome::Failed(code, run.unwrap_or(RunState::Unknown))
            }
            Err(CallError::NotSent { .. }) => {
                TryOutcome::Failed("not sent".to_owned(), RunState::NotRun)
            }
            Err(CallError::Lost { .. }) => TryOutcome::NoReply,
        }
    }
}
