//! How full a hall's engines are as a whole.

use arbitrary::{Result, Unstructured};
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 20;

fn engine(first: u16, end: u16, capacity: f64, taken_share: f64) -> EngineRoom {
    EngineRoom { layers: LayerRange { first, end }, capacity, taken_share }
}

fn fullness(engines: &[EngineRoom]) -> Option<f64> {
    HallRoom::of(engines, LAYERS).fullness()
}

/// Some engines that hold some layers each.
fn any_engines(u: &mut Unstructured<'_>) -> Result<Vec<EngineRoom>> {
    (0..u.int_in_range(0..=12)?)
        .map(|_| {
            let first = u.int_in_range(0..=LAYERS - 1)?;
            let end = u.int_in_range(first + 1..=LAYERS)?;
            let capacity = f64::from(u.int_in_range(0..=500_u32)?);
            Ok(engine(first, end, capacity, f64::from(u.int_in_range(0..=1_500_u32)?) / 1_000.0))
        })
        .collect()
}

#[test]
fn a_hall_has_the_room_of_its_scarcest_layer() {
    // 300 requests fit at the first half, 100 at the second, of which 75 are there.
    let engines =
        [engine(0, 10, 200.0, 0.5), engine(0, 10, 100.0, 0.5), engine(10, LAYERS, 100.0, 0.75)];

    assert_eq!(HallRoom::of(&engines, LAYERS), HallRoom { capacity: 100.0, free: 25.0 });
    assert_eq!(fullness(&engines), Some(0.75));
}

/// The largest engine is empty, but all requests pass the one that is full.
#[test]
fn a_full_layer_fills_the_hall() {
    assert_eq!(fullness(&[engine(0, 10, 1_000.0, 0.0), engine(10, LAYERS, 50.0, 1.2)]), Some(1.0));
}

#[test]
fn a_hall_with_a_layer_that_nobody_holds_has_no_room_and_is_not_full() {
    let engines = [engine(0, 10, 100.0, 0.0), engine(11, LAYERS, 100.0, 0.0)];

    assert_eq!(HallRoom::of(&engines, LAYERS), HallRoom::default());
    assert_eq!(fullness(&engines), None);
    assert_eq!(fullness(&[]), None);
    assert_eq!(HallRoom::of(&engines, 0).fullness(), None);
}

#[test]
fn halls_are_added_up_and_one_that_cannot_serve_adds_nothing() {
    let full = HallRoom::of(&[engine(0, LAYERS, 100.0, 1.0)], LAYERS);
    let empty = HallRoom::of(&[engine(0, LAYERS, 300.0, 0.0)], LAYERS);
    let broken = HallRoom::of(&[engine(0, 5, 300.0, 0.0)], LAYERS);

    assert_eq!(full.plus(empty).plus(broken).fullness(), Some(0.25));
}

#[test]
fn another_engine_takes_no_room_away_and_an_empty_one_never_fills_the_hall() {
    for_fixed_seeds(500, 512, |u| {
        let mut engines = any_engines(u)?;
        let before = HallRoom::of(&engines, LAYERS);
        let whole = engine(0, LAYERS, f64::from(u.int_in_range(1..=500_u32)?), 0.0);

        engines.extend(any_engines(u)?);
        let more = HallRoom::of(&engines, LAYERS);
        engines.push(whole);
        let with_empty = HallRoom::of(&engines, LAYERS);

        assert!(more.capacity >= before.capacity && more.free >= before.free);
        let fuller = with_empty.fullness().expect("all layers are held");
        assert!(fuller <= more.fullness().unwrap_or(1.0) + 1e-9, "{fuller} {more:?}");
        Ok(())
    });
}

#[test]
fn absurd_figures_leave_a_fullness_that_is_one() {
    let absurd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 0.0, 1e300];
    for_fixed_seeds(300, 512, |u| {
        let mut engines = any_engines(u)?;
        for engine in &mut engines {
            engine.capacity = *u.choose(&absurd)?;
            engine.taken_share = *u.choose(&absurd)?;
        }
        engines.push(engine(u.arbitrary()?, u.arbitrary()?, 10.0, 0.5));

        let room = HallRoom::of(&engines, LAYERS);

        assert!(room.capacity.is_finite() && room.free.is_finite(), "{room:?}");
        assert!(room.fullness().is_none_or(|part| (0.0..=1.0).contains(&part)), "{room:?}");
        Ok(())
    });
}

/// One engine with absurd figures changes nothing at a hall with room.
#[test]
fn an_engine_without_figures_closes_no_hall() {
    for absurd in [f64::NAN, f64::NEG_INFINITY, -1.0] {
        let engines = [engine(0, LAYERS, 100.0, 0.5), engine(0, LAYERS, absurd, 1.0)];

        assert_eq!(fullness(&engines), Some(0.5), "{absurd}");
    }
}
