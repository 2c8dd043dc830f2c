//! Which generations this VM drives, and what each of them waits for.
//!
//! A generation that is late is found here by its request id: the step it waits for, at which
//! endpoint, since when, and whether the connection to that endpoint still expects the answer. A
//! generation that waits for an answer which no connection expects can only end by its deadline.

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

/// Generations that a status lists at most: enough to see what the oldest wait for, and some
/// 20 KB of text.
const MAX_LISTED: usize = 100;

/// A step that was sent and not answered, as its generation sees it.
#[derive(Clone, Copy)]
struct SentStep {
    stage: StageIndex,
    endpoint: EndpointSlot,
    attempt: Attempt,
    start: Position,
    sent_at: Instant,
}

/// Where one generation stands.
pub(crate) struct Progress {
    request_id: String,
    began: Instant,
    state: Cell<State>,
    tokens: Cell<u32>,
    sent: Cell<Option<SentStep>>,
}

impl Progress {
    pub(crate) fn new(request_id: String) -> Rc<Self> {
        Rc::new(Self {
            request_id,
            began: Instant::now(),
            state: Cell::new(State::Running),
            tokens: Cell::new(0),
            sent: Cell::new(None),
        })
    }

    /// Notes a step that is sent.
    pub(crate) fn on_sent(&self, stage: StageIndex, endpoint: EndpointSlot, step: &Step) {
        self.sent.set(Some(SentStep {
            stage,
            endpoint,
            attempt: step.attempt,
            start: step.start,
            sent_at: Instant::now(),
        }));
    }

    /// Notes the state and the length of the answer after an event.
    pub(crate) fn on_event(&self, state: State, tokens: u32) {
        self.state.set(state);
        self.tokens.set(tokens);
    }
}

/// One generation in flight.
struct InFlight {
    mailbox: Mailbox,
    progress: Rc<Progress>,
}

/// All generations of this VM that have not ended.
#[derive(Default)]
pub(crate) struct Generations {
    all: RefCell<HashMap<ExecutionId, InFlight>>,
}

impl Generations {
    /// Notes a generation in flight.
    pub(crate) fn register(&self, id: ExecutionId, mailbox: Mailbox, progress: Rc<Progress>) {
        self.all.borrow_mut().insert(id, InFlight { mailbox, progress });
    }

    /// Notes that a generation has ended.
    pub(crate) fn unregister(&self, id: ExecutionId) {
        self.all.borrow_mut().remove(&id);
    }

    /// Whether none is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Asks all to hand over.
    pub(crate) fn hand_over(&self) {
        for generation in self.all.borrow().values() {
            generation.mailbox.hand_over();
        }
    }

    /// The oldest of them and what they wait for, for `/v1/status`.
    pub(crate) fn status(&self, entry: &Entry) -> Vec<serde_json::Value> {
        let all = self.all.borrow();
        let mut oldest: Vec<(&ExecutionId, &InFlight)> = all.iter().collect();
        oldest.sort_by_key(|(_, generation)| generation.progress.began);
        let listed = oldest.into_iter().take(MAX_LISTED);
        listed.map(|(id, generation)| status_of(entry, *id, &generation.progress)).collect()
    }
}

fn status_of(entry: &Entry, id: ExecutionId, progress: &Progress) -> serde_json::Value {
    let state = progress.state.get();
    // A generation whose stage is being replaced waits for no answer.
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
        "age_ms": progress.began.elapsed().as_millis() as u64,
        "waits_for": waits_for,
    })
}
