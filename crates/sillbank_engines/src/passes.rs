//! What the passes of one engine cost, by the service's figures.
//!
//! An engine works in passes over all that waits. A pass plays a few token steps; each request that writes in
//! it adds some time, and prompts are read beside the steps. All of it is in proportion to the engine's part
//! of the layers and to the pace that it reports.

use sillbank_catalog::prelude::*;

/// Longest time of a figure that is believed, in milliseconds.
const MOST_MS: f64 = 60_000.0;
/// Largest factor of an accelerator, or of a pace, that is believed.
const MOST_FACTOR: f64 = 1_000.0;
/// Most requests at an engine that are believed.
const MOST_REQUESTS: f64 = 100_000.0;
/// Most tokens of one request that are believed.
const MOST_TOKENS: f64 = 10_000_000.0;
/// Prompt tokens read beside a step where the figures do not tell: a usual setting of engines.
const USUAL_TOKENS_PER_STEP: f64 = 512.0;

/// A number within bounds; one that is no number is taken for the least.
pub(crate) fn within(value: f64, least: f64, most: f64) -> f64 {
    if value.is_nan() { least } else { value.clamp(least, most) }
}

/// A number of requests.
pub(crate) fn requests(value: f64) -> f64 {
    within(value, 0.0, MOST_REQUESTS)
}

/// A number of tokens.
pub(crate) fn tokens(value: f64) -> f64 {
    within(value, 0.0, MOST_TOKENS)
}

/// Tokens that one pass writes for each request in it: those of one event.
pub(crate) fn tokens_per_event(figures: &EngineFigures) -> f64 {
    f64::from(figures.steps_per_pass.max(1))
}

/// Events of an answer of so many tokens; at least one.
pub(crate) fn events(figures: &EngineFigures, answer_tokens: f64) -> f64 {
    (tokens(answer_tokens) / tokens_per_event(figures)).max(1.0)
}

/// Most prompt tokens that one pass reads.
pub(crate) fn read_tokens_per_pass(figures: &EngineFigures) -> f64 {
    let per_step = match figures.prefill_tokens_per_step {
        0 => USUAL_TOKENS_PER_STEP,
        told => f64::from(told),
    };
    per_step * tokens_per_event(figures)
}

/// Costs of an engine's passes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PassCosts {
    /// The steps of a pass.
    pub(crate) steps_ms: f64,
    /// What a request of the usual size adds to a pass in which it writes.
    pub(crate) writer_ms: f64,
    /// Reading a prompt of the usual size.
    pub(crate) usual_read_ms: f64,
    read_ms_per_token: f64,
    read_ms_per_pair: f64,
}

impl PassCosts {
    /// Costs at an engine of a kind that runs `layers` of the model's layers at `pace` times its usual times.
    pub(crate) fn new(
        figures: &EngineFigures,
        kind: &AcceleratorFigures,
        layers: usize,
        pace: f64,
    ) -> Self {
        let share = (layers as f64 / f64::from(figures.layers.max(1))).min(1.0);
        let scale = share * within(pace, 1.0, MOST_FACTOR);
        let step_factor = scale * within(kind.step_factor, 0.0, MOST_FACTOR);
        let read_factor = scale * within(kind.prefill_factor, 0.0, MOST_FACTOR);
        let steps = tokens_per_event(figures);
        let prompt = tokens(f64::from(figures.usual_prompt_tokens));
        // A request is seen halfway through its answer on average.
        let context = prompt + tokens(f64::from(figures.usual_answer_tokens)) / 2.0;
        let context_ms = within(figures.step_ms_per_k_context, 0.0, MOST_MS) * context / 1000.0;
        let request_ms = within(figures.step_ms_per_request, 0.0, MOST_MS);
        let mut costs = Self {
            steps_ms: steps * within(figures.step_ms, 0.0, MOST_MS) * step_factor,
            writer_ms: steps * (context_ms * step_factor + request_ms * read_factor),
            usual_read_ms: 0.0,
            read_ms_per_token: read_ms_per_token(figures) * read_factor,
            read_ms_per_pair: within(figures.prefill_ms_per_m_pairs, 0.0, MOST_MS) / 1e6
                * read_factor,
        };
        costs.usual_read_ms = costs.read_ms(prompt);
        costs
    }

    /// Reading a prompt of so many tokens.
    pub(crate) fn read_ms(&self, prompt_tokens: f64) -> f64 {
        let prompt_tokens = tokens(prompt_tokens);
        let pairs = prompt_tokens * prompt_tokens / 2.0;
        prompt_tokens * self.read_ms_per_token + pairs * self.read_ms_per_pair
    }

    /// What an event of a usual answer asks of the engine beside the steps of its pass: what the request adds
    /// to the pass, and its part of the prompt that is read for so many `events`.
    pub(crate) fn event_ms(&self, events: f64) -> f64 {
        self.writer_ms + self.usual_read_ms / events
    }
}

/// Reading a token over all layers. Figures without a usable rate are taken for engines that read at once.
fn read_ms_per_token(figures: &EngineFigures) -> f64 {
    let tokens_per_s = figures.prefill_tokens_per_s;
    if tokens_per_s > 0.0 { (1000.0 / tokens_per_s).min(MOST_MS) } else { 0.0 }
}
