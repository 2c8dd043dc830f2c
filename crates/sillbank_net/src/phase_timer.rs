//! Timer that ends a connection whose phase has lasted too long.

use crate::activity::{Activity, Phase};
use crate::timeouts::SharedTimeouts;
use smol::Timer;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Deadline of the phase of one connection.
///
/// The timer is set again only when it has fired or is too late, so that a request does not cost a change of timers.
#[derive(Debug)]
pub(crate) struct PhaseTimer {
    activity: Rc<Activity>,
    timeouts: SharedTimeouts,
    timer: Timer,
    fires_at: Option<Instant>,
}

impl PhaseTimer {
    pub(crate) fn new(activity: Rc<Activity>, timeouts: SharedTimeouts) -> Self {
        Self { activity, timeouts, timer: Timer::never(), fires_at: None }
    }

    /// Completes with the phase whose deadline has passed. Must be polled after the connection itself, so that it sees
    /// the bytes that have arrived.
    pub(crate) fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<Phase> {
        loop {
            let phase = self.activity.phase();
            let deadline = self.timeouts.deadline(phase);
            if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                return Poll::Ready(phase);
            }
            if let Some(deadline) = deadline
                && self.fires_at.is_none_or(|fires_at| deadline < fires_at)
            {
                self.timer.set_at(deadline);
                self.fires_at = Some(deadline);
            }
            if self.fires_at.is_none() || Pin::new(&mut self.timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.fires_at = None;
        }
    }
}
