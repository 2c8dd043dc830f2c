//! Finds endpoints that are silent, replies that are late, and ejected endpoints that are back.

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
const SWEEP: Duration = Duration::from_millis(20);
/// Time a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How many silence limits a single reply may be late while the endpoint answers others.
const OVERDUE_FACTOR: u32 = 4;

/// Looks after endpoints.
pub(crate) struct SweepPlugin;

impl Plugin<Entry> for SweepPlugin {
    fn build(self, app: &App<Entry>) {
        app.spawn(run(app.state()));
    }
}

/// Sweeps for ever.
async fn run(entry: Rc<Entry>) {
    loop {
        Timer::after(SWEEP).await;
        let now = Instant::now();
        entry.table.borrow_mut().on_tick(now);
        let links: Vec<(EndpointSlot, Rc<EngineLink>)> =
            entry.links.borrow().iter().map(|(slot, link)| (*slot, link.clone())).collect();
        for (slot, link) in links {
            look_at(&entry, slot, &link, now);
            close_if_unused(&entry, slot, &link);
        }
        start_probes(&entry, now);
    }
}

/// Ends the connection of an endpoint that settings no longer hold once nobody uses it.
fn close_if_unused(entry: &Entry, slot: EndpointSlot, link: &EngineLink) {
    let table = entry.table.borrow();
    let endpoint = table.get(slot);
    if !endpoint.present && endpoint.requests == 0 {
        link.close();
    }
}

fn look_at(entry: &Entry, slot: EndpointSlot, link: &EngineLink, now: Instant) {
    let Some(oldest) = link.awaited.borrow().oldest_sent_at() else {
        return;
    };
    let pipeline = entry.table.borrow().get(slot).spec.pipeline.clone();
    let key = format!("pipeline/{pipeline}");
    let ceiling = Duration::from_millis(entry.tree.borrow().effective(&key).policy.silence_ms);
    let limit =
        entry.table.borrow().get(slot).cost.silence_limit(link.prefill_positions(), ceiling);
    let silent = now.saturating_duration_since(oldest.max(link.heard_at.get()));
    if silent > limit {
        lose(entry, slot, link, silent, now);
    } else {
        resend_overdue(link, limit * OVERDUE_FACTOR, now);
    }
}

fn lose(entry: &Entry, slot: EndpointSlot, link: &EngineLink, silent: Duration, now: Instant) {
    let id = {
        let mut table = entry.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        endpoint.health.on_event(now, HealthEvent::Failure);
        endpoint.spec.id.clone()
    };
    let lost = link.lose_all();
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
        // Until the probe has ended the endpoint counts as failed again, so none is doubled.
        entry.table.borrow_mut().get_mut(slot).health.on_event(now, HealthEvent::ProbeFailed);
        entry.executor.spawn(probe(entry.clone(), slot)).detach();
    }
}

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
    let wanted = endpoint.spec.layers;
    let fits = reply.json::<EngineState>().is_ok_and(|state| {
        let held = state.layers.first <= wanted.first && wanted.end <= state.layers.end;
        held && !state.loading && !state.leaving
    });
    if fits {
        endpoint.health.on_event(Instant::now(), HealthEvent::ProbeOk);
    }
}
