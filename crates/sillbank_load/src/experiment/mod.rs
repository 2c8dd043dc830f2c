//! Experiments at a share of the throughput bound that the cost model of the stand-ins allows.
//!
//! A run sends open-loop load and reports goodput and latencies. With `--faults FILE` it also
//! reports how long goodput took to recover after each fault; the file has a line
//! `MILLISECONDS NAME` for each fault, with the time in milliseconds since the Unix epoch.

mod recovery;

use crate::Verdict;
use crate::check::{CheckResult, Ledgers, check};
use crate::client::{Caller, Outcome, RequestRecord};
use crate::fleet::{Addresses, LAYERS_PER_STAGE, MODEL_LAYERS};
use crate::mix::{
    ORGANISATIONS, RequestKind, RequestSpec, WORKLOADS, Workload, organisation_key,
    organisation_name,
};
use crate::report::quantile;
use argh::FromArgs;
use recovery::recovery_figures;
use serde_json::{Value, json};
use sillbank_model::kinds::find_kind;
use smol::{LocalExecutor, Timer};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Send open-loop load at a share of the throughput bound and report goodput and latencies.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// load as a share of the throughput bound
    #[argh(option, default = "0.7")]
    load: f64,
    /// how long requests are sent, in seconds
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// words of each prompt
    #[argh(option, default = "40")]
    prompt: u32,
    /// tokens of each answer
    #[argh(option, default = "100")]
    answer: u32,
    /// deadline of each request, in milliseconds
    #[argh(option, default = "20000")]
    deadline_ms: u64,
    /// service calls a second, beside the generations
    #[argh(option, default = "20.0")]
    calls: f64,
    /// share of the generations that the first organisation requests; the others share the rest
    #[argh(option, default = "0.1")]
    first_share: f64,
    /// send only to the pipeline of this user: market or match
    #[argh(option)]
    top: Option<String>,
    /// number of organisations that send requests
    #[argh(option, default = "ORGANISATIONS")]
    organisations: usize,
    /// tries of each request, including resumptions
    #[argh(option, default = "1")]
    tries: u32,
    /// seed of the random generators
    #[argh(option, default = "1")]
    seed: u64,
    /// accelerator kind that was slowed and its factor, as KIND:FACTOR; lowers the bound
    #[argh(option)]
    slowed: Option<String>,
    /// numbers of engines that were killed, separated by commas; lowers the bound
    #[argh(option, default = "String::new()")]
    lost: String,
    /// engines were restarted, so their ledgers are incomplete
    #[argh(switch)]
    ledgers_lost: bool,
    /// file with the faults injected during the run
    #[argh(option)]
    faults: Option<PathBuf>,
    /// name of the run
    #[argh(option, default = "String::from(\"experiment\")")]
    name: String,
}

/// Runs the experiment.
///
/// # Errors
/// If the fleet's files, the file of faults or a ledger cannot be read.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: ExperimentArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let is_selected =
        |workload: &&Workload| arguments.top.as_deref().is_none_or(|name| name == workload.name);
    let workloads: Vec<Workload> = WORKLOADS.iter().filter(is_selected).copied().collect();
    let per_token = f64::from(arguments.prompt) / f64::from(arguments.answer);
    let bounds: Vec<f64> = workloads
        .iter()
        .map(|workload| throughput_bound(&fleet, &arguments, workload, per_token))
        .collect();
    let deadline = Duration::from_millis(arguments.deadline_ms);
    let caller = Caller::new(executor.clone(), fleet.entries.clone(), arguments.seed, deadline)
        .with_limits(deadline, arguments.tries);
    let clock = (Instant::now(), SystemTime::now());
    let mut senders = Vec::new();
    for (number, (workload, bound)) in workloads.iter().zip(&bounds).enumerate() {
        let rate = bound * arguments.load / f64::from(arguments.answer);
        let stream = ArrivalStream::new(&arguments, *workload, rate, true, number as u64);
        senders.push(executor.spawn(stream.send(executor.clone(), caller.clone())));
        let stream = ArrivalStream::new(
            &arguments,
            *workload,
            arguments.calls / 2.0,
            false,
            7 + number as u64,
        );
        senders.push(executor.spawn(stream.send(executor.clone(), caller.clone())));
    }
    let mut records = Vec::new();
    for sender in senders {
        records.extend(sender.await);
    }
    let mut ledgers = Ledgers::read(executor, &fleet.engines, &fleet.services).await?;
    ledgers.missing += usize::from(arguments.ledgers_lost);
    let result = check(&records, &ledgers);
    let mut figures = json!({ "bench": arguments.name, "load": arguments.load });
    for (workload, bound) in workloads.iter().zip(&bounds) {
        figures[workload.name] = summarize(&arguments, &records, workload, *bound, clock.0);
    }
    if let Some(path) = &arguments.faults {
        figures["recovery"] = recovery_figures(path, &records, &workloads, clock)?;
    }
    figures["check"] = json!(result);
    println!("{figures}");
    Ok(passed(&result))
}

