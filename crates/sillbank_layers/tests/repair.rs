//! First placements in pairs, and repairs: every layer keeps a holder.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 80;

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn pair_members(kinds: &[(&str, usize, u16, u16)]) -> Vec<PairMember> {
    let members = kinds.iter().flat_map(|(kind, count, alone, paired)| {
        (0..*count).map(move |number| PairMember {
            endpoint: format!("{kind}-{number}"),
            kind: (*kind).to_owned(),
            alone: *alone,
            paired: *paired,
        })
    });
    members.collect()
}

/// Room for 100 requests beside as many layers as are comfortable, and for 30 beside one more.
fn rooms(comfortable: u16) -> Vec<f64> {
    let mut rooms = vec![100.0; usize::from(comfortable) + 1];
    rooms.push(30.0);
    rooms
}

const LOAD: f64 = 100.0;

fn member(id: &str, comfortable: u16, held: Option<LayerRange>) -> RepairMember {
    RepairMember {
        endpoint: id.to_owned(),
        comfortable,
        most: comfortable + 1,
        pace: 1.0,
        rooms: rooms(comfortable),
        held,
        is_busy: false,
    }
}

/// How many endpoints hold each layer after the moves.
fn holders_after(members: &[RepairMember], moves: &[RepairMove], layers: u16) -> Vec<usize> {
    let held_after = |member: &RepairMember| {
        let moved = moves.iter().find(|moved| moved.endpoint == member.endpoint);
        moved.map(|moved| moved.layers).or(member.held)
    };
    let held: Vec<LayerRange> = members.iter().filter_map(held_after).collect();
    let count = |layer: u16| held.iter().filter(|h| h.first <= layer && layer < h.end).count();
    (0..layers).map(count).collect()
}

#[test]
fn a_hall_of_mixed_cards_is_held_mostly_in_pairs() {
    let members = pair_members(&[("a100s", 1, 16, 18), ("l4", 5, 9, 11), ("t4", 8, 6, 7)]);

    let placed = place_in_pairs(&members, LAYERS).expect("it fits");

    let holders = |layer: u16| {
        placed.iter().filter(|(_, held)| held.first <= layer && layer < held.end).count()
    };
    let twice = (0..LAYERS).filter(|layer| holders(*layer) == 2).count();
    assert!((0..LAYERS).all(|layer| holders(layer) >= 1));
    assert!(twice >= 38, "{twice} layers are held twice");
}

#[test]
fn pairs_cover_every_layer_and_nobody_is_over_its_memory() {
    for_fixed_seeds(400, 128, |u| {
        let mut kinds = Vec::new();
        for name in ["x", "y", "z"] {
            let alone = u.int_in_range(0..=20)?;
            kinds.push((name, u.int_in_range(0..=8)?, alone, alone + u.int_in_range(0..=4)?));
        }
        let members = pair_members(&kinds);
        let room: u32 = members.iter().map(|member| u32::from(member.alone)).sum();

        let placed = place_in_pairs(&members, LAYERS);

        assert!(placed.is_some() || room < u32::from(LAYERS) + 40);
        let Some(placed) = placed else { return Ok(()) };
        for layer in 0..LAYERS {
            assert!(placed.iter().any(|(_, held)| held.first <= layer && layer < held.end));
        }
        for (id, held) in &placed {
            let member = members.iter().find(|m| m.endpoint == *id).expect("it is known");
            let mates = placed.iter().filter(|(_, other)| other == held).count();
            let most = if mates > 1 { member.paired } else { member.alone };
            assert!(held.len() <= usize::from(most.max(member.alone)));
        }
        Ok(())
    });
}

#[test]
fn a_lost_endpoint_of_a_pair_moves_nothing_without_spares() {
    let members = [member("a", 10, Some(range(0, 10))), member("b", 10, Some(range(10, 20)))];

    assert_eq!(repair(&members, 20, LOAD, 2), Some(vec![]));
}

#[test]
fn a_hole_is_filled_by_an_empty_endpoint_first() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(0, 10))),
        member("new", 10, None),
    ];

    let moves = repair(&members, 20, LOAD, 2).expect("it can be mended");

    let expected =
        RepairMove { endpoint: "new".to_owned(), layers: range(10, 20), is_urgent: true };
    assert_eq!(moves, vec![expected]);
}

