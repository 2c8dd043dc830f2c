//! How fresh the knowledge is that a hall's leader passes on.
//!
//! A configuration must be in force a given time after the store took it, also on a VM whose leader
//! has lost the store without noticing. So leaders look for another source when half of that time has
//! passed since the last confirmation, and the VMs of a hall one after the other from then on: what is left
//! is for calls in vain and for passing the news on. The leader confirms often enough that this does not
//! happen while all is well, and that keys are known for long enough when the store is lost.

use std::time::{Duration, Instant};

/// How long an ask waits at the leader for something new.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// How often a VM that is told by its leader looks whether it has to ask the store itself.
pub const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Part of the time within which a configuration must be in force that a leader relies on one confirmation.
/// Where VMs first asked 0.4 s before the end of that time, one call whose answer was lost made them miss it.
const ENOUGH_SHARE: f64 = 0.5;
/// Time between the first asks of two VMs of a hall whose leader tells too little. The store answers
/// in 4 ms, and the first that has an answer tells the leader, which tells the others: 0.1 to 0.4 s.
const TURN_OF_VM: Duration = Duration::from_millis(10);
/// Part of the time within which a configuration must be in force by when all of them have asked.
const TURNS_SHARE: f64 = 0.2;
/// VMs of a hall that ask the store without waiting for a turn: fewer calls than that cannot be saved.
const VMS_WITHOUT_TURNS: u32 = 4;
/// What a confirmation may be late by: its watch, its news and the ask for it, each some 50 to 100 ms on VMs
/// that wait for the processor.
const RELAY_DELAY: Duration = Duration::from_millis(300);
/// Time by which a key is given up before its revocation must be in force, for clocks that run
/// unevenly and for the way from the caller.
const REVOCATION_MARGIN: Duration = Duration::from_millis(200);
/// Part of the time within which a revocation must be in force for which requests with keys are to be
/// served after the store was lost. The platform's operators hold a VM to that.
const KEYS_OUTLAST: f64 = 0.6;
/// What a confirmation may be late by that comes by way of another hall's leader: its ask, which is answered
/// with each confirmation, the pause after it, and a wait for the processor.
const OTHER_HALL_DELAY: Duration = Duration::from_millis(200);
/// Time after a restore of the store from a copy within which the operator has written the newest configuration again. What
/// the store holds until then may lack the revocation of a key.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Shortest wait of a leader's watch. Each return is a priced call.
const LEADER_WAIT_MIN: Duration = Duration::from_millis(200);

/// How fresh a leader keeps what it passes on, and until when it is enough for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// How long a leader's watch of the configuration waits.
    pub watch_wait: Duration,
    /// Age of a confirmation from which a leader looks for another source, and the VMs of its hall begin to.
    pub max_staleness: Duration,
    /// Longest time after that in which the VMs of a hall ask one after the other.
    longest_turns: Duration,
}

impl Freshness {
    /// For a platform on which a configuration must be in force `config_in_force` after it was taken, and
    /// the revocation of a key within `key_revocation`.
    pub fn new(config_in_force: Duration, key_revocation: Duration) -> Self {
        let max_staleness = config_in_force.mul_f64(ENOUGH_SHARE);
        let keys_outlast = key_revocation.mul_f64(KEYS_OUTLAST);
        let oldest_for_keys = catalog_lease_term(key_revocation).saturating_sub(keys_outlast);
        // A confirmation is as old as one wait when the next watch returns; then it waits to be passed on
        // by the leader of another hall and by that of this one, which both answer with each confirmation.
        let for_passing_on = RELAY_DELAY + OTHER_HALL_DELAY;
        let for_wait = max_staleness.min(oldest_for_keys).saturating_sub(for_passing_on);
        let longest_turns = config_in_force.mul_f64(TURNS_SHARE);
        Self { watch_wait: for_wait.max(LEADER_WAIT_MIN), max_staleness, longest_turns }
    }

    /// Age of the leader's confirmation from which a VM of a hall asks the store itself. `turn`, from 0 to 1,
    /// says when it is this VM's turn among the `vms` of the hall.
    pub fn max_staleness_for_member(&self, vms: u32, turn: f64) -> Duration {
        if vms <= VMS_WITHOUT_TURNS {
            return self.max_staleness;
        }
        let turns = (TURN_OF_VM * vms).min(self.longest_turns);
        self.max_staleness + turns.mul_f64(turn.clamp(0.0, 1.0))
    }

    /// How long a leader's next watch waits when the one before took so long beyond its wait. A slow
    /// store makes confirmations older; shorter waits make up for it.
    pub fn watch_wait_after(&self, excess: Duration) -> Duration {
        self.watch_wait.saturating_sub(excess).max(LEADER_WAIT_MIN)
    }
}

/// For how long a configuration may be relied on after it was confirmed.
pub fn catalog_lease_term(key_revocation: Duration) -> Duration {
    key_revocation.saturating_sub(REVOCATION_MARGIN)
}

/// As of when a watch without news confirms what is known: the store answers nothing before the whole
/// wait is over, so it held at the end of it. An answer that came sooner tells only of the moment at
/// which the watch was sent.
pub fn confirmed_by_watch(sent: Instant, wait: Duration, answered: Instant) -> Instant {
    match answered >= sent + wait {
        true => sent + wait,
        false => sent,
    }
}
