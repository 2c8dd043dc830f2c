//! Assignment of a hall's endpoints to chains, each of which holds the whole model.
//!
//! If memory allows it there are several chains: the layers of a lost endpoint are then held by
//! another chain too, and a path can switch to that chain in the middle.

use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// Number of a chain within its hall.
pub type ChainNumber = usize;

/// An endpoint to assign to a chain.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its share of the model relative to other endpoints.
    pub weight: f64,
    /// Layers it holds, if any.
    pub held: Option<LayerRange>,
}

/// Assigns endpoints to `chains` chains.
///
/// Endpoints in `before` keep their chain. Other endpoints that hold layers join the chain that
/// their layers continue; empty endpoints join the chain with the least weight.
pub fn assign_chains(
    members: &[ChainMember],
    chains: usize,
    before: &BTreeMap<EndpointId, ChainNumber>,
) -> BTreeMap<EndpointId, ChainNumber> {
    let chains = chains.max(1);
    let mut assigned = BTreeMap::new();
    let mut weights = vec![0.0; chains];
    let mut ends: Vec<u16> = vec![0; chains];
    let known = |member: &&ChainMember| before.get(&member.endpoint).is_some_and(|c| *c < chains);
    for member in members.iter().filter(known) {
        let chain = before[&member.endpoint];
        weights[chain] += member.weight;
        assigned.insert(member.endpoint.clone(), chain);
    }
    let mut holders: Vec<&ChainMember> = members
        .iter()
        .filter(|member| !assigned.contains_key(&member.endpoint) && holds_layers(member))
        .collect();
    holders.sort_by_key(|member| (first_layer(member), member.endpoint.clone()));
    for member in holders {
        let first = first_layer(member);
        let chain = (0..chains).min_by_key(|chain| ends[*chain].abs_diff(first)).unwrap_or(0);
        ends[chain] = member.held.map_or(0, |held| held.end);
        weights[chain] += member.weight;
        assigned.insert(member.endpoint.clone(), chain);
    }
    let mut empty: Vec<&ChainMember> =
        members.iter().filter(|member| !assigned.contains_key(&member.endpoint)).collect();
    empty.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.endpoint.cmp(&b.endpoint)));
    for member in empty {
        let lightest = (0..chains).min_by(|a, b| weights[*a].total_cmp(&weights[*b])).unwrap_or(0);
        weights[lightest] += member.weight;
        assigned.insert(member.endpoint.clone(), lightest);
    }
    assigned
}

fn holds_layers(member: &ChainMember) -> bool {
    member.held.is_some_and(|held| !held.is_empty())
}

fn first_layer(member: &ChainMember) -> u16 {
    member.held.map_or(0, |held| held.first)
}
