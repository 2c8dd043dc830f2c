//! Deals the endpoints of a hall to chains, each of which holds the whole model.
//!
//! More than one chain is kept where memory allows it: a lost endpoint's layers are then held by
//! another chain, and paths change over in the middle.

use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// Number of a chain within its hall.
pub type ChainNumber = usize;

/// An endpoint to deal.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its share relative to the others.
    pub weight: f64,
    /// Layers it holds, if any.
    pub held: Option<LayerRange>,
}

/// Deals endpoints to `chains` chains. Those in `before` stay where they were; others that hold
/// layers go where these continue a chain, and empty ones to the chain with the least weight.
pub fn deal_chains(
    members: &[ChainMember],
    chains: usize,
    before: &BTreeMap<EndpointId, ChainNumber>,
) -> BTreeMap<EndpointId, ChainNumber> {
    let chains = chains.max(1);
    let mut dealt = BTreeMap::new();
    let mut weights = vec![0.0; chains];
    let mut ends: Vec<u16> = vec![0; chains];
    let known = |member: &&ChainMember| before.get(&member.endpoint).is_some_and(|c| *c < chains);
    for member in members.iter().filter(known) {
        let chain = before[&member.endpoint];
        weights[chain] += member.weight;
        dealt.insert(member.endpoint.clone(), chain);
    }
    let mut holders: Vec<&ChainMember> = members
        .iter()
        .filter(|member| !dealt.contains_key(&member.endpoint) && holds(member))
        .collect();
    holders.sort_by_key(|member| (start_of(member), member.endpoint.clone()));
    for member in holders {
        let start = start_of(member);
        let chain = (0..chains).min_by_key(|chain| ends[*chain].abs_diff(start)).unwrap_or(0);
        ends[chain] = member.held.map_or(0, |held| held.end);
        weights[chain] += member.weight;
        dealt.insert(member.endpoint.clone(), chain);
    }
    let mut empty: Vec<&ChainMember> =
        members.iter().filter(|member| !dealt.contains_key(&member.endpoint)).collect();
    empty.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.endpoint.cmp(&b.endpoint)));
    for member in empty {
        let lightest = (0..chains).min_by(|a, b| weights[*a].total_cmp(&weights[*b])).unwrap_or(0);
        weights[lightest] += member.weight;
        dealt.insert(member.endpoint.clone(), lightest);
    }
    dealt
}

fn holds(member: &ChainMember) -> bool {
    member.held.is_some_and(|held| !held.is_empty())
}

fn start_of(member: &ChainMember) -> u16 {
    member.held.map_or(0, |held| held.first)
}
