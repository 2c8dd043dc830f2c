//! Layouts by pace: quick endpoints make quick chains, and one that comes takes the layers that gain most.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeMap;

const LAYERS: u16 = 80;
const LOAD: f64 = 110.0;
const LEAST_ROOM: f64 = 30.0;

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

/// `count` endpoints of a kind that may hold `fits` layers each.
fn kind(name: &str, count: usize, pace: f64, fits: u16) -> Vec<PacedMember> {
    let new = |number| PacedMember { endpoint: format!("{name}-{number}"), pace, fits };
    (0..count).map(new).collect()
}

fn members_of(dealt: &BTreeMap<EndpointId, ChainNumber>, chain: ChainNumber) -> Vec<&str> {
    dealt.iter().filter(|(_, at)| **at == chain).map(|(id, _)| id.as_str()).collect()
}

/// Requests for which an accelerator has room beside 0, 1, 2 ... layers: `most` layers fill its memory.
fn rooms(most: u16, room_beside_one: f64) -> Vec<f64> {
    let beside = |held: u16| room_beside_one * f64::from(most - held) / f64::from(held.max(1));
    (0..=most).map(beside).collect()
}

fn quick(room: f64) -> LayerShare {
    LayerShare { pace: 2.4, room }
}

fn slow(room: f64) -> LayerShare {
    LayerShare { pace: 16.0, room }
}

fn supply() -> Supply {
    Supply::new(LAYERS, LOAD, [2.4, 5.3, 16.0].into_iter())
}

/// The pattern: a hall with a few cards that are far quicker than the rest. Three of them hold the model; mixed
/// with slow ones they would make every path slow.
#[test]
fn the_quick_cards_of_a_hall_make_a_chain_of_their_own() {
    let mut members = kind("slow", 11, 16.0, 9);
    members.extend(kind("quick", 3, 2.4, 32));
    members.extend(kind("middle", 14, 5.3, 6));

    let dealt = deal_by_pace(&members, LAYERS);

    assert_eq!(members_of(&dealt, 0), ["quick-0", "quick-1", "quick-2"]);
    assert!(members_of(&dealt, 1).iter().all(|id| id.starts_with("middle")));
    assert_eq!(members_of(&dealt, 2).len(), 11);
}

#[test]
fn each_endpoint_is_dealt_once_and_each_chain_holds_the_model_if_any_does() {
    for_fixed_seeds(400, 256, |u| {
        let mut members = Vec::new();
        for name in ["x", "y", "z"] {
            let pace = *u.choose(&[0.0, 1.0, 2.4, 16.0, f64::INFINITY, f64::NAN])?;
            members.extend(kind(name, u.int_in_range(0..=30)?, pace, u.int_in_range(0..=40)?));
        }

        let dealt = deal_by_pace(&members, LAYERS);

        assert_eq!(dealt.len(), members.len());
        let chains = dealt.values().max().map_or(0, |most| most + 1);
        for chain in 0..chains {
            let of_chain = members.iter().filter(|member| dealt[&member.endpoint] == chain);
            let fits: u32 = of_chain.map(|member| u32::from(member.fits)).sum();
            assert!(chains == 1 || fits >= u32::from(LAYERS), "chain {chain} of {chains}: {fits}");
        }
        Ok(())
    });
}

/// The pattern: a quick card is replaced by a new one while slow ones hold its layers too. It takes up the
/// layers of the one that was lost, not some that happen to have one holder.
#[test]
fn a_quick_endpoint_that_comes_takes_the_layers_that_only_slow_ones_hold() {
    let mut supply = supply();
    supply.add(range(0, 80), slow(200.0));
    supply.add(range(0, 27), quick(150.0));
    supply.add(range(54, 80), quick(150.0));

    let (layers, gain) =
        supply.best_window(2.4, &rooms(41, 300.0), LEAST_ROOM).expect("something is gained");

    assert!(layers.first <= 27 && layers.end >= 54, "{layers:?}");
    assert!(gain > 0.0);
}

#[test]
fn an_endpoint_that_comes_takes_layers_that_nobody_holds_first() {
    let mut supply = supply();
    supply.add(range(0, 40), quick(150.0));
    supply.add(range(46, 80), quick(150.0));

    let (layers, _) =
        supply.best_window(16.0, &rooms(12, 700.0), LEAST_ROOM).expect("something is gained");

    assert!(layers.first <= 40 && layers.end >= 46, "{layers:?}");
}

#[test]
fn an_endpoint_without_room_beside_a_layer_gets_none() {
    assert_eq!(supply().best_window(1.0, &rooms(1, 20.0), LEAST_ROOM), None);
    assert_eq!(supply().best_window(1.0, &[], LEAST_ROOM), None);
}

#[test]
fn a_layout_that_stands_a_loss_costs_less_than_one_that_does_not() {
    let (mut alone, mut twice) = (supply(), supply());
    alone.add(range(0, 80), quick(220.0));
    twice.add(range(0, 80), quick(110.0));
    twice.add(range(0, 80), quick(110.0));

    assert!(twice.cost() < alone.cost());
}

#[test]
fn windows_gain_what_the_cost_falls_by_whatever_the_figures() {
    for_fixed_seeds(300, 512, |u| {
        let figures = [0.0, 1.0, 2.4, 16.0, 1e9, f64::INFINITY, f64::NAN, -3.0];
        let mut supply = Supply::new(LAYERS, *u.choose(&figures)?, [1.0, 16.0].into_iter());
        for _ in 0..u.int_in_range(0..=12)? {
            let first = u.int_in_range(0..=100)?;
            let end = first + u.int_in_range(0..=40)?;
            let share = LayerShare { pace: *u.choose(&figures)?, room: *u.choose(&figures)? };
            supply.add(range(first, end), share);
        }
        let before = supply.cost();

        let found = supply.best_window(2.4, &rooms(u.int_in_range(1..=90)?, 300.0), LEAST_ROOM);

        let Some((layers, gain)) = found else { return Ok(()) };
        assert!(layers.first < layers.end && layers.end <= LAYERS);
        let room = rooms(90, 300.0)[0];
        assert!(gain > 0.0 && room > 0.0);
        if before.is_finite() {
            assert!(gain <= before + 1e-6);
        }
        Ok(())
    });
}
