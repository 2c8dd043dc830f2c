//! Estimates of the step times of an engine, learnt from its replies.

use sillbank_protocol::engine::EngineLoad;
use std::time::Duration;

/// Weight of a new observation in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Shortest silence after which an endpoint counts as frozen.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// How many times its usual step time an endpoint may stay silent.
const SILENCE_FACTOR: f64 = 6.0;

/// How many times its expected time a prefill may take.
const PREFILL_FACTOR: f64 = 3.0;

/// Moving averages of the step times of one endpoint, in microseconds.
#[derive(Debug, Clone, Default)]
pub struct StepCost {
    elapsed_us: f64,
    run_us: f64,
    batch: f64,
    /// Average square of the batch size, for the regression.
    batch_square: f64,
    /// Average product of batch time and batch size, for the regression.
    run_batch: f64,
    queued: f64,
    prefill_us_per_token: f64,
    seen: bool,
}

impl StepCost {
    /// Records a reply: the time from sending the step to its reply, the engine's load and the number of positions
    /// in the step.
    pub fn observe(&mut self, elapsed: Duration, load: &EngineLoad, positions: u32) {
        let elapsed_us = elapsed.as_micros() as f64;
        if positions > 1 {
            let per_token = elapsed_us / f64::from(positions);
            let seen = self.prefill_us_per_token > 0.0;
            update_average(&mut self.prefill_us_per_token, per_token, seen);
            return;
        }
        let (run, n) = (f64::from(load.run_us), f64::from(load.batch));
        let seen = self.seen;
        update_average(&mut self.elapsed_us, elapsed_us, seen);
        update_average(&mut self.run_us, run, seen);
        update_average(&mut self.batch, n, seen);
        update_average(&mut self.queued, f64::from(load.queued), seen);
        update_average(&mut self.batch_square, n * n, seen);
        update_average(&mut self.run_batch, run * n, seen);
        self.seen = true;
    }

    /// Average time from sending a decode step to its reply, or `None` before the first one.
    pub fn elapsed_us(&self) -> Option<f64> {
        self.seen.then_some(self.elapsed_us)
    }

    /// Expected time of a decode step with `added` more requests than at the last report, or `None` before the
    /// first decode step.
    pub fn expected_us(&self, added: u32) -> Option<f64> {
        let known = self.elapsed_us()?;
        Some(known + self.marginal_us().max(known / 64.0) * f64::from(added))
    }

    /// Average ratio of queued steps to steps in a batch: 0 while batches are not full.
    pub fn backlog(&self) -> f64 {
        self.queued / self.batch.max(1.0)
    }

    /// Expected time of a prefill of this many positions.
    pub fn prefill_us(&self, positions: u32) -> f64 {
        self.prefill_us_per_token * f64::from(positions)
    }

    /// Average time of a step spent neither waiting nor running at the engine, that is on the network.
    pub fn link_us(&self, wait_us: u32) -> f64 {
        (self.elapsed_us - self.run_us - f64::from(wait_us)).max(0.0)
    }

    /// Additional batch time for one more request in the batch, by linear regression over the observations.
    pub fn marginal_us(&self) -> f64 {
        let variance = self.batch_square - self.batch * self.batch;
        if variance < 0.5 {
            return self.run_us / (self.batch + 8.0);
        }
        let slope = (self.run_batch - self.run_us * self.batch) / variance;
        slope.clamp(0.0, self.run_us)
    }

    /// Returns how long the endpoint may stay silent with this many positions of prefill outstanding.
    ///
    /// The ceiling applies to decode steps only; a prefill may take longer if its expected time is longer.
    pub fn silence_limit(&self, prefill_positions: u32, ceiling: Duration) -> Duration {
        let usual = Duration::from_micros((self.elapsed_us * SILENCE_FACTOR) as u64);
        let decode = match self.seen {
            true => usual.max(MIN_SILENCE).min(ceiling),
            false => ceiling,
        };
        let prefill_us = self.prefill_us(prefill_positions) * PREFILL_FACTOR;
        decode + Duration::from_micros(prefill_us as u64)
    }
}

fn update_average(value: &mut f64, sample: f64, seen: bool) {
    *value = if seen { *value + SMOOTHING_FACTOR * (sample - *value) } else { sample };
}
