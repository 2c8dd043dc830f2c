//! Steps sent over one connection to an endpoint whose replies are awaited.
//!
//! A request has at most one step in flight per connection. A step that is not registered here is not tracked at
//! all: its reply is dropped, and neither the loss of the endpoint nor a late reply is reported to the request.

use crate::StageIndex;
use sillbank_core::prelude::*;
use sillbank_protocol::engine::{Step, StepReply};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of resends after which the backoff stops growing, at 256 times the limit.
const MAX_DOUBLINGS: u32 = 8;

/// A step whose reply is awaited.
#[derive(Debug, Clone)]
pub struct AwaitedStep<W> {
    /// Stage that runs the step.
    pub stage: StageIndex,
    /// Receiver of the reply.
    pub waiter: W,
    /// When the step was sent.
    pub sent_at: Instant,
    /// Number of positions in the step.
    pub positions: u32,
    attempt: Attempt,
    start: Position,
    resends: u32,
}

impl<W> AwaitedStep<W> {
    /// Whether a reply belongs to this step, and not to one that was abandoned or answered before.
    fn is_answered_by(&self, reply: &StepReply) -> bool {
        (self.attempt, self.start) == (reply.attempt, reply.start)
    }
}

/// Steps whose replies are awaited, by execution.
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
    /// Registers a sent step. It replaces the previous step of the same execution.
    pub fn on_sent(&mut self, stage: StageIndex, step: &Step, waiter: W, now: Instant) {
        let id = execution_id(step.uid, step.attempt);
        let resends = self.take(id).map_or(0, |old| old.resends);
        let positions = step.inputs.len() as u32;
        self.prefill_positions += prefill_count(positions);
        let (attempt, start) = (step.attempt, step.start);
        let sent = AwaitedStep { stage, waiter, sent_at: now, positions, attempt, start, resends };
        self.steps.insert(id, sent);
    }

    /// Removes and returns the step that a reply belongs to, or returns `None` for a stale reply.
    ///
    /// A late endpoint answers steps that were abandoned, and a step that was sent twice is answered twice. Such a
    /// stale reply must not remove a newer step of the same request: the reply to the newer step would be dropped,
    /// and the request would wait untracked until its deadline.
    pub fn on_reply(&mut self, reply: &StepReply) -> Option<AwaitedStep<W>> {
        let id = execution_id(reply.uid, reply.attempt);
        let is_its_own = self.steps.get(&id).is_some_and(|step| step.is_answered_by(reply));
        if is_its_own { self.take(id) } else { None }
    }

    /// Removes and returns the awaited step of an execution.
    pub fn take(&mut self, id: ExecutionId) -> Option<AwaitedStep<W>> {
        let step = self.steps.remove(&id)?;
        let remaining = self.prefill_positions.saturating_sub(prefill_count(step.positions));
        self.prefill_positions = remaining;
        Some(step)
    }

    /// Removes and returns all awaited steps, for example when the endpoint is lost.
    pub fn take_all(&mut self) -> Vec<AwaitedStep<W>> {
        self.prefill_positions = 0;
        std::mem::take(&mut self.steps).into_values().collect()
    }

    /// Whether a step of this execution is awaited.
    pub fn awaits(&self, id: ExecutionId) -> bool {
        self.steps.contains_key(&id)
    }

    /// Returns the number of positions of the awaited prefills.
    pub fn prefill_positions(&self) -> u32 {
        self.prefill_positions
    }

    /// Returns when the oldest awaited step was sent.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.steps.values().map(|step| step.sent_at).min()
    }

    /// Returns the steps that are overdue and must be sent again. The limit doubles with each resend of a step.
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

/// Number of positions of a step that count as prefill; a step with a single position is a decode step.
fn prefill_count(positions: u32) -> u32 {
    if positions > 1 { positions } else { 0 }
}
