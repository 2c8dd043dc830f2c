//! Timing of a request's events as its caller saw them, for the log line at its end.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Events of one request as sent to its caller.
#[derive(Debug, Default)]
pub struct Delivery {
    first: Cell<Option<Duration>>,
    last_at: Cell<Option<Instant>>,
    longest_pause: Cell<Duration>,
    moves: Cell<u32>,
    events: Cell<u64>,
    first_at: Cell<Option<Instant>>,
}

impl Delivery {
    /// An event of the request was sent to its caller. `received_at` is when the request was
    /// received.
    pub fn on_event(&self, received_at: Instant, now: Instant) {
        self.events.set(self.events.get() + 1);
        match self.last_at.replace(Some(now)) {
            None => {
                self.first.set(Some(now.saturating_duration_since(received_at)));
                self.first_at.set(Some(now));
            }
            Some(last) => {
                let pause = now.saturating_duration_since(last);
                self.longest_pause.set(self.longest_pause.get().max(pause));
            }
        }
    }

    /// The request was moved around a lost engine.
    pub fn on_moved(&self) {
        self.moves.set(self.moves.get() + 1);
    }

    /// Time to the first event; `None` if there was none.
    pub fn first(&self) -> Option<Duration> {
        self.first.get()
    }

    /// Longest pause between two events.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }

    /// Time without an event: since the last one or, if there was none, since `received_at`.
    pub fn silent_for(&self, received_at: Instant, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_at.get().unwrap_or(received_at))
    }

    /// Number of events.
    pub fn events(&self) -> u64 {
        self.events.get()
    }

    /// Mean time between two events; `None` if there were fewer than two.
    pub fn mean_interval(&self) -> Option<Duration> {
        let intervals = u32::try_from(self.events.get().checked_sub(1)?).ok()?;
        let (first_at, last_at) = (self.first_at.get()?, self.last_at.get()?);
        last_at.saturating_duration_since(first_at).checked_div(intervals)
    }

    /// Mean time between two events without the longest pause; `None` if there were fewer than three.
    pub fn steady_interval(&self) -> Option<Duration> {
        let intervals = u32::try_from(self.events.get().checked_sub(2)?).ok()?;
        let (first_at, last_at) = (self.first_at.get()?, self.last_at.get()?);
        let total = last_at.saturating_duration_since(first_at);
        total.saturating_sub(self.longest_pause.get()).checked_div(intervals)
    }

    /// How often the request was moved.
    pub fn moves(&self) -> u32 {
        self.moves.get()
    }
}