#[test]
fn a_hole_is_filled_by_one_of_a_pair() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(0, 10))),
        member("c", 5, Some(range(15, 20))),
    ];

    let moves = repair(&members, 20, LOAD, 2).expect("it can be mended");

    assert_eq!(moves.len(), 1);
    assert_eq!((moves[0].layers, moves[0].is_urgent), (range(10, 15), true));
}

#[test]
fn a_small_hole_is_filled_by_its_neighbour() {
    let members = [member("a", 10, Some(range(0, 10))), member("b", 9, Some(range(11, 20)))];

    let moves = repair(&members, 20, LOAD, 2).expect("it can be mended");

    assert_eq!((moves[0].endpoint.as_str(), moves[0].layers), ("a", range(0, 11)));
}

#[test]
fn an_empty_endpoint_becomes_a_second_holder() {
    let members = [
        member("a", 10, Some(range(0, 10))),
        member("b", 10, Some(range(10, 20))),
        member("new", 10, None),
    ];

    let moves = repair(&members, 20, LOAD, 2).expect("nothing is missing");

    assert_eq!((moves[0].layers, moves[0].is_urgent), (range(0, 10), false));
}

#[test]
fn busy_endpoints_are_left_alone() {
    let mut busy = member("busy", 10, Some(range(10, 20)));
    busy.is_busy = true;
    let members = [member("a", 10, Some(range(0, 10))), busy, member("new", 10, None)];

    let moves = repair(&members, 20, LOAD, 1).expect("nothing is missing");

    assert_eq!(moves, vec![]);
}

#[test]
fn repairs_leave_no_layer_without_a_holder() {
    for_fixed_seeds(500, 512, |u| {
        let mut members = Vec::new();
        for number in 0..u.int_in_range(0..=16)? {
            let comfortable = u.int_in_range(0..=18)?;
            let first = u.int_in_range(0..=79)?;
            let end = (first + u.int_in_range(0..=comfortable)?).min(LAYERS);
            let held = if u.ratio(3, 4)? { Some(range(first, end)) } else { None };
            let mut one = member(&number.to_string(), comfortable, held);
            one.is_busy = u.ratio(1, 8)?;
            members.push(one);
        }

        let moves = repair(&members, LAYERS, LOAD, 2);

        let Some(moves) = moves else { return Ok(()) };
        assert!(holders_after(&members, &moves, LAYERS).iter().all(|holders| *holders > 0));
        for moved in &moves {
            let member = members.iter().find(|m| m.endpoint == moved.endpoint).expect("known");
            assert!(!member.is_busy);
            assert!(moved.layers.len() <= usize::from(member.most));
        }
        Ok(())
    });
}

#[test]
fn a_crowded_endpoint_is_relieved_and_then_gives_up_what_others_hold() {
    let mut crowded = member("a", 10, Some(range(0, 20)));
    crowded.most = 20;
    let relieved = [crowded.clone(), member("new", 10, None)];
    let held_twice = [crowded, member("new", 10, Some(range(0, 10)))];

    let first = repair(&relieved, 20, LOAD, 1).expect("nothing is missing");
    let second = repair(&held_twice, 20, LOAD, 1).expect("nothing is missing");

    assert_eq!((first[0].endpoint.as_str(), first[0].layers), ("new", range(0, 10)));
    assert_eq!((second[0].endpoint.as_str(), second[0].layers), ("a", range(10, 20)));
}

#[test]
fn an_endpoint_whose_mate_is_still_loading_is_not_moved() {
    let mut mate = member("mate", 10, Some(range(0, 10)));
    mate.is_busy = true;
    let members = [member("a", 10, Some(range(0, 10))), mate];

    assert_eq!(repair(&members, 20, LOAD, 2), None);
}

#[test]
fn a_crowded_endpoint_keeps_what_its_mate_is_still_loading() {
    let mut crowded = member("a", 10, Some(range(0, 20)));
    crowded.most = 20;
    let mut mate = member("mate", 10, Some(range(0, 10)));
    mate.is_busy = true;

    assert_eq!(repair(&[crowded, mate], 20, LOAD, 3), Some(vec![]));
}
