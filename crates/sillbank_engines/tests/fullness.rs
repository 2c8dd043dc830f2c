//! Tests of the capacity and fullness of a hall's engines as a whole.

use arbitrary::{Result, Unstructured};
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 20;

fn engine(first: u16, end: u16, capacity: f64, used_share: f64) -> EngineCapacity {
    EngineCapacity { layers: LayerRange { first, end }, capacity, used_share }
}

fn fullness(engines: &[EngineCapacity]) -> Option<f64> {
    HallCapacity::of(engines, LAYERS).fullness()
}

/// Some engines that hold some layers each.
fn any_engines(u: &mut Unstructured<'_>) -> Result<Vec<EngineCapacity>> {
    (0..u.int_in_range(0..=12)?)
        .map(|_| {
            let first = u.int_in_range(0..=LAYERS - 1)?;
            let end = u.int_in_range(first + 1..=LAYERS)?;
            let capacity = f64::from(u.int_in_range(0..=500_u32)?);
            Ok(engine(first, end, capacity, f64::from(u.int_in_range(0..=1_500_u32)?) / 1_000.0))
        })
        .collect()
}

/// The capacities of the engines of a layer add up, and the layer with the least limits the hall.
#[test]
fn hall_capacity_is_that_of_the_layer_with_the_least() {
    // The first half of the layers has capacity for 300 requests; the second for 100, of which 75 run.
    let engines =
        [engine(0, 10, 200.0, 0.5), engine(0, 10, 100.0, 0.5), engine(10, LAYERS, 100.0, 0.75)];

    assert_eq!(HallCapacity::of(&engines, LAYERS), HallCapacity { capacity: 100.0, free: 25.0 });
    assert_eq!(fullness(&engines), Some(0.75));
}

/// The largest engine is empty, but all requests pass the one that is full.
#[test]
fn full_layer_fills_the_hall() {
    assert_eq!(fullness(&[engine(0, 10, 1_000.0, 0.0), engine(10, LAYERS, 50.0, 1.2)]), Some(1.0));
}

/// Without a holder of some layer a hall has no capacity and no fullness.
#[test]
fn hall_without_holder_of_a_layer_has_no_capacity() {
    let engines = [engine(0, 10, 100.0, 0.0), engine(11, LAYERS, 100.0, 0.0)];

    assert_eq!(HallCapacity::of(&engines, LAYERS), HallCapacity::default());
    assert_eq!(fullness(&engines), None);
    assert_eq!(fullness(&[]), None);
    assert_eq!(HallCapacity::of(&engines, 0).fullness(), None);
}

/// Capacities of halls add up; a hall that lacks a layer adds nothing.
#[test]
fn halls_add_up() {
    let full = HallCapacity::of(&[engine(0, LAYERS, 100.0, 1.0)], LAYERS);
    let empty = HallCapacity::of(&[engine(0, LAYERS, 300.0, 0.0)], LAYERS);
    let broken = HallCapacity::of(&[engine(0, 5, 300.0, 0.0)], LAYERS);

    assert_eq!(full.plus(empty).plus(broken).fullness(), Some(0.25));
}

/// For any hall, more engines never reduce its capacity, and an empty engine with all layers never
/// raises its fullness.
#[test]
fn more_engines_never_reduce_capacity() {
    for_fixed_seeds(500, 512, |u| {
        let mut engines = any_engines(u)?;
        let before = HallCapacity::of(&engines, LAYERS);
        let all_layers = engine(0, LAYERS, f64::from(u.int_in_range(1..=500_u32)?), 0.0);

        engines.extend(any_engines(u)?);
        let more = HallCapacity::of(&engines, LAYERS);
        engines.push(all_layers);
        let with_empty = HallCapacity::of(&engines, LAYERS);

        assert!(more.capacity >= before.capacity && more.free >= before.free);
        let fullness = with_empty.fullness().expect("all layers are held");
        assert!(fullness <= more.fullness().unwrap_or(1.0) + 1e-9, "{fullness} {more:?}");
        Ok(())
    });
}

/// With infinite, negative or NaN figures the capacity is finite and the fullness between 0 and 1.
#[test]
fn fullness_stays_in_bounds_for_any_figures() {
    let invalid = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0, 0.0, 1e300];
    for_fixed_seeds(300, 512, |u| {
        let mut engines = any_engines(u)?;
        for engine in &mut engines {
            engine.capacity = *u.choose(&invalid)?;
            engine.used_share = *u.choose(&invalid)?;
        }
        engines.push(engine(u.arbitrary()?, u.arbitrary()?, 10.0, 0.5));

        let hall = HallCapacity::of(&engines, LAYERS);

        assert!(hall.capacity.is_finite() && hall.free.is_finite(), "{hall:?}");
        assert!(hall.fullness().is_none_or(|share| (0.0..=1.0).contains(&share)), "{hall:?}");
        Ok(())
    });
}

/// An engine with NaN or negative capacity adds nothing, and the hall's other engines still count.
#[test]
fn engine_with_invalid_figures_does_not_change_the_hall() {
    for invalid in [f64::NAN, f64::NEG_INFINITY, -1.0] {
        let engines = [engine(0, LAYERS, 100.0, 0.5), engine(0, LAYERS, invalid, 1.0)];

        assert_eq!(fullness(&engines), Some(0.5), "{invalid}");
    }
}
