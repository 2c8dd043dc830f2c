//! The settings benchmark: time from the acceptance of a change until it is in force in all VMs.
//!
//! It connects to every control process as an entry does and records when each change arrives.

use crate::Verdict;
use crate::fleet::{Addresses, OPERATOR_KEY};
use crate::report::quantile;
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use sillbank_net::client::{InvalidPath, request, request_to};
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::prelude::*;
use sillbank_protocol::peer::{ControlToEntry, EntryToControl, ToControl};
use sillbank_protocol::platform::Object;
use smol::net::TcpStream;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Measure the time from the acceptance of a change until it is in force everywhere.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArguments {
    /// folder that `sillbank-load fleet` wrote
    #[argh(option)]
    fleet: PathBuf,
    /// number of changes, one after another
    #[argh(option, default = "30")]
    changes: u32,
    /// number of concurrent changes in the burst
    #[argh(option, default = "40")]
    burst: u32,
}

/// State of the connection to one VM's control process.
#[derive(Default)]
struct VmWatcher {
    version: Cell<u64>,
    in_force_at: Cell<Option<Instant>>,
    versions: RefCell<HashMap<String, u64>>,
    reverts: Cell<u64>,
}

/// Runs the benchmark.
///
/// # Errors
/// If the fleet's files cannot be read, a process does not respond, or a change is refused or not
/// in force everywhere after 60 s.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: SettingsArguments) -> Verdict {
    let fleet = Addresses::read(&arguments.fleet)?;
    let client = HttpClient::new(executor.clone(), 256 << 20);
    let mut watchers = Vec::new();
    for control in &fleet.controls {
        let watcher = Rc::new(VmWatcher::default());
        executor.spawn(watch(*control, watcher.clone())).detach();
        watchers.push(watcher);
    }
    while watchers.iter().any(|w| w.version.get() == 0) {
        Timer::after(Duration::from_millis(20)).await;
    }
    let joined_s = wait_all_joined(&client, &fleet).await?;
    let before = platform_calls(&client, &fleet).await?;
    let started = Instant::now();
    let mut times = Vec::new();
    for number in 0..arguments.changes {
        let admin = fleet.control_admins[number as usize % fleet.control_admins.len()];
        let object = change_node(&client, admin, 0, number).await?;
        times.push(wait_in_force(&watchers, object.version, Instant::now()).await?);
    }
    let seconds = started.elapsed().as_secs_f64();
    let during = platform_calls(&client, &fleet).await? - before;
    let burst = burst(&executor, &client, &fleet, &watchers, arguments.burst).await?;
    times.sort_unstable();
    let reverts: u64 = watchers.iter().map(|w| w.reverts.get()).sum();
    let figures = serde_json::json!({
        "bench": "settings",
        "nodes": watchers.len(),
        "all_joined_s": joined_s,
        "changes": arguments.changes,
        "in_force_ms": { "p50": quantile(&times, 0.5), "max": quantile(&times, 1.0) },
        "burst": arguments.burst,
        "burst_in_force_ms": burst,
        "reverts": reverts,
        "platform_calls_per_change": during as f64 / f64::from(arguments.changes),
        "platform_calls_per_s": during as f64 / seconds,
    });
    println!("{figures}");
    Ok(reverts == 0)
}

