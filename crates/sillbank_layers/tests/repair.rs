//! Tests of initial placement in pairs and of placement repair: every layer keeps a holder.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 80;

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn pair_members(kinds: &[(&str, usize, u16, u16)]) -> Vec<PairMember> {
    let members = kinds.iter().flat_map(|(kind, count, solo_layers, paired_layers)| {
        (0..*count).map(move |number| PairMember {
            endpoint: format!("{kind}-{number}"),
            kind: (*kind).to_owned(),
            solo_layers: *solo_layers,
            paired_layers: *paired_layers,
        })
    });
    members.collect()
}

/// Capacity for 100 requests beside up to the preferred number of layers, and for 30 beside one more.
fn request_capacities(preferred_layers: u16) -> Vec<f64> {
    let mut capacities = vec![100.0; usize::from(preferred_layers) + 1];
    capacities.push(30.0);
    capacities
}

const LOAD: f64 = 100.0;

fn member(id: &str, preferred_layers: u16, held: Option<LayerRange>) -> RepairMember {
    RepairMember {
        endpoint: id.to_owned(),
        preferred_layers,
        max_layers: preferred_layers + 1,
        pace: 1.0,
        request_capacities: request_capacities(preferred_layers),
        held,
        is_busy: false,
    }
}

/// Number of holders of each layer after the moves.
fn holders_after(members: &[RepairMember], moves: &[RepairMove], layers: u16) -> Vec<usize> {
    let held_after = |member: &RepairMember| {
        let moved = moves.iter().find(|moved| moved.endpoint == member.endpoint);
        moved.map(|moved| moved.layers).or(member.held)
    };
    let held: Vec<LayerRange> = members.iter().filter_map(held_after).collect();
    let count = |layer: u16| held.iter().filter(|h| h.first <= layer && layer < h.end).count();
    (0..layers).map(count).collect()
}

/// With three kinds of accelerators most layers get two holders, and every layer at least one.
#[test]
fn mixed_hall_is_placed_mostly_in_pairs() {
    let members = pair_members(&[("a100s", 1, 16, 18), ("l4", 5, 9, 11), ("t4", 8, 6, 7)]);

    let placed = place_in_pairs(&members, LAYERS).expect("it fits");

    let holders = |layer: u16| {
        placed.iter().filter(|(_, held)| held.first <= layer && layer < held.end).count()
    };
    let twice = (0..LAYERS).filter(|layer| holders(*layer) == 2).count();
    assert!((0..LAYERS).all(|layer| holders(layer) >= 1));
    assert!(twice >= 38, "{twice} layers are held twice");
}

/// For any endpoints, every layer has a holder and no endpoint holds more than it can. Placement may
/// only fail if the endpoints hold fewer than the model's layers plus 40 when each serves alone.
#[test]
fn pairs_cover_every_layer_within_memory() {
    for_fixed_seeds(400, 128, |u| {
        let mut kinds = Vec::new();
        for name in ["x", "y", "z"] {
            let solo_layers = u.int_in_range(0..=20)?;
            kinds.push((
                name,
                u.int_in_range(0..=8)?,
                solo_layers,
                solo_layers + u.int_in_range(0..=4)?,
            ));
        }
        let members = pair_members(&kinds);
        let solo_total: u32 = members.iter().map(|member| u32::from(member.solo_layers)).sum();

        let placed = place_in_pairs(&members, LAYERS);

        assert!(placed.is_some() || solo_total < u32::from(LAYERS) + 40);
        let Some(placed) = placed else { return Ok(()) };
        for layer in 0..LAYERS {
            assert!(placed.iter().any(|(_, held)| held.first <= layer && layer < held.end));
        }
        for (id, held) in &placed {
            let member = members.iter().find(|m| m.endpoint == *id).expect("it is known");
            let holders = placed.iter().filter(|(_, other)| other == held).count();
            let max_layers = if holders > 1 { member.paired_layers } else { member.solo_layers };
            assert!(held.len() <= usize::from(max_layers.max(member.solo_layers)));
        }
        Ok(())
    });
}

/// Nothing moves while each layer has a holder and every endpoint is in use.
#[test]
fn complete_placement_without_spare_endpoints_stays() {
    let members = [member("a", 10, Some(range(0, 10))), member("b", 10, Some(range(10, 20)))];

    assert_eq!(repair_placement(&members, 20, LOAD, 2), Some(vec![]));
}

/// Layers without a holder go to an empty endpoint rather than to one of a pair.
#[test]
fn gap_is_first_filled_by_an_empty_endpoint() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(0, 10))),
        member("new", 10, None),
    ];

    let moves = repair_placement(&members, 20, LOAD, 2).expect("it can be repaired");

    let expected =
        RepairMove { endpoint: "new".to_owned(), layers: range(10, 20), is_urgent: true };
    assert_eq!(moves, vec![expected]);
}

