//! Experiments against the bound that the stand-ins' own cost model allows.
//!
//! One run sends an open loop at a share of the bound and tells what came back in time. With
//! `--faults FILE` it also tells how long goodput took to come back after each fault; the file
//! has a line `MILLISECONDS NAME` for each, in milliseconds since 1970.

mod recovery;

use crate::Verdict;
use crate::check::{Checked, Ledgers, check};
use crate::client::{Caller, End, Got};
use crate::fleet::{Addresses, MODEL_LAYERS, STAGE_LAYERS};
use crate::mix::{BOTH, ORGANISATIONS, Top, Work, WorkKind, organisation_key, organisation_name};
use crate::report::quantile;
use argh::FromArgs;
use recovery::recoveries;
use serde_json::{Value, json};
use sillbank_model::kinds::find_kind;
use smol::{LocalExecutor, Timer};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Send an open loop at a share of the bound and judge what came back in time.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// load as a share of the bound
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
    /// short calls a second, beside the answers
    #[argh(option, default = "20.0")]
    calls: f64,
    /// share of the answers that the first organisation asks for; the others share the rest
    #[argh(option, default = "0.1")]
    first_share: f64,
    /// only this user's pipeline: market or match
    #[argh(option)]
    top: Option<String>,
    /// organisations that ask
    #[argh(option, default = "ORGANISATIONS")]
    organisations: usize,
    /// tries at each request, resumptions included
    #[argh(option, default = "1")]
    tries: u32,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// a kind that was slowed and its factor, as KIND:FACTOR; lowers the bound
    #[argh(option)]
    slowed: Option<String>,
    /// numbers of engines that were killed, separated by commas; lowers the bound
    #[argh(option, default = "String::new()")]
    lost: String,
    /// engines were killed and started anew, so that ledgers are not whole
    #[argh(switch)]
    ledgers_lost: bool,
    /// file of the faults made meanwhile
    #[argh(option)]
    faults: Option<PathBuf>,
    /// name of the run
    #[argh(option, default = "String::from(\"experiment\")")]
    name: String,
}

/// Runs the experiment.
///
/// # Errors
/// What hindered it.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: ExperimentArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let wanted = |top: &&Top| arguments.top.as_deref().is_none_or(|name| name == top.name);
    let tops: Vec<Top> = BOTH.iter().filter(wanted).copied().collect();
    let per_token = f64::from(arguments.prompt) / f64::from(arguments.answer);
    let bounds: Vec<f64> =
        tops.iter().map(|top| bound(&fleet, &arguments, top, per_token)).collect();
    let deadline = Duration::from_millis(arguments.deadline_ms);
    let caller = Caller::new(executor.clone(), fleet.entries.clone(), arguments.seed, deadline)
        .with_patience(deadline, arguments.tries);
    let clock = (Instant::now(), SystemTime::now());
    let mut senders = Vec::new();
    for (number, (top, bound)) in tops.iter().zip(&bounds).enumerate() {
        let rate = bound * arguments.load / f64::from(arguments.answer);
        let shape = Stream::new(&arguments, *top, rate, true, number as u64);
        senders.push(executor.spawn(shape.send(executor.clone(), caller.clone())));
        let shape = Stream::new(&arguments, *top, arguments.calls / 2.0, false, 7 + number as u64);
        senders.push(executor.spawn(shape.send(executor.clone(), caller.clone())));
    }
    let mut all = Vec::new();
    for sender in senders {
        all.extend(sender.await);
    }
    let mut ledgers = Ledgers::read(executor, &fleet.engines, &fleet.services).await?;
    ledgers.missing += usize::from(arguments.ledgers_lost);
    let checked = check(&all, &ledgers);
    let mut figures = json!({ "bench": arguments.name, "load": arguments.load });
    for (top, bound) in tops.iter().zip(&bounds) {
        figures[top.name] = judge(&arguments, &all, top, *bound, clock.0);
    }
    if let Some(path) = &arguments.faults {
        figures["recovery"] = recoveries(path, &all, &tops, clock)?;
    }
    figures["check"] = json!(checked);
    println!("{figures}");
    Ok(passed(&checked))
}

