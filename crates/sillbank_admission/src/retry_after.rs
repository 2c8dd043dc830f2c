//! Schedules when callers that are refused for lack of capacity should retry.
//!
//! The duration of a shortage is unknown. One that has lasted for some time is likely to last as
//! long again, so callers are told to retry after that time. Retries are spaced, urgent ones first, so
//! that no more arrive per second than the fleet has capacity for: if all callers returned together, they
//! would be refused again. A caller for whom the retry would be too late learns it at once and takes no
//! slot.
//!
//! Each VM schedules its own callers. The capacity for retries over the fleet follows from the fleet's demand;
//! a VM's part of it is its part of the refusals. Without figures of the fleet a VM uses its own admissions.

mod pacing;
mod reservations;

pub use pacing::FleetRates;
pub use reservations::CallerId;

use pacing::{Pace, RankPaces, Rate};
use reservations::Reservations;
use sillbank_demand::{MAX_RANKS, Rank, clamp_rank};
use std::time::{Duration, Instant};

/// Shortest time to a retry. Within it some requests in flight end, and the engines' reports of that
/// have reached all VMs.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time to a retry; nothing is known beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time without a refusal after which a shortage is over.
const SHORTAGE_END_AFTER: Duration = Duration::from_millis(1_000);
/// Delay of a caller behind a more urgent one that is refused at the same moment: by then leaders have
/// reported the capacity that the urgent one took.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Time for which a rank counts as in use after this VM has seen it.
const RANK_RETENTION: Duration = Duration::from_secs(10);
/// Fraction of their time left that callers wait at most, whatever they are told: they need time to ask
/// elsewhere. A later slot would stay unused.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// A request that is refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest {
    /// Rank of the request.
    pub rank: Rank,
    /// Time that its caller has left.
    pub time_left: Duration,
    /// Its caller, if it can be identified.
    pub caller: Option<CallerId>,
}

/// Schedules the retries for one service at one VM.
#[derive(Debug, Clone)]
pub struct RetryScheduler {
    phase: f64,
    admitted: Rate,
    queues: [Queue; MAX_RANKS],
    reservations: Reservations,
}

/// Scheduled retries of one rank.
#[derive(Debug, Clone, Copy)]
struct Queue {
    /// Start of the time in which this rank, or a more urgent one, has been refused.
    shortage_since: Instant,
    last_shortage: Option<Instant>,
    last_seen: Option<Instant>,
    /// Time of the last scheduled retry.
    last_slot: Instant,
    refused: Rate,
}

impl RetryScheduler {
    /// Creates a scheduler without a shortage and without admissions. Each VM draws its own `phase`, from 0 to 1;
    /// the first retries that the VMs of a fleet schedule are spread by it.
    pub fn new(now: Instant, phase: f64) -> Self {
        Self {
            phase: if phase.is_finite() { phase.clamp(0.0, 1.0) } else { 0.0 },
            admitted: Rate::new(now),
            queues: [Queue::new(now); MAX_RANKS],
            reservations: Reservations::default(),
        }
    }

    /// Records an admitted request.
    pub fn record_admitted(&mut self, now: Instant, rank: Rank) {
        self.admitted.record(now);
        self.queues[index(rank)].last_seen = Some(now);
    }

    /// Records a refused request and returns the time after which its caller should retry. `fleet` holds the demand
    /// of the fleet, if it is known.
    pub fn schedule_retry(
        &mut self,
        now: Instant,
        request: RefusedRequest,
        fleet: Option<FleetRates<'_>>,
    ) -> Duration {
        let rank = index(request.rank);
        self.record_shortage(now, rank);
        if let Some(reserved) = self.reservations.last_if_full(now, request.caller) {
            return reserved.saturating_duration_since(now);
        }
        let paces = RankPaces::new(fleet, &self.admitted, now);
        let slot = self.next_slot(now, rank, &paces);
        self.queues[rank].refused.record(now);
        let wait = slot.saturating_duration_since(now);
        if wait > request.time_left.mul_f64(MAX_WAIT_FRACTION).min(MAX_RETRY_AFTER) {
            return MAX_RETRY_AFTER;
        }
        self.queues[rank].last_slot = slot;
        self.reservations.reserve(now, request.caller, slot);
        wait
    }

    /// Records a shortage for a rank and for all less urgent ranks.
    fn record_shortage(&mut self, now: Instant, rank: usize) {
        self.queues[rank].last_seen = Some(now);
        for queue in &mut self.queues[rank..] {
            queue.record_shortage(now);
        }
    }

    /// The next free slot of a rank: in its own queue, and after the next slot of each more urgent rank.
    fn next_slot(&self, now: Instant, rank: usize, paces: &RankPaces) -> Instant {
        let mut slot = now;
        for (urgent, queue) in self.queues[..rank].iter().enumerate() {
            if paces.is_requested(urgent) || queue.is_in_use(now) {
                slot = self.own_slot(now, urgent, paces).max(slot) + RANK_DELAY;
            }
        }
        self.own_slot(now, rank, paces).max(slot)
    }

    fn own_slot(&self, now: Instant, rank: usize, paces: &RankPaces) -> Instant {
        let queue = &self.queues[rank];
        queue.next_slot(now, paces.pace(rank, queue.refused.per_s(now)), self.phase)
    }
}

impl Queue {
    fn new(now: Instant) -> Self {
        Self {
            shortage_since: now,
            last_shortage: None,
            last_seen: None,
            last_slot: now,
            refused: Rate::new(now),
        }
    }

    fn record_shortage(&mut self, now: Instant) {
        let is_ongoing = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_END_AFTER;
        if !self.last_shortage.is_some_and(is_ongoing) {
            self.shortage_since = now;
        }
        self.last_shortage = Some(now);
    }

    /// Whether this VM has seen callers of this rank recently.
    fn is_in_use(&self, now: Instant) -> bool {
        self.last_seen.is_some_and(|at| now.saturating_duration_since(at) < RANK_RETENTION)
    }

    fn next_slot(&self, now: Instant, pace: Pace, phase: f64) -> Instant {
        let earliest =
            now + self.shortage_duration(now).max(MIN_RETRY_AFTER) + pace.spread.mul_f64(phase);
        (self.last_slot + pace.spacing).max(earliest)
    }

    /// How long the shortage has lasted.
    fn shortage_duration(&self, now: Instant) -> Duration {
        let is_ongoing = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_END_AFTER;
        match self.last_shortage.is_some_and(is_ongoing) {
            true => now.saturating_duration_since(self.shortage_since),
            false => Duration::ZERO,
        }
    }
}

fn index(rank: Rank) -> usize {
    usize::from(clamp_rank(rank))
}
