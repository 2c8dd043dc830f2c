//! How long a request may take.

use crate::experience::Experience;
use std::time::Duration;

/// How sure a time is to be enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certainty {
    /// Enough in three of four cases.
    Likely,
    /// Nearly always enough.
    NearlySure,
}

impl Certainty {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Likely => "likely",
            Self::NearlySure => "nearly_sure",
        }
    }

    /// Share of answers for which the time is to be enough.
    fn share(self) -> f64 {
        match self {
            Self::Likely => 0.75,
            Self::NearlySure => 0.99,
        }
    }

    /// Time that is enough for calls, as a multiple of their objective.
    fn call_objectives(self) -> u32 {
        match self {
            Self::Likely => 1,
            Self::NearlySure => 2,
        }
    }

    /// Factor on forecast times between events while nothing is known of earlier answers.
    fn default_interval_ratio(self) -> f64 {
        match self {
            Self::Likely => 1.1,
            Self::NearlySure => 1.5,
        }
    }

    /// Factor on the number of events that a caller expects while nothing is known of earlier answers; `None`: as many as
    /// the request allows.
    fn default_events_ratio(self) -> Option<f64> {
        match self {
            Self::Likely => Some(1.25),
            Self::NearlySure => None,
        }
    }
}

/// Forecast of a stream's times on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPace {
    /// Time to the first event.
    pub first_event: Duration,
    /// Mean time between events.
    pub event_interval: Duration,
}

/// What a request may need until its answer is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// A call.
    Call {
        /// Time within which the answer is useful.
        objective: Duration,
    },
    /// A stream.
    Stream {
        /// Forecast of its times, if there is one.
        pace: Option<StreamPace>,
        /// Number of events that the caller expects, if it says so.
        expected_events: Option<u32>,
        /// The most events that the request allows.
        max_events: u32,
        /// Number of events that the caller has already, if the stream is resumed.
        received_events: u32,
    },
    /// A stream whose length is not known.
    Unbounded,
}

impl Demand {
    /// Time that is enough for such an answer; `None` if nothing is known of it, neither from a forecast nor from earlier
    /// answers.
    pub fn time_for(self, certainty: Certainty, experience: &Experience) -> Option<Duration> {
        match self {
            Self::Call { objective } => Some(objective.saturating_mul(certainty.call_objectives())),
            Self::Stream { pace, expected_events, max_events, received_events } => {
                let rest = max_events.saturating_sub(received_events).max(1);
                let expected = expected_events.and_then(|expected| {
                    rest_for(certainty, f64::from(expected), f64::from(received_events), experience)
                });
                let rest = f64::from(rest);
                let events = expected.map_or(rest, |events| events.clamp(1.0, rest));
                pace_for(certainty, pace, experience).map(|pace| stream_time(pace, events))
            }
            Self::Unbounded => {
                experience.total_s.quantile(certainty.share()).map(Duration::from_secs_f64)
            }
        }
    }
}

/// Times that are enough for streams with this forecast; `None` if nothing is known.
fn pace_for(
    certainty: Certainty,
    pace: Option<StreamPace>,
    experience: &Experience,
) -> Option<StreamPace> {
    let share = certainty.share();
    if let Some(StreamPace { first_event, event_interval }) = pace {
        let ratio = experience.interval_ratio.quantile(share);
        let ratio = ratio.unwrap_or_else(|| certainty.default_interval_ratio());
        let known_s = experience.first_event_s.quantile(share);
        let known = known_s.map_or(Duration::ZERO, Duration::from_secs_f64);
        return Some(StreamPace {
            first_event: first_event.max(known),
            event_interval: event_interval.mul_f64(ratio),
        });
    }
    let first_event_s = experience.first_event_s.quantile(share)?;
    let interval_s = experience.interval_s.quantile(share)?;
    Some(StreamPace {
        first_event: Duration::from_secs_f64(first_event_s),
        event_interval: Duration::from_secs_f64(interval_s),
    })
}

/// Number of further events that a stream does not exceed with this certainty. The more of it the caller has, the longer it
/// is: only earlier answers that were longer than that tell how it goes on. `None` if too few are known.
fn rest_for(
    certainty: Certainty,
    expected_events: f64,
    received_events: f64,
    experience: &Experience,
) -> Option<f64> {
    let received_ratio = received_events / expected_events.max(1.0);
    let ratios = &experience.events_ratio;
    let ratio = match ratios.quantile_above(received_ratio, certainty.share()) {
        Some(ratio) => ratio,
        None if ratios.is_known() => return None,
        None => certainty.default_events_ratio()?,
    };
    let rest = expected_events * ratio - received_events;
    (rest >= 1.0).then_some(rest)
}

fn stream_time(pace: StreamPace, events: f64) -> Duration {
    let rest_s = pace.event_interval.as_secs_f64() * (events - 1.0);
    let rest = Duration::try_from_secs_f64(rest_s).unwrap_or(Duration::MAX);
    pace.first_event.saturating_add(rest)
}