fn passed(checked: &Checked) -> bool {
    checked.passed()
}

/// Most tokens a second that a pipeline's engines could give: its narrowest stage.
fn bound(
    fleet: &Addresses,
    arguments: &ExperimentArguments,
    top: &Top,
    prompt_per_token: f64,
) -> f64 {
    let mut stages = vec![0.0; usize::from(MODEL_LAYERS / STAGE_LAYERS)];
    let slowed = arguments.slowed.as_deref().and_then(|text| text.split_once(':'));
    let is_lost = |number: usize| arguments.lost.split(',').any(|n| n == number.to_string());
    for (number, engine) in fleet.engine_specs.iter().enumerate() {
        let Some(kind) = find_kind(&engine.kind) else {
            continue;
        };
        if engine.top != top.name || is_lost(number) {
            continue;
        }
        let most = kind.max_tokens_per_s(usize::from(STAGE_LAYERS), prompt_per_token);
        let factor = match slowed {
            Some((kind, factor)) if kind == engine.kind => factor.parse().unwrap_or(1.0),
            _ => 1.0,
        };
        stages[engine.stage] += most / (fleet.cost_factor * factor).max(1e-9);
    }
    stages.into_iter().fold(f64::INFINITY, f64::min)
}

/// One stream of arrivals.
struct Stream {
    top: Top,
    rate: f64,
    length: Duration,
    generate: bool,
    prompt: u32,
    answer: u32,
    first_share: f64,
    organisations: usize,
    rng: fastrand::Rng,
    name: String,
}

impl Stream {
    fn new(
        arguments: &ExperimentArguments,
        top: Top,
        rate: f64,
        generate: bool,
        salt: u64,
    ) -> Self {
        Self {
            top,
            rate,
            length: Duration::from_secs_f64(arguments.seconds),
            generate,
            prompt: arguments.prompt,
            answer: arguments.answer,
            first_share: arguments.first_share,
            organisations: arguments.organisations,
            rng: fastrand::Rng::with_seed(arguments.seed * 100 + salt),
            name: format!(
                "{}-{}-{}-{}{salt}",
                arguments.name, arguments.load, arguments.seed, top.name
            ),
        }
    }

    async fn send(mut self, executor: Rc<LocalExecutor<'static>>, caller: Caller) -> Vec<Got> {
        let started = Instant::now();
        let mut due = Duration::ZERO;
        let mut tasks = Vec::new();
        loop {
            due += Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / self.rate);
            if due > self.length {
                break;
            }
            Timer::at(started + due).await;
            let (caller, work) = (caller.clone(), self.work(tasks.len()));
            tasks.push(executor.spawn(async move { caller.carry(work).await }));
        }
        let mut all = Vec::with_capacity(tasks.len());
        for task in tasks {
            all.push(task.await);
        }
        all
    }

    fn work(&mut self, number: usize) -> Work {
        let first = self.organisations == 1 || self.rng.f64() < self.first_share;
        let other = if first { 0 } else { 1 + self.rng.usize(..self.organisations - 1) };
        let organisation = organisation_name(self.top.name, other);
        let words: Vec<String> =
            (0..self.prompt).map(|_| format!("w{}", self.rng.u32(..5000))).collect();
        let kind = match self.generate {
            true => WorkKind::Generate {
                pipeline: self.top.pipeline.to_owned(),
                prompt: words.join(" "),
                max_tokens: self.answer,
                priority: 4,
            },
            false => WorkKind::Call {
                service: self.top.repeatable_service.to_owned(),
                path: "do".to_owned(),
                repeatable: true,
            },
        };
        Work {
            key: organisation_key(&organisation),
            organisation,
            request_id: format!("{}-{number}", self.name),
            kind,
        }
    }
}

fn is_of(got: &Got, top: &Top) -> bool {
    got.work.organisation.starts_with(top.name)
}

fn is_answer(got: &Got) -> bool {
    matches!(got.work.kind, WorkKind::Generate { .. })
}

