//! Metrics of the entry process. docs/operators/metrics.md lists names and units.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sillbank_core::prelude::*;
use sillbank_generation::State;

/// Labels of an answer: how it ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    end: AnswerEnd,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelValue)]
enum AnswerEnd {
    Whole,
    Failed,
    Cancelled,
    HandedOver,
}

/// Labels of a failure: its code, and whether the work was run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct FailureLabels {
    code: String,
    run: String,
}

/// All metrics of an entry process.
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) answers: Family<AnswerLabels, Counter>,
    pub(crate) failures: Family<FailureLabels, Counter>,
    pub(crate) in_flight: Gauge,
    pub(crate) tokens: Counter,
    pub(crate) steps: Counter,
    pub(crate) stale_replies: Counter,
    pub(crate) stages_lost: Counter,
    pub(crate) replayed_tokens: Counter,
    pub(crate) silent_endpoints: Counter,
    pub(crate) stalled_callers: Counter,
    pub(crate) settings_version: Gauge,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) token_gap_seconds: Histogram,
    pub(crate) step_seconds: Histogram,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let latency_histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let metrics = Self {
            registry: sillbank_net::telemetry::new_registry("entry"),
            answers: Family::default(),
            failures: Family::default(),
            in_flight: Gauge::default(),
            tokens: Counter::default(),
            steps: Counter::default(),
            stale_replies: Counter::default(),
            stages_lost: Counter::default(),
            replayed_tokens: Counter::default(),
            silent_endpoints: Counter::default(),
            stalled_callers: Counter::default(),
            settings_version: Gauge::default(),
            first_token_seconds: latency_histogram(),
            token_gap_seconds: latency_histogram(),
            step_seconds: latency_histogram(),
        };
        metrics.registered()
    }

    /// Counts an answer by how it ended.
    pub(crate) fn count_answer(&self, state: State) {
        let end = match state {
            State::Finished => AnswerEnd::Whole,
            State::Failed => AnswerEnd::Failed,
            State::Cancelled => AnswerEnd::Cancelled,
            State::Running | State::Recovering => AnswerEnd::HandedOver,
        };
        self.answers.get_or_create(&AnswerLabels { end }).inc();
    }

    /// Counts a failure returned to a caller.
    pub(crate) fn count_failure(&self, failure: &Failure) {
        let labels = FailureLabels {
            code: failure.kind.code().to_owned(),
            run: format!("{:?}", failure.run),
        };
        self.failures.get_or_create(&labels).inc();
    }

    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register("answers", "Answers by how they ended", self.answers.clone());
        registry.register("failures", "Failures given to callers", self.failures.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register("tokens", "Tokens given to callers", self.tokens.clone());
        registry.register("steps", "Steps sent to engines", self.steps.clone());
        registry.register("stale_replies", "Replies nobody waited for", self.stale_replies.clone());
        registry.register("stages_lost", "Stages replaced or rebuilt", self.stages_lost.clone());
        registry.register("replayed_tokens", "Positions built again", self.replayed_tokens.clone());
        registry.register(
            "silent_endpoints",
            "Times an endpoint was found silent",
            self.silent_endpoints.clone(),
        );
        registry.register(
            "stalled_callers",
            "Callers that stopped reading",
            self.stalled_callers.clone(),
        );
        registry.register(
            "settings_version",
            "Version of the settings in force",
            self.settings_version.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Arrival to first token",
            self.first_token_seconds.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Time between tokens",
            self.token_gap_seconds.clone(),
        );
        registry.register(
            "step_seconds",
            "Sent to answered, for a step",
            self.step_seconds.clone(),
        );
        self
    }
}
