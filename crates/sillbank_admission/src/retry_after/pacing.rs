//! Determines how many refused callers may retry per second.

use super::MAX_RETRY_AFTER;
use sillbank_demand::{DemandRate, MAX_RANKS, clamp_rank};
use std::time::{Duration, Instant};

/// Minimum fraction of the admitted requests that is left to retries: a shortage ends at some time, and a fleet
/// that is dimensioned with a quarter to spare then has that much capacity.
const MIN_RETRY_FRACTION: f64 = 0.25;
/// Longest time between two retries at one VM while the admissions of the fleet are unknown. A VM of a fleet of
/// hundreds sees about one request per second; its admissions of the last seconds say little, and nothing
/// after an outage.
const MAX_LOCAL_SPACING: Duration = Duration::from_secs(2);
/// Admitted requests per second of the fleet below which they do not show its capacity: the fleet has just started, or
/// recovers from an outage.
const MIN_ADMITTED_PER_S: f64 = 1.0;
/// Maximum part of the fleet's retries that one VM schedules, as a multiple of the mean part. Callers arrive at VMs
/// unevenly, but the figures of the fleet are a second old, and at the start of a burst every VM would consider itself
/// the largest.
const MAX_PART_TO_MEAN: f64 = 3.0;
/// Time constant of the request rates at this VM.
const RATE_TIME_S: f64 = 2.0;

/// Demand of the fleet for one service.
#[derive(Debug, Clone, Copy)]
pub struct FleetRates<'a> {
    /// Rates by rank.
    pub rates: &'a [DemandRate],
    /// VMs of the fleet.
    pub vms: u32,
}

/// Pace of the retries of a rank at this VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Time between two retries.
    pub(super) spacing: Duration,
    /// Time over which the first retries of all VMs are spread.
    pub(super) spread: Duration,
}

/// Paces of all ranks.
#[derive(Debug)]
pub(super) enum RankPaces {
    /// From the admissions per second of this VM.
    Local(f64),
    /// From the admissions of the fleet.
    Fleet {
        /// Flows by rank.
        flows: Vec<RankFlow>,
        /// VMs of the fleet.
        vms: f64,
    },
}

/// Requests of one rank over the fleet.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct RankFlow {
    offered_per_s: f64,
    new_per_s: f64,
    refused_per_s: f64,
    /// Capacity for retries, per second.
    retries_per_s: f64,
}

impl RankPaces {
    pub(super) fn new(fleet: Option<FleetRates<'_>>, admitted: &Rate, now: Instant) -> Self {
        match fleet.and_then(|fleet| Some((flows(fleet.rates)?, fleet.vms))) {
            Some((flows, vms)) => Self::Fleet { flows, vms: f64::from(vms.max(1)) },
            None => Self::Local(admitted.per_s(now)),
        }
    }

    /// Whether the fleet receives requests of a rank; false without figures of the fleet.
    pub(super) fn is_requested(&self, rank: usize) -> bool {
        match self {
            Self::Local(_) => false,
            Self::Fleet { flows, .. } => flows[rank].offered_per_s > 0.0,
        }
    }

    /// Pace of a rank at a VM that recently refused `refused_per_s` requests of it.
    pub(super) fn pace(&self, rank: usize, refused_per_s: f64) -> Pace {
        match self {
            Self::Local(admitted_per_s) => Pace {
                spacing: spacing(admitted_per_s * MIN_RETRY_FRACTION, MAX_LOCAL_SPACING),
                spread: Duration::ZERO,
            },
            Self::Fleet { flows, vms } => flows[rank].pace(*vms, refused_per_s),
        }
    }
}

impl RankFlow {
    fn pace(self, vms: f64, own_refused_per_s: f64) -> Pace {
        let spacing =
            spacing(self.retries_per_s * self.part(vms, own_refused_per_s), MAX_RETRY_AFTER);
        // If more are refused than fit, the first retries of all VMs alone are too many.
        let excess = match self.refused_per_s > self.retries_per_s {
            true => 1.0 - self.retries_per_s / self.refused_per_s,
            false => 0.0,
        };
        Pace { spacing, spread: spacing.mul_f64(excess) }
    }

    /// This VM's part of the fleet's refusals. Its own rate is based on few requests, so it is combined with the
    /// mean of all VMs, which has the weight of one request.
    fn part(self, vms: f64, own_refused_per_s: f64) -> f64 {
        let mean_per_s = self.refused_per_s / vms;
        if mean_per_s <= 0.0 {
            return 1.0 / vms;
        }
        let own_refusals = own_refused_per_s * RATE_TIME_S;
        let own_per_s = (own_refusals + 1.0) / (RATE_TIME_S + 1.0 / mean_per_s);
        (own_per_s / self.refused_per_s).min(MAX_PART_TO_MEAN / vms)
    }
}

/// Capacity for retries of each rank. The urgent go first: the capacity is what is admitted, less new requests of the
/// same and of more urgent ranks, less retries of more urgent ones. `None` if too few requests are admitted to tell.
fn flows(rates: &[DemandRate]) -> Option<Vec<RankFlow>> {
    let admitted: f64 = rates.iter().map(|rate| rate.admitted_per_s).sum();
    if admitted.is_nan() || admitted < MIN_ADMITTED_PER_S {
        return None;
    }
    let mut flows = vec![RankFlow::default(); MAX_RANKS];
    for rate in rates {
        let flow = &mut flows[usize::from(clamp_rank(rate.rank))];
        flow.offered_per_s += rate.offered_per_s;
        flow.new_per_s += rate.new_per_s();
        flow.refused_per_s += rate.refused_per_s;
    }
    let (mut new, mut retries) = (0.0, 0.0);
    for flow in &mut flows {
        new += flow.new_per_s;
        let capacity = (admitted - new).max(admitted * MIN_RETRY_FRACTION);
        flow.retries_per_s = (capacity - retries).max(0.0);
        retries += flow.refused_per_s.min(flow.retries_per_s);
    }
    Some(flows)
}

fn spacing(per_s: f64, max: Duration) -> Duration {
    Duration::from_secs_f64((1.0 / per_s.max(0.0)).min(max.as_secs_f64()))
}

/// Events per second over the last seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    /// Events, each with a weight that decays with its age.
    weight: f64,
    updated_at: Instant,
}

impl Rate {
    pub(super) fn new(now: Instant) -> Self {
        Self { weight: 0.0, updated_at: now }
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.updated_at = now;
    }

    pub(super) fn per_s(&self, now: Instant) -> f64 {
        self.weight_at(now) / RATE_TIME_S
    }

    fn weight_at(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.weight * (-age_s / RATE_TIME_S).exp()
    }
}
