//! What earlier answers of streams showed.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of values that are remembered.
const REMEMBERED: usize = 256;
/// Number of values below which nothing is concluded from them.
const MIN_REMEMBERED: usize = 32;
/// Number of values above a bound below which nothing is concluded from them.
const MIN_GREATER: usize = 8;

/// Number of events of an answer below which its steady pace says little.
const MIN_STEADY_EVENTS: u64 = 8;

/// Last values of a quantity, and their quantiles.
#[derive(Debug, Clone, Default)]
pub struct RecentValues {
    values: VecDeque<f64>,
}

impl RecentValues {
    /// Records a value. Values that are not positive are ignored.
    pub fn record(&mut self, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        if self.values.len() == REMEMBERED {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    /// Whether enough values are known to conclude from them.
    pub fn is_known(&self) -> bool {
        self.values.len() >= MIN_REMEMBERED
    }

    /// The smallest value that at least the given share of those values does not exceed that are greater than `floor`; `None`
    /// while too few are known, or too few are greater.
    pub fn quantile_above(&self, floor: f64, share: f64) -> Option<f64> {
        let mut sorted: Vec<f64> =
            self.values.iter().copied().filter(|value| *value > floor).collect();
        if !self.is_known() || sorted.len() < MIN_GREATER {
            return None;
        }
        sorted.sort_by(f64::total_cmp);
        let rank = (share.clamp(0.0, 1.0) * sorted.len() as f64).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }

    /// The largest value; `None` while too few are known.
    pub fn max(&self) -> Option<f64> {
        self.quantile(1.0)
    }

    /// The smallest value that at least the given share of the values does not exceed; `None` while too few are known.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        self.quantile_above(0.0, share)
    }
}

/// An answer that is whole, and what was expected of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Time to its first event.
    pub first_event: Duration,
    /// Mean time between its events; `None` if it had one event.
    pub event_interval: Option<Duration>,
    /// The same without the longest pause, which may be a silence of its endpoint.
    pub steady_interval: Option<Duration>,
    /// Time from the request to its end.
    pub total: Duration,
    /// Number of its events.
    pub events: u64,
    /// Number of events that its caller expected, if it said so.
    pub expected_events: Option<u32>,
    /// Forecast of the mean time between its events, if there was one.
    pub expected_interval: Option<Duration>,
}

/// What the last answers of streams showed.
#[derive(Debug, Clone, Default)]
pub struct Experience {
    /// Times to the first event, in seconds.
    pub first_event_s: RecentValues,
    /// Times from the request to the end of the answer, in seconds.
    pub total_s: RecentValues,
    /// Mean times between events, in seconds.
    pub interval_s: RecentValues,
    /// Numbers of events, as multiples of those that callers expected.
    pub events_ratio: RecentValues,
    /// Mean times between events, as multiples of the forecast ones.
    pub interval_ratio: RecentValues,
    /// Mean times between events without the longest pause of each answer, in seconds.
    pub steady_interval_s: RecentValues,
    /// The same as multiples of the forecast times.
    pub steady_ratio: RecentValues,
}

impl Experience {
    /// Records an answer.
    pub fn record(&mut self, answer: &Answer) {
        self.first_event_s.record(answer.first_event.as_secs_f64());
        self.total_s.record(answer.total.as_secs_f64());
        if let Some(expected) = answer.expected_events {
            self.events_ratio.record(answer.events as f64 / f64::from(expected));
        }
        let expected = answer.expected_interval;
        let ratio = |interval: Duration| expected.map(|e| interval.div_duration_f64(e));
        if let Some(interval) = answer.event_interval {
            self.interval_s.record(interval.as_secs_f64());
            ratio(interval).into_iter().for_each(|ratio| self.interval_ratio.record(ratio));
        }
        let steady = answer.steady_interval.filter(|_| answer.events >= MIN_STEADY_EVENTS);
        if let Some(interval) = steady {
            self.steady_interval_s.record(interval.as_secs_f64());
            ratio(interval).into_iter().for_each(|ratio| self.steady_ratio.record(ratio));
        }
    }
}
