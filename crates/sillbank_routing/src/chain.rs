//! Choice of the chain of endpoints that covers the layers of a pipeline.

use crate::endpoint::Endpoint;
use crate::table::{EndpointSlot, EndpointTable};
use sillbank_core::prelude::*;
use std::time::Instant;

/// Weight of an engine's backlog in its cost. One more request at an engine whose batches are full adds no
/// throughput, while one at a slower engine with free capacity does.
const BACKLOG_WEIGHT: f64 = 4.0;

/// One stage of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainLink {
    /// Endpoint that runs the stage.
    pub endpoint: EndpointSlot,
    /// Layers that it runs for this request.
    pub layers: LayerRange,
}

/// Cost function for endpoints; the chain with the lowest total cost is chosen.
pub trait ChainPolicy {
    /// Returns the cost of running all layers of an endpoint, in any unit that can be summed over a chain.
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        slot: EndpointSlot,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64;
}

/// Chooses the earliest predicted completion. The prediction adds up the outstanding prefills, the prefill of
/// the request itself, and for each token the endpoint's usual time, which includes queueing and network, raised
/// by the requests that this VM added since the last report. The sum is weighted by the engine's backlog and a
/// random jitter. Its name in settings is `least_finish`.
#[derive(Debug, Clone, Default)]
pub struct EarliestFinish;

impl ChainPolicy for EarliestFinish {
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        _: EndpointSlot,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        // An engine without measurements is assumed to be fast, so that it is used and measured.
        let added = endpoint.added_since_report;
        let token_us = endpoint.cost.expected_us(added).unwrap_or(1000.0);
        let prefill_tokens = endpoint.prefill_outstanding + request.prefill_tokens;
        let expected =
            endpoint.cost.prefill_us(prefill_tokens) + token_us * f64::from(request.tokens.max(1));
        let backlog = 1.0 + BACKLOG_WEIGHT * endpoint.cost.backlog();
        // Up to 20% of jitter keeps VMs with the same stale reports from all choosing the same chain.
        expected * backlog * (1.0 + 0.2 * rng.f64())
    }
}

/// Baseline: uses the endpoints in rotation.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    round: u64,
    last_used: Vec<u64>,
}

impl ChainPolicy for RoundRobin {
    fn cost(
        &mut self,
        _: &Endpoint,
        slot: EndpointSlot,
        _: &ChainRequest<'_>,
        _: &mut fastrand::Rng,
    ) -> f64 {
        let slot = slot as usize;
        if self.last_used.len() <= slot {
            self.last_used.resize(slot + 1, 0);
        }
        self.last_used[slot] as f64
    }
}

impl RoundRobin {
    /// Records that a chain was chosen, so that its endpoints are used last in the next round.
    pub fn record_choice(&mut self, chain: &[ChainLink]) {
        self.round += 1;
        let slots = chain.iter().map(|link| link.endpoint as usize + 1).max().unwrap_or(0);
        if self.last_used.len() < slots {
            self.last_used.resize(slots, 0);
        }
        for link in chain {
            self.last_used[link.endpoint as usize] = self.round;
        }
    }
}

/// Baseline: chooses endpoints at random.
#[derive(Debug, Clone, Default)]
pub struct RandomChoice;

impl ChainPolicy for RandomChoice {
    fn cost(
        &mut self,
        _: &Endpoint,
        _: EndpointSlot,
        _: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        rng.f64()
    }
}

/// Baseline: chooses the endpoint with the fewest requests in flight from this VM.
#[derive(Debug, Clone, Default)]
pub struct LeastInFlight;

impl ChainPolicy for LeastInFlight {
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        _: EndpointSlot,
        _: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        f64::from(endpoint.requests) + 0.5 * rng.f64()
    }
}

/// One of the policies, chosen by settings, without dynamic dispatch.
#[derive(Debug, Clone)]
pub enum AnyPolicy {
    /// [`EarliestFinish`]
    EarliestFinish(EarliestFinish),
    /// [`LeastInFlight`]
    LeastInFlight(LeastInFlight),
    /// [`RoundRobin`]
    RoundRobin(RoundRobin),
    /// [`RandomChoice`]
    Random(RandomChoice),
}