fn passed(result: &CheckResult) -> bool {
    result.passed()
}

/// Returns the maximum tokens a second of a workload's pipeline: the sum over the engines of its
/// slowest stage.
fn throughput_bound(
    fleet: &Addresses,
    arguments: &ExperimentArguments,
    workload: &Workload,
    prompt_per_token: f64,
) -> f64 {
    let mut stages = vec![0.0; usize::from(MODEL_LAYERS / LAYERS_PER_STAGE)];
    let slowed = arguments.slowed.as_deref().and_then(|text| text.split_once(':'));
    let is_lost = |number: usize| arguments.lost.split(',').any(|n| n == number.to_string());
    for (number, engine) in fleet.engine_specs.iter().enumerate() {
        let Some(kind) = find_kind(&engine.kind) else {
            continue;
        };
        if engine.top != workload.name || is_lost(number) {
            continue;
        }
        let tokens_per_s = kind.max_tokens_per_s(usize::from(LAYERS_PER_STAGE), prompt_per_token);
        let factor = match slowed {
            Some((kind, factor)) if kind == engine.kind => factor.parse().unwrap_or(1.0),
            _ => 1.0,
        };
        stages[engine.stage] += tokens_per_s / (fleet.cost_factor * factor).max(1e-9);
    }
    stages.into_iter().fold(f64::INFINITY, f64::min)
}

/// One open-loop stream of requests of a workload.
struct ArrivalStream {
    workload: Workload,
    rate: f64,
    duration: Duration,
    generate: bool,
    prompt: u32,
    answer: u32,
    first_share: f64,
    organisations: usize,
    rng: fastrand::Rng,
    name: String,
}

impl ArrivalStream {
    fn new(
        arguments: &ExperimentArguments,
        workload: Workload,
        rate: f64,
        generate: bool,
        stream_number: u64,
    ) -> Self {
        Self {
            workload,
            rate,
            duration: Duration::from_secs_f64(arguments.seconds),
            generate,
            prompt: arguments.prompt,
            answer: arguments.answer,
            first_share: arguments.first_share,
            organisations: arguments.organisations,
            rng: fastrand::Rng::with_seed(arguments.seed * 100 + stream_number),
            name: format!(
                "{}-{}-{}-{}{stream_number}",
                arguments.name, arguments.load, arguments.seed, workload.name
            ),
        }
    }

    async fn send(
        mut self,
        executor: Rc<LocalExecutor<'static>>,
        caller: Caller,
    ) -> Vec<RequestRecord> {
        let started = Instant::now();
        let mut due = Duration::ZERO;
        let mut tasks = Vec::new();
        loop {
            due += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / self.rate);
            if due > self.duration {
                break;
            }
            Timer::at(started + due).await;
            let (caller, spec) = (caller.clone(), self.next_request(tasks.len()));
            tasks.push(executor.spawn(async move { caller.execute(spec).await }));
        }
        let mut records = Vec::with_capacity(tasks.len());
        for task in tasks {
            records.push(task.await);
        }
        records
    }

    fn next_request(&mut self, number: usize) -> RequestSpec {
        let first = self.organisations == 1 || self.rng.f64() < self.first_share;
        let index = if first { 0 } else { 1 + self.rng.usize(..self.organisations - 1) };
        let organisation = organisation_name(self.workload.name, index);
        let words: Vec<String> =
            (0..self.prompt).map(|_| format!("w{}", self.rng.u32(..5000))).collect();
        let kind = match self.generate {
            true => RequestKind::Generate {
                pipeline: self.workload.pipeline.to_owned(),
                prompt: words.join(" "),
                max_tokens: self.answer,
                priority: 4,
            },
            false => RequestKind::Call {
                service: self.workload.idempotent_service.to_owned(),
                path: "do".to_owned(),
                is_idempotent: true,
            },
        };
        RequestSpec {
            key: organisation_key(&organisation),
            organisation,
            request_id: format!("{}-{number}", self.name),
            kind,
        }
    }
}

fn belongs_to(record: &RequestRecord, workload: &Workload) -> bool {
    record.spec.organisation.starts_with(workload.name)
}

fn is_generation(record: &RequestRecord) -> bool {
    matches!(record.spec.kind, RequestKind::Generate { .. })
}

