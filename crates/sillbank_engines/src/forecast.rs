//! What a stream's caller will see: its first event and its longest pause, worked out from what the engines of
//! its path have to do.
//!
//! Each event of a stream passes the engines of its path in turn. At each it waits for the pass under way,
//! half a pass on average, and then for the pass that it is part of. While a stream is at one engine it is
//! not at the others, so a pass holds only those requests whose event waits there. Prompts are read at the
//! rate at which requests come: by Little's law, the requests at once over the time for which one runs.

use crate::demand::Demand;
use crate::passes::{self, PassCosts};
use crate::room::kv_capacity;
use sillbank_catalog::prelude::*;
use std::time::Duration;

/// Part of a pause's objective that engines may use up. The rest is for the way to the caller and for what
/// the figures do not tell: requests that are put back and read again, streams that are moved.
const PAUSE_PART: f64 = 0.8;
/// Passes that an event takes at an engine that is never idle: half of the one under way, and its own.
const BUSY_PASSES: f64 = 1.5;
/// How many standard deviations the longest of an answer's pauses lies above the mean: that of some fifty,
/// taken for normal.
const LONGEST_DEVIATIONS: f64 = 2.3;
/// Mean square of the time to read a prompt over the square of its mean. Sizes of prompts spread about as
/// much as their mean.
const READ_SQUARES: f64 = 2.0;
/// Variance of a wait of up to one pass, in squares of a pass.
const WAIT_VARIANCE: f64 = 1.0 / 12.0;
/// Longest time that is foretold: no caller waits for longer.
const LONGEST: Duration = Duration::from_secs(60);
/// Halvings of a bracket: what is left of it is far below a millisecond, or a request.
const HALVINGS: u32 = 30;

/// What an engine of a path has to do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad<'a> {
    /// Its accelerator.
    pub kind: &'a AcceleratorFigures,
    /// Layers that it runs for the requests.
    pub layers: usize,
    /// Requests that write.
    pub running: f64,
    /// Requests whose first token is still to come.
    pub waiting: f64,
    /// Factor on its usual times.
    pub pace: f64,
}

/// What a caller is likely to see of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Predicted {
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Longest pause between two events.
    pub pause: Duration,
}

/// Requests at once at an engine of a kind that runs `layers` at `pace` times its usual times, up to which a
/// stream whose path consists of engines like it keeps its pauses; from 1 to the engine's places. Prompts are
/// read at the rate that goes with so many requests. Without an objective no pause is missed, and an engine
/// without layers carries nothing.
pub fn requests_in_time(
    figures: &EngineFigures,
    kind: &AcceleratorFigures,
    layers: usize,
    pace: f64,
    pause_objective: Duration,
) -> f64 {
    let most = f64::from(figures.slots.max(1));
    if pause_objective.is_zero() {
        return most;
    }
    if layers == 0 {
        return 1.0;
    }
    let limit_ms = pause_objective.as_secs_f64() * 1000.0 * PAUSE_PART;
    let alike = PathOfAlike::new(figures, kind, layers, pace);
    let most = most.min(alike.most_that_are_read()).max(1.0);
    if alike.longest_pause_ms(most) <= limit_ms {
        return most;
    }
    let (mut kept, mut missed) = (1.0, most);
    for _ in 0..HALVINGS {
        let middle = (kept + missed) / 2.0;
        match alike.longest_pause_ms(middle) <= limit_ms {
            true => kept = middle,
            false => missed = middle,
        }
    }
    kept
}

/// A path of engines that are all alike and never idle.
struct PathOfAlike {
    engines: f64,
    events: f64,
    costs: PassCosts,
    /// Prompts of the usual size that a pass can read.
    reads_per_pass: f64,
}

impl PathOfAlike {
    fn new(figures: &EngineFigures, kind: &AcceleratorFigures, layers: usize, pace: f64) -> Self {
        let prompt_tokens = f64::from(figures.usual_prompt_tokens.max(1));
        Self {
            engines: (f64::from(figures.layers) / layers as f64).max(1.0),
            events: passes::events(figures, f64::from(figures.usual_answer_tokens)),
            costs: PassCosts::new(figures, kind, layers, pace),
            reads_per_pass: passes::read_tokens_per_pass(figures) / prompt_tokens,
        }
    }

    /// Requests at once whose prompts its passes can read, however long they are: a request passes each engine
    /// once in each of its events.
    fn most_that_are_read(&self) -> f64 {
        self.reads_per_pass * self.events * BUSY_PASSES * self.engines
    }

    /// Longest pause of an answer while so many requests run.
    fn longest_pause_ms(&self, requests: f64) -> f64 {
        // A pass holds `requests / (1.5 * engines)` events, so its time is that of its steps and of these.
        let steps_ms = BUSY_PASSES * self.engines * self.costs.steps_ms;
        let event_ms = steps_ms + requests * self.costs.event_ms(self.events);
        let reads = reads_variance(&self.costs, requests, self.events);
        longest_ms(event_ms, self.engines, reads)
    }
}

