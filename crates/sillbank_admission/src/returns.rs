//! When a caller that is refused for want of room should come back.
//!
//! Nobody knows how long a shortage will last. One that has lasted for some time is likely to last as
//! long again, so callers are told to come back after that time. They come back one after the other, no
//! more a second than will fit over the fleet, and urgent ones first, so that they do not meet the crowd
//! that they left. A caller for whom that is too late learns it at once, and takes nobody's place.
//!
//! Each VM tells its own callers. What fits over the fleet follows from the fleet's demand; a VM's part
//! of it is its part of the refusals. Without figures of the fleet a VM goes by what it lets in itself.

mod pace;
mod places;

pub use pace::FleetFlow;
pub use places::CallerMark;

use pace::{Pace, RankPaces, Rate};
use places::Places;
use sillbank_demand::{MAX_RANKS, Rank, clamp_rank};
use std::time::{Duration, Instant};

/// Shortest time to come back. In that time some requests in work end, and what engines report of it
/// has reached all VMs.
const SHORTEST: Duration = Duration::from_millis(500);
/// Longest time that is told: beyond it nothing is known.
const LONGEST: Duration = Duration::from_secs(30);
/// Time without a refusal after which a shortage is over.
const OVER_AFTER: Duration = Duration::from_millis(1_000);
/// How much later than a more urgent caller one is told to come back who is refused in the same moment: by
/// then leaders have told of the room that the urgent one took.
const HEAD_START: Duration = Duration::from_millis(250);
/// How long a rank counts as in use that this VM has seen.
const RANK_IN_USE: Duration = Duration::from_secs(10);
/// Part of their time left that callers wait at most, whatever they are told: they must have time to ask
/// elsewhere. A place after that would be kept for nobody.
const MOST_WAIT_SHARE: f64 = 1.0 / 3.0;

/// A request that is refused.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Its rank.
    pub rank: Rank,
    /// Time that its caller has left.
    pub time_left: Duration,
    /// Its caller, if it can be told from others.
    pub caller: Option<CallerMark>,
}

/// Hands out times to come back for one service at one VM.
#[derive(Debug, Clone)]
pub struct ReturnTimes {
    phase: f64,
    let_in: Rate,
    queues: [Queue; MAX_RANKS],
    places: Places,
}

/// Callers of one rank who were told to come back.
#[derive(Debug, Clone, Copy)]
struct Queue {
    /// Since when this rank, or a more urgent one, has been refused.
    short_since: Instant,
    last_short: Option<Instant>,
    last_seen: Option<Instant>,
    /// When the last of them comes back.
    last_place: Instant,
    refused: Rate,
}

impl ReturnTimes {
    /// No shortage, and nothing let in yet. `phase`, from 0 to 1, is drawn by each VM: the first callers that
    /// the VMs of a fleet refuse come back spread by it.
    pub fn new(now: Instant, phase: f64) -> Self {
        Self {
            phase: if phase.is_finite() { phase.clamp(0.0, 1.0) } else { 0.0 },
            let_in: Rate::new(now),
            queues: [Queue::new(now); MAX_RANKS],
            places: Places::default(),
        }
    }

    /// A request was let in.
    pub fn on_let_in(&mut self, now: Instant, rank: Rank) {
        self.let_in.count(now);
        self.queues[index(rank)].last_seen = Some(now);
    }

    /// A request is refused; answers when its caller should come back. `fleet` is what the fleet is asked for,
    /// if that is believed.
    pub fn on_refused(
        &mut self,
        now: Instant,
        refusal: Refusal,
        fleet: Option<FleetFlow<'_>>,
    ) -> Duration {
        let rank = index(refusal.rank);
        self.note_shortage(now, rank);
        if let Some(told) = self.places.told(now, refusal.caller) {
            return told.saturating_duration_since(now);
        }
        let paces = RankPaces::new(fleet, &self.let_in, now);
        let place = self.next_place(now, rank, &paces);
        self.queues[rank].refused.count(now);
        let wait = place.saturating_duration_since(now);
        if wait > refusal.time_left.mul_f64(MOST_WAIT_SHARE).min(LONGEST) {
            return LONGEST;
        }
        self.queues[rank].last_place = place;
        self.places.take(now, refusal.caller, place);
        wait
    }

    /// Notes that a rank is short, and with it all that are less urgent.
    fn note_shortage(&mut self, now: Instant, rank: usize) {
        self.queues[rank].last_seen = Some(now);
        for queue in &mut self.queues[rank..] {
            queue.note_shortage(now);
        }
    }

    /// The next free place of a rank: in its own queue, and after the next of each more urgent rank.
    fn next_place(&self, now: Instant, rank: usize, paces: &RankPaces) -> Instant {
        let mut place = now;
        for (urgent, queue) in self.queues[..rank].iter().enumerate() {
            if paces.is_asked(urgent) || queue.is_in_use(now) {
                place = self.own_place(now, urgent, paces).max(place) + HEAD_START;
            }
        }
        self.own_place(now, rank, paces).max(place)
    }

    fn own_place(&self, now: Instant, rank: usize, paces: &RankPaces) -> Instant {
        let queue = &self.queues[rank];
        queue.place(now, paces.pace(rank, queue.refused.per_s(now)), self.phase)
    }
}

impl Queue {
    fn new(now: Instant) -> Self {
        Self {
            short_since: now,
            last_short: None,
            last_seen: None,
            last_place: now,
            refused: Rate::new(now),
        }
    }

    fn note_shortage(&mut self, now: Instant) {
        let goes_on = |at: Instant| now.saturating_duration_since(at) < OVER_AFTER;
        if !self.last_short.is_some_and(goes_on) {
            self.short_since = now;
        }
        self.last_short = Some(now);
    }

    /// Whether callers of this rank come to this VM.
    fn is_in_use(&self, now: Instant) -> bool {
        self.last_seen.is_some_and(|at| now.saturating_duration_since(at) < RANK_IN_USE)
    }

    fn place(&self, now: Instant, pace: Pace, phase: f64) -> Instant {
        let earliest = now + self.lasted(now).max(SHORTEST) + pace.spread.mul_f64(phase);
        (self.last_place + pace.spacing).max(earliest)
    }

    /// How long the shortage has lasted.
    fn lasted(&self, now: Instant) -> Duration {
        let goes_on = |at: Instant| now.saturating_duration_since(at) < OVER_AFTER;
        match self.last_short.is_some_and(goes_on) {
            true => now.saturating_duration_since(self.short_since),
            false => Duration::ZERO,
        }
    }
}

fn index(rank: Rank) -> usize {
    usize::from(clamp_rank(rank))
}
