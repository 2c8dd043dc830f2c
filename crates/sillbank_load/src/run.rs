//! Open-loop load: requests are sent at their arrival times, without waiting for answers.

use crate::Verdict;
use crate::check::{Ledgers, check};
use crate::client::{Caller, RequestRecord};
use crate::mix::{Mix, MixConfig, WORKLOADS};
use crate::report::Report;
use argh::FromArgs;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Send a mix of both users' requests and check every answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// requests a second
    #[argh(option, default = "40.0")]
    rate: f64,
    /// how long requests are sent, in seconds
    #[argh(option, default = "10.0")]
    seconds: f64,
    /// share of service calls
    #[argh(option, default = "0.4")]
    call_share: f64,
    /// factor on the length of answers
    #[argh(option, default = "1.0")]
    length_factor: f64,
    /// seed of the mix
    #[argh(option, default = "1")]
    seed: u64,
    /// deadline of a request, in milliseconds
    #[argh(option, default = "30000")]
    deadline_ms: u64,
    /// folder for the report; none is written without it
    #[argh(option)]
    report: Option<PathBuf>,
    /// title of the report
    #[argh(option, default = "String::from(\"sillbank\")")]
    title: String,
}

/// Sends the load, checks the results and prints the report.
///
/// # Errors
/// If the fleet's files or a ledger cannot be read, or the report cannot be written.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: RunArguments) -> Verdict {
    let fleet = crate::fleet::Addresses::read(&arguments.fleet)?;
    let config = MixConfig {
        call_share: arguments.call_share,
        length_factor: arguments.length_factor,
        workloads: WORKLOADS,
    };
    let name = format!("s{}", arguments.seed);
    let mix = Mix::new(arguments.seed, config, name);
    let deadline = Duration::from_millis(arguments.deadline_ms);
    let caller = Caller::new(executor.clone(), fleet.entries.clone(), arguments.seed, deadline);
    let started = Instant::now();
    let duration = Duration::from_secs_f64(arguments.seconds);
    let records = send_all(&executor, &caller, mix, arguments.rate, duration).await;
    let ledgers = read_ledgers(&executor, &fleet).await?;
    let result = check(&records, &ledgers);
    let report = Report::new(&arguments.title, &records, &result, started);
    print!("{}", report.summary());
    if let Some(folder) = &arguments.report {
        report.write(folder)?;
    }
    println!("{}", report.json());
    Ok(result.passed())
}

async fn read_ledgers(
    executor: &Rc<LocalExecutor<'static>>,
    fleet: &crate::fleet::Addresses,
) -> Result<Ledgers, Box<dyn std::error::Error>> {
    let engines: Vec<SocketAddr> = fleet.engines.clone();
    Ledgers::read(executor.clone(), &engines, &fleet.services).await
}

/// Sends requests at a rate, in requests a second, and waits until all have ended.
pub async fn send_all(
    executor: &Rc<LocalExecutor<'static>>,
    caller: &Caller,
    mut mix: Mix,
    rate: f64,
    duration: Duration,
) -> Vec<RequestRecord> {
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    loop {
        due += Duration::from_secs_f64(mix.next_arrival_s(rate));
        if due > duration {
            break;
        }
        Timer::at(started + due).await;
        let (caller, spec) = (caller.clone(), mix.next_request());
        tasks.push(executor.spawn(async move { caller.execute(spec).await }));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.push(task.await);
    }
    records
}