/// What the caller of one more request on a path through these engines will see. More requests or a slower
/// pace never make it sooner.
pub fn forecast(figures: &EngineFigures, parts: &[EngineLoad<'_>], demand: Demand) -> Predicted {
    let events = passes::events(figures, f64::from(figures.usual_answer_tokens));
    let engines: Vec<Engine> =
        parts.iter().map(|part| Engine::new(figures, part, events)).collect();
    let event_ms = event_ms(&engines);
    let most_tokens = passes::read_tokens_per_pass(figures);
    // Each part of a prompt passes the engines as an event does; the last one brings the first tokens.
    let passes = (passes::tokens(demand.prompt_tokens) / most_tokens).ceil().max(1.0);
    let mut first_ms = passes * event_ms;
    let mut queue_ms: f64 = 0.0;
    let mut reads: f64 = 0.0;
    for (number, (engine, part)) in engines.iter().zip(parts).enumerate() {
        first_ms += engine.costs.read_ms(demand.prompt_tokens);
        // Those that wait are the same at all engines of a path, so the slowest queue holds them. Those without
        // room are read as room comes.
        let for_room_ms = part.wait_for_room_ms(figures, number, events * event_ms);
        queue_ms = queue_ms.max(for_room_ms).max(engine.read_queue_ms(figures));
        reads = reads.max(reads_variance(&engine.costs, engine.running, events));
    }
    let pause_ms = longest_ms(event_ms, parts.len() as f64, reads);
    Predicted { first_event: time(queue_ms + first_ms), pause: time(pause_ms) }
}

/// Longest of an answer's pauses, from their mean and from the variance by prompts that are read. A wait lies
/// anywhere between nothing and a whole pass; those of the path's engines add up.
fn longest_ms(event_ms: f64, engines: f64, reads_variance: f64) -> f64 {
    let pass_ms = event_ms / (BUSY_PASSES * engines.max(1.0));
    let waits_variance = engines * WAIT_VARIANCE * pass_ms * pass_ms;
    event_ms + LONGEST_DEVIATIONS * (waits_variance + reads_variance).sqrt()
}

/// Variance of the time of an event, in squares of milliseconds, by the prompts that happen to be read in its
/// passes on a path of engines like this one: as many as requests begin meanwhile.
fn reads_variance(costs: &PassCosts, requests: f64, events: f64) -> f64 {
    requests / events * READ_SQUARES * costs.usual_read_ms * costs.usual_read_ms
}

fn time(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(LONGEST).min(LONGEST)
}

/// An engine of a path, with one more request.
struct Engine {
    costs: PassCosts,
    /// Requests beside the one more.
    running: f64,
    waiting: f64,
    /// What one event of each request takes of it, beside the steps of passes.
    events_ms: f64,
}

impl Engine {
    fn new(figures: &EngineFigures, part: &EngineLoad<'_>, events: f64) -> Self {
        let costs = PassCosts::new(figures, part.kind, part.layers, part.pace);
        let running = passes::requests(part.running);
        let events_ms = (running + 1.0) * costs.event_ms(events);
        Self { costs, running, waiting: passes::requests(part.waiting), events_ms }
    }

    /// Part of a pass for which an event waits before its own: half of one if another is under way.
    fn wait(&self, event_ms: f64) -> f64 {
        let busy_ms = self.running * self.costs.steps_ms;
        let busy = if busy_ms < event_ms { busy_ms / event_ms } else { 1.0 };
        (BUSY_PASSES - 1.0) * busy
    }

    /// Time to read the prompts that wait.
    fn read_queue_ms(&self, figures: &EngineFigures) -> f64 {
        let tokens = self.waiting * passes::tokens(f64::from(figures.usual_prompt_tokens));
        let passes = (tokens / passes::read_tokens_per_pass(figures)).floor();
        passes * self.costs.steps_ms + self.waiting * self.costs.usual_read_ms
    }
}

/// Mean time of an event on a path: the time in which the passes that it takes part in, and the waits before
/// them, are over. It is the one time `t` for which the sum of `(1 + wait) * steps / (t - events)` over the
/// engines is 1; the sum falls with `t`.
fn event_ms(engines: &[Engine]) -> f64 {
    let most_events_ms = engines.iter().map(|engine| engine.events_ms).fold(0.0, f64::max);
    let steps_ms: f64 = engines.iter().map(|engine| engine.costs.steps_ms).sum();
    let least = engines.iter().map(|engine| engine.events_ms + engine.costs.steps_ms);
    let mut low = least.fold(0.0, f64::max);
    let mut high = most_events_ms + BUSY_PASSES * steps_ms;
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        let passes_ms = engines.iter().map(|engine| {
            (1.0 + engine.wait(middle)) * engine.costs.steps_ms
                / (middle - engine.events_ms).max(f64::MIN_POSITIVE)
        });
        match passes_ms.sum::<f64>() > 1.0 {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

impl EngineLoad<'_> {
    /// Time until the engine, at the place `number` of the path, has room for one more request: those beyond
    /// what it has room for begin as others end, each after `run_ms`.
    fn wait_for_room_ms(&self, figures: &EngineFigures, number: usize, run_ms: f64) -> f64 {
        let usual = Demand::usual(figures);
        let tokens = usual.prompt_tokens + usual.answer_tokens / 2.0;
        let kv_places = kv_capacity(figures, self.kind, self.layers)
            .map(|capacity| capacity / (tokens * self.layers as f64))
            .filter(|places| places.is_finite());
        let slots = (number == 0).then_some(f64::from(figures.slots));
        let Some(places) = kv_places.into_iter().chain(slots).reduce(f64::min) else {
            return 0.0;
        };
        let places = places.max(1.0);
        let beyond = passes::requests(self.running) + passes::requests(self.waiting) + 1.0 - places;
        beyond.max(0.0) * run_ms / places
    }
}
