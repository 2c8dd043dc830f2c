//! Generations in flight at this VM, and what each of them waits for.
//!
//! The status page shows for each request id the step it waits for, at which endpoint, since when,
//! and whether the connection to that endpoint still expects the reply. A generation that waits for
//! a reply which no connection expects is stuck: only its deadline can end it.

use crate::mailbox::Mailbox;
use crate::state::Entry;
use sillbank_chart::Named;
use sillbank_core::prelude::*;
use sillbank_generation::{StageIndex, State};
use sillbank_protocol::engine::Step;
use sillbank_routing::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Maximum number of generations in a status, the oldest ones. They take about 20 KB of text, and are enough to see
/// what the oldest ones wait for.
const MAX_LISTED_GENERATIONS: usize = 100;

/// The last step that a generation sent.
#[derive(Clone, Copy)]
struct LastStep {
    stage: StageIndex,
    endpoint: EndpointSlot,
    attempt: Attempt,
    start: Position,
    sent_at: Instant,
}

/// Progress of one generation, for the status.
pub(crate) struct Progress {
    request_id: String,
    started_at: Instant,
    state: Cell<State>,
    tokens: Cell<u32>,
    sent: Cell<Option<LastStep>>,
}

impl Progress {
    pub(crate) fn new(request_id: String) -> Rc<Self> {
        Rc::new(Self {
            request_id,
            started_at: Instant::now(),
            state: Cell::new(State::Running),
            tokens: Cell::new(0),
            sent: Cell::new(None),
        })
    }

    /// Records a step that is sent.
    pub(crate) fn record_step(&self, stage: StageIndex, endpoint: EndpointSlot, step: &Step) {
        self.sent.set(Some(LastStep {
            stage,
            endpoint,
            attempt: step.attempt,
            start: step.start,
            sent_at: Instant::now(),
        }));
    }

    /// Records the state and the length of the answer, in tokens, after an event.
    pub(crate) fn record_state(&self, state: State, tokens: u32) {
        self.state.set(state);
        self.tokens.set(tokens);
    }
}

/// One generation in flight.
struct InFlightGeneration {
    mailbox: Mailbox,
    progress: Rc<Progress>,
}

/// All generations of this VM that have not ended.
#[derive(Default)]
pub(crate) struct Generations {
    all: RefCell<HashMap<ExecutionId, InFlightGeneration>>,
}

impl Generations {
    /// Adds a generation in flight.
    pub(crate) fn register(&self, id: ExecutionId, mailbox: Mailbox, progress: Rc<Progress>) {
        self.all.borrow_mut().insert(id, InFlightGeneration { mailbox, progress });
    }

    /// Removes a generation that has ended.
    pub(crate) fn unregister(&self, id: ExecutionId) {
        self.all.borrow_mut().remove(&id);
    }

    /// Whether no generation is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Asks all generations to hand over.
    pub(crate) fn hand_over(&self) {
        for generation in self.all.borrow().values() {
            generation.mailbox.hand_over();
        }
    }

    /// The oldest generations and what they wait for, for `/v1/status`.
    pub(crate) fn status(&self, entry: &Entry) -> Vec<serde_json::Value> {
        let all = self.all.borrow();
        let mut oldest: Vec<(&ExecutionId, &InFlightGeneration)> = all.iter().collect();
        oldest.sort_by_key(|(_, generation)| generation.progress.started_at);
        let listed = oldest.into_iter().take(MAX_LISTED_GENERATIONS);
        listed.map(|(id, generation)| status_of(entry, *id, &generation.progress)).collect()
    }
}

fn status_of(entry: &Entry, id: ExecutionId, progress: &Progress) -> serde_json::Value {
    let state = progress.state.get();
    // A generation whose stage is being replaced waits for no reply.
    let sent = progress.sent.get().filter(|_| state == State::Running);
    let waits_for = sent.map(|sent| {
        let link = entry.link(sent.endpoint);
        let expected = link.is_some_and(|link| link.awaited.borrow().awaits(id));
        serde_json::json!({
            "stage": sent.stage,
            "endpoint": entry.table.borrow().get(sent.endpoint).spec.id,
            "attempt": sent.attempt,
            "start": sent.start,
            "sent_ms_ago": sent.sent_at.elapsed().as_millis() as u64,
            "expected": expected,
        })
    });
    serde_json::json!({
        "request": progress.request_id,
        "state": state.name(),
        "tokens": progress.tokens.get(),
        "age_ms": progress.started_at.elapsed().as_millis() as u64,
        "waits_for": waits_for,
    })
}
