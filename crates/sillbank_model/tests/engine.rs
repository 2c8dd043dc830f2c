//! Tests of how an engine runs, repeats and refuses steps.

use sillbank_core::prelude::*;
use sillbank_model::engine::{EngineCore, LayerFaults};
use sillbank_model::{END_TOKEN, reference_answer, sample};
use sillbank_protocol::engine::{Refusal, Step, StepOutcome};

const LAYERS: LayerRange = LayerRange { first: 0, end: 4 };

fn engine() -> EngineCore {
    EngineCore::new(LAYERS, 4, 1000)
}

fn step(attempt: Attempt, start: Position, inputs: &[u64]) -> Step {
    let uid = RequestUid(1, 2);
    Step { uid, attempt, start, layers: LAYERS, seed: 7, priority: 4, inputs: inputs.to_vec() }
}

fn outputs(outcome: StepOutcome) -> Vec<u64> {
    match outcome {
        StepOutcome::Done { outputs, .. } => outputs,
        StepOutcome::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// An answer that is generated step by step is that of `reference_answer`.
#[test]
fn answer_equals_the_reference() {
    let mut engine = engine();
    let mut answer = Vec::new();
    let mut inputs = vec![5, 6, 7];
    let mut start = 0;

    while answer.len() < 10 && answer.last() != Some(&END_TOKEN) {
        let done = outputs(engine.run_step(&step(1, start, &inputs)));
        start += inputs.len() as u32;
        let token = sample(done[done.len() - 1], 7);
        answer.push(token);
        inputs = vec![u64::from(token)];
    }

    assert_eq!(answer, reference_answer(&[5, 6, 7], 4, 7, 10));
}

/// A step that is sent twice, as after a lost reply, runs once and gives the same outcome twice.
#[test]
fn repeated_step_returns_the_same_outcome_and_runs_nothing() {
    let mut engine = engine();
    let first = engine.run_step(&step(1, 0, &[5, 6]));

    let second = engine.run_step(&step(1, 0, &[5, 6]));

    assert_eq!(first, second);
    assert_eq!(engine.ledger.len(), 1);
    assert_eq!((engine.ledger[0].start, engine.ledger[0].end), (0, 2));
}

/// A step of an outdated attempt is refused, and the refusal contains the newest attempt.
#[test]
fn lower_attempt_is_refused_with_the_newest() {
    let mut engine = engine();
    engine.run_step(&step(9, 0, &[5]));

    let outcome = engine.run_step(&step(8, 1, &[6]));

    assert_eq!(outcome, StepOutcome::Refused(Refusal::StaleAttempt { newest: 9 }));
}

/// A step that skips positions is refused, and the refusal contains the positions in the KV cache.
#[test]
fn gap_is_refused_with_the_number_of_positions() {
    let mut engine = engine();
    engine.run_step(&step(1, 0, &[5]));

    let outcome = engine.run_step(&step(1, 2, &[6]));

    assert_eq!(outcome, StepOutcome::Refused(Refusal::NotNext { built: 1 }));
}

/// A first step under a higher attempt runs again from an empty KV cache.
#[test]
fn higher_attempt_restarts_the_request() {
    let mut engine = engine();
    let first = outputs(engine.run_step(&step(1, 0, &[5, 6])));

    let restarted = outputs(engine.run_step(&step(2, 0, &[5, 6])));

    assert_eq!(first, restarted);
    assert_eq!(engine.ledger.len(), 2);
}

/// A request that does not fit the KV cache is refused and runs nothing.
#[test]
fn full_engine_refuses_a_new_request() {
    let mut engine = EngineCore::new(LAYERS, 4, 1);

    let outcome = engine.run_step(&step(1, 0, &[5, 6]));

    assert_eq!(outcome, StepOutcome::Refused(Refusal::Full));
    assert!(engine.ledger.is_empty());
}

/// Injected faults of a layer show in the outputs and in the ledger.
#[test]
fn skipped_or_repeated_layer_changes_the_answer_and_the_ledger() {
    let right = outputs(engine().run_step(&step(1, 0, &[5, 6])));
    let skip = LayerFaults { skip_layer: Some(2), ..LayerFaults::default() };
    let repeat = LayerFaults { repeat_layer: Some(2), ..LayerFaults::default() };
    for (faults, layers) in [(skip, vec![0, 1, 3]), (repeat, vec![0, 1, 2, 2, 3])] {
        let mut engine = engine();
        engine.faults = faults;

        let wrong = outputs(engine.run_step(&step(1, 0, &[5, 6])));

        assert_ne!(right, wrong);
        assert_eq!(engine.ledger[0].layers, layers);
    }
}
