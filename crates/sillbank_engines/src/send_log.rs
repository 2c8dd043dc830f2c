//! Recent sends to an engine, kept for as long as its reports may not include them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long sends are kept. A report is older than this only if no further reports of the engine arrive.
const RETENTION: Duration = Duration::from_secs(3);

/// Load that was sent to an engine since its last report, minus the load that ended.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UnreportedLoad {
    /// KV cache, in tokens times layers; negative if more was freed.
    pub kv: f64,
    /// Requests; negative if more ended.
    pub requests: f64,
}

impl UnreportedLoad {
    /// The load of `vms` VMs that each send as much.
    pub fn scaled(self, vms: f64) -> Self {
        Self { kv: self.kv * vms, requests: self.requests * vms }
    }
}

/// Requests sent to an engine and ended there, newest last.
#[derive(Debug, Clone, Default)]
pub struct SendLog {
    changes: VecDeque<Change>,
}

#[derive(Debug, Clone, Copy)]
struct Change {
    at: Instant,
    change: UnreportedLoad,
}

impl SendLog {
    /// Records the send of a request that will use `kv` of KV cache.
    pub fn on_send(&mut self, now: Instant, kv: f64) {
        self.record(now, UnreportedLoad { kv, requests: 1.0 });
    }

    /// Records the end of a request that was sent with `kv` of KV cache.
    pub fn on_end(&mut self, now: Instant, kv: f64) {
        self.record(now, UnreportedLoad { kv: -kv, requests: -1.0 });
    }

    /// Load sent since `start`, minus the load that ended since then.
    pub fn since(&self, start: Instant) -> UnreportedLoad {
        let recent = self.changes.iter().rev().take_while(|change| change.at >= start);
        recent.fold(UnreportedLoad::default(), |sum, Change { change, .. }| UnreportedLoad {
            kv: sum.kv + change.kv,
            requests: sum.requests + change.requests,
        })
    }

    fn record(&mut self, now: Instant, change: UnreportedLoad) {
        while self.changes.front().is_some_and(|change| change.at + RETENTION < now) {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, change });
    }
}
