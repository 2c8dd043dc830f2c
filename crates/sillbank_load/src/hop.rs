//! The hop benchmark: processor time and latency that sillbank adds, compared with a client that
//! calls the same engines directly.

use crate::Verdict;
use crate::client::{Caller, Outcome};
use crate::direct::{DirectEngine, generate};
use crate::fleet::Addresses;
use crate::mix::{MARKET, RequestKind, RequestSpec, organisation_key, organisation_name};
use crate::process::cpu_time;
use crate::report::quantile;
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Words of each prompt.
const PROMPT_WORDS: u32 = 32;
/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 200;

/// Measure processor time per hop and added latency per token, compared with a direct client.
#[derive(FromArgs)]
#[argh(subcommand, name = "hop")]
pub struct HopArguments {
    /// folder that `sillbank-load fleet` wrote; a fleet of one VM and one chain a pipeline
    #[argh(option)]
    fleet: PathBuf,
    /// process id of the entry
    #[argh(option)]
    entry_pid: u32,
    /// requests in flight
    #[argh(option, default = "64")]
    in_flight: usize,
    /// number of pairs of rounds: one direct, one through the entry
    #[argh(option, default = "5")]
    rounds: u32,
}

/// Measurements of one round.
#[derive(Default)]
struct Round {
    gaps_us: Vec<u64>,
    hop_ns: Option<f64>,
    tokens: usize,
    failed: usize,
}

/// Runs the benchmark.
///
/// # Errors
/// If the fleet's files cannot be read or a process does not respond.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: HopArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for number in 0..=arguments.rounds {
        let direct_result = direct_round(&executor, &fleet, &arguments, number).await?;
        let routed_result = routed_round(&executor, &fleet, &arguments, number).await?;
        // The first pair is warm-up and is not counted.
        if number > 0 {
            direct.push(direct_result);
            routed.push(routed_result);
        }
    }
    let gaps = |rounds: &[Round]| -> Vec<u64> {
        let mut all: Vec<u64> = rounds.iter().flat_map(|r| r.gaps_us.iter().copied()).collect();
        all.sort_unstable();
        all
    };
    let (direct_gaps, routed_gaps) = (gaps(&direct), gaps(&routed));
    let mut hops: Vec<u64> = routed.iter().filter_map(|r| r.hop_ns).map(|ns| ns as u64).collect();
    hops.sort_unstable();
    let failed: usize = routed.iter().map(|round| round.failed).sum();
    let figures = serde_json::json!({
        "bench": "hop",
        "in_flight": arguments.in_flight,
        "stages": fleet.engines.len() / 2,
        "tokens": routed.iter().map(|r| r.tokens).sum::<usize>(),
        "failed": failed,
        "hop_cpu_us": { "p50": micros(quantile(&hops, 0.5)), "p95": micros(quantile(&hops, 0.95)) },
        "direct_gap_us": { "p50": quantile(&direct_gaps, 0.5), "p95": quantile(&direct_gaps, 0.95) },
        "routed_gap_us": { "p50": quantile(&routed_gaps, 0.5), "p95": quantile(&routed_gaps, 0.95) },
        "added_us_per_token": {
            "p50": difference(&routed_gaps, &direct_gaps, 0.5),
            "p95": difference(&routed_gaps, &direct_gaps, 0.95),
        },
    });
    println!("{figures}");
    Ok(failed == 0)
}

fn micros(ns: u64) -> f64 {
    ns as f64 / 1000.0
}

fn difference(a: &[u64], b: &[u64], q: f64) -> i64 {
    quantile(a, q) as i64 - quantile(b, q) as i64
}

/// Returns the gaps between the tokens of an answer, without the time to the first token.
fn gaps_us(times: &[Instant]) -> impl Iterator<Item = u64> {
    times.windows(2).map(|pair| pair[1].duration_since(pair[0]).as_micros() as u64)
}

async fn direct_round(
    executor: &Rc<LocalExecutor<'static>>,
    fleet: &Addresses,
    arguments: &HopArguments,
    number: u32,
) -> Result<Round, Box<dyn std::error::Error>> {
    let mut chain = Vec::new();
    // Even engines serve the first pipeline, in the order of its stages.
    for (stage, address) in fleet.engines.iter().step_by(2).enumerate() {
        let layers = LayerRange { first: stage as u16 * 8, end: stage as u16 * 8 + 8 };
        chain.push(DirectEngine::connect(executor, *address, layers).await?);
    }
    let chain = Rc::new(chain);
    let tasks: Vec<_> = (0..arguments.in_flight)
        .map(|task| {
            let chain = chain.clone();
            executor.spawn(async move {
                let uid = RequestUid::derive("direct", &format!("{number}-{task}"));
                let prompt: Vec<TokenId> = (1..=PROMPT_WORDS).collect();
                generate(&chain, uid, &prompt, ANSWER_TOKENS).await
            })
        })
        .collect();
    let mut round = Round::default();
    for task in tasks {
        let times = task.await;
        round.tokens += times.len();
        round.gaps_us.extend(gaps_us(&times));
    }
    Ok(round)
}

async fn routed_round(
    executor: &Rc<LocalExecutor<'static>>,
    fleet: &Addresses,
    arguments: &HopArguments,
    number: u32,
) -> Result<Round, Box<dyn std::error::Error>> {
    let deadline = Duration::from_secs(60);
    let caller = Caller::new(executor.clone(), fleet.entries.clone(), 1, deadline);
    let count_before = steps_sent(executor, fleet).await?;
    let cpu_before = cpu_time(arguments.entry_pid);
    let tasks: Vec<_> = (0..arguments.in_flight)
        .map(|task| {
            let caller = caller.clone();
            let spec = routed_request(number, task);
            executor.spawn(async move { caller.execute(spec).await })
        })
        .collect();
    let mut round = Round::default();
    for task in tasks {
        let record = task.await;
        round.tokens += record.token_times.len();
        round.failed += usize::from(record.outcome != Outcome::Complete);
        round.gaps_us.extend(gaps_us(&record.token_times));
    }
    let cpu = cpu_time(arguments.entry_pid).zip(cpu_before).map(|(after, before)| after - before);
    let count = steps_sent(executor, fleet).await? - count_before;
    round.hop_ns = cpu.map(|cpu| cpu.as_nanos() as f64 / count.max(1) as f64);
    Ok(round)
}

fn routed_request(number: u32, task: usize) -> RequestSpec {
    let organisation = organisation_name(MARKET.name, task % 8);
    let prompt: Vec<String> = (0..PROMPT_WORDS).map(|word| format!("w{word}")).collect();
    RequestSpec {
        key: organisation_key(&organisation),
        organisation,
        request_id: format!("hop-{number}-{task}"),
        kind: RequestKind::Generate {
            pipeline: MARKET.pipeline.to_owned(),
            prompt: prompt.join(" "),
            max_tokens: ANSWER_TOKENS,
            priority: 4,
        },
    }
}

/// Returns the number of steps that the entry has sent so far.
async fn steps_sent(
    executor: &Rc<LocalExecutor<'static>>,
    fleet: &Addresses,
) -> Result<u64, Box<dyn std::error::Error>> {
    let client = HttpClient::new(executor.clone(), 1 << 20);
    let call = request(Method::GET, "/metrics", Bytes::new());
    let reply = client.call(fleet.entry_admins[0], call, Duration::from_secs(5)).await?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("sillbank_entry_steps_total "));
    Ok(line.ok_or("the metrics of the entry lack its steps")?.parse()?)
}
