//! Probes engines and asks what a stalled request waits for.

use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a report. A report does not wait in the engine's queue, so only the network's latency
/// counts; halls are a fraction of a millisecond apart.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a probe of a silent stream's engines. Engines answer within a few milliseconds; a VM
/// with an eighth of a core may have to wait for the processor. With 100 ms, streams that were
/// moved around a silent engine paused for 200 to 450 ms, where 250 ms is in time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Share of a stream's silence, its latest part, in which evidence of an engine (an answer, or an
/// event of another stream that passes it) makes a probe unnecessary. Older evidence may precede
/// the engine's loss: every stream that passes an engine receives data until the loss, some of them
/// later than this stream. Probing all engines at each pause lowered the total value of served
/// requests by 0.02 on a fleet of 6 VMs.
const EVIDENCE_SHARE: f64 = 0.5;

/// How often ejected engines are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Requests and memory of an engine, as it reported them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineQueue {
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests.
    pub running: u32,
    /// Used share of its KV cache, from 0 to 1.
    pub kv_share: f64,
}

impl std::fmt::Display for EngineQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { waiting, running, kv_share } = self;
        write!(f, "{waiting} waiting, {running} running, {:.0}% of its KV cache", kv_share * 100.0)
    }
}

/// What a request waits for.
#[derive(Debug, Clone, PartialEq)]
pub enum Diagnosis {
    /// The endpoint answers and the request has not stalled; holds its load, if its report can be
    /// read.
    Working(Option<EngineQueue>),
    /// This VM has lost its link to the endpoint, and no other VM could ask.
    Unknown,
    /// The endpoint does not answer; holds the reason.
    Silent(String),
    /// The request waits for another endpoint of its path.
    WaitsFor(SocketAddr),
}

/// Whether an unresponsive endpoint counts as lost for the requests that run there. An endpoint
/// that is leaving, or whose entry is gone, accepts no connections but finishes its requests; if it
/// is lost after all, their connections end.
pub fn silence_means_loss(standing: Option<Standing>) -> bool {
    standing == Some(Standing::Ready)
}

/// Asks the first endpoint of a path what a request waits for.
pub async fn diagnose<W: Wire, S>(
    gateway: &Gateway<W, S>,
    first: &str,
    address: SocketAddr,
    request_id: &str,
) -> Diagnosis {
    let call = gateway.call_engine(first, address, W::report_call(), REPORT_TIMEOUT);
    let reply = match call.await {
        Ok(reply) => reply,
        Err(error) if error.proves_nothing() => return Diagnosis::Unknown,
        Err(error) => return Diagnosis::Silent(error.to_string()),
    };
    match W::read_report(&reply.body) {
        Ok(report) => {
            let queue = EngineQueue {
                waiting: report.waiting,
                running: report.running,
                kv_share: report.kv_share,
            };
            let mut stalled = report.stalled.into_iter();
            stalled
                .find(|stalled| stalled.request_id == request_id)
                .map_or(Diagnosis::Working(Some(queue)), |stalled| {
                    Diagnosis::WaitsFor(stalled.waits_for)
                })
        }
        Err(error) => {
            tracing::warn!(endpoint = first, %error, "endpoint: A report cannot be read.");
            Diagnosis::Working(None)
        }
    }
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The engine answered.
    Answered,
    /// The connection was refused or broke.
    Refused,
    /// No answer arrived in time.
    Silent,
    /// This VM has lost its link, and no other VM could try.
    Unknown,
}

/// Selects the lost engines of a path from probes made at the same time. An engine that refused is
/// lost. A silent one is lost only if most others answered; otherwise this VM is more likely to be
/// cut off or slow.
pub fn lost_engines(probes: &[(EndpointId, Probe)]) -> Vec<(EndpointId, Probe)> {
    let answered = probes.iter().filter(|(_, probe)| *probe == Probe::Answered).count();
    let majority_answered = answered * 2 > probes.len();
    let is_lost = |probe: Probe| match probe {
        Probe::Answered | Probe::Unknown => false,
        Probe::Refused => true,
        Probe::Silent => majority_answered,
    };
    probes.iter().filter(|(_, probe)| is_lost(*probe)).cloned().collect()
}

