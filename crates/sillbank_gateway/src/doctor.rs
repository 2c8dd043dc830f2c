//! Asks the first endpoint of a path what a request waits for.

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

/// How long an engine may take to report. It takes no place in its queue, so only the way counts;
/// halls are a fraction of a millisecond apart.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// How long the engines of a path may take to report when a stream has stood still for a moment. They
/// answer within a few milliseconds; a VM with an eighth of a core may have to wait for the processor.
/// At 100 ms streams that were moved around a silent engine had pauses of 200 to 450 ms, where 250 are in time.
const PROBE_LIMIT: Duration = Duration::from_millis(60);
/// Part of the time that a stream has stood still, the latest, in which an engine of its path must have been
/// heard of, by an answer or by another stream that passes it, not to be asked. Earlier news may be older than
/// its loss: all streams that pass an engine are heard of until it is lost, some after this one.
/// Asking all engines at each pause cost 0.02 of all worth on a fleet of 6 VMs.
const EVIDENCE_PART: f64 = 0.5;

/// How often endpoints that are left alone are looked at.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Diagnosis {
    /// The endpoint answers and the request waits for nobody.
    Working,
    /// The endpoint does not answer; why.
    Silent(String),
    /// The request waits for another endpoint of its path.
    WaitsFor(SocketAddr),
}

/// Whether an endpoint that does not report is lost to a request that runs there. One that leaves, or
/// whose entry is gone, takes no connections any more but ends what it has; if it is lost after all,
/// its connection ends.
pub fn silence_means_loss(standing: Option<Standing>) -> bool {
    standing == Some(Standing::Ready)
}

/// Asks an endpoint about a request.
pub async fn diagnose<W: Wire, S>(
    gateway: &Gateway<W, S>,
    first: SocketAddr,
    request_id: &str,
) -> Diagnosis {
    let reply = match gateway.engine_calls.call(first, W::report_call(), REPORT_LIMIT).await {
        Ok(reply) => reply,
        Err(error) => return Diagnosis::Silent(error.to_string()),
    };
    match W::read_report(&reply.body) {
        Ok(report) => report
            .stalled
            .into_iter()
            .find(|stalled| stalled.request_id == request_id)
            .map_or(Diagnosis::Working, |stalled| Diagnosis::WaitsFor(stalled.waits_for)),
        Err(error) => {
            tracing::warn!(endpoint = %first, %error, "endpoint: A report cannot be read.");
            Diagnosis::Working
        }
    }
}

/// How an engine took a call for its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It answered.
    Answered,
    /// Its address refused or broke the connection.
    Refused,
    /// No answer came in time.
    Silent,
}

/// Which engines are lost by how those of a path took a call at the same moment. One that refuses is. One
/// that is silent is only if most others answered: else it is more likely that this VM is cut off or slow.
pub fn lost_by_probes(probes: &[(EndpointId, Probe)]) -> Vec<(EndpointId, Probe)> {
    let answered = probes.iter().filter(|(_, probe)| *probe == Probe::Answered).count();
    let most_answered = answered * 2 > probes.len();
    let is_lost = |probe: Probe| match probe {
        Probe::Answered => false,
        Probe::Refused => true,
        Probe::Silent => most_answered,
    };
    probes.iter().filter(|(_, probe)| is_lost(*probe)).cloned().collect()
}

/// Since when engines must have been heard of that need not be asked, for a stream that has stood still so long.
pub fn evidence_since(now: Instant, stood: Duration) -> Instant {
    now.checked_sub(stood.mul_f64(EVIDENCE_PART)).unwrap_or(now)
}

/// Asks the engines of a path that were not heard of since it stands still, all at once; answers those that are
/// lost.
pub async fn probe_path<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    path: &LayerPath,
    stood: Duration,
) -> Vec<(EndpointId, Probe)> {
    let since = evidence_since(Instant::now(), stood);
    let heard = gateway.heard.engines_since(since);
    let mut probes: Vec<(EndpointId, Probe)> = Vec::new();
    let mut asked = Vec::new();
    for part in path.parts() {
        if heard.contains(&part.endpoint)
            || gateway.endpoint_tracker.answered_since(&part.endpoint, since)
        {
            probes.push((part.endpoint.clone(), Probe::Answered));
        } else {
            let call = probe_once(gateway.clone(), part.endpoint.clone(), part.address);
            asked.push((part.endpoint.clone(), gateway.executor.spawn(call)));
        }
    }
    for (endpoint, call) in asked {
        let probe = call.await;
        if probe == Probe::Answered {
            gateway.endpoint_tracker.on_answer(&endpoint, Instant::now());
        }
        probes.push((endpoint, probe));
    }
    lost_by_probes(&probes)
}

async fn probe_once<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Probe {
    let began = Instant::now();
    match gateway.engine_calls.call(address, W::report_call(), PROBE_LIMIT).await {
        Ok(reply) => {
            if let Ok(report) = W::read_report(&reply.body) {
                gateway.on_reported_incarnation(&endpoint, report.born_ms);
            }
            // One that has started again knows nothing of what stands still.
            match gateway.endpoint_tracker.restarted_since(&endpoint, began) {
                true => Probe::Refused,
                false => Probe::Answered,
            }
        }
        Err(_) if began.elapsed() >= PROBE_LIMIT => Probe::Silent,
        Err(error) => {
            tracing::debug!(endpoint = %address, %error, "endpoint: It refused a call.");
            Probe::Refused
        }
    }
}

/// Asks endpoints again that were left alone for long enough, and uses those that answer.
pub async fn probe_lost<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        smol::Timer::after(PROBE_INTERVAL).await;
        for id in gateway.endpoint_tracker.due_for_probe(Instant::now()) {
            let engine = gateway.platform.endpoints(|directory| {
                directory.get(&id).filter(|record| record.accelerator.is_some()).cloned()
            });
            if let Some(engine) = engine {
                gateway.executor.spawn(probe(gateway.clone(), engine)).detach();
            }
        }
    }
}

async fn probe<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, engine: EndpointRecord) {
    let began = Instant::now();
    let call = gateway.engine_calls.call(engine.address, W::report_call(), REPORT_LIMIT);
    match call.await {
        Ok(_) => gateway.on_evidence(&engine.id, Evidence::Good, began, "it reports again"),
        Err(error) => {
            let reason = error.to_string();
            gateway.on_evidence(&engine.id, Evidence::Unreachable, began, &reason);
        }
    }
}
