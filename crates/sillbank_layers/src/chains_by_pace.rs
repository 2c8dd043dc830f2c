//! Assignment of a hall's endpoints to chains of similar pace, the fastest first.
//!
//! A token passes all parts of a path in turn, so one slow part slows the whole path. If endpoints
//! differ in pace, the fast ones are put into chains of their own; the others form slower chains,
//! which serve the requests that the fast chains have no capacity for.

use crate::chains::ChainNumber;
use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// An endpoint to assign to a chain by its pace.
#[derive(Debug, Clone, PartialEq)]
pub struct PacedMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time per layer relative to other endpoints; higher is slower.
    pub pace: f64,
    /// Layers it can hold with enough memory left for the KV cache.
    pub max_layers: u16,
}

/// Assigns endpoints to chains that each can hold `layers` layers.
///
/// Endpoints that are left over join the last chain; if no chain is complete, all endpoints form one.
pub fn assign_chains_by_pace(
    members: &[PacedMember],
    layers: u16,
) -> BTreeMap<EndpointId, ChainNumber> {
    let mut ordered: Vec<&PacedMember> = members.iter().collect();
    ordered.sort_by(|a, b| {
        let by_pace = a.pace.total_cmp(&b.pace).then(b.max_layers.cmp(&a.max_layers));
        by_pace.then_with(|| a.endpoint.cmp(&b.endpoint))
    });
    let mut chains: Vec<Vec<&PacedMember>> = Vec::new();
    let mut incomplete: Vec<&PacedMember> = Vec::new();
    let mut incomplete_layers = 0_u32;
    for member in ordered {
        incomplete.push(member);
        incomplete_layers += u32::from(member.max_layers);
        if incomplete_layers >= u32::from(layers) {
            chains.push(std::mem::take(&mut incomplete));
            incomplete_layers = 0;
        }
    }
    match chains.last_mut() {
        Some(last) => last.append(&mut incomplete),
        None => chains.push(incomplete),
    }
    let numbered = chains.into_iter().enumerate();
    let assigned = numbered.flat_map(|(number, chain)| {
        chain.into_iter().map(move |member| (member.endpoint.clone(), number))
    });
    assigned.collect()
}
