//! How many refused callers may come back a second.

use super::LONGEST;
use sillbank_demand::{DemandRate, MAX_RANKS, clamp_rank};
use std::time::{Duration, Instant};

/// Part of the requests that are let in that is left to callers who come back at least: a shortage ends some
/// time, and a fleet that is laid out with a quarter to spare then has that much room.
const RETURNING_SHARE: f64 = 0.25;
/// Longest time between two callers who come back to one VM while what the fleet lets in is not known. A VM of
/// a fleet of hundreds sees a request a second; what was let in there in the last seconds says little, and
/// nothing after an outage.
const LONGEST_SPACING: Duration = Duration::from_secs(2);
/// Requests that the fleet lets in a second below which they say nothing of what fits: it has just begun, or
/// comes back after an outage.
const LEAST_LET_IN_PER_S: f64 = 1.0;
/// Most of the fleet's returns that one VM tells, in mean parts. Callers come to VMs unevenly, but the figures of
/// the fleet are a second old, and at the beginning of a crowd all VMs would take themselves for the largest.
const MOST_PARTS: f64 = 3.0;
/// Time over which the rate of requests at this VM is taken.
const RATE_TIME_S: f64 = 2.0;

/// What the fleet is asked for of one service.
#[derive(Debug, Clone, Copy)]
pub struct FleetFlow<'a> {
    /// Rates by rank.
    pub rates: &'a [DemandRate],
    /// VMs of the fleet.
    pub vms: u32,
}

/// At what pace callers of a rank come back to this VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Time between two of them.
    pub(super) spacing: Duration,
    /// Time over which the first of each VM are spread.
    pub(super) spread: Duration,
}

/// Paces of all ranks.
#[derive(Debug)]
pub(super) enum RankPaces {
    /// By what this VM lets in, a second.
    Own(f64),
    /// By what the fleet lets in.
    Fleet {
        /// Flows by rank.
        flows: Vec<RankFlow>,
        /// VMs of the fleet.
        vms: f64,
    },
}

/// Callers of one rank over the fleet.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct RankFlow {
    offered_per_s: f64,
    new_per_s: f64,
    refused_per_s: f64,
    /// Callers who may come back a second.
    fits_per_s: f64,
}

impl RankPaces {
    pub(super) fn new(fleet: Option<FleetFlow<'_>>, let_in: &Rate, now: Instant) -> Self {
        match fleet.and_then(|fleet| Some((flows(fleet.rates)?, fleet.vms))) {
            Some((flows, vms)) => Self::Fleet { flows, vms: f64::from(vms.max(1)) },
            None => Self::Own(let_in.per_s(now)),
        }
    }

    /// Whether the fleet is asked for requests of a rank.
    pub(super) fn is_asked(&self, rank: usize) -> bool {
        match self {
            Self::Own(_) => false,
            Self::Fleet { flows, .. } => flows[rank].offered_per_s > 0.0,
        }
    }

    /// Pace of a rank at a VM that has refused `refused_per_s` of it lately.
    pub(super) fn pace(&self, rank: usize, refused_per_s: f64) -> Pace {
        match self {
            Self::Own(let_in_per_s) => Pace {
                spacing: spacing(let_in_per_s * RETURNING_SHARE, LONGEST_SPACING),
                spread: Duration::ZERO,
            },
            Self::Fleet { flows, vms } => flows[rank].pace(*vms, refused_per_s),
        }
    }
}

impl RankFlow {
    fn pace(self, vms: f64, own_refused_per_s: f64) -> Pace {
        let spacing = spacing(self.fits_per_s * self.part(vms, own_refused_per_s), LONGEST);
        // Where fewer fit than are refused, the first callers of all VMs alone are too many.
        let too_many = match self.refused_per_s > self.fits_per_s {
            true => 1.0 - self.fits_per_s / self.refused_per_s,
            false => 0.0,
        };
        Pace { spacing, spread: spacing.mul_f64(too_many) }
    }

    /// This VM's part of the fleet's refusals. Its own rate is of few requests, so it is taken together with the
    /// mean of all VMs, which counts like one request.
    fn part(self, vms: f64, own_refused_per_s: f64) -> f64 {
        let mean_per_s = self.refused_per_s / vms;
        if mean_per_s <= 0.0 {
            return 1.0 / vms;
        }
        let seen = own_refused_per_s * RATE_TIME_S;
        let own_per_s = (seen + 1.0) / (RATE_TIME_S + 1.0 / mean_per_s);
        (own_per_s / self.refused_per_s).min(MOST_PARTS / vms)
    }
}

/// What fits of each rank. The urgent go first: room is what is let in beside new callers of the same and of
/// more urgent ranks, and beside more urgent ones who come back. `None` if too little is let in to say.
fn flows(rates: &[DemandRate]) -> Option<Vec<RankFlow>> {
    let let_in: f64 = rates.iter().map(|rate| rate.admitted_per_s).sum();
    if let_in.is_nan() || let_in < LEAST_LET_IN_PER_S {
        return None;
    }
    let mut flows = vec![RankFlow::default(); MAX_RANKS];
    for rate in rates {
        let flow = &mut flows[usize::from(clamp_rank(rate.rank))];
        flow.offered_per_s += rate.offered_per_s;
        flow.new_per_s += rate.new_per_s();
        flow.refused_per_s += rate.refused_per_s;
    }
    let (mut new, mut back) = (0.0, 0.0);
    for flow in &mut flows {
        new += flow.new_per_s;
        let room = (let_in - new).max(let_in * RETURNING_SHARE);
        flow.fits_per_s = (room - back).max(0.0);
        back += flow.refused_per_s.min(flow.fits_per_s);
    }
    Some(flows)
}

fn spacing(per_s: f64, longest: Duration) -> Duration {
    Duration::from_secs_f64((1.0 / per_s.max(0.0)).min(longest.as_secs_f64()))
}

/// Events a second, over the last seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// Events, each with a weight that falls with its age.
    weight: f64,
    at: Instant,
}

impl Rate {
    pub(super) fn new(now: Instant) -> Self {
        Self { weight: 0.0, at: now }
    }

    pub(super) fn count(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.at = now;
    }

    pub(super) fn per_s(&self, now: Instant) -> f64 {
        self.weight_at(now) / RATE_TIME_S
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-age_s / RATE_TIME_S).exp()
    }
}