/// Start of the time in which evidence of an engine counts, for a stream that has been silent for
/// `silent_for`.
pub fn evidence_since(now: Instant, silent_for: Duration) -> Instant {
    now.checked_sub(silent_for.mul_f64(EVIDENCE_SHARE)).unwrap_or(now)
}

/// Probes, all at once, the engines of a path for which there is no recent evidence. Returns the
/// lost ones.
pub async fn probe_path<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    path: &LayerPath,
    silent_for: Duration,
) -> Vec<(EndpointId, Probe)> {
    let since = evidence_since(Instant::now(), silent_for);
    let confirmed = gateway.stream_activity.engines_since(since);
    let mut probes: Vec<(EndpointId, Probe)> = Vec::new();
    let mut pending = Vec::new();
    for part in path.parts() {
        if confirmed.contains(&part.endpoint)
            || gateway.endpoint_tracker.answered_since(&part.endpoint, since)
        {
            probes.push((part.endpoint.clone(), Probe::Answered));
        } else {
            let call = probe_once(gateway.clone(), part.endpoint.clone(), part.address);
            pending.push((part.endpoint.clone(), gateway.executor.spawn(call)));
        }
    }
    for (endpoint, call) in pending {
        let probe = call.await;
        if probe == Probe::Answered {
            gateway.endpoint_tracker.on_answer(&endpoint, Instant::now());
        }
        probes.push((endpoint, probe));
    }
    lost_engines(&probes)
}

/// Probes one engine.
async fn probe_once<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Probe {
    let started_at = Instant::now();
    let call = gateway.call_engine(&endpoint, address, W::report_call(), PROBE_TIMEOUT);
    match call.await {
        Ok(reply) => {
            if let Ok(report) = W::read_report(&reply.body) {
                gateway.on_reported_incarnation(&endpoint, report.born_ms);
            }
            // An engine that has restarted has lost the stalled request.
            match gateway.endpoint_tracker.restarted_since(&endpoint, started_at) {
                true => Probe::Refused,
                false => Probe::Answered,
            }
        }
        Err(error) if error.proves_nothing() => Probe::Unknown,
        Err(_) if started_at.elapsed() >= PROBE_TIMEOUT => Probe::Silent,
        Err(error) => {
            tracing::debug!(endpoint = %address, %error, "endpoint: Refused a probe.");
            Probe::Refused
        }
    }
}

/// Probes ejected engines when they are due, and uses those that answer again.
pub async fn probe_ejected<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        smol::Timer::after(PROBE_INTERVAL).await;
        for id in gateway.endpoint_tracker.due_for_probe(Instant::now()) {
            let engine = gateway.platform.endpoints(|directory| {
                directory.get(&id).filter(|record| record.accelerator.is_some()).cloned()
            });
            if let Some(engine) = engine {
                gateway.executor.spawn(probe_ejected_engine(gateway.clone(), engine)).detach();
            }
        }
    }
}

/// Asks an ejected engine for its report and records the result as evidence.
async fn probe_ejected_engine<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    engine: EndpointRecord,
) {
    let started_at = Instant::now();
    let call = gateway.call_engine(&engine.id, engine.address, W::report_call(), REPORT_TIMEOUT);
    match call.await {
        Ok(_) => gateway.on_evidence(&engine.id, Evidence::Good, started_at, "it reports again"),
        Err(error) if error.proves_nothing() => {
            tracing::debug!(endpoint = engine.id, %error, "endpoint: No VM could probe it.");
        }
        Err(error) => {
            let reason = error.to_string();
            gateway.on_evidence(&engine.id, Evidence::Unreachable, started_at, &reason);
        }
    }
}
