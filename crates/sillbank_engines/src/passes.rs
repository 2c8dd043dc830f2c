//! Costs of an engine's passes, from the service's figures.
//!
//! An engine works in passes, each of which takes all requests that wait. A pass consists of a few token
//! steps; each decoding request adds some time, and prompts are prefilled beside the steps. All costs are
//! proportional to the engine's share of the layers and to the pace that it reports.

use sillbank_catalog::prelude::*;

/// Largest plausible time in the figures, in milliseconds.
const MAX_MS: f64 = 60_000.0;
/// Largest plausible factor of an accelerator or a pace.
const MAX_FACTOR: f64 = 1_000.0;
/// Largest plausible number of requests at an engine.
const MAX_REQUESTS: f64 = 100_000.0;
/// Largest plausible number of tokens of one request.
const MAX_TOKENS: f64 = 10_000_000.0;
/// Prompt tokens prefilled beside a step if the figures have no value: a common setting of engines.
const DEFAULT_PREFILL_TOKENS_PER_STEP: f64 = 512.0;

/// Clamps a number; NaN becomes the minimum.
pub(crate) fn clamp_or_min(value: f64, min: f64, max: f64) -> f64 {
    if value.is_nan() { min } else { value.clamp(min, max) }
}

/// Clamps a number of requests to a plausible one.
pub(crate) fn clamp_requests(value: f64) -> f64 {
    clamp_or_min(value, 0.0, MAX_REQUESTS)
}

/// Clamps a number of tokens to a plausible one.
pub(crate) fn clamp_tokens(value: f64) -> f64 {
    clamp_or_min(value, 0.0, MAX_TOKENS)
}

/// Tokens that one pass produces for each request in it, which make up one event.
pub(crate) fn tokens_per_event(figures: &EngineFigures) -> f64 {
    f64::from(figures.steps_per_pass.max(1))
}

/// Number of events of an answer; at least one.
pub(crate) fn events(figures: &EngineFigures, answer_tokens: f64) -> f64 {
    (clamp_tokens(answer_tokens) / tokens_per_event(figures)).max(1.0)
}

/// Maximum number of prompt tokens that one pass prefills.
pub(crate) fn prefill_tokens_per_pass(figures: &EngineFigures) -> f64 {
    let per_step = match figures.prefill_tokens_per_step {
        0 => DEFAULT_PREFILL_TOKENS_PER_STEP,
        tokens => f64::from(tokens),
    };
    per_step * tokens_per_event(figures)
}

/// Costs of an engine's passes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PassCosts {
    /// The steps of a pass.
    pub(crate) steps_ms: f64,
    /// What a decoding request of the usual size adds to a pass.
    pub(crate) decode_ms: f64,
    /// Prefill of a prompt of the usual size.
    pub(crate) usual_prefill_ms: f64,
    prefill_ms_per_token: f64,
    /// Attention cost of each pair of prompt tokens.
    prefill_ms_per_pair: f64,
}

impl PassCosts {
    /// Costs at an engine that runs `layers` of the model's layers at `pace` times its usual times.
    pub(crate) fn new(
        figures: &EngineFigures,
        kind: &AcceleratorFigures,
        layers: usize,
        pace: f64,
    ) -> Self {
        let share = (layers as f64 / f64::from(figures.layers.max(1))).min(1.0);
        let scale = share * clamp_or_min(pace, 1.0, MAX_FACTOR);
        let step_factor = scale * clamp_or_min(kind.step_factor, 0.0, MAX_FACTOR);
        let prefill_factor = scale * clamp_or_min(kind.prefill_factor, 0.0, MAX_FACTOR);
        let steps = tokens_per_event(figures);
        let prompt = clamp_tokens(f64::from(figures.usual_prompt_tokens));
        // On average a request is halfway through its answer.
        let context = prompt + clamp_tokens(f64::from(figures.usual_answer_tokens)) / 2.0;
        let context_ms =
            clamp_or_min(figures.step_ms_per_k_context, 0.0, MAX_MS) * context / 1000.0;
        let request_ms = clamp_or_min(figures.step_ms_per_request, 0.0, MAX_MS);
        let mut costs = Self {
            steps_ms: steps * clamp_or_min(figures.step_ms, 0.0, MAX_MS) * step_factor,
            decode_ms: steps * (context_ms * step_factor + request_ms * prefill_factor),
            usual_prefill_ms: 0.0,
            prefill_ms_per_token: prefill_ms_per_token(figures) * prefill_factor,
            prefill_ms_per_pair: clamp_or_min(figures.prefill_ms_per_m_pairs, 0.0, MAX_MS) / 1e6
                * prefill_factor,
        };
        costs.usual_prefill_ms = costs.prefill_ms(prompt);
        costs
    }

    /// Prefill of a prompt.
    pub(crate) fn prefill_ms(&self, prompt_tokens: f64) -> f64 {
        let prompt_tokens = clamp_tokens(prompt_tokens);
        let pairs = prompt_tokens * prompt_tokens / 2.0;
        prompt_tokens * self.prefill_ms_per_token + pairs * self.prefill_ms_per_pair
    }

    /// Cost of an event of a usual answer beside the steps of its pass: what the request adds to the pass,
    /// and the prefill of its prompt divided by the number of `events`.
    pub(crate) fn event_ms(&self, events: f64) -> f64 {
        self.decode_ms + self.usual_prefill_ms / events
    }
}

/// Prefill of one token through all layers. Without a usable rate in the figures, prefill costs nothing.
fn prefill_ms_per_token(figures: &EngineFigures) -> f64 {
    let tokens_per_s = figures.prefill_tokens_per_s;
    if tokens_per_s > 0.0 { (1000.0 / tokens_per_s).min(MAX_MS) } else { 0.0 }
}
