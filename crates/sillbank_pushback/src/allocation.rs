//! Allocates the rate limit of an endpoint to the requesters that want to send.

use sillbank_core::prelude::{EndpointId, HallId, VmId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Term of a rate lease. VMs ask several times within it, so that one lost answer ends no lease; a lease of a
/// requester that falls silent is unavailable to others for no longer than this.
pub const RATE_LEASE_TERM: Duration = Duration::from_millis(1_500);

/// Smallest lease that is granted, in requests per second. A VM's permits stay open for a second; with less than one
/// permit per second, those of many VMs could be open at the same moment. A smaller limit goes to one requester as a
/// whole.
const MIN_LEASE_PER_S: f64 = 1.0;

/// Factor by which the demand of another requester must be larger to replace one that holds a lease, so that leases do
/// not alternate between requesters of similar demand.
const LEASE_RETENTION_FACTOR: f64 = 1.5;

/// Tolerance for rounding errors.
const ROUNDING: f64 = 1e-9;

/// Requester of a rate lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A VM of the leader's hall.
    Vm(VmId),
    /// The leader of another hall, on behalf of all VMs there.
    Hall(HallId),
}

/// A leased part of a limit, or the total that is allocated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLease {
    /// Requests per second.
    pub per_s: f64,
    /// End of the lease.
    pub until: Instant,
}

/// Demand and leases of one requester.
#[derive(Debug)]
struct RequesterState {
    demand_per_s: f64,
    requested_at: Instant,
    /// Leases that may still be in use. A smaller lease does not shorten those before it, because they may have been
    /// allocated further.
    leases: Vec<RateLease>,
}

impl RequesterState {
    fn in_use_per_s(&self, now: Instant) -> f64 {
        let live = self.leases.iter().filter(|lease| now < lease.until);
        live.map(|lease| lease.per_s).fold(0.0, f64::max)
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.requested_at + RATE_LEASE_TERM <= now
            && self.leases.iter().all(|lease| lease.until <= now)
    }
}

/// Rate leases that a leader has granted.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    requesters: BTreeMap<EndpointId, BTreeMap<Requester, RequesterState>>,
    /// When the leases granted by a previous allocator have ended.
    active_from: Option<Instant>,
}

impl LimitAllocator {
    /// Starts allocating, one term from now: leases of a previous allocator may be in use until then.
    pub fn start(&mut self, now: Instant) {
        self.active_from.get_or_insert(now + RATE_LEASE_TERM);
    }

    /// Stops allocating and forgets all leases.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Whether leases are granted.
    pub fn is_active(&self, now: Instant) -> bool {
        self.active_from.is_some_and(|active_from| active_from <= now)
    }

    /// Records the demand of a requester and grants it a lease on `total`; `None` while nothing is granted.
    pub fn allocate(
        &mut self,
        endpoint: &str,
        requester: &Requester,
        demand_per_s: f64,
        total: RateLease,
        now: Instant,
    ) -> Option<RateLease> {
        if !self.is_active(now) || total.until <= now {
            return None;
        }
        let states = self.requesters.entry(endpoint.to_owned()).or_default();
        states.retain(|_, state| !state.is_expired(now));
        let new = || RequesterState { demand_per_s, requested_at: now, leases: Vec::new() };
        let state = states.entry(requester.clone()).or_insert_with(new);
        (state.demand_per_s, state.requested_at) = (demand_per_s.max(0.0), now);
        let fair_per_s = fair_share(states, requester, total.per_s, now);
        let others = states.iter().filter(|(other, _)| *other != requester);
        let in_use: f64 = others.map(|(_, state)| state.in_use_per_s(now)).sum();
        let per_s = fair_per_s.min(total.per_s - in_use);
        let is_enough = per_s + ROUNDING >= MIN_LEASE_PER_S.min(total.per_s);
        let per_s = if is_enough { per_s.max(0.0) } else { 0.0 };
        let lease = RateLease { per_s, until: total.until.min(now + RATE_LEASE_TERM) };
        if let Some(state) = states.get_mut(requester) {
            state.leases.retain(|granted| now < granted.until);
            state.leases.push(lease);
        }
        Some(lease)
    }

    /// Whether a requester holds a lease that has not ended, even of a rate of zero.
    pub fn has_allocated(&self, endpoint: &str, requester: &Requester, now: Instant) -> bool {
        let state = self.requesters.get(endpoint).and_then(|states| states.get(requester));
        state.is_some_and(|state| state.leases.iter().any(|lease| now < lease.until))
    }

    /// Total demand of all requesters for an endpoint, in requests per second.
    pub fn demand_per_s(&self, endpoint: &str, now: Instant) -> f64 {
        let Some(states) = self.requesters.get(endpoint) else {
            return 0.0;
        };
        let live = states.values().filter(|state| now < state.requested_at + RATE_LEASE_TERM);
        live.map(|state| state.demand_per_s).sum()
    }

    /// Records the demand of a requester while there is no limit to allocate yet.
    pub fn record_demand(
        &mut self,
        endpoint: &str,
        requester: &Requester,
        demand_per_s: f64,
        now: Instant,
    ) {
        let states = self.requesters.entry(endpoint.to_owned()).or_default();
        let new = || RequesterState { demand_per_s, requested_at: now, leases: Vec::new() };
        let state = states.entry(requester.clone()).or_insert_with(new);
        (state.demand_per_s, state.requested_at) = (demand_per_s.max(0.0), now);
    }

    /// Removes endpoints without a limit and requesters that fell silent.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool, now: Instant) {
        self.requesters.retain(|endpoint, states| {
            states.retain(|_, state| !state.is_expired(now));
            !states.is_empty() && is_limited(endpoint)
        });
    }
}

/// Fair share of a requester if all were granted theirs at once. Only the requesters with the largest demand take part,
/// as many as the limit has minimum leases. None gets more than its demand while another's is unmet. The
/// remainder is divided evenly, because callers come and go.
fn fair_share(
    states: &BTreeMap<Requester, RequesterState>,
    requester: &Requester,
    total_per_s: f64,
    now: Instant,
) -> f64 {
    let max_leases = (total_per_s / MIN_LEASE_PER_S).floor().max(1.0) as usize;
    let weight = |state: &RequesterState| match state.in_use_per_s(now) > 0.0 {
        true => state.demand_per_s * LEASE_RETENTION_FACTOR,
        false => state.demand_per_s,
    };
    let has_demand = |(_, state): &(&Requester, &RequesterState)| {
        state.demand_per_s > 0.0 && now < state.requested_at + RATE_LEASE_TERM
    };
    let mut demanding: Vec<(&Requester, &RequesterState)> =
        states.iter().filter(has_demand).collect();
    demanding.sort_by(|one, other| weight(other.1).total_cmp(&weight(one.1)));
    demanding.truncate(max_leases);
    if !demanding.iter().any(|(other, _)| *other == requester) {
        return 0.0;
    }
    demanding.sort_by(|one, other| one.1.demand_per_s.total_cmp(&other.1.demand_per_s));
    let count = demanding.len();
    let mut left_per_s = total_per_s;
    let mut own_per_s = 0.0;
    for (index, (other, state)) in demanding.iter().enumerate() {
        let share = state.demand_per_s.min(left_per_s / (count - index) as f64);
        let share = share.max(MIN_LEASE_PER_S.min(left_per_s));
        left_per_s -= share;
        if *other == requester {
            own_per_s = share;
        }
    }
    own_per_s + left_per_s / count as f64
}
