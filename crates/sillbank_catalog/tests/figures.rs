//! Detection of missing and invalid engine figures.

use sillbank_catalog::prelude::*;

fn figures() -> EngineFigures {
    let accelerator = AcceleratorFigures {
        kind: "card".to_owned(),
        memory_mb: 40_000.0,
        step_factor: 2.0,
        prefill_factor: 3.0,
    };
    EngineFigures {
        slots: 100,
        layers: 20,
        layer_mb: 1_000.0,
        kv_token_bytes: 100_000.0,
        step_ms: 1.0,
        step_ms_per_request: 0.005,
        step_ms_per_k_context: 0.006,
        steps_per_pass: 5,
        prefill_tokens_per_s: 100_000.0,
        prefill_ms_per_m_pairs: 0.2,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 700,
        usual_answer_tokens: 200,
        load_ms: 10_000.0,
        loads_at_once: 4,
        report_lag_ms: 200.0,
        accelerators: vec![accelerator.clone(), accelerator],
    }
}

/// Figures that are all positive and finite yield no names.
#[test]
fn complete_figures_are_valid() {
    assert!(figures().invalid_figures().is_empty());
}

/// A figure that is invalid for several accelerators is named once.
#[test]
fn each_missing_or_invalid_figure_is_named_once() {
    let mut figures = figures();
    figures.step_ms = f64::NAN;
    figures.prefill_tokens_per_s = -1.0;
    figures.prefill_tokens_per_step = 0;
    for accelerator in &mut figures.accelerators {
        accelerator.step_factor = f64::INFINITY;
        accelerator.prefill_factor = 0.0;
    }

    let named = figures.invalid_figures();

    let wanted = [
        "step_ms",
        "prefill_tokens_per_s",
        "prefill_tokens_per_step",
        "step_factor",
        "prefill_factor",
    ];
    assert_eq!(named, wanted);
}
