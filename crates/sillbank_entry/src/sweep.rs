//! Detects silent endpoints and overdue replies, and probes ejected endpoints.

use crate::engine_link::EngineLink;
use crate::state::Entry;
use bytes::Bytes;
use hyper::Method;
use sillbank_generation::Event;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{EngineState, STATE_PATH};
use sillbank_routing::prelude::*;
use smol::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// A single reply is overdue after this many silence limits while the endpoint answers other steps.
const OVERDUE_FACTOR: u32 = 4;

/// Checks the health of the endpoints periodically.
pub(crate) struct SweepPlugin;

impl Plugin<Entry> for SweepPlugin {
    fn build(self, app: &App<Entry>) {
        app.spawn(run(app.state()));
    }
}

/// Sweeps at a fixed interval for as long as the process runs.
async fn run(entry: Rc<Entry>) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        let now = Instant::now();
        entry.table.borrow_mut().on_tick(now);
        let links: Vec<(EndpointSlot, Rc<EngineLink>)> =
            entry.links.borrow().iter().map(|(slot, link)| (*slot, link.clone())).collect();
        for (slot, link) in links {
            check(&entry, slot, &link, now);
            close_if_unused(&entry, slot, &link);
        }
        start_probes(&entry, now);
    }
}

/// Closes the connection to an endpoint that is no longer in the settings once no request uses it.
fn close_if_unused(entry: &Entry, slot: EndpointSlot, link: &EngineLink) {
    let table = entry.table.borrow();
    let endpoint = table.get(slot);
    if !endpoint.present && endpoint.requests == 0 {
        link.close();
    }
}

/// Checks whether an endpoint is silent or has overdue replies.
fn check(entry: &Entry, slot: EndpointSlot, link: &EngineLink, now: Instant) {
    let Some(oldest) = link.awaited.borrow().oldest_sent_at() else {
        return;
    };
    let pipeline = entry.table.borrow().get(slot).spec.pipeline.clone();
    let key = format!("pipeline/{pipeline}");
    let ceiling = Duration::from_millis(entry.tree.borrow().effective(&key).policy.silence_ms);
    let limit =
        entry.table.borrow().get(slot).cost.silence_limit(link.prefill_positions(), ceiling);
    let silent = now.saturating_duration_since(oldest.max(link.last_received_at.get()));
    if silent > limit {
        eject_silent(entry, slot, link, silent, now);
    } else {
        resend_overdue(link, limit * OVERDUE_FACTOR, now);
    }
}

/// Ejects a silent endpoint and reports its loss to every request that waits for it.
fn eject_silent(
    entry: &Entry,
    slot: EndpointSlot,
    link: &EngineLink,
    silent: Duration,
    now: Instant,
) {
    let id = {
        let mut table = entry.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        endpoint.health.on_event(now, HealthEvent::Failure);
        endpoint.spec.id.clone()
    };
    let lost = link.report_lost();
    entry.metrics.silent_endpoints.inc();
    tracing::warn!(
        "entry: Endpoint {id} was silent for {} ms; {lost} stages are replaced.",
        silent.as_millis()
    );
}

fn resend_overdue(link: &EngineLink, limit: Duration, now: Instant) {
    let overdue = link.awaited.borrow_mut().take_overdue(limit, now);
    for (stage, mailbox) in overdue {
        mailbox.push(Event::StepOverdue(stage));
    }
}

fn start_probes(entry: &Rc<Entry>, now: Instant) {
    let due = entry.table.borrow().probes_due(now);
    for slot in due {
        // Until the probe ends, count it as failed, so that no second probe is due meanwhile.
        entry.table.borrow_mut().get_mut(slot).health.on_event(now, HealthEvent::ProbeFailed);
        entry.executor.spawn(probe(entry.clone(), slot)).detach();
    }
}

/// Asks an ejected endpoint for its state. It is healthy if it holds its layers and is neither loading nor leaving.
async fn probe(entry: Rc<Entry>, slot: EndpointSlot) {
    let address = entry.table.borrow().get(slot).spec.address.parse();
    let Ok(address) = address else {
        return;
    };
    let call = request(Method::GET, STATE_PATH, Bytes::new());
    let Ok(reply) = entry.http.call(address, call, PROBE_TIMEOUT).await else {
        return;
    };
    let mut table = entry.table.borrow_mut();
    let endpoint = table.get_mut(slot);
    let assigned = endpoint.spec.layers;
    let is_healthy = reply.json::<EngineState>().is_ok_and(|state| {
        let holds_layers = state.layers.first <= assigned.first && assigned.end <= state.layers.end;
        holds_layers && !state.loading && !state.leaving
    });
    if is_healthy {
        endpoint.health.on_event(Instant::now(), HealthEvent::ProbeOk);
    }
}