/// Waits until every control process knows all others; returns the time it took, in seconds.
async fn wait_all_joined(
    client: &HttpClient,
    fleet: &Addresses,
) -> Result<f64, Box<dyn std::error::Error>> {
    let started = Instant::now();
    for admin in &fleet.control_admins {
        loop {
            let call = request(Method::GET, "/v1/status", Bytes::new());
            let reply = client.call(*admin, call, Duration::from_secs(5)).await?;
            let status: serde_json::Value = reply.json()?;
            let known = status["vms"].as_array().map_or(0, Vec::len);
            if known >= fleet.control_admins.len() {
                break;
            }
            if started.elapsed() > Duration::from_secs(60) {
                return Err(format!("{admin} knows {known} VMs only").into());
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    }
    Ok(started.elapsed().as_secs_f64())
}

async fn watch(control: SocketAddr, watcher: Rc<VmWatcher>) {
    if let Err(error) = watch_connection(control, &watcher).await {
        eprintln!("load: {control} ended: {error}.");
    }
}

async fn watch_connection(control: SocketAddr, watcher: &VmWatcher) -> Result<(), FrameError> {
    let stream = TcpStream::connect(control).await?;
    let (mut reader, mut writer) = (stream.clone(), stream);
    let hello = EntryToControl::Hello { vm: "bench".to_owned(), after: 0 };
    write_message(&mut writer, &ToControl::Entry(hello)).await?;
    loop {
        match read_message(&mut reader).await? {
            ControlToEntry::Objects(objects) => {
                for object in objects {
                    let mut versions = watcher.versions.borrow_mut();
                    let old = versions.insert(object.key, object.version).unwrap_or(0);
                    if old > object.version {
                        watcher.reverts.set(watcher.reverts.get() + 1);
                    }
                }
            }
            ControlToEntry::Synced(version) => {
                watcher.version.set(version);
                watcher.in_force_at.set(Some(Instant::now()));
                write_message(&mut writer, &EntryToControl::InForce(version)).await?;
            }
            ControlToEntry::ClaimAnswer { .. } | ControlToEntry::Minted { .. } => {}
        }
    }
}

/// Writes node `bench{node}` of the tree through a control process, until no other change is newer.
async fn change_node(
    client: &HttpClient,
    admin: SocketAddr,
    node: u32,
    number: u32,
) -> Result<Object, Box<dyn std::error::Error>> {
    let path = format!("/v1/objects/node/bench{node}");
    let authorized = |method: Method, body: String| {
        let mut call = request_to(method, &path, Bytes::from(body))?;
        if let Ok(value) = format!("Bearer {OPERATOR_KEY}").parse() {
            call.headers_mut().insert("authorization", value);
        }
        Ok::<_, InvalidPath>(call)
    };
    loop {
        let read = client
            .call(admin, authorized(Method::GET, String::new())?, Duration::from_secs(5))
            .await?;
        let body = format!("{{\"settings\":{{\"deadline_ms\":{}}}}}", 1000 + number);
        let mut call = authorized(Method::PUT, body)?;
        match read.json::<Object>() {
            Ok(current) => call.headers_mut().insert("if-match", current.version.into()),
            Err(_) => call.headers_mut().insert("if-none-match", "*".parse()?),
        };
        let reply = client.call(admin, call, Duration::from_secs(20)).await?;
        match reply.status.as_u16() {
            200 => return Ok(reply.json()?),
            // This VM has not received the last change yet.
            412 => Timer::after(Duration::from_millis(5)).await,
            _ => return Err(String::from_utf8_lossy(&reply.body).into_owned().into()),
        };
    }
}

/// Waits until every VM has a version in force; returns the time since `accepted`, in milliseconds.
async fn wait_in_force(
    watchers: &[Rc<VmWatcher>],
    version: u64,
    accepted: Instant,
) -> Result<u64, Box<dyn std::error::Error>> {
    while watchers.iter().any(|w| w.version.get() < version) {
        if accepted.elapsed() > Duration::from_secs(60) {
            let late = watchers.iter().filter(|w| w.version.get() < version).count();
            return Err(format!("{late} VMs never had version {version} in force").into());
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    let last = watchers.iter().filter_map(|w| w.in_force_at.get()).max().unwrap_or(accepted);
    Ok(last.saturating_duration_since(accepted).as_millis() as u64)
}

/// Makes concurrent changes; returns the time until all are in force everywhere, in milliseconds.
async fn burst(
    executor: &Rc<LocalExecutor<'static>>,
    client: &HttpClient,
    fleet: &Addresses,
    watchers: &[Rc<VmWatcher>],
    count: u32,
) -> Result<u64, Box<dyn std::error::Error>> {
    let started = Instant::now();
    let tasks: Vec<_> = (0..count)
        .map(|number| {
            let client = client.clone();
            let admin = fleet.control_admins[number as usize % fleet.control_admins.len()];
            let task = async move {
                change_node(&client, admin, 1 + number, number).await.map_err(|e| e.to_string())
            };
            executor.spawn(task)
        })
        .collect();
    let mut newest = 0;
    for task in tasks {
        newest = newest.max(task.await?.version);
    }
    wait_in_force(watchers, newest, started).await
}

async fn platform_calls(
    client: &HttpClient,
    fleet: &Addresses,
) -> Result<u64, Box<dyn std::error::Error>> {
    let platform = fleet.platform.ok_or("the fleet has no platform")?;
    let call = request(Method::GET, "/admin/counts", Bytes::new());
    let counts: serde_json::Value =
        client.call(platform, call, Duration::from_secs(5)).await?.json()?;
    let count = |name: &str| counts[name].as_u64().unwrap_or(0);
    Ok(count("reads") + count("writes") + count("watches"))
}
