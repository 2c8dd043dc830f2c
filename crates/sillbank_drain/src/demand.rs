//! How long a request may take.

use crate::experience::Experience;
use std::time::Duration;

/// Longest silence of an endpoint that an answer outlasts: its caller gives the answer up after that.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Factor on the slowest known time between events in the worst case.
const WORST_INTERVAL_FACTOR: f64 = 2.0;

/// How sure a time is to be enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certainty {
    /// Enough in three of four cases.
    Likely,
    /// Nearly always enough.
    NearlySure,
    /// Enough if the answer has all events that the request allows, comes at half the slowest known pace, and its endpoint is
    /// silent once for as long as callers wait. That earlier answers were short does not shorten it. For calls the same as
    /// [`Certainty::NearlySure`]: one that is not answered in time gets a reply before the exit.
    WorstCase,
}

impl Certainty {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Likely => "likely",
            Self::NearlySure => "nearly_sure",
            Self::WorstCase => "worst_case",
        }
    }

    /// Share of answers for which the time is to be enough. In the worst case the time for a silence is added to it.
    fn share(self) -> f64 {
        match self {
            Self::Likely => 0.75,
            Self::NearlySure | Self::WorstCase => 0.99,
        }
    }

    /// Time that is enough for calls, as a multiple of their objective.
    fn call_objectives(self) -> u32 {
        match self {
            Self::Likely => 1,
            Self::NearlySure | Self::WorstCase => 2,
        }
    }

    /// Factor on forecast times between events while nothing is known of earlier answers.
    fn default_interval_ratio(self) -> f64 {
        match self {
            Self::Likely => 1.1,
            Self::NearlySure | Self::WorstCase => 1.5,
        }
    }

    /// Factor on the number of events that a caller expects while nothing is known of earlier answers; `None`: as many as
    /// the request allows.
    fn default_events_ratio(self) -> Option<f64> {
        match self {
            Self::Likely => Some(1.25),
            Self::NearlySure | Self::WorstCase => None,
        }
    }

    /// Factor on forecast times between events, from earlier answers.
    fn interval_ratio(self, experience: &Experience) -> f64 {
        let known = match self {
            Self::Likely | Self::NearlySure => experience.interval_ratio.quantile(self.share()),
            Self::WorstCase => experience.steady_ratio.max(),
        };
        known.unwrap_or_else(|| self.default_interval_ratio()) * self.interval_factor()
    }

    /// Time between events as in earlier answers, in seconds.
    fn interval_s(self, experience: &Experience) -> Option<f64> {
        let known = match self {
            Self::Likely | Self::NearlySure => experience.interval_s.quantile(self.share()),
            Self::WorstCase => experience.steady_interval_s.max(),
        };
        known.map(|interval_s| interval_s * self.interval_factor())
    }

    /// Factor on the time between events beyond what earlier answers showed.
    fn interval_factor(self) -> f64 {
        match self {
            Self::Likely | Self::NearlySure => 1.0,
            Self::WorstCase => WORST_INTERVAL_FACTOR,
        }
    }

    /// Time for which the endpoint may be silent.
    fn silence(self) -> Duration {
        match self {
            Self::Likely | Self::NearlySure => Duration::ZERO,
            Self::WorstCase => MAX_SILENCE,
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
    /// answers, or if it has no bound in the worst case.
    pub fn time_for(self, certainty: Certainty, experience: &Experience) -> Option<Duration> {
        match self {
            Self::Call { objective } => Some(objective.saturating_mul(certainty.call_objectives())),
            Self::Stream { pace, expected_events, max_events, received_events } => {
                let rest = max_events.saturating_sub(received_events).max(1);
                let expected = expected_events.filter(|_| certainty != Certainty::WorstCase);
                let expected = expected.and_then(|expected| {
                    rest_for(certainty, f64::from(expected), f64::from(received_events), experience)
                });
                let rest = f64::from(rest);
                let events = expected.map_or(rest, |events| events.clamp(1.0, rest));
                let pace = pace_for(certainty, pace, experience)?;
                Some(stream_time(pace, events).saturating_add(certainty.silence()))
            }
            Self::Unbounded if certainty == Certainty::WorstCase => None,
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
    let known_s = experience.first_event_s.quantile(certainty.share());
    if let Some(StreamPace { first_event, event_interval }) = pace {
        let ratio = certainty.interval_ratio(experience);
        return Some(StreamPace {
            first_event: first_event.max(known_s.map_or(Duration::ZERO, seconds)),
            event_interval: seconds(event_interval.as_secs_f64() * ratio),
        });
    }
    let interval_s = certainty.interval_s(experience)?;
    Some(StreamPace { first_event: seconds(known_s?), event_interval: seconds(interval_s) })
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
    pace.first_event.saturating_add(seconds(rest_s))
}

/// A time in seconds as a duration; the longest one if it is too long for it.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
