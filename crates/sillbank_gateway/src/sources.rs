//! Decides whether a VM relies on its hall's leader or follows the store itself.
//!
//! Two tasks follow the platform, one the configuration and one the endpoints. Whenever the
//! leader's updates are not enough, at least one of them asks the store. That is the
//! configuration's task, whose calls also detect the return of the store, so a VM is never left
//! without a source. The quarantine list in the store is followed whenever the endpoints are.
//!
//! A leader that has lost the store is updated by one VM of its hall that has not, its source. The
//! source follows both for as long as the leader asks it. Otherwise each VM of the hall would
//! follow the store itself, which is 64 calls a second in a hall of 60, by the waits of the two
//! watches.

use crate::freshness::SOURCE_CHECK_INTERVAL;
use crate::hall::Hall;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a VM that starts waits for a leader before it asks the store itself. A live leader
/// replies within 300 ms, and one that starts too has the lease after about as long. This saves two
/// calls per VM.
pub const INITIAL_LEADER_WAIT: Duration = Duration::from_millis(700);

/// Interval at which a VM that starts checks whether it has a leader or has to ask the store itself.
/// Callers wait for several such checks, one after the other.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a VM checks where it gets updates from. `awaits_leader` as in [`SourceState`].
pub fn check_interval(awaits_leader: bool) -> Duration {
    match awaits_leader {
        true => STARTUP_CHECK_INTERVAL,
        false => SOURCE_CHECK_INTERVAL,
    }
}

/// What a task follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchKind {
    /// The configuration. This task also detects the return of the store on a VM whose live leader
    /// has lost the store too.
    Catalog,
    /// The endpoints. This task leaves that check to the other, as one failed call shows as much as
    /// two.
    Endpoints,
}

/// State of the sources of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceState {
    /// Whether the leader sent an update recently.
    pub leader_is_live: bool,
    /// Whether it recently reported that it holds the hall's lease, and thus reaches the store.
    pub leader_holds_lease: bool,
    /// Whether the leader's updates, or those of the upstream leader, are fresh enough.
    pub leader_is_fresh: bool,
    /// Whether this VM has a configuration.
    pub has_catalog: bool,
    /// Whether this VM recently called the store and its last call was answered. A VM that relied on
    /// its leader for some time does not know; the configuration's task finds out first, as one
    /// failed call shows as much as three.
    pub store_is_reached: bool,
    /// Whether the leader has lost the store and relies on this VM.
    pub is_source: bool,
    /// Whether this VM has just started and has not heard from a leader yet.
    pub awaits_leader: bool,
}

/// Whether a task relies on the leader and need not call the store itself.
pub fn relies_on_leader(kind: WatchKind, state: SourceState) -> bool {
    if state.awaits_leader {
        return true;
    }
    if state.is_source && state.store_is_reached {
        return false;
    }
    // Without a configuration there is nothing to confirm; one VM of the hall asks for the first
    // one.
    let awaits_first = !state.has_catalog && state.leader_holds_lease;
    match kind {
        WatchKind::Catalog => state.leader_is_fresh || awaits_first,
        WatchKind::Endpoints => {
            state.leader_is_fresh || (state.leader_is_live && !state.store_is_reached)
        }
    }
}

/// Decides whether a leader asks a VM of its hall as its source.
#[derive(Debug, Clone, Copy)]
pub struct SourceNeed {
    /// When the leader's configuration was last confirmed.
    pub confirmed: Instant,
    /// Age from which a confirmation is too old.
    pub max_staleness: Duration,
    /// Whether the leader's last call to the store was answered.
    pub store_is_reached: bool,
}

impl SourceNeed {
    /// The VM to ask: the current source while its updates are fresh, else the follower that was
    /// confirmed last. `None` if this VM does not lead or needs no source.
    pub fn choose(
        &self,
        hall: &Hall,
        now: Instant,
        current: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        hall.acting_fence.get()?;
        let is_fresh = now.saturating_duration_since(self.confirmed) < self.max_staleness;
        match (is_fresh, self.store_is_reached) {
            (true, true) => None,
            (true, false) => current,
            (false, _) => hall.freshest_follower(now, self.confirmed),
        }
    }
}
