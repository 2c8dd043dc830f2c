//! Forecast of a stream's first event and longest pause, from the load of the engines on its path.
//!
//! Each event of a stream passes the engines of its path in turn. At each engine it waits for the current
//! pass, on average for half a pass, and then for its own pass. While a stream is at one engine it is not at
//! the others, so a pass contains only the requests whose event waits at that engine. Prompts are prefilled
//! at the arrival rate of requests: by Little's law, the concurrent requests divided by the time for which
//! one runs.

use crate::kv_cache::kv_capacity;
use crate::passes::{self, PassCosts};
use crate::request_size::RequestSize;
use sillbank_catalog::prelude::*;
use std::time::Duration;

/// Share of the pause objective that engines may use. The rest is for the network to the caller and for
/// what the model leaves out: requests that are preempted and prefilled again, streams that are moved.
const ENGINE_PAUSE_SHARE: f64 = 0.8;
/// Passes that an event takes at an engine that is never idle: half of the current one, and its own.
const BUSY_PASSES: f64 = 1.5;
/// Distance of an answer's longest pause from the mean, in standard deviations: the expected maximum of about
/// fifty pauses with a normal distribution.
const MAX_PAUSE_DEVIATIONS: f64 = 2.3;
/// Mean square of the prefill time divided by its squared mean. The standard deviation of prompt sizes is
/// about their mean.
const PREFILL_SQUARE_RATIO: f64 = 2.0;
/// Variance of a wait between zero and one pass, uniformly distributed, in squared passes.
const WAIT_VARIANCE: f64 = 1.0 / 12.0;
/// Upper limit of forecasts: no caller waits for longer.
const MAX_FORECAST: Duration = Duration::from_secs(60);
/// Bisection steps: the remaining interval is far below a millisecond or a request.
const BISECTION_STEPS: u32 = 30;

/// Load of one engine of a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad<'a> {
    /// Figures of its accelerator.
    pub kind: &'a AcceleratorFigures,
    /// Number of layers that it runs for the requests.
    pub layers: usize,
    /// Requests that are decoding.
    pub running: f64,
    /// Requests that have no first token yet.
    pub waiting: f64,
    /// Factor on its usual times.
    pub pace: f64,
}

/// Forecast of what the caller of a stream will see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForecastTimes {
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Longest pause between two events.
    pub pause: Duration,
    /// Mean time between two events.
    pub event_interval: Duration,
}

/// Maximum number of concurrent requests at an engine with which a stream still meets its pause objective,
/// if all engines of its path are like this one.
///
/// The engine runs `layers` layers at `pace` times its usual times. The result is between 1 and the engine's
/// slots: the slots without an objective, and 1 for an engine without layers. Prompts are prefilled at the
/// rate that follows from the number of requests.
pub fn max_requests_for_pause(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
    pace: f64,
    pause_objective: Duration,
) -> f64 {
    let max = f64::from(figures.slots.max(1));
    if pause_objective.is_zero() {
        return max;
    }
    if layers == 0 {
        return 1.0;
    }
    let limit_ms = pause_objective.as_secs_f64() * 1000.0 * ENGINE_PAUSE_SHARE;
    let path = UniformPath::new(figures, kind, layers, pace);
    let max = max.min(path.max_prefilled_requests()).max(1.0);
    if path.longest_pause_ms(max) <= limit_ms {
        return max;
    }
    let (mut met, mut missed) = (1.0, max);
    for _ in 0..BISECTION_STEPS {
        let middle = (met + missed) / 2.0;
        match path.longest_pause_ms(middle) <= limit_ms {
            true => met = middle,
            false => missed = middle,
        }
    }
    met
}

/// A path of identical engines that are never idle.
struct UniformPath {
    engines: f64,
    events: f64,
    costs: PassCosts,
    /// Prompts of the usual size that a pass can prefill.
    prefills_per_pass: f64,
}

