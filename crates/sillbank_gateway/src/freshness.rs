//! How fresh a hall's leader keeps what it passes on to other VMs.
//!
//! A configuration must be in force a given time after the store accepted it, also on a VM whose
//! leader has lost the store without noticing. Therefore leaders look for another source when half
//! of that time has passed since the last confirmation, and the VMs of a hall do so one after the
//! other from then on. The rest of the time is left for failed calls and for passing updates on.
//! The leader confirms often enough that this does not happen in normal operation, and that keys
//! stay accepted long enough when the store is lost.

use std::time::{Duration, Instant};

/// How long the leader holds a request of a follower until there is an update.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(400);
/// Interval at which a VM that relies on its leader checks whether it has to ask the store itself.
pub const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Share of the time within which a configuration must be in force for which a leader relies on one
/// confirmation. When VMs first asked 0.4 s before the end of that time, one call with a lost
/// answer made them miss it.
const MAX_STALENESS_SHARE: f64 = 0.5;
/// Time between the first requests of two VMs of a hall whose leader is stale. The store answers in
/// 4 ms, and the first VM with an answer updates the leader, which updates the others in 0.1 to 0.4
/// s.
const STAGGER_PER_VM: Duration = Duration::from_millis(10);
/// Share of the time within which a configuration must be in force over which the requests of all
/// VMs are spread at most.
const MAX_STAGGER_SHARE: f64 = 0.2;
/// Size of a hall up to which all VMs ask the store without a stagger, as no fewer calls are
/// possible.
const MAX_VMS_WITHOUT_STAGGER: u32 = 4;
/// Largest delay of a confirmation by its watch, its update and the request for that, each 50 to
/// 100 ms on VMs that wait for the processor.
const RELAY_DELAY: Duration = Duration::from_millis(300);
/// Margin by which a key is rejected before its revocation must be in force, for clock drift and
/// for the network delay from the caller.
const REVOCATION_MARGIN: Duration = Duration::from_millis(200);
/// Share of the time within which a revocation must be in force during which requests with keys
/// must still be served after the store was lost. The operators of the platform require this.
const KEY_SURVIVAL_SHARE: f64 = 0.6;
/// Largest delay of a confirmation that arrives through another hall's leader: its request, which
/// is answered with each confirmation, the pause after it, and a wait for the processor.
const OTHER_HALL_DELAY: Duration = Duration::from_millis(200);
/// Time after a restore of the store from a copy within which the operator writes the newest
/// configuration again. Until then the store may lack the revocation of a key.
pub const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// How much newer a confirmation must be than a known one to count as another one. Estimates of the
/// same confirmation that arrive through several VMs differ by network delays; if each counted, a
/// leader would reply to all its followers for each of them.
pub const MIN_CONFIRMATION_STEP: Duration = Duration::from_millis(50);
/// Shortest wait of a leader's watch, as each return is a billed call.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(200);

/// How fresh a leader keeps what it passes on, and when that is too stale for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// How long a leader's watch of the configuration waits.
    pub watch_wait: Duration,
    /// Age of a confirmation from which a leader looks for another source, and the VMs of its hall
    /// begin to.
    pub max_staleness: Duration,
    /// Longest additional time over which the VMs of a hall ask one after the other.
    max_stagger: Duration,
}

impl Freshness {
    /// Derives the bounds for a platform on which a configuration must be in force
    /// `config_in_force` after it was accepted, and the revocation of a key within
    /// `key_revocation`.
    pub fn new(config_in_force: Duration, key_revocation: Duration) -> Self {
        let max_staleness = config_in_force.mul_f64(MAX_STALENESS_SHARE);
        let key_survival = key_revocation.mul_f64(KEY_SURVIVAL_SHARE);
        let max_age_for_keys = catalog_lease_term(key_revocation).saturating_sub(key_survival);
        // A confirmation is as old as one wait when the next watch returns. Then it is passed on by
        // the leader of another hall and by that of this one, which both reply with each
        // confirmation.
        let relay_time = RELAY_DELAY + OTHER_HALL_DELAY;
        let for_wait = max_staleness.min(max_age_for_keys).saturating_sub(relay_time);
        let max_stagger = config_in_force.mul_f64(MAX_STAGGER_SHARE);
        Self { watch_wait: for_wait.max(MIN_WATCH_WAIT), max_staleness, max_stagger }
    }

    /// Age of the leader's confirmation from which a VM asks the store itself, in a hall of `vms`
    /// VMs. `stagger`, from 0 to 1, is this VM's position among them.
    pub fn max_staleness_for_member(&self, vms: u32, stagger: f64) -> Duration {
        if vms <= MAX_VMS_WITHOUT_STAGGER {
            return self.max_staleness;
        }
        let total_stagger = (STAGGER_PER_VM * vms).min(self.max_stagger);
        self.max_staleness + total_stagger.mul_f64(stagger.clamp(0.0, 1.0))
    }
}

/// Paces the watches of the configuration that a VM sends one after the other.
#[derive(Debug, Default)]
pub struct WatchPace {
    /// As of when the last answer confirmed the configuration.
    confirmed: Option<Instant>,
}

impl WatchPace {
    /// Wait of the next watch, sent at `now`. A slow store makes confirmations older, and a watch
    /// that reports a change confirms only the moment at which it was sent, so the next one waits
    /// for a shorter time. Otherwise the confirmations of all VMs would become stale at once, and each
    /// VM would call the store.
    pub fn next_wait(&self, freshness: Freshness, now: Instant) -> Duration {
        let age = self.confirmed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        freshness.watch_wait.saturating_sub(age).max(MIN_WATCH_WAIT)
    }

    /// Records the answer to a read, which confirmed the moment at which it was sent.
    pub fn on_read(&mut self, sent: Instant) -> Instant {
        self.confirmed = Some(sent);
        sent
    }

    /// Records the answer to a watch. Returns as of when it confirms the configuration.
    pub fn on_watch(
        &mut self,
        sent: Instant,
        wait: Duration,
        answered: Instant,
        reports_change: bool,
    ) -> Instant {
        let confirmed = match reports_change {
            true => sent,
            false => confirmed_by_watch(sent, wait, answered),
        };
        self.on_read(confirmed)
    }
}

/// How long a configuration may be relied on after it was confirmed.
pub fn catalog_lease_term(key_revocation: Duration) -> Duration {
    key_revocation.saturating_sub(REVOCATION_MARGIN)
}

/// Time as of which a watch without changes confirms the known configuration. The store replies
/// only after the whole wait, so it was valid at the end of it. An earlier reply only confirms the
/// moment at which the watch was sent.
pub fn confirmed_by_watch(sent: Instant, wait: Duration, answered: Instant) -> Instant {
    match answered >= sent + wait {
        true => sent + wait,
        false => sent,
    }
}
