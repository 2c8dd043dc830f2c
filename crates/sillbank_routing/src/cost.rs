//! What a step costs at one engine, learnt from its replies.

use sillbank_protocol::engine::EngineLoad;
use std::time::Duration;

/// Weight of a new observation.
const GAIN: f64 = 0.1;
/// Shortest silence that counts as a freeze.
const SILENCE_FLOOR: Duration = Duration::from_millis(150);
/// How many usual step times an endpoint may stay silent.
const SILENCE_FACTOR: f64 = 6.0;

/// How many times its usual time a prefill may take.
const PREFILL_FACTOR: f64 = 3.0;

/// Running estimates of one endpoint's step times, all in microseconds.
#[derive(Debug, Clone, Default)]
pub struct StepCost {
    elapsed_us: f64,
    run_us: f64,
    batch: f64,
    batch_square: f64,
    run_batch: f64,
    queued: f64,
    prefill_us_per_token: f64,
    seen: bool,
}

impl StepCost {
    /// Takes a reply: time from sending to reply, the engine's load, positions of the step.
    pub fn observe(&mut self, elapsed: Duration, load: &EngineLoad, positions: u32) {
        let elapsed_us = elapsed.as_micros() as f64;
        if positions > 1 {
            let per_token = elapsed_us / f64::from(positions);
            let seen = self.prefill_us_per_token > 0.0;
            blend(&mut self.prefill_us_per_token, per_token, seen);
            return;
        }
        let (run, n) = (f64::from(load.run_us), f64::from(load.batch));
        let seen = self.seen;
        blend(&mut self.elapsed_us, elapsed_us, seen);
        blend(&mut self.run_us, run, seen);
        blend(&mut self.batch, n, seen);
        blend(&mut self.queued, f64::from(load.queued), seen);
        blend(&mut self.batch_square, n * n, seen);
        blend(&mut self.run_batch, run * n, seen);
        self.seen = true;
    }

    /// Usual time from sending a decode step to its reply, if any was seen.
    pub fn elapsed_us(&self) -> Option<f64> {
        self.seen.then_some(self.elapsed_us)
    }

    /// Expected time of a decode step with some requests more than at the last report.
    pub fn expected_us(&self, added: u32) -> Option<f64> {
        let known = self.elapsed_us()?;
        Some(known + self.marginal_us().max(known / 64.0) * f64::from(added))
    }

    /// Steps that wait for each one in a batch: nothing while batches are not full.
    pub fn backlog(&self) -> f64 {
        self.queued / self.batch.max(1.0)
    }

    /// Expected time of a prefill of so many positions.
    pub fn prefill_us(&self, positions: u32) -> f64 {
        self.prefill_us_per_token * f64::from(positions)
    }

    /// Time that goes beyond waiting and running: the link.
    pub fn link_us(&self, wait_us: u32) -> f64 {
        (self.elapsed_us - self.run_us - f64::from(wait_us)).max(0.0)
    }

    /// Extra batch time for one more request in the batch, by regression over what was seen.
    pub fn marginal_us(&self) -> f64 {
        let variance = self.batch_square - self.batch * self.batch;
        if variance < 0.5 {
            return self.run_us / (self.batch + 8.0);
        }
        let slope = (self.run_batch - self.run_us * self.batch) / variance;
        slope.clamp(0.0, self.run_us)
    }

    /// How long the endpoint may stay silent with so many positions of prefill outstanding.
    ///
    /// The ceiling is for decode steps; a prefill that is known to take longer is waited for.
    pub fn silence_limit(&self, prefill_positions: u32, ceiling: Duration) -> Duration {
        let usual = Duration::from_micros((self.elapsed_us * SILENCE_FACTOR) as u64);
        let decode = match self.seen {
            true => usual.max(SILENCE_FLOOR).min(ceiling),
            false => ceiling,
        };
        let prefill_us = self.prefill_us(prefill_positions) * PREFILL_FACTOR;
        decode + Duration::from_micros(prefill_us as u64)
    }
}

fn blend(value: &mut f64, sample: f64, seen: bool) {
    *value = if seen { *value + GAIN * (sample - *value) } else { sample };
}
