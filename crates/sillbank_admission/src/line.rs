//! A short line of requests that wait for room.
//!
//! Room comes back in small pieces: a request ends every few tens of milliseconds. A request that finds
//! none waits for the next ones, if by the rate at which requests are let in its turn comes soon
//! enough; else it is refused at once. First come, first served.

use std::collections::VecDeque;
use std::time::Duration;

/// Place in a line; rises with each request that joins.
pub type Ticket = u64;

/// Requests of one service that wait at one VM.
#[derive(Debug, Clone, Default)]
pub struct WaitingLine {
    waiting: VecDeque<Ticket>,
    joined: Ticket,
}

impl WaitingLine {
    /// Joins the line if the last in it is likely to be let in within `longest` when requests are let in
    /// at `let_in_per_s`.
    pub fn join(&mut self, let_in_per_s: f64, longest: Duration) -> Option<Ticket> {
        let turn = (self.waiting.len() + 1) as f64;
        if turn > let_in_per_s * longest.as_secs_f64() {
            return None;
        }
        self.joined += 1;
        self.waiting.push_back(self.joined);
        Some(self.joined)
    }

    /// Whether it is a request's turn.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.waiting.front() == Some(&ticket)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Leaves the line: let in, refused, or its caller has left.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|other| *other != ticket);
    }
}
