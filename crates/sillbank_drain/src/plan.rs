//! The times of one stop, and what they decide.

use crate::demand::{Certainty, Demand};
use crate::experience::Experience;
use std::time::{Duration, Instant};

/// Time for which a load balancer still opens connections to a VM that reports that it is not ready: it asks once a
/// second and takes a VM out after two failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// Time before the kill at which the process exits, whatever is in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the exit at which requests without an answer get a reply.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Shortest `Retry-After` while no other VM of the hall serves.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time over which callers are spread that may come back at the same moment.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Whether other VMs can take what this one refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// Enough VMs of its hall serve, so that the load balancer uses these alone.
    Suffice,
    /// The load balancer uses those that stop as well, as few others serve, or none.
    Few,
}

impl Others {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Suffice => "suffice",
            Self::Few => "few",
        }
    }
}

/// What a stop forecasts for a request, and whether the request is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Whether it is taken. Otherwise it is refused at once.
    pub is_taken: bool,
    /// How sure the forecast is to be enough.
    pub certainty: Certainty,
    /// Time that is enough for the answer; `None` if nothing is known of it.
    pub time: Option<Duration>,
    /// Whether other VMs can take the request.
    pub others: Others,
}

/// What a stopping VM still has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OpenWork {
    /// Requests in progress, of its callers.
    pub requests: u64,
    /// Connections of its callers on which requests may arrive.
    pub connections: usize,
    /// Connections that it passes on for other VMs and that are in use.
    pub passed_on: usize,
}

impl OpenWork {
    /// Whether nothing is left.
    pub fn is_done(self) -> bool {
        self == Self::default()
    }
}

/// What a stopping VM does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainStep {
    /// It serves on.
    Serve,
    /// It accepts no connections any more, replies to requests without an answer, closes the connections on which no
    /// answer is under way, and exits once nothing is left.
    Finish,
}

/// The times of one stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    signalled_at: Instant,
    exits_at: Instant,
}

impl DrainPlan {
    /// Plan of a VM that was asked to stop at `signalled_at` and is killed after `grace`.
    pub fn new(signalled_at: Instant, grace: Duration) -> Self {
        Self { signalled_at, exits_at: signalled_at + grace.saturating_sub(EXIT_MARGIN) }
    }

    /// When the process exits at the latest.
    pub fn exits_at(&self) -> Instant {
        self.exits_at
    }

    /// Time since the VM was asked to stop.
    pub fn time_since_signal(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.signalled_at)
    }

    /// When requests without an answer get a reply.
    pub fn replies_at(&self) -> Instant {
        let replies_at = self.exits_at.checked_sub(REPLY_MARGIN);
        replies_at.map_or(self.signalled_at, |at| at.max(self.signalled_at))
    }

    /// Whether a request is taken that its caller waits `time_left` for.
    ///
    /// One that is cut costs its caller all the time that it ran, one that is refused a round trip if another VM takes it.
    /// Where the caller is likely to come back to this VM, a refusal costs more, and a little less certainty is enough.
    /// One of which nothing is known is refused: how likely it is to be cut is not known either. Once the load balancer has
    /// had the time to send callers elsewhere, only requests that end in time in the worst case are taken.
    pub fn admit(
        &self,
        demand: Demand,
        experience: &Experience,
        time_left: Duration,
        others: Others,
        now: Instant,
    ) -> Admission {
        let certainty = match (now >= self.promises_from(), others) {
            (true, _) => Certainty::WorstCase,
            (false, Others::Few) => Certainty::Likely,
            (false, Others::Suffice) => Certainty::NearlySure,
        };
        let time = demand.time_for(certainty, experience);
        let ends_at = time.and_then(|time| now.checked_add(time.min(time_left)));
        let is_taken = ends_at.is_some_and(|ends_at| ends_at <= self.replies_at());
        Admission { is_taken, certainty, time, others }
    }

    /// When a refused caller may come back. `spread` is a number from 0 to 1, by which callers are spread out.
    ///
    /// Where no other VM of the hall serves, a caller that comes back sooner meets this one again, and is refused for good
    /// once its tries are used up.
    pub fn retry_after(&self, other_vms: u32, spread: f64, now: Instant) -> Duration {
        if other_vms > 0 {
            return Duration::ZERO;
        }
        let rest = self.balancer_knows_at().saturating_duration_since(now);
        rest.max(MIN_RETRY_AFTER) + RETURN_SPREAD.mul_f64(spread.clamp(0.0, 1.0))
    }

    /// When the load balancer has taken the VM out.
    pub fn balancer_knows_at(&self) -> Instant {
        (self.signalled_at + BALANCER_LAG).min(self.exits_at)
    }

    /// When the VM begins to take only what ends in time in the worst case. The signal may have been noticed late, by as much
    /// as the margin before the kill allows.
    fn promises_from(&self) -> Instant {
        let promises_from = self.balancer_knows_at().checked_sub(EXIT_MARGIN);
        promises_from.map_or(self.signalled_at, |at| at.max(self.signalled_at))
    }

    /// What the VM does next.
    pub fn next(&self, work: OpenWork, now: Instant) -> DrainStep {
        let is_done = work.is_done() && now >= self.balancer_knows_at();
        match is_done || now >= self.replies_at() {
            true => DrainStep::Finish,
            false => DrainStep::Serve,
        }
    }
}
