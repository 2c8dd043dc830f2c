//! Compares what callers got with what the back ends ran.

use crate::client::{End, Got};
use crate::fleet::MODEL_LAYERS;
use crate::mix::WorkKind;
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use sillbank_core::prelude::*;
use sillbank_model::engine::LedgerEntry;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time a ledger may take to come.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);

/// A call that a service ran.
#[derive(Debug, Clone, Deserialize)]
struct ServiceEntry {
    id: String,
}

/// What all back ends that can be reached ran.
#[derive(Debug, Default)]
pub struct Ledgers {
    engines: HashMap<String, Vec<(usize, LedgerEntry)>>,
    services: HashMap<String, u32>,
    /// Back ends that gave no ledger, because they were killed.
    pub missing: usize,
}

impl Ledgers {
    /// How often a service ran a call.
    pub fn service_runs(&self, uid: &RequestUid) -> u32 {
        self.services.get(&uid.to_string()).copied().unwrap_or(0)
    }

    /// Reads the ledgers of engines and services.
    pub async fn read(
        executor: Rc<LocalExecutor<'static>>,
        engines: &[SocketAddr],
        services: &[SocketAddr],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let client = HttpClient::new(executor, 1 << 30);
        let mut ledgers = Self::default();
        for (number, address) in engines.iter().enumerate() {
            let Some(entries) = fetch::<Vec<LedgerEntry>>(&client, *address).await? else {
                ledgers.missing += 1;
                continue;
            };
            for entry in entries {
                ledgers.engines.entry(entry.uid.clone()).or_default().push((number, entry));
            }
        }
        for address in services {
            let Some(entries) = fetch::<Vec<ServiceEntry>>(&client, *address).await? else {
                ledgers.missing += 1;
                continue;
            };
            for entry in entries {
                *ledgers.services.entry(entry.id).or_default() += 1;
            }
        }
        Ok(ledgers)
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<Option<T>, serde_json::Error> {
    let call = request(Method::GET, "/admin/ledger", Bytes::new());
    match client.call(address, call, LEDGER_TIMEOUT).await {
        Ok(reply) => reply.json().map(Some),
        Err(_) => Ok(None),
    }
}

/// What the check found. Every field but the first two should be 0.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Checked {
    /// Answers that were whole.
    pub whole: u64,
    /// Requests that ended with a failure.
    pub failed: u64,
    /// Whole answers that are not what an undisturbed run gives.
    pub wrong_answers: u64,
    /// Runs at an engine in which a layer is missing, doubled or out of order.
    pub wrong_layers: u64,
    /// Runs at an engine that overlap an earlier one of the same attempt, or leave a gap.
    pub doubled_positions: u64,
    /// Whole answers with a layer and position that no reachable engine ran.
    pub unrun_layers: u64,
    /// Calls not to be repeated that ran more than once.
    pub doubled_calls: u64,
    /// Calls answered as done that no service ran.
    pub lost_calls: u64,
    /// Requests of which "not run" was said and that ran.
    pub false_not_run: u64,
    /// Back ends whose ledger could not be read.
    pub missing_ledgers: u64,
}

impl Checked {
    /// Whether nothing is wrong.
    pub fn passed(&self) -> bool {
        self.wrong_answers
            + self.wrong_layers
            + self.doubled_positions
            + self.unrun_layers
            + self.doubled_calls
            + self.lost_calls
            + self.false_not_run
            == 0
    }
}

/// Checks every request.
pub fn check(all: &[Got], ledgers: &Ledgers) -> Checked {
    let mut checked = Checked { missing_ledgers: ledgers.missing as u64, ..Checked::default() };
    for got in all {
        match &got.end {
            End::Whole => checked.whole += 1,
            End::Failed { .. } => checked.failed += 1,
        }
        match &got.work.kind {
            WorkKind::Generate { prompt, max_tokens, .. } => {
                check_answer(got, prompt, *max_tokens, ledgers, &mut checked);
            }
            WorkKind::Call { repeatable, .. } => {
                check_call(got, *repeatable, ledgers, &mut checked);
            }
        }
    }
    checked
}

fn uid_of(got: &Got) -> RequestUid {
    RequestUid::derive(&got.work.organisation, &got.work.request_id)
}

fn check_answer(got: &Got, prompt: &str, max_tokens: u32, ledgers: &Ledgers, out: &mut Checked) {
    let uid = uid_of(got);
    let runs = ledgers.engines.get(&uid.to_string()).map_or(&[][..], Vec::as_slice);
    check_runs(runs, out);
    match &got.end {
        End::Failed { run: RunState::NotRun, .. } if !runs.is_empty() => out.false_not_run += 1,
        End::Failed { .. } => {}
        End::Whole => {
            let prompt = sillbank_model::tokenize(prompt);
            let answer =
                sillbank_model::reference_answer(&prompt, MODEL_LAYERS, uid.seed(), max_tokens);
            let ends = |token: &&TokenId| **token != sillbank_model::END_TOKEN;
            let text: String =
                answer.iter().filter(ends).map(|t| sillbank_model::detokenize(*t)).collect();
            if text != got.text {
                out.wrong_answers += 1;
            }
            let positions = prompt.len() as u32 + answer.len() as u32 - 1;
            if ledgers.missing == 0 && !covers(runs, positions) {
                out.unrun_layers += 1;
            }
        }
    }
}

/// Each run must hold its layers once and in order, and the runs of one attempt at one engine
/// must follow one another without overlap or gap.
fn check_runs(runs: &[(usize, LedgerEntry)], out: &mut Checked) {
    let mut last: HashMap<(usize, Attempt), Position> = HashMap::new();
    for (engine, run) in runs {
        if !run.layers.windows(2).all(|pair| pair[1] == pair[0] + 1) {
            out.wrong_layers += 1;
        }
        if let Some(end) = last.insert((*engine, run.attempt), run.end)
            && end != run.start
        {
            out.doubled_positions += 1;
        }
    }
}

/// Whether every layer ran at every position up to a length.
fn covers(runs: &[(usize, LedgerEntry)], positions: u32) -> bool {
    (0..MODEL_LAYERS).all(|layer| {
        let mut spans: Vec<(Position, Position)> = runs
            .iter()
            .filter(|(_, run)| run.layers.contains(&layer))
            .map(|(_, run)| (run.start, run.end))
            .collect();
        spans.sort_unstable();
        let reach = |reached: u32, (start, end): (Position, Position)| match start <= reached {
            true => reached.max(end),
            false => reached,
        };
        spans.into_iter().fold(0, reach) >= positions
    })
}

fn check_call(got: &Got, repeatable: bool, ledgers: &Ledgers, out: &mut Checked) {
    let ran = ledgers.services.get(&uid_of(got).to_string()).copied().unwrap_or(0);
    if !repeatable && ran > 1 {
        out.doubled_calls += 1;
    }
    match &got.end {
        End::Whole if ran == 0 && ledgers.missing == 0 => out.lost_calls += 1,
        End::Failed { run: RunState::NotRun, .. } if ran > 0 => out.false_not_run += 1,
        _ => {}
    }
}
