//! Steps that were sent over one connection to an endpoint and whose answers are awaited.
//!
//! A request has at most one step on its way at a connection. What is not awaited here is watched
//! by nobody: its answer is thrown away, and neither the loss of the endpoint nor a late answer is
//! reported to the request.

use crate::StageIndex;
use sillbank_core::prelude::*;
use sillbank_protocol::engine::{Step, StepReply};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Resends after which the time to the next does not grow further: it is then 256 times the limit.
const MAX_DOUBLINGS: u32 = 8;

/// A step whose answer is awaited, with who waits for it.
#[derive(Debug, Clone)]
pub struct AwaitedStep<W> {
    /// Stage of the request.
    pub stage: StageIndex,
    /// Who is told.
    pub waiter: W,
    /// When it was sent.
    pub sent_at: Instant,
    /// Positions that it builds.
    pub positions: u32,
    attempt: Attempt,
    start: Position,
    resends: u32,
}

impl<W> AwaitedStep<W> {
    /// Whether an answer is to this step, and not to one that was given up or answered before.
    fn is_answered_by(&self, reply: &StepReply) -> bool {
        (self.attempt, self.start) == (reply.attempt, reply.start)
    }
}

/// Steps whose answers are awaited, by the request's run they belong to.
#[derive(Debug, Clone)]
pub struct AwaitedSteps<W> {
    steps: HashMap<ExecutionId, AwaitedStep<W>>,
    prefill_positions: u32,
}

impl<W> Default for AwaitedSteps<W> {
    fn default() -> Self {
        Self { steps: HashMap::new(), prefill_positions: 0 }
    }
}

impl<W> AwaitedSteps<W> {
    /// Notes a step that is sent. It takes the place of the request's last one here.
    pub fn on_sent(&mut self, stage: StageIndex, step: &Step, waiter: W, now: Instant) {
        let id = execution_id(step.uid, step.attempt);
        let resends = self.take(id).map_or(0, |old| old.resends);
        let positions = step.inputs.len() as u32;
        self.prefill_positions += prefill_part(positions);
        let (attempt, start) = (step.attempt, step.start);
        let sent = AwaitedStep { stage, waiter, sent_at: now, positions, attempt, start, resends };
        self.steps.insert(id, sent);
    }

    /// The step that an answer belongs to, which is awaited no more.
    ///
    /// An endpoint that was late answers steps that were given up, and a step that was sent twice
    /// is answered twice. Such an answer leaves a newer step of the same request awaited: taken
    /// for that step's, it left the request with nobody who watched it, until its deadline.
    pub fn on_reply(&mut self, reply: &StepReply) -> Option<AwaitedStep<W>> {
        let id = execution_id(reply.uid, reply.attempt);
        let is_its_own = self.steps.get(&id).is_some_and(|step| step.is_answered_by(reply));
        if is_its_own { self.take(id) } else { None }
    }

    /// Takes out what is awaited for a request's run.
    pub fn take(&mut self, id: ExecutionId) -> Option<AwaitedStep<W>> {
        let step = self.steps.remove(&id)?;
        let left = self.prefill_positions.saturating_sub(prefill_part(step.positions));
        self.prefill_positions = left;
        Some(step)
    }

    /// Takes out all that is awaited, as when the endpoint is lost.
    pub fn take_all(&mut self) -> Vec<AwaitedStep<W>> {
        self.prefill_positions = 0;
        std::mem::take(&mut self.steps).into_values().collect()
    }

    /// Whether a step of this request's run is awaited.
    pub fn awaits(&self, id: ExecutionId) -> bool {
        self.steps.contains_key(&id)
    }

    /// Positions of the prefills that are awaited.
    pub fn prefill_positions(&self) -> u32 {
        self.prefill_positions
    }

    /// When the oldest awaited step was sent.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.steps.values().map(|step| step.sent_at).min()
    }

    /// Steps that are later than a limit, to be sent again; each time the limit doubles.
    pub fn take_overdue(&mut self, limit: Duration, now: Instant) -> Vec<(StageIndex, W)>
    where
        W: Clone,
    {
        let mut overdue = Vec::new();
        for step in self.steps.values_mut() {
            let late = now.saturating_duration_since(step.sent_at);
            if late > limit * 2_u32.pow(step.resends.min(MAX_DOUBLINGS)) {
                step.resends += 1;
                overdue.push((step.stage, step.waiter.clone()));
            }
        }
        overdue
    }
}

/// Positions of a step that count as prefill: a decode step has one.
fn prefill_part(positions: u32) -> u32 {
    if positions > 1 { positions } else { 0 }
}