/// Without an empty endpoint, one of two holders of the same layers moves.
#[test]
fn gap_is_filled_by_one_endpoint_of_a_pair() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(0, 10))),
        member("c", 5, Some(range(15, 20))),
    ];

    let moves = repair_placement(&members, 20, LOAD, 2).expect("it can be repaired");

    assert_eq!(moves.len(), 1);
    assert_eq!((moves[0].layers, moves[0].is_urgent), (range(10, 15), true));
}

/// An endpoint beside the gap holds one layer more for a while.
#[test]
fn small_gap_is_filled_by_an_adjacent_holder() {
    let members = [member("a", 10, Some(range(0, 10))), member("b", 9, Some(range(11, 20)))];

    let moves = repair_placement(&members, 20, LOAD, 2).expect("it can be repaired");

    assert_eq!((moves[0].endpoint.as_str(), moves[0].layers), ("a", range(0, 11)));
}

/// If nothing is missing, an empty endpoint gets layers by an optional move.
#[test]
fn empty_endpoint_becomes_a_second_holder() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(10, 20))),
        member("new", 10, None),
    ];

    let moves = repair_placement(&members, 20, LOAD, 2).expect("nothing is missing");

    assert_eq!((moves[0].layers, moves[0].is_urgent), (range(0, 10), false));
}

/// An endpoint that is carrying out an order uses up the only optional move.
#[test]
fn busy_endpoints_count_towards_the_optional_moves() {
    let mut busy = member("busy", 10, Some(range(10, 20)));
    busy.is_busy = true;
    let members = [member("a", 10, Some(range(0, 10))), busy, member("new", 10, None)];

    let moves = repair_placement(&members, 20, LOAD, 1).expect("nothing is missing");

    assert_eq!(moves, vec![]);
}

/// For any placement a successful repair leaves no layer without a holder, moves no busy endpoint and
/// exceeds nobody's memory.
#[test]
fn repairs_leave_every_layer_with_a_holder() {
    for_fixed_seeds(500, 512, |u| {
        let mut members = Vec::new();
        for number in 0..u.int_in_range(0..=16)? {
            let preferred_layers = u.int_in_range(0..=18)?;
            let first = u.int_in_range(0..=79)?;
            let end = (first + u.int_in_range(0..=preferred_layers)?).min(LAYERS);
            let held = if u.ratio(3, 4)? { Some(range(first, end)) } else { None };
            let mut one = member(&number.to_string(), preferred_layers, held);
            one.is_busy = u.ratio(1, 8)?;
            members.push(one);
        }

        let moves = repair_placement(&members, LAYERS, LOAD, 2);

        let Some(moves) = moves else { return Ok(()) };
        assert!(holders_after(&members, &moves, LAYERS).iter().all(|holders| *holders > 0));
        for moved in &moves {
            let member = members.iter().find(|m| m.endpoint == moved.endpoint).expect("known");
            assert!(!member.is_busy);
            assert!(moved.layers.len() <= usize::from(member.max_layers));
        }
        Ok(())
    });
}

/// An empty endpoint first takes over layers of an overfull one, which then unloads them.
#[test]
fn overfull_endpoint_gets_a_second_holder_and_then_unloads_layers() {
    let mut overfull = member("a", 10, Some(range(0, 20)));
    overfull.max_layers = 20;
    let relieved = [overfull.clone(), member("new", 10, None)];
    let held_twice = [overfull, member("new", 10, Some(range(0, 10)))];

    let first = repair_placement(&relieved, 20, LOAD, 1).expect("nothing is missing");
    let second = repair_placement(&held_twice, 20, LOAD, 1).expect("nothing is missing");

    assert_eq!((first[0].endpoint.as_str(), first[0].layers), ("new", range(0, 10)));
    assert_eq!((second[0].endpoint.as_str(), second[0].layers), ("a", range(10, 20)));
}

/// The only endpoint that serves some layers is not moved to a gap while another still loads them.
#[test]
fn endpoint_is_not_moved_while_the_second_holder_is_loading() {
    let mut loading = member("mate", 10, Some(range(0, 10)));
    loading.is_busy = true;
    let members = [member("a", 10, Some(range(0, 10))), loading];

    assert_eq!(repair_placement(&members, 20, LOAD, 2), None);
}

/// An overfull endpoint unloads no layers before the other holder serves them.
#[test]
fn overfull_endpoint_keeps_layers_that_another_is_still_loading() {
    let mut overfull = member("a", 10, Some(range(0, 20)));
    overfull.max_layers = 20;
    let mut loading = member("mate", 10, Some(range(0, 10)));
    loading.is_busy = true;

    assert_eq!(repair_placement(&[overfull, loading], 20, LOAD, 3), Some(vec![]));
}
