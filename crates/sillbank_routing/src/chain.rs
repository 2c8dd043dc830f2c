//! Choice of the chain of endpoints that covers a pipeline's layers.

use crate::endpoint::Endpoint;
use crate::table::{EndpointSlot, EndpointTable};
use sillbank_core::prelude::*;
use std::time::Instant;

/// How much a backlog adds to a cost: one more request at an engine whose batches are full brings
/// no token more, while a slower engine with room does.
const BACKLOG_WEIGHT: f64 = 4.0;

/// One stage of a chosen chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChainLink {
    /// Endpoint.
    pub endpoint: EndpointSlot,
    /// Layers it runs for this request.
    pub layers: LayerRange,
}

/// How much an endpoint costs a request; the chain with the least sum is taken.
pub trait ChainPolicy {
    /// Cost of all layers of this endpoint, in any unit that adds up along a chain.
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        slot: EndpointSlot,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64;
}

/// Least predicted finish: what is to be prefilled before and for the request, then each of its
/// tokens at the endpoint's usual time, wait and link included, with one more in the batch.
#[derive(Debug, Clone, Default)]
pub struct LeastFinish;

impl ChainPolicy for LeastFinish {
    fn cost(
        &mut self,
        endpoint: &Endpoint,
        _: EndpointSlot,
        request: &ChainRequest<'_>,
        rng: &mut fastrand::Rng,
    ) -> f64 {
        // An engine never met is assumed quick, so that it is tried and becomes known.
        let added = endpoint.added_since_report;
        let token_us = endpoint.cost.expected_us(added).unwrap_or(1000.0);
        let prefill_tokens = endpoint.prefill_outstanding + request.prefill_tokens;
        let expected =
            endpoint.cost.prefill_us(prefill_tokens) + token_us * f64::from(request.tokens.max(1));
        let backlog = 1.0 + BACKLOG_WEIGHT * endpoint.cost.backlog();
        // Up to a fifth at random keeps VMs with the same stale reports from one choice.
        expected * backlog * (1.0 + 0.2 * rng.f64())
    }
}

/// Baseline: every endpoint in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    turn: u64,
    last: Vec<u64>,
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
        if self.last.len() <= slot {
            self.last.resize(slot + 1, 0);
        }
        self.last[slot] as f64
    }
}

impl RoundRobin {
    /// Notes that these endpoints had their turn.
    pub fn took(&mut self, chain: &[ChainLink]) {
        self.turn += 1;
        let most = chain.iter().map(|link| link.endpoint as usize + 1).max().unwrap_or(0);
        if self.last.len() < most {
            self.last.resize(most, 0);
        }
        for link in chain {
            self.last[link.endpoint as usize] = self.turn;
        }
    }
}

/// Baseline: any endpoint.
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

/// Baseline: the endpoint with the fewest requests of this VM.
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

/// Any of the policies, chosen by settings, without dynamic dispatch.
#[derive(Debug, Clone)]
pub enum AnyPolicy {
    /// [`LeastFinish`]
    LeastFinish(LeastFinish),
    /// [`LeastInFlight`]
    LeastInFlight(LeastInFlight),
    /// [`RoundRobin`]
    RoundRobin(RoundRobin),
    /// [`RandomChoice`]
    Random(RandomChoice),
}

impl AnyPolicy {
    /// The policy of this name; the usual one for an unknown name.
    pub fn from_name(name: &str) -> Self {
        match name {
            "least_in_flight" => Self::LeastInFlight(LeastInFlight),
            "round_robin" => Self::RoundRobin(RoundRobin::default()),
            "random" => Self::Random(RandomChoice),
            _ => Self::LeastFinish(LeastFinish),
        }
    }

    /// Notes that a chain was taken.
    pub fn took(&mut self, chain: &[ChainLink]) {
        if let Self::RoundRobin(policy) = self {
            policy.took(chain);
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
            Self::LeastFinish(policy) => policy.cost(endpoint, slot, request, rng),
            Self::LeastInFlight(policy) => policy.cost(endpoint, slot, request, rng),
            Self::RoundRobin(policy) => policy.cost(endpoint, slot, request, rng),
            Self::Random(policy) => policy.cost(endpoint, slot, request, rng),
        }
    }
}

/// What a chain is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct ChainRequest<'a> {
    /// Pipeline.
    pub pipeline: &'a str,
    /// Layers to cover.
    pub layers: LayerRange,
    /// Positions of KV cache the request will need at each stage.
    pub kv_tokens: u32,
    /// Positions to be built before the first token.
    pub prefill_tokens: u32,
    /// Tokens still to come.
    pub tokens: u32,
    /// Endpoint that is not to be used.
    pub except: Option<EndpointSlot>,
}

/// Best way found so far to cover the layers up to a boundary.
#[derive(Debug, Clone, Copy)]
struct Reached {
    cost: f64,
    link: Option<ChainLink>,
}

/// Covers the layers with the least cost, or finds no cover.
///
/// Endpoints that are ejected are used only if there is no cover without them, so that a hall
/// never ejects itself empty. Leaving endpoints are never used.
pub fn choose_chain<P: ChainPolicy>(
    table: &EndpointTable,
    request: &ChainRequest<'_>,
    policy: &mut P,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Option<Vec<ChainLink>> {
    [false, true].into_iter().find_map(|last_resort| {
        let candidates = table.candidates(request, now, last_resort);
        cover(table, request, &candidates, policy, rng)
    })
}

fn cover<P: ChainPolicy>(
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
    let mut reached = vec![Reached { cost: f64::INFINITY, link: None }; layers.len() + 1];
    reached[0].cost = 0.0;
    for at in 0..layers.len() {
        if reached[at].cost.is_infinite() {
            continue;
        }
        let first = layers.first + at as u16;
        for ((slot, _), cost) in candidates.iter().zip(&costs) {
            let held = table.get(*slot).spec.layers;
            if held.first > first || held.end <= first {
                continue;
            }
            let end = held.end.min(layers.end);
            // An endpoint entered in the middle of its range costs its share of it.
            let part = f64::from(end - first) / held.len() as f64;
            let total = reached[at].cost + cost * part;
            let goal = &mut reached[usize::from(end - layers.first)];
            if total < goal.cost {
                let link = ChainLink { endpoint: *slot, layers: LayerRange { first, end } };
                *goal = Reached { cost: total, link: Some(link) };
            }
        }
    }
    walk_back(&reached, layers)
}

fn walk_back(reached: &[Reached], layers: LayerRange) -> Option<Vec<ChainLink>> {
    let mut chain = Vec::new();
    let mut at = layers.len();
    while at > 0 {
        let link = reached[at].link?;
        chain.push(link);
        at = usize::from(link.layers.first - layers.first);
    }
    chain.reverse();
    Some(chain)
}
