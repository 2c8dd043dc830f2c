//! Target layers of engines: within their memory, every layer held, few moves.

use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_gateway::placement::{Chains, EngineView, Target, initial_targets, repair_targets};
use sillbank_gateway::prelude::*;
use sillbank_testing::for_fixed_seeds;

const LAYERS: u16 = 80;
const LAYER_MB: f64 = 1750.0;
/// Kinds of accelerator cards, with their memory in MB.
const CARDS: [(&str, f64); 3] = [("a100s", 36_000.0), ("l4", 21_600.0), ("t4", 14_400.0)];

/// Number of requests that a hall should run at once.
const LOAD: f64 = 60.0;

fn figures() -> EngineFigures {
    let accelerators = CARDS.map(|(kind, memory_mb)| AcceleratorFigures {
        kind: kind.to_owned(),
        memory_mb,
        step_factor: 1.0,
        prefill_factor: 1.0,
    });
    EngineFigures {
        slots: 192,
        layers: LAYERS,
        layer_mb: LAYER_MB,
        kv_token_bytes: 459_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.003,
        step_ms_per_k_context: 0.006,
        steps_per_pass: 5,
        prefill_tokens_per_s: 252_000.0,
        prefill_ms_per_m_pairs: 0.2,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 154,
        load_ms: 14_000.0,
        loads_at_once: 6,
        report_lag_ms: 200.0,
        accelerators: accelerators.to_vec(),
    }
}

fn hall(counts: [usize; 3]) -> Vec<EngineView> {
    let engines = CARDS.iter().zip(counts).flat_map(|((kind, _), count)| {
        (0..count).map(move |number| EngineView {
            id: format!("{kind}-{number}"),
            kind: (*kind).to_owned(),
            serves: None,
            ordered: None,
            order_in_progress: false,
        })
    });
    engines.collect()
}

/// The engines after they have carried out all orders.
fn carried_out(engines: &[EngineView], targets: &[Target]) -> Vec<EngineView> {
    let after = |engine: &EngineView| {
        let target = targets.iter().find(|target| target.endpoint == engine.id);
        let serves = target.map(|target| target.layers).or(engine.serves);
        EngineView { serves, ..engine.clone() }
    };
    engines.iter().map(after).collect()
}

fn holders(engines: &[EngineView], layer: u16) -> usize {
    let holds = |held: &LayerRange| held.first <= layer && layer < held.end;
    engines.iter().filter_map(|engine| engine.serves).filter(|held| holds(held)).count()
}

fn assert_within_memory(engines: &[EngineView]) {
    for engine in engines {
        let (_, memory_mb) = CARDS.iter().find(|(kind, _)| *kind == engine.kind).expect("known");
        let held = engine.serves.map_or(0, |held| held.len()) as f64;
        assert!(held * LAYER_MB <= *memory_mb, "{engine:?}");
    }
}

/// Halls of the usual sizes hold every layer, and some layers twice.
#[test]
fn small_halls_hold_every_layer_and_some_twice() {
    for counts in [[3, 3, 5], [1, 5, 8], [1, 7, 5]] {
        let engines = hall(counts);

        let targets =
            initial_targets(&engines, &figures(), &mut Chains::new(), true).expect("it fits");
        let after = carried_out(&engines, &targets);

        assert_within_memory(&after);
        assert!((0..LAYERS).all(|layer| holders(&after, layer) >= 1), "{counts:?}");
        assert!((0..LAYERS).any(|layer| holders(&after, layer) >= 2), "{counts:?}");
    }
}

/// A large hall holds every layer at least twice.
#[test]
fn a_large_hall_holds_the_model_more_than_once() {
    let engines = hall([2, 13, 22]);

    let targets = initial_targets(&engines, &figures(), &mut Chains::new(), true).expect("it fits");
    let after = carried_out(&engines, &targets);

    assert!((0..LAYERS).all(|layer| holders(&after, layer) >= 2));
}

/// After the loss of any engine, at most four moves restore every layer.
#[test]
fn the_loss_of_any_one_engine_is_repaired_by_few_moves() {
    let engines = hall([1, 7, 5]);
    let targets = initial_targets(&engines, &figures(), &mut Chains::new(), true).expect("it fits");
    let placed = carried_out(&engines, &targets);

    for lost in 0..placed.len() {
        let mut left = placed.clone();
        left.remove(lost);
        let mut moves = 0;
        for _ in 0..5 {
            let targets =
                repair_targets(&left, &figures(), &mut Chains::new(), LOAD).expect("it fits");
            moves += targets.len();
            left = carried_out(&left, &targets);
        }

        assert!((0..LAYERS).all(|layer| holders(&left, layer) >= 1), "without {lost}");
        assert!(moves <= 4, "{moves} moves without {lost}");
        assert_within_memory(&left);
    }
}

/// Without losses nothing is moved.
#[test]
fn nothing_moves_without_losses() {
    let engines = hall([3, 3, 5]);
    let targets = initial_targets(&engines, &figures(), &mut Chains::new(), true).expect("it fits");
    let placed = carried_out(&engines, &targets);

    let moves = repair_targets(&placed, &figures(), &mut Chains::new(), LOAD).expect("it fits");

    assert_eq!(moves, vec![]);
}

