//! Model of the share of an engine's time that its requests use.
//!
//! An engine works in passes: prompts are prefilled in chunks between the decoding steps of running
//! requests. The time for a request of the usual size follows from the service's figures, the
//! accelerator, the engine's share of the layers and the pace that it reports. Multiplied by the
//! requests that run there, it shows how close the engine is to overload. KV cache does not show it: a
//! slow engine may be overloaded with little KV cache in use and no request waiting.

use sillbank_catalog::prelude::*;

/// Time of an engine that one request of the usual size uses, in milliseconds.
///
/// The engine runs `layers` of the model's layers; `pace` is a factor on its usual times.
pub fn request_work_ms(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
    pace: f64,
) -> f64 {
    let tokens_per_ms = (figures.prefill_tokens_per_s / 1000.0).max(f64::MIN_POSITIVE);
    let prefill_ms = f64::from(figures.usual_prompt_tokens) / tokens_per_ms * kind.prefill_factor;
    let decode_ms =
        f64::from(figures.usual_answer_tokens) * figures.step_ms_per_request * kind.step_factor;
    (prefill_ms + decode_ms) * layers as f64 / f64::from(figures.layers.max(1)) * pace
}

/// How long a request of the usual size runs on healthy engines, in milliseconds: one step for each
/// token of its answer, at the mean speed of the service's accelerators.
pub fn usual_run_ms(figures: &EngineFigures) -> f64 {
    let count = figures.accelerators.len().max(1) as f64;
    let factors: f64 = figures.accelerators.iter().map(|kind| kind.step_factor).sum();
    f64::from(figures.usual_answer_tokens) * figures.step_ms * factors / count
}

/// Share of an engine's time that `requests` use at `request_work_ms` each; above 1 it falls behind.
pub fn time_share(figures: &EngineFigures, requests: f64, request_work_ms: f64) -> f64 {
    requests * request_work_ms / usual_run_ms(figures).max(1.0)
}
