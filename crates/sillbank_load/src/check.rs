//! Compares the results of callers with the ledgers of the back ends.

use crate::client::{Outcome, RequestRecord};
use crate::fleet::MODEL_LAYERS;
use crate::mix::RequestKind;
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

/// Timeout for reading one ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(10);

/// Ledger entry of a service: one call that it ran.
#[derive(Debug, Clone, Deserialize)]
struct ServiceEntry {
    id: String,
}

/// Ledgers of all reachable back ends.
#[derive(Debug, Default)]
pub struct Ledgers {
    /// Runs by request, each with the number of its engine.
    engines: HashMap<String, Vec<(usize, LedgerEntry)>>,
    /// Number of runs by call.
    services: HashMap<String, u32>,
    /// Number of back ends whose ledger could not be read, such as killed ones.
    pub missing: usize,
}

impl Ledgers {
    /// Returns how often services ran a call.
    pub fn service_runs(&self, uid: &RequestUid) -> u32 {
        self.services.get(&uid.to_string()).copied().unwrap_or(0)
    }

    /// Reads the ledgers of engines and services.
    ///
    /// # Errors
    /// If a ledger cannot be parsed. An unreachable back end is counted in `missing`.
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

/// Counts of the check. All but `whole`, `failed` and `missing_ledgers` count violations.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct CheckResult {
    /// Complete answers.
    pub whole: u64,
    /// Requests that ended with a failure.
    pub failed: u64,
    /// Complete answers that differ from the answer of an undisturbed run.
    pub wrong_answers: u64,
    /// Runs at an engine in which a layer is missing, repeated or out of order.
    pub wrong_layers: u64,
    /// Runs at an engine that overlap an earlier one of the same attempt, or leave a gap after it.
    pub doubled_positions: u64,
    /// Complete answers with a layer and position that no reachable engine ran.
    pub unrun_layers: u64,
    /// Non-idempotent calls that ran more than once.
    pub doubled_calls: u64,
    /// Successful calls that no service ran.
    pub lost_calls: u64,
    /// Requests that were reported as not run although they ran.
    pub false_not_run: u64,
    /// Back ends whose ledger could not be read.
    pub missing_ledgers: u64,
}

impl CheckResult {
    /// Returns whether no violation was found.
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

/// Checks every request against the ledgers.
pub fn check(records: &[RequestRecord], ledgers: &Ledgers) -> CheckResult {
    let mut result =
        CheckResult { missing_ledgers: ledgers.missing as u64, ..CheckResult::default() };
    for record in records {
        match &record.outcome {
            Outcome::Complete => result.whole += 1,
            Outcome::Failed { .. } => result.failed += 1,
        }
        match &record.spec.kind {
            RequestKind::Generate { prompt, max_tokens, .. } => {
                check_generation(record, prompt, *max_tokens, ledgers, &mut result);
            }
            RequestKind::Call { is_idempotent, .. } => {
                check_call(record, *is_idempotent, ledgers, &mut result);
            }
        }
    }
    result
}

fn request_uid(record: &RequestRecord) -> RequestUid {
    RequestUid::derive(&record.spec.organisation, &record.spec.request_id)
}

fn check_generation(
    record: &RequestRecord,
    prompt: &str,
    max_tokens: u32,
    ledgers: &Ledgers,
    out: &mut CheckResult,
) {
    let uid = request_uid(record);
    let runs = ledgers.engines.get(&uid.to_string()).map_or(&[][..], Vec::as_slice);
    check_runs(runs, out);
    match &record.outcome {
        Outcome::Failed { run: RunState::NotRun, .. } if !runs.is_empty() => out.false_not_run += 1,
        Outcome::Failed { .. } => {}
        Outcome::Complete => {
            let prompt = sillbank_model::tokenize(prompt);
            let answer =
                sillbank_model::reference_answer(&prompt, MODEL_LAYERS, uid.seed(), max_tokens);
            let is_text = |token: &&TokenId| **token != sillbank_model::END_TOKEN;
            let text: String =
                answer.iter().filter(is_text).map(|t| sillbank_model::detokenize(*t)).collect();
            if text != record.text {
                out.wrong_answers += 1;
            }
            let positions = prompt.len() as u32 + answer.len() as u32 - 1;
            if ledgers.missing == 0 && !covers(runs, positions) {
                out.unrun_layers += 1;
            }
        }
    }
}

/// Checks that each run has its layers once and in order, and that the runs of one attempt at one
/// engine follow one another without overlap or gap.
fn check_runs(runs: &[(usize, LedgerEntry)], out: &mut CheckResult) {
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

/// Returns whether every layer ran at every position below `positions`.
fn covers(runs: &[(usize, LedgerEntry)], positions: u32) -> bool {
    (0..MODEL_LAYERS).all(|layer| {
        let mut spans: Vec<(Position, Position)> = runs
            .iter()
            .filter(|(_, run)| run.layers.contains(&layer))
            .map(|(_, run)| (run.start, run.end))
            .collect();
        spans.sort_unstable();
        let extend = |reached: u32, (start, end): (Position, Position)| match start <= reached {
            true => reached.max(end),
            false => reached,
        };
        spans.into_iter().fold(0, extend) >= positions
    })
}

fn check_call(
    record: &RequestRecord,
    is_idempotent: bool,
    ledgers: &Ledgers,
    out: &mut CheckResult,
) {
    let ran = ledgers.services.get(&request_uid(record).to_string()).copied().unwrap_or(0);
    if !is_idempotent && ran > 1 {
        out.doubled_calls += 1;
    }
    match &record.outcome {
        Outcome::Complete if ran == 0 && ledgers.missing == 0 => out.lost_calls += 1,
        Outcome::Failed { run: RunState::NotRun, .. } if ran > 0 => out.false_not_run += 1,
        _ => {}
    }
}
