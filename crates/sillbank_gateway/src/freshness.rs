//! How fresh the knowledge is that a hall's leader passes on.
//!
//! A configuration must be in force a given time after the store took it, also on a VM whose leader
//! has lost the store without noticing. So a VM asks the store itself as soon as what its leader
//! confirms is older than that time less the time for an ask of its own. The leader confirms often
//! enough that this does not happen while all is well.

use std::time::Duration;

/// How long an ask waits at the leader for something new.
pub const NEWS_WAIT: Duration = Duration::from_millis(400);
/// How often a VM that is told by its leader looks whether it has to ask the store itself.
pub const NEED_POLL: Duration = Duration::from_millis(150);
/// Time for an ask of the store: it answers in 4 ms, and a VM with an eighth of a core may have to
/// wait for the processor.
const OWN_ASK: Duration = Duration::from_millis(250);
/// What a confirmation may be late by: its watch, its news and the ask for it, each some 50 ms on VMs
/// that wait for the processor.
const RELAY_DELAY: Duration = Duration::from_millis(250);
/// Shortest wait of a leader's watch. Each return is a priced call.
const LEADER_WAIT_MIN: Duration = Duration::from_millis(200);

/// How fresh a leader keeps what it passes on, and until when it is enough for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// How long a leader's watch of the configuration waits.
    pub leader_wait: Duration,
    /// Age of the leader's confirmation from which a VM asks the store itself.
    pub enough_for: Duration,
}

impl Freshness {
    /// For a platform on which a configuration must be in force this time after it was taken.
    pub fn new(config_in_force: Duration) -> Self {
        let enough_for = config_in_force.saturating_sub(NEED_POLL + OWN_ASK);
        // A confirmation dates from when its watch was sent. It is as old as one wait when the watch
        // returns, and as old as two when the next one does; then it waits to be passed on.
        let for_waits = enough_for.saturating_sub(NEWS_WAIT + RELAY_DELAY);
        Self { leader_wait: (for_waits / 2).max(LEADER_WAIT_MIN), enough_for }
    }

    /// How long a leader's next watch waits when the one before took so long beyond its wait. A slow
    /// store makes confirmations older; shorter waits make up for it.
    pub fn leader_wait_after(&self, excess: Duration) -> Duration {
        self.leader_wait.saturating_sub(excess).max(LEADER_WAIT_MIN)
    }
}
