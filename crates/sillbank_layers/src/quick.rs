//! Deals the endpoints of a hall to chains of like pace, the quickest first.
//!
//! A token passes all parts of a path in turn, so one slow part makes the whole path slow. Of endpoints
//! whose pace differs, the quick ones together make a chain that is quick as a whole; what is left makes
//! slower chains, which take over what the quick ones have no room for.

use crate::chains::ChainNumber;
use sillbank_core::prelude::*;
use std::collections::BTreeMap;

/// An endpoint to deal by its pace.
#[derive(Debug, Clone, PartialEq)]
pub struct PacedMember {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time of a layer, as a factor on that of other endpoints; more is slower.
    pub pace: f64,
    /// Layers that it may hold with room for KV cache.
    pub fits: u16,
}

/// Deals endpoints to chains, each of which holds `layers` layers with room. What is left over joins the last
/// chain; if there is no whole one, all are one chain.
pub fn deal_by_pace(members: &[PacedMember], layers: u16) -> BTreeMap<EndpointId, ChainNumber> {
    let mut ordered: Vec<&PacedMember> = members.iter().collect();
    ordered.sort_by(|a, b| {
        let by_pace = a.pace.total_cmp(&b.pace).then(b.fits.cmp(&a.fits));
        by_pace.then_with(|| a.endpoint.cmp(&b.endpoint))
    });
    let mut chains: Vec<Vec<&PacedMember>> = Vec::new();
    let mut open: Vec<&PacedMember> = Vec::new();
    let mut open_fits = 0_u32;
    for member in ordered {
        open.push(member);
        open_fits += u32::from(member.fits);
        if open_fits >= u32::from(layers) {
            chains.push(std::mem::take(&mut open));
            open_fits = 0;
        }
    }
    match chains.last_mut() {
        Some(last) => last.append(&mut open),
        None => chains.push(open),
    }
    let numbered = chains.into_iter().enumerate();
    let dealt = numbered.flat_map(|(number, chain)| {
        chain.into_iter().map(move |member| (member.endpoint.clone(), number))
    });
    dealt.collect()
}