/// Figures of one pipeline.
fn judge(
    arguments: &ExperimentArguments,
    all: &[Got],
    top: &Top,
    bound: f64,
    started: Instant,
) -> Value {
    let answers: Vec<&Got> = all.iter().filter(|g| is_of(g, top) && is_answer(g)).collect();
    let calls = all.iter().filter(|g| is_of(g, top) && !is_answer(g));
    // The first quarter warms up; what comes after the last arrival is not counted.
    let window = (arguments.seconds * 0.25, arguments.seconds);
    let goodput = goodput(&answers, started, window);
    let mut firsts = Vec::new();
    let mut gaps = Vec::new();
    let mut longest = Vec::new();
    let mut refused = Vec::new();
    let mut failures: BTreeMap<String, u64> = BTreeMap::new();
    for got in &answers {
        if let End::Failed { code, run } = &got.end {
            *failures.entry(format!("{code}:{run:?}")).or_default() += 1;
        }
        refused.extend(got.refused_after.map(|after| after.as_micros() as u64));
        if got.token_times.is_empty() {
            continue;
        }
        firsts.push(micros(got.sent_at, got.token_times[0]));
        let own: Vec<u64> = got.token_times.windows(2).map(|p| micros(p[0], p[1])).collect();
        longest.extend(own.iter().max());
        gaps.extend(own);
    }
    let call_times: Vec<u64> = calls.map(|got| micros(got.sent_at, got.ended_at)).collect();
    json!({
        "bound_tokens_per_s": bound,
        "goodput_tokens_per_s": goodput,
        "share_of_bound": goodput / bound,
        "answers": answers.len(),
        "whole": answers.iter().filter(|got| got.end == End::Whole).count(),
        "resumed": answers.iter().filter(|got| got.tries > 1).count(),
        "failures": failures,
        "first_token_us": spread(firsts),
        "gap_us": spread(gaps),
        "longest_gap_us": spread(longest),
        "call_us": spread(call_times),
        "refused_after_us": spread(refused),
        "organisations": by_organisation(&answers, started, window),
    })
}

fn micros(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_micros() as u64
}

fn spread(mut values: Vec<u64>) -> Value {
    values.sort_unstable();
    json!({
        "p50": quantile(&values, 0.5),
        "p95": quantile(&values, 0.95),
        "max": quantile(&values, 1.0),
        "count": values.len(),
    })
}

/// Tokens a second, in a window of seconds, of answers that came whole.
fn goodput(answers: &[&Got], started: Instant, window: (f64, f64)) -> f64 {
    let from = started + Duration::from_secs_f64(window.0);
    let to = started + Duration::from_secs_f64(window.1);
    let whole = answers.iter().filter(|got| got.end == End::Whole);
    let tokens = whole.flat_map(|got| &got.token_times).filter(|t| **t >= from && **t < to).count();
    tokens as f64 / (window.1 - window.0)
}

/// First organisation against the others: answers, goodput and first token.
fn by_organisation(answers: &[&Got], started: Instant, window: (f64, f64)) -> Value {
    let mut groups: BTreeMap<&str, Vec<&Got>> = BTreeMap::new();
    for got in answers {
        groups.entry(&got.work.organisation).or_default().push(got);
    }
    let mut rates = Vec::new();
    let mut quiet_firsts = Vec::new();
    let mut quiet_failed = 0;
    let mut quiet = 0;
    let mut first_rate = 0.0;
    for (name, own) in &groups {
        let rate = goodput(own, started, window);
        rates.push(rate);
        if name.ends_with("-org0") {
            first_rate = rate;
            continue;
        }
        for got in own {
            quiet += 1;
            quiet_failed += u64::from(got.end != End::Whole);
            quiet_firsts.extend(got.token_times.first().map(|t| micros(got.sent_at, *t)));
        }
    }
    let (sum, squares) = rates.iter().fold((0.0, 0.0), |(s, q), r| (s + r, q + r * r));
    json!({
        "first_goodput_tokens_per_s": first_rate,
        "quiet_answers": quiet,
        "quiet_failed": quiet_failed,
        "quiet_first_token_us": spread(quiet_firsts),
        "jain_index": if squares > 0.0 { sum * sum / (rates.len() as f64 * squares) } else { 0.0 },
    })
}