impl UniformPath {
    fn new(figures: &EngineFigures, kind: &AcceleratorFigures, layers: usize, pace: f64) -> Self {
        let prompt_tokens = f64::from(figures.usual_prompt_tokens.max(1));
        Self {
            engines: (f64::from(figures.layers) / layers as f64).max(1.0),
            events: passes::events(figures, f64::from(figures.usual_answer_tokens)),
            costs: PassCosts::new(figures, kind, layers, pace),
            prefills_per_pass: passes::prefill_tokens_per_pass(figures) / prompt_tokens,
        }
    }

    /// Concurrent requests whose prompts the passes can prefill, however long the passes are: a request
    /// passes each engine once in each of its events.
    fn max_prefilled_requests(&self) -> f64 {
        self.prefills_per_pass * self.events * BUSY_PASSES * self.engines
    }

    /// Longest pause of an answer while `requests` requests run.
    fn longest_pause_ms(&self, requests: f64) -> f64 {
        // A pass contains `requests / (1.5 * engines)` events, so its time is that of its steps and of these.
        let steps_ms = BUSY_PASSES * self.engines * self.costs.steps_ms;
        let event_ms = steps_ms + requests * self.costs.event_ms(self.events);
        let prefill_variance = prefill_variance(&self.costs, requests, self.events);
        max_pause_ms(event_ms, self.engines, prefill_variance)
    }
}

