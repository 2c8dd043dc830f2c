//! A model of how much of an engine's time its requests take.
//!
//! An engine works in passes: prompts are read piece by piece between the steps of the answers that are
//! being written. What a request of the usual size takes of an engine follows from the service's
//! figures, the engine's accelerator, its part of the layers and the pace that it reports. With the
//! requests that run there it tells how near the engine is to having no time left. An engine that is
//! slow has little KV cache in use and nobody waiting, and may still be overloaded.

use sillbank_catalog::prelude::*;

/// Time of an engine that one request of the usual size takes, in milliseconds, when the engine runs
/// `layers` of the model's layers at `pace` times its usual times.
pub fn work_ms(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
    pace: f64,
) -> f64 {
    let tokens_per_ms = (figures.prefill_tokens_per_s / 1000.0).max(f64::MIN_POSITIVE);
    let read_ms = f64::from(figures.usual_prompt_tokens) / tokens_per_ms * kind.prefill_factor;
    let write_ms =
        f64::from(figures.usual_answer_tokens) * figures.step_ms_per_request * kind.step_factor;
    (read_ms + write_ms) * layers as f64 / f64::from(figures.layers.max(1)) * pace
}

/// How long a request of the usual size runs, in milliseconds, on engines that are well: a step for each
/// token of its answer, on accelerators of the service's middle speed.
pub fn usual_run_ms(figures: &EngineFigures) -> f64 {
    let count = figures.accelerators.len().max(1) as f64;
    let factors: f64 = figures.accelerators.iter().map(|kind| kind.step_factor).sum();
    f64::from(figures.usual_answer_tokens) * figures.step_ms * factors / count
}

/// Share of an engine's time that is taken when `requests` run there; above 1 it falls behind.
pub fn time_share(figures: &EngineFigures, requests: f64, work_ms: f64) -> f64 {
    requests * work_ms / usual_run_ms(figures).max(1.0)
}