/// Returns the figures of one workload.
fn summarize(
    arguments: &ExperimentArguments,
    records: &[RequestRecord],
    workload: &Workload,
    bound: f64,
    started: Instant,
) -> Value {
    let answers: Vec<&RequestRecord> = records
        .iter()
        .filter(|record| belongs_to(record, workload) && is_generation(record))
        .collect();
    let calls =
        records.iter().filter(|record| belongs_to(record, workload) && !is_generation(record));
    // The first quarter is warm-up, and tokens after the last arrival are not counted.
    let window = (arguments.seconds * 0.25, arguments.seconds);
    let goodput_tokens_per_s = goodput(&answers, started, window);
    let mut first_token_us = Vec::new();
    let mut gap_us = Vec::new();
    let mut longest_gap_us = Vec::new();
    let mut refused_after_us = Vec::new();
    let mut failures: BTreeMap<String, u64> = BTreeMap::new();
    for record in &answers {
        if let Outcome::Failed { code, run } = &record.outcome {
            *failures.entry(format!("{code}:{run:?}")).or_default() += 1;
        }
        refused_after_us.extend(record.refused_after.map(|after| after.as_micros() as u64));
        if record.token_times.is_empty() {
            continue;
        }
        first_token_us.push(micros(record.sent_at, record.token_times[0]));
        let own: Vec<u64> = record.token_times.windows(2).map(|p| micros(p[0], p[1])).collect();
        longest_gap_us.extend(own.iter().max());
        gap_us.extend(own);
    }
    let call_us: Vec<u64> = calls.map(|record| micros(record.sent_at, record.ended_at)).collect();
    json!({
        "bound_tokens_per_s": bound,
        "goodput_tokens_per_s": goodput_tokens_per_s,
        "share_of_bound": goodput_tokens_per_s / bound,
        "answers": answers.len(),
        "whole": answers.iter().filter(|record| record.outcome == Outcome::Complete).count(),
        "resumed": answers.iter().filter(|record| record.tries > 1).count(),
        "failures": failures,
        "first_token_us": distribution(first_token_us),
        "gap_us": distribution(gap_us),
        "longest_gap_us": distribution(longest_gap_us),
        "call_us": distribution(call_us),
        "refused_after_us": distribution(refused_after_us),
        "organisations": organisation_figures(&answers, started, window),
    })
}

fn micros(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_micros() as u64
}

fn distribution(mut values: Vec<u64>) -> Value {
    values.sort_unstable();
    json!({
        "p50": quantile(&values, 0.5),
        "p95": quantile(&values, 0.95),
        "max": quantile(&values, 1.0),
        "count": values.len(),
    })
}

/// Returns the tokens a second of complete answers, within a window in seconds after `started`.
fn goodput(answers: &[&RequestRecord], started: Instant, window: (f64, f64)) -> f64 {
    let from = started + Duration::from_secs_f64(window.0);
    let to = started + Duration::from_secs_f64(window.1);
    let complete = answers.iter().filter(|record| record.outcome == Outcome::Complete);
    let tokens =
        complete.flat_map(|record| &record.token_times).filter(|t| **t >= from && **t < to).count();
    tokens as f64 / (window.1 - window.0)
}

/// Compares the first organisation with the others: answers, goodput and time to first token.
fn organisation_figures(answers: &[&RequestRecord], started: Instant, window: (f64, f64)) -> Value {
    let mut groups: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    for record in answers {
        groups.entry(&record.spec.organisation).or_default().push(record);
    }
    let mut rates = Vec::new();
    let mut other_first_token_us = Vec::new();
    let mut other_failed = 0;
    let mut other_answers = 0;
    let mut first_rate = 0.0;
    for (name, own) in &groups {
        let rate = goodput(own, started, window);
        rates.push(rate);
        if name.ends_with("-org0") {
            first_rate = rate;
            continue;
        }
        for record in own {
            other_answers += 1;
            other_failed += u64::from(record.outcome != Outcome::Complete);
            other_first_token_us
                .extend(record.token_times.first().map(|t| micros(record.sent_at, *t)));
        }
    }
    let (sum, squares) = rates.iter().fold((0.0, 0.0), |(s, q), r| (s + r, q + r * r));
    json!({
        "first_goodput_tokens_per_s": first_rate,
        "quiet_answers": other_answers,
        "quiet_failed": other_failed,
        "quiet_first_token_us": distribution(other_first_token_us),
        "jain_index": if squares > 0.0 { sum * sum / (rates.len() as f64 * squares) } else { 0.0 },
    })
}
