//! Tests of the share of their time that engines use, with the figures of a real deployment.

use sillbank_catalog::prelude::*;
use sillbank_engines::prelude::*;

/// Figures of a large deployment.
fn figures() -> EngineFigures {
    let accelerators = [("a100s", 3.1, 3.2), ("l4", 16.0, 8.2), ("t4", 15.0, 15.0)];
    let accelerators = accelerators.map(|(kind, step_factor, prefill_factor)| AcceleratorFigures {
        kind: kind.to_owned(),
        memory_mb: 14_400.0,
        step_factor,
        prefill_factor,
    });
    EngineFigures {
        slots: 192,
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 459_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.00234,
        step_ms_per_k_context: 0.006,
        steps_per_pass: 5,
        prefill_tokens_per_s: 321_000.0,
        prefill_ms_per_m_pairs: 0.2,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 142,
        load_ms: 14_000.0,
        loads_at_once: 6,
        report_lag_ms: 200.0,
        accelerators: accelerators.to_vec(),
    }
}

/// Engines at their usual pace use less than 65 % of their time for a hall's load.
#[test]
fn healthy_engines_have_time_for_the_load_of_a_hall() {
    let figures = figures();

    for (kind, layers, running) in [("a100s", 13, 190.0), ("l4", 8, 100.0), ("t4", 5, 100.0)] {
        let kind = figures.accelerator(kind).expect("it is known");
        let share = time_share(&figures, running, request_work_ms(&figures, kind, layers, 1.0));
        assert!(share < 0.65, "{}: {share}", kind.kind);
    }
}

/// Engines that are 12 times slower than usual use more than 90 % of their time for a smaller load.
#[test]
fn engine_at_a_twelfth_of_its_speed_is_overloaded() {
    let figures = figures();

    for (kind, layers, running) in [("a100s", 13, 150.0), ("l4", 8, 60.0), ("t4", 5, 60.0)] {
        let kind = figures.accelerator(kind).expect("it is known");
        let share = time_share(&figures, running, request_work_ms(&figures, kind, layers, 12.0));
        assert!(share > 0.9, "{}: {share}", kind.kind);
    }
}

/// Answers of the usual size take about 2 s on a deployment with these figures and little load.
#[test]
fn usual_run_time_matches_a_real_deployment() {
    let run_ms = usual_run_ms(&figures());

    assert!((1_000.0..2_500.0).contains(&run_ms), "{run_ms}");
}
