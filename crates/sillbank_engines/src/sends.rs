//! What was sent to an engine and given back lately, for as long as its reports may not show it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long sends are kept. Reports are older than that only when nothing is heard of an engine.
const KEPT: Duration = Duration::from_secs(3);

/// What was sent to an engine in some time, less what was given back.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Unseen {
    /// KV cache, in tokens times layers; below 0 if more was given back.
    pub kv: f64,
    /// Requests.
    pub requests: f64,
}

impl Unseen {
    /// The same for so many VMs that send alike.
    pub fn times(self, vms: f64) -> Self {
        Self { kv: self.kv * vms, requests: self.requests * vms }
    }
}

/// Sends to an engine and their ends, newest last.
#[derive(Debug, Clone, Default)]
pub struct SendLog {
    changes: VecDeque<Change>,
}

#[derive(Debug, Clone, Copy)]
struct Change {
    at: Instant,
    change: Unseen,
}

impl SendLog {
    /// Notes that a request was sent that will use so much KV cache.
    pub fn on_send(&mut self, now: Instant, kv: f64) {
        self.note(now, Unseen { kv, requests: 1.0 });
    }

    /// Notes that a request ended that was counted with so much KV cache.
    pub fn on_end(&mut self, now: Instant, kv: f64) {
        self.note(now, Unseen { kv: -kv, requests: -1.0 });
    }

    /// What was sent since a moment, less what was given back.
    pub fn since(&self, moment: Instant) -> Unseen {
        let new = self.changes.iter().rev().take_while(|change| change.at >= moment);
        new.fold(Unseen::default(), |sum, Change { change, .. }| Unseen {
            kv: sum.kv + change.kv,
            requests: sum.requests + change.requests,
        })
    }

    fn note(&mut self, now: Instant, change: Unseen) {
        while self.changes.front().is_some_and(|change| change.at + KEPT < now) {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, change });
    }
}