/// Through random losses and restarts no engine exceeds its memory and no layer is missing.
#[test]
fn no_engine_exceeds_its_memory_through_random_losses() {
    for_fixed_seeds(100, 512, |u| {
        let counts = [u.int_in_range(0..=3)?, u.int_in_range(2..=8)?, u.int_in_range(2..=9)?];
        let mut engines = hall(counts);
        let mut chains = Chains::new();
        let Some(targets) = initial_targets(&engines, &figures(), &mut chains, true) else {
            return Ok(());
        };
        engines = carried_out(&engines, &targets);
        for _ in 0..8 {
            if u.ratio(1, 2)? && engines.len() > 1 {
                engines.remove(u.int_in_range(0..=engines.len() - 1)?);
            } else {
                let at = u.int_in_range(0..=engines.len() - 1)?;
                engines[at].serves = None;
            }
            if let Some(targets) = repair_targets(&engines, &figures(), &mut chains, LOAD) {
                engines = carried_out(&engines, &targets);
                assert!(engines.is_empty() || (0..LAYERS).all(|l| holders(&engines, l) >= 1));
            }
            assert_within_memory(&engines);
        }
        Ok(())
    });
}

/// An engine that is carrying out an order gets no further order.
#[test]
fn an_engine_that_is_loading_gets_no_second_order() {
    let mut engines = hall([0, 9, 0]);
    for (number, engine) in engines.iter_mut().enumerate().take(8) {
        let first = number as u16 * 10;
        engine.serves = Some(LayerRange { first, end: first + 10 });
    }
    engines[8].ordered = Some(LayerRange { first: 0, end: 10 });
    engines[8].order_in_progress = true;

    let targets = repair_targets(&engines, &figures(), &mut Chains::new(), LOAD).expect("it fits");

    assert!(targets.iter().all(|target| target.endpoint != "l4-8"));
    assert!(targets.iter().all(|target| target.release_mode == ReleaseMode::WhenUnused));
}

/// Largest number of parts of a path on the known platform.
const MAX_PARTS: usize = 32;

/// Each chain of a large hall is short enough for a path.
#[test]
fn chains_of_a_large_hall_are_short_enough_for_a_path() {
    let engines = hall([20, 150, 163]);
    let mut chains = Chains::new();

    let targets = initial_targets(&engines, &figures(), &mut chains, true).expect("it fits");

    let mut lengths: std::collections::BTreeMap<usize, usize> = std::collections::BTreeMap::new();
    for target in &targets {
        *lengths.entry(chains[&target.endpoint]).or_default() += 1;
    }
    assert!(lengths.values().all(|length| *length <= MAX_PARTS), "{lengths:?}");
    let after = carried_out(&engines, &targets);
    assert!((0..LAYERS).all(|layer| holders(&after, layer) >= lengths.len()));
}

/// Figures with these step factors for the three kinds of cards. In the usual case the fastest are
/// few and far faster.
fn figures_with_step_factors(paces: [f64; 3]) -> EngineFigures {
    let mut figures = figures();
    for (kind, pace) in figures.accelerators.iter_mut().zip(paces) {
        kind.step_factor = pace;
    }
    figures
}

/// Kinds of the engines in the first chain.
fn kinds_of_first_chain(figures: &EngineFigures) -> Vec<String> {
    let engines = hall([8, 20, 22]);
    let mut chains = Chains::new();
    initial_targets(&engines, figures, &mut chains, true).expect("it fits");
    let of_first = engines.iter().filter(|engine| chains.get(&engine.id) == Some(&0));
    let mut kinds: Vec<String> = of_first.map(|engine| engine.kind.clone()).collect();
    kinds.dedup();
    kinds
}

/// With very different speeds the fastest cards form a chain of their own.
#[test]
fn fast_cards_form_a_chain_of_their_own_where_speeds_differ() {
    let kinds = kinds_of_first_chain(&figures_with_step_factors([2.4, 16.0, 15.0]));

    assert_eq!(kinds, ["a100s"]);
}

/// With similar speeds each chain contains all kinds of cards.
#[test]
fn cards_of_similar_speed_are_distributed_by_memory() {
    let kinds = kinds_of_first_chain(&figures_with_step_factors([14.0, 16.0, 15.0]));

    assert_eq!(kinds, ["a100s", "l4", "t4"]);
}

/// Invalid step factors do not keep layers from being placed.
#[test]
fn invalid_step_factors_still_place_every_layer() {
    for paces in [[f64::NAN; 3], [0.0; 3], [f64::INFINITY, 1.0, f64::NAN], [-1.0, 1e300, 0.0]] {
        let engines = hall([2, 13, 22]);

        let targets =
            initial_targets(&engines, &figures_with_step_factors(paces), &mut Chains::new(), true)
                .expect("it fits");
        let after = carried_out(&engines, &targets);

        assert_within_memory(&after);
        assert!((0..LAYERS).all(|layer| holders(&after, layer) >= 1), "{paces:?}");
    }
}
