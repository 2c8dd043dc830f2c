//! Whether a VM takes what it knows from its hall's leader or follows the store itself.
//!
//! Two tasks follow, one the configuration and one the endpoints. Whenever the leader does not tell
//! enough, at least one of them asks the store: the configuration's, whose calls also show that the store
//! is back. So there is no state in which nobody follows for a VM. What the store keeps of requests that end endpoints
//! is followed whenever the endpoints are.
//!
//! A leader that has lost the store is told by one VM of its hall that has not, its source; this one then
//! follows both for as long as it is asked. Without that each VM of the hall followed for itself: 64 calls a
//! second in a hall of 60 (worked out from the waits of the two watches).

use crate::hall::Hall;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a VM that begins waits for a leader before it asks the store itself: a hall's leader that is
/// there answers within 300 ms, one that begins too has the lease after about as long. Saves two calls a VM.
pub const INITIAL_LEADER_WAIT: Duration = Duration::from_millis(700);

/// What a task follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchKind {
    /// The configuration. This task also looks for the store's return on a VM whose leader is there but
    /// has lost the store too.
    Catalog,
    /// The endpoints. This task leaves that to the other: one call that fails tells as much as two.
    Endpoints,
}

/// What a VM sees of its sources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceState {
    /// Whether the leader has been heard of lately.
    pub leader_is_live: bool,
    /// Whether it has said lately that it holds the hall's lease, and so reaches the store.
    pub leader_holds_lease: bool,
    /// Whether what it tells was confirmed lately enough.
    pub leader_is_fresh: bool,
    /// Whether this VM has a configuration.
    pub has_catalog: bool,
    /// Whether this VM's last call to the store was answered.
    pub store_is_reached: bool,
    /// Whether the leader has lost the store and relies on what this VM knows.
    pub is_source: bool,
    /// Whether this VM has just begun and has not heard of a leader yet.
    pub awaits_leader: bool,
}

/// Whether a task need not ask the store.
pub fn relies_on_leader(followed: WatchKind, view: SourceState) -> bool {
    if view.awaits_leader {
        return true;
    }
    if view.is_source && view.store_is_reached {
        return false;
    }
    // Before the first configuration there is nothing to confirm: one VM of the hall asks for it.
    let awaits_first = !view.has_catalog && view.leader_holds_lease;
    match followed {
        WatchKind::Catalog => view.leader_is_fresh || awaits_first,
        WatchKind::Endpoints => {
            view.leader_is_fresh || (view.leader_is_live && !view.store_is_reached)
        }
    }
}

/// What decides whether a leader asks a VM of its hall for what the store tells that VM.
#[derive(Debug, Clone, Copy)]
pub struct SourceNeed {
    /// When the leader's configuration was last confirmed.
    pub confirmed: Instant,
    /// Age from which that is not enough.
    pub max_staleness: Duration,
    /// Whether the leader's last call to the store was answered.
    pub store_is_reached: bool,
}

impl SourceNeed {
    /// The VM to ask: the one that was asked so far while that is enough, else the one that was confirmed last.
    /// `None` if this VM does not lead or has what it needs.
    pub fn choose(
        &self,
        hall: &Hall,
        now: Instant,
        asked_so_far: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        hall.acting_fence.get()?;
        let is_fresh = now.saturating_duration_since(self.confirmed) < self.max_staleness;
        match (is_fresh, self.store_is_reached) {
            (true, true) => None,
            (true, false) => asked_so_far,
            (false, _) => hall.freshest_follower(now, self.confirmed),
        }
    }
}
