//! The control benchmark: processor time, memory and traffic of idle control processes that have
//! received their settings.

use crate::Verdict;
use crate::fleet::Addresses;
use crate::process::{cpu_time, resident_bytes};
use crate::report::quantile;
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Measure processor share, memory and bytes a second of idle control processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// duration of the measurement, in seconds
    #[argh(option, default = "15.0")]
    seconds: f64,
}

/// Counters of one process at one time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    cpu: Duration,
    bytes: u64,
    platform_calls: u64,
}

/// Runs the benchmark.
///
/// # Errors
/// If the fleet's files cannot be read, or a process does not respond or has ended.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: ControlArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let client = HttpClient::new(executor, 1 << 20);
    let pids = control_pids(&arguments.fleet, fleet.control_admins.len())?;
    let objects = wait_for_settings(&client, &fleet.control_admins).await?;
    let before = take_samples(&client, &fleet.control_admins, &pids).await?;
    let started = Instant::now();
    Timer::after(Duration::from_secs_f64(arguments.seconds)).await;
    let after = take_samples(&client, &fleet.control_admins, &pids).await?;
    let seconds = started.elapsed().as_secs_f64();
    let distribution = |value: &dyn Fn(&Sample, &Sample) -> f64| {
        let mut all: Vec<u64> =
            before.iter().zip(&after).map(|(b, a)| (value(b, a) * 1000.0) as u64).collect();
        all.sort_unstable();
        let value_at = |q: f64| quantile(&all, q) as f64 / 1000.0;
        serde_json::json!({ "p50": value_at(0.5), "p95": value_at(0.95), "max": value_at(1.0) })
    };
    let cpu = distribution(&|b, a| (a.cpu - b.cpu).as_secs_f64() / seconds * 100.0);
    let bytes = distribution(&|b, a| (a.bytes - b.bytes) as f64 / seconds);
    let calls: u64 =
        before.iter().zip(&after).map(|(b, a)| a.platform_calls - b.platform_calls).sum();
    let mut memory: Vec<u64> = pids.iter().filter_map(|pid| resident_bytes(*pid)).collect();
    memory.sort_unstable();
    let figures = serde_json::json!({
        "bench": "control",
        "nodes": pids.len(),
        "objects": objects,
        "seconds": seconds,
        "cpu_percent": cpu,
        "bytes_per_s": bytes,
        "memory_mb": {
            "p50": quantile(&memory, 0.5) as f64 / 1e6,
            "max": quantile(&memory, 1.0) as f64 / 1e6,
        },
        "platform_calls_per_s": calls as f64 / seconds,
    });
    println!("{figures}");
    Ok(true)
}

/// Waits until all processes have the same number of objects, and at least one; returns the number.
async fn wait_for_settings(
    client: &HttpClient,
    admins: &[SocketAddr],
) -> Result<u64, Box<dyn std::error::Error>> {
    let deadline = Instant::now() + Duration::from_secs(60);
    loop {
        let mut counts = Vec::new();
        for admin in admins {
            let call = request(Method::GET, "/v1/status", Bytes::new());
            let reply = client.call(*admin, call, Duration::from_secs(5)).await?;
            let status: serde_json::Value = reply.json()?;
            counts.push(status["objects"].as_u64().unwrap_or(0));
        }
        let (min, max) = (counts.iter().min().copied(), counts.iter().max().copied());
        if min == max && max > Some(0) {
            return Ok(max.unwrap_or(0));
        }
        if Instant::now() > deadline {
            return Err(
                format!("the processes hold {min:?} to {max:?} objects, not all the same").into()
            );
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

async fn take_samples(
    client: &HttpClient,
    admins: &[SocketAddr],
    pids: &[u32],
) -> Result<Vec<Sample>, Box<dyn std::error::Error>> {
    let mut all = Vec::new();
    for (admin, pid) in admins.iter().zip(pids) {
        let call = request(Method::GET, "/metrics", Bytes::new());
        let reply = client.call(*admin, call, Duration::from_secs(5)).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let counter = |name: &str| -> u64 {
            let prefix = format!("sillbank_control_{name}_total ");
            let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let bytes = ["gossip_sent_bytes", "gossip_received_bytes", "pull_bytes", "platform_bytes"];
        all.push(Sample {
            cpu: cpu_time(*pid).ok_or("a control process has ended")?,
            bytes: bytes.iter().map(|name| counter(name)).sum(),
            platform_calls: counter("platform_calls"),
        });
    }
    Ok(all)
}

/// Reads the process ids of the control processes from `pids.txt`, which `tools/fleet.sh` writes.
fn control_pids(folder: &Path, count: usize) -> Result<Vec<u32>, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(folder.join("pids.txt"))?;
    let pid_of = |name: &str| {
        let mut lines = text.lines().rev();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    };
    (0..count)
        .map(|number| {
            pid_of(&format!("control{number}"))
                .ok_or("a control process is missing in pids.txt".into())
        })
        .collect()
}