/// Forecasts what the caller of one more request on a path through these engines will see.
///
/// More requests or a slower pace never shorten a forecast.
pub fn forecast(
    figures: &EngineFigures,
    parts: &[EngineLoad<'_>],
    size: RequestSize,
) -> ForecastTimes {
    let events = passes::events(figures, f64::from(figures.usual_answer_tokens));
    let engines: Vec<Engine> =
        parts.iter().map(|part| Engine::new(figures, part, events)).collect();
    let event_ms = event_ms(&engines);
    let max_tokens = passes::prefill_tokens_per_pass(figures);
    // Each chunk of a prompt passes the engines as an event does; the last one yields the first tokens.
    let passes = (passes::clamp_tokens(size.prompt_tokens) / max_tokens).ceil().max(1.0);
    let mut first_ms = passes * event_ms;
    let mut queue_ms: f64 = 0.0;
    let mut max_prefill_variance: f64 = 0.0;
    for (position, (engine, part)) in engines.iter().zip(parts).enumerate() {
        first_ms += engine.costs.prefill_ms(size.prompt_tokens);
        // All engines of a path have the same waiting requests, so only the slowest queue counts. Requests
        // beyond the capacity are prefilled once others end.
        let capacity_ms = part.capacity_wait_ms(figures, position, events * event_ms);
        queue_ms = queue_ms.max(capacity_ms).max(engine.prefill_queue_ms(figures));
        max_prefill_variance =
            max_prefill_variance.max(prefill_variance(&engine.costs, engine.running, events));
    }
    let pause_ms = max_pause_ms(event_ms, parts.len() as f64, max_prefill_variance);
    ForecastTimes {
        first_event: capped(queue_ms + first_ms),
        pause: capped(pause_ms),
        event_interval: capped(event_ms),
    }
}

/// Number of events of an answer of so many tokens; at least one.
pub fn events_of(figures: &EngineFigures, tokens: u32) -> u32 {
    passes::events(figures, f64::from(tokens)).ceil() as u32
}

/// Longest pause of an answer, from the mean time of an event and the variance caused by prefills.
///
/// The wait at each engine is anywhere between zero and one pass; the waits of the path's engines add up.
fn max_pause_ms(event_ms: f64, engines: f64, prefill_variance: f64) -> f64 {
    let pass_ms = event_ms / (BUSY_PASSES * engines.max(1.0));
    let wait_variance = engines * WAIT_VARIANCE * pass_ms * pass_ms;
    event_ms + MAX_PAUSE_DEVIATIONS * (wait_variance + prefill_variance).sqrt()
}

/// Variance of the time of an event that is caused by prefills in its passes, in squared milliseconds, on a
/// path of engines like this one. There are as many prefills as requests that start during the event.
fn prefill_variance(costs: &PassCosts, requests: f64, events: f64) -> f64 {
    requests / events * PREFILL_SQUARE_RATIO * costs.usual_prefill_ms * costs.usual_prefill_ms
}

/// Converts a time to a duration of at most [`MAX_FORECAST`].
fn capped(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(MAX_FORECAST).min(MAX_FORECAST)
}

/// An engine of a path, with one more request.
struct Engine {
    costs: PassCosts,
    /// Decoding requests, without the one more.
    running: f64,
    waiting: f64,
    /// Time of one event of each request, without the steps of passes.
    events_ms: f64,
}

impl Engine {
    fn new(figures: &EngineFigures, part: &EngineLoad<'_>, events: f64) -> Self {
        let costs = PassCosts::new(figures, part.kind, part.layers, part.pace);
        let running = passes::clamp_requests(part.running);
        let events_ms = (running + 1.0) * costs.event_ms(events);
        Self { costs, running, waiting: passes::clamp_requests(part.waiting), events_ms }
    }

    /// Mean number of passes for which an event waits before its own: half of one if another is running.
    fn wait_passes(&self, event_ms: f64) -> f64 {
        let busy_ms = self.running * self.costs.steps_ms;
        let busy_share = if busy_ms < event_ms { busy_ms / event_ms } else { 1.0 };
        (BUSY_PASSES - 1.0) * busy_share
    }

    /// Time to prefill the prompts of waiting requests.
    fn prefill_queue_ms(&self, figures: &EngineFigures) -> f64 {
        let tokens = self.waiting * passes::clamp_tokens(f64::from(figures.usual_prompt_tokens));
        let passes = (tokens / passes::prefill_tokens_per_pass(figures)).floor();
        passes * self.costs.steps_ms + self.waiting * self.costs.usual_prefill_ms
    }
}

/// Mean time of an event on a path: its passes and the waits before them.
///
/// It is the one time `t` for which the sum of `(1 + wait) * steps / (t - events)` over the engines is 1.
/// The sum falls as `t` grows, so bisection finds it.
fn event_ms(engines: &[Engine]) -> f64 {
    let max_events_ms = engines.iter().map(|engine| engine.events_ms).fold(0.0, f64::max);
    let steps_ms: f64 = engines.iter().map(|engine| engine.costs.steps_ms).sum();
    let lower_bounds = engines.iter().map(|engine| engine.events_ms + engine.costs.steps_ms);
    let mut low = lower_bounds.fold(0.0, f64::max);
    let mut high = max_events_ms + BUSY_PASSES * steps_ms;
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        let terms = engines.iter().map(|engine| {
            (1.0 + engine.wait_passes(middle)) * engine.costs.steps_ms
                / (middle - engine.events_ms).max(f64::MIN_POSITIVE)
        });
        match terms.sum::<f64>() > 1.0 {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

impl EngineLoad<'_> {
    /// Time until the engine at `position` of the path has capacity for one more request.
    ///
    /// Requests beyond its capacity start as others end, each of which runs for `run_ms`.
    fn capacity_wait_ms(&self, figures: &EngineFigures, position: usize, run_ms: f64) -> f64 {
        let usual = RequestSize::usual(figures);
        let tokens = usual.prompt_tokens + usual.answer_tokens / 2.0;
        let kv_requests = kv_capacity(figures, self.kind, self.layers)
            .map(|capacity| capacity / (tokens * self.layers as f64))
            .filter(|requests| requests.is_finite());
        let slots = (position == 0).then_some(f64::from(figures.slots));
        let Some(capacity) = kv_requests.into_iter().chain(slots).reduce(f64::min) else {
            return 0.0;
        };
        let capacity = capacity.max(1.0);
        let excess =
            passes::clamp_requests(self.running) + passes::clamp_requests(self.waiting) + 1.0
                - capacity;
        excess.max(0.0) * run_ms / capacity
    }
}
