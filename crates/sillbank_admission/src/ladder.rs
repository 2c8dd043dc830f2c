//! Who is let in when not all requests fit: the more urgent first.
//!
//! The load that it answers: callers of several ranks ask for more than the engines hold, for seconds (a
//! burst) or for long (an overload). Without it each request competes for room by chance: at twice the load
//! that fits, the most urgent were served worst, as their work was larger, and a third of what the engines
//! did was for answers that came late.
//!
//! What is asked for is kept in order: callers who can still be answered in time, the most urgent first, then
//! in the same order those who came back too late for that. Of this row the part that fits is let in from the
//! top ([`crate::level`]). So the least urgent are refused first and let in last, and an answer in time is
//! never given up for one that is late already.
//!
//! The state is at each VM and small: what it was asked for lately. The part that fits follows from figures
//! that are the same at all VMs of a fleet, so they refuse the same callers without a message.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rank of an organisation or a route; 0 is the most urgent.
pub type Rank = u8;

/// How urgent a request is; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of the organisation, which goes before the route's. An organisation without one has that of the route, but
    /// none behind the middle of 0 to 9.
    pub organisation: Rank,
    /// Rank of the route.
    pub route: Rank,
}

/// A place in the row of what is asked for; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rung {
    /// Whether the request comes too late to be answered in time.
    pub is_late: bool,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// Rungs that are told apart; the work is bounded, however many ranks there are. What is less urgent than all
/// of them counts as the last.
const MAX_RUNGS: usize = 32;
/// Time over which what is asked for counts. A VM sees some requests a second, so it takes some seconds to
/// know their shares; they change more slowly than how much is asked for.
const WEIGHT_TIME_S: f64 = 4.0;
/// Weight below which a rung is forgotten: a request of some 30 s ago.
const FORGOTTEN_BELOW: f64 = 5e-4;
/// Share of a closed rung that is let in all the same: no kind of request, organisation or subject is shut out
/// for as long as an overload lasts.
const FLOOR: f64 = 0.03;

/// What is asked for of one service at one VM.
#[derive(Debug, Clone, Default)]
pub struct Ladder {
    /// Requests of each rung, each with a weight that falls with its age.
    asked: BTreeMap<Rung, f64>,
    at: Option<Instant>,
}

impl Ladder {
    /// Notes that a request of a rung asks to be let in.
    pub fn on_asked(&mut self, now: Instant, rung: Rung) {
        self.fade(now);
        *self.asked.entry(rung).or_default() += 1.0;
        while self.asked.len() > MAX_RUNGS {
            let last = self.asked.pop_last().map_or(0.0, |(_, weight)| weight);
            if let Some(mut left) = self.asked.last_entry() {
                *left.get_mut() += last;
            }
        }
    }

    /// Share of the requests of a rung that is let in if so large a share of all is; all of them if that share is no number.
    pub fn share(&self, rung: Rung, share_of_all: f64) -> f64 {
        let rung = self.counted_as(rung);
        let total: f64 = self.asked.values().sum();
        let before: f64 = self.asked.range(..rung).map(|(_, weight)| weight).sum();
        let own = self.asked.get(&rung).copied().unwrap_or(0.0);
        if share_of_all.is_nan() || share_of_all >= 1.0 || total <= 0.0 {
            return 1.0;
        }
        let left = share_of_all * total - before;
        (left / own.max(f64::MIN_POSITIVE)).clamp(FLOOR, 1.0)
    }

    /// The most urgent rung of which not all requests are let in; `None` if everybody is.
    pub fn first_held_back(&self, share_of_all: f64) -> Option<Rung> {
        let is_held_back = |rung: &&Rung| self.share(**rung, share_of_all) < 1.0;
        self.asked.keys().find(is_held_back).copied()
    }

    /// The rung under which a request counts: the last one for what is less urgent than all that are told apart.
    fn counted_as(&self, rung: Rung) -> Rung {
        let last = self.asked.last_key_value().map(|(last, _)| *last);
        last.filter(|last| self.asked.len() >= MAX_RUNGS && *last < rung).unwrap_or(rung)
    }

    fn fade(&mut self, now: Instant) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / WEIGHT_TIME_S).exp();
        self.asked.retain(|_, weight| {
            *weight *= kept;
            *weight > FORGOTTEN_BELOW
        });
        self.at = self.at.max(Some(now));
    }
}