impl AnyPolicy {
    /// Returns the policy of this name, or [`EarliestFinish`] for any other name.
    pub fn from_name(name: &str) -> Self {
        match name {
            "least_in_flight" => Self::LeastInFlight(LeastInFlight),
            "round_robin" => Self::RoundRobin(RoundRobin::default()),
            "random" => Self::Random(RandomChoice),
            _ => Self::EarliestFinish(EarliestFinish),
        }
    }

    /// Records that a chain was chosen.
    pub fn record_choice(&mut self, chain: &[ChainLink]) {
        if let Self::RoundRobin(policy) = self {
            policy.record_choice(chain);
        }
    }
}

impl ChainPolicy for AnyPolicy {
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        slot: EndpointSlot,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        match self {
            Self::EarliestFinish(policy) => policy.cost(endpoint, slot, request, rng),
            Self::LeastInFlight(policy) => policy.cost(endpoint, slot, request, rng),
            Self::RoundRobin(policy) => policy.cost(endpoint, slot, request, rng),
            Self::Random(policy) => policy.cost(endpoint, slot, request, rng),
        }
    }
}

/// Requirements on a chain.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequest<'a> {
    /// Pipeline to serve.
    pub pipeline: &'a str,
    /// Layers to cover.
    pub layers: LayerRange,
    /// KV cache that the request will need at each stage, in positions.
    pub kv_tokens: u32,
    /// Positions to prefill before the first token.
    pub prefill_tokens: u32,
    /// Tokens still to generate.
    pub tokens: u32,
    /// Endpoint that must not be used.
    pub excluded: Option<EndpointSlot>,
}

/// Cheapest cover found so far of the layers up to a boundary, with its last stage.
#[derive(Debug, Clone, Copy)]
struct BestCover {
    cost: f64,
    link: Option<ChainLink>,
}

/// Returns the chain of lowest cost that covers the layers of a request, or `None` if no chain does.
///
/// Ejected, disconnected and full endpoints are used only if no chain exists without them, so that a hall cannot
/// eject all of its endpoints. Leaving endpoints are never used.
pub fn choose_chain<P: ChainPolicy>(
    table: &EndpointTable,
    request: &ChainRequest<'_>,
    policy: &mut P,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Option<Vec<ChainLink>> {
    [false, true].into_iter().find_map(|last_resort| {
        let candidates = table.candidates(request, now, last_resort);
        cheapest_cover(table, request, &candidates, policy, rng)
    })
}

/// Finds the cheapest cover by dynamic programming over the layer boundaries.
fn cheapest_cover<P: ChainPolicy>(
    table: &EndpointTable,
    request: &ChainRequest<'_>,
    candidates: &[(EndpointSlot, f64)],
    policy: &mut P,
    rng: &mut fastrand::Rng,
) -> Option<Vec<ChainLink>> {
    let layers = request.layers;
    let costs: Vec<f64> = candidates
        .iter()
        .map(|(slot, share)| policy.cost(table.get(*slot), *slot, request, rng) / share)
        .collect();
    let mut best = vec![BestCover { cost: f64::INFINITY, link: None }; layers.len() + 1];
    best[0].cost = 0.0;
    for boundary in 0..layers.len() {
        if best[boundary].cost.is_infinite() {
            continue;
        }
        let first = layers.first + boundary as u16;
        for ((slot, _), cost) in candidates.iter().zip(&costs) {
            let held = table.get(*slot).spec.layers;
            if held.first > first || held.end <= first {
                continue;
            }
            let end = held.end.min(layers.end);
            // An endpoint that runs only some of its layers costs the same fraction of its full cost.
            let part = f64::from(end - first) / held.len() as f64;
            let total = best[boundary].cost + cost * part;
            let cover = &mut best[usize::from(end - layers.first)];
            if total < cover.cost {
                let link = ChainLink { endpoint: *slot, layers: LayerRange { first, end } };
                *cover = BestCover { cost: total, link: Some(link) };
            }
        }
    }
    backtrack(&best, layers)
}

fn backtrack(best: &[BestCover], layers: LayerRange) -> Option<Vec<ChainLink>> {
    let mut chain = Vec::new();
    let mut boundary = layers.len();
    while boundary > 0 {
        let link = best[boundary].link?;
        chain.push(link);
        boundary = usize::from(link.layers.first - layers.first);
    }
    chain.reverse();
    Some(chain)
}
