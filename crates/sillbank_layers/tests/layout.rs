//! Tests of placement by pace: fast endpoints form their own chains, and a new endpoint gets the layers
//! that lower the cost most.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;

const LAYERS: u16 = 80;
const LOAD: f64 = 110.0;
const MIN_REQUESTS: f64 = 30.0;

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

/// `count` endpoints of a kind that can hold `max_layers` layers each.
fn kind(name: &str, count: usize, pace: f64, max_layers: u16) -> Vec<PacedMember> {
    let new = |number| PacedMember { endpoint: format!("{name}-{number}"), pace, max_layers };
    (0..count).map(new).collect()
}

fn members_of(assigned: &BTreeMap<EndpointId, ChainNumber>, chain: ChainNumber) -> Vec<&str> {
    assigned.iter().filter(|(_, number)| **number == chain).map(|(id, _)| id.as_str()).collect()
}

/// Requests that an accelerator can run beside 0, 1, 2 ... layers; `max_layers` fill its memory.
fn capacities(max_layers: u16, beside_one: f64) -> Vec<f64> {
    let beside = |held: u16| beside_one * f64::from(max_layers - held) / f64::from(held.max(1));
    (0..=max_layers).map(beside).collect()
}

fn fast(requests: f64) -> LayerCapacity {
    LayerCapacity { pace: 2.4, requests }
}

fn slow(requests: f64) -> LayerCapacity {
    LayerCapacity { pace: 16.0, requests }
}

fn placement() -> PlacementCost {
    PlacementCost::new(LAYERS, LOAD, [2.4, 5.3, 16.0].into_iter())
}

/// In a hall with a few accelerators that are far faster than the rest, three of them hold the model.
/// Mixed with slow ones they would make every path slow.
#[test]
fn fast_accelerators_form_their_own_chain() {
    let mut members = kind("slow", 11, 16.0, 9);
    members.extend(kind("quick", 3, 2.4, 32));
    members.extend(kind("middle", 14, 5.3, 6));

    let assigned = assign_chains_by_pace(&members, LAYERS);

    assert_eq!(members_of(&assigned, 0), ["quick-0", "quick-1", "quick-2"]);
    assert!(members_of(&assigned, 1).iter().all(|id| id.starts_with("middle")));
    assert_eq!(members_of(&assigned, 2).len(), 11);
}

/// For any paces each endpoint is in exactly one chain, and if there are several chains each of them
/// can hold all layers.
#[test]
fn every_endpoint_joins_one_chain_and_every_chain_can_hold_the_model() {
    for_fixed_seeds(400, 256, |u| {
        let mut members = Vec::new();
        for name in ["x", "y", "z"] {
            let pace = *u.choose(&[0.0, 1.0, 2.4, 16.0, f64::INFINITY, f64::NAN])?;
            members.extend(kind(name, u.int_in_range(0..=30)?, pace, u.int_in_range(0..=40)?));
        }

        let assigned = assign_chains_by_pace(&members, LAYERS);

        assert_eq!(assigned.len(), members.len());
        let chains = assigned.values().max().map_or(0, |most| most + 1);
        for chain in 0..chains {
            let of_chain = members.iter().filter(|member| assigned[&member.endpoint] == chain);
            let fits: u32 = of_chain.map(|member| u32::from(member.max_layers)).sum();
            assert!(chains == 1 || fits >= u32::from(LAYERS), "chain {chain} of {chains}: {fits}");
        }
        Ok(())
    });
}

/// A fast accelerator is replaced by a new one while slow ones hold its layers too. The new one must
/// take over the layers of the lost one, not others that have only one holder.
#[test]
fn new_fast_endpoint_gets_layers_that_only_slow_endpoints_hold() {
    let mut placement = placement();
    placement.add(range(0, 80), slow(200.0));
    placement.add(range(0, 27), fast(150.0));
    placement.add(range(54, 80), fast(150.0));

    let (layers, gain) = placement
        .best_window(2.4, &capacities(41, 300.0), MIN_REQUESTS)
        .expect("something is gained");

    assert!(layers.first <= 27 && layers.end >= 54, "{layers:?}");
    assert!(gain > 0.0);
}

/// Layers that nobody holds are worth more than a second holder for others.
#[test]
fn new_endpoint_first_gets_layers_without_holder() {
    let mut placement = placement();
    placement.add(range(0, 40), fast(150.0));
    placement.add(range(46, 80), fast(150.0));

    let (layers, _) = placement
        .best_window(16.0, &capacities(12, 700.0), MIN_REQUESTS)
        .expect("something is gained");

    assert!(layers.first <= 40 && layers.end >= 46, "{layers:?}");
}

/// No layers are assigned if less than the minimum capacity would remain beside them.
#[test]
fn endpoint_without_capacity_beside_a_layer_gets_none() {
    assert_eq!(placement().best_window(1.0, &capacities(1, 20.0), MIN_REQUESTS), None);
    assert_eq!(placement().best_window(1.0, &[], MIN_REQUESTS), None);
}

/// Two endpoints with half the capacity each cost less than a single endpoint.
#[test]
fn placement_that_survives_a_loss_costs_less() {
    let (mut single, mut double) = (placement(), placement());
    single.add(range(0, 80), fast(220.0));
    double.add(range(0, 80), fast(110.0));
    double.add(range(0, 80), fast(110.0));

    assert!(double.cost() < single.cost());
}

/// Infinite, negative and NaN figures give a range within the model and a gain within the cost.
#[test]
fn best_window_stays_in_bounds_for_any_figures() {
    for_fixed_seeds(300, 512, |u| {
        let figures = [0.0, 1.0, 2.4, 16.0, 1e9, f64::INFINITY, f64::NAN, -3.0];
        let mut placement =
            PlacementCost::new(LAYERS, *u.choose(&figures)?, [1.0, 16.0].into_iter());
        for _ in 0..u.int_in_range(0..=12)? {
            let first = u.int_in_range(0..=100)?;
            let end = first + u.int_in_range(0..=40)?;
            let capacity =
                LayerCapacity { pace: *u.choose(&figures)?, requests: *u.choose(&figures)? };
            placement.add(range(first, end), capacity);
        }
        let before = placement.cost();

        let found =
            placement.best_window(2.4, &capacities(u.int_in_range(1..=90)?, 300.0), MIN_REQUESTS);

        let Some((layers, gain)) = found else { return Ok(()) };
        assert!(layers.first < layers.end && layers.end <= LAYERS);
        let requests = capacities(90, 300.0)[0];
        assert!(gain > 0.0 && requests > 0.0);
        if before.is_finite() {
            assert!(gain <= before + 1e-6);
        }
        Ok(())
    });
}
