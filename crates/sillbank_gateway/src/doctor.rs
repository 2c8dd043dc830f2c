//! Asks the first endpoint of a path what a request waits for.

use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_fleet::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an engine may take to report. It takes no place in its queue, so only the way counts;
/// halls are a fraction of a millisecond apart.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

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

/// Asks endpoints again that were left alone for long enough, and uses those that answer.
pub async fn probe_lost<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        smol::Timer::after(PROBE_INTERVAL).await;
        for id in gateway.book.due_for_probe(Instant::now()) {
            let engine = gateway.knowledge.endpoints(|directory| {
                directory.get(&id).filter(|record| record.accelerator.is_some()).cloned()
            });
            if let Some(engine) = engine {
                gateway.executor.spawn(probe(gateway.clone(), engine)).detach();
            }
        }
    }
}

async fn probe<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, engine: EndpointRecord) {
    let call = gateway.engine_calls.call(engine.address, W::report_call(), REPORT_LIMIT);
    match call.await {
        Ok(_) => gateway.on_evidence(&engine.id, Evidence::Good, "it reports again"),
        Err(error) => {
            gateway.on_evidence(&engine.id, Evidence::Unreachable, &error.to_string());
        }
    }
}
