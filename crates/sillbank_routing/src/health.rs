//! Health of an endpoint: outlier ejection, probing and slow start, as in the state chart `charts/endpoint.toml`.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

named_enum! {
    /// Health state of an endpoint as seen by this VM.
    pub enum HealthState {
        /// Receives its full share of requests.
        Active = "active",
        /// Receives no requests until a probe succeeds after the ejection time.
        Ejected = "ejected",
        /// In slow start: receives a growing share of requests.
        Returning = "returning",
        /// Receives no new requests; those in flight may complete.
        Leaving = "leaving",
    }
}

named_enum! {
    /// Events that change an endpoint's health.
    pub enum HealthEvent {
        /// It crashed, stopped responding or violated the protocol.
        Failure = "failure",
        /// It answered a probe sent after its ejection time.
        ProbeOk = "probe_ok",
        /// It did not answer a probe.
        ProbeFailed = "probe_failed",
        /// Its slow start is over.
        SlowStartOver = "slow_start_over",
        /// Settings, the platform or the endpoint itself report that it is leaving.
        Leave = "leave",
        /// It is no longer leaving.
        Stay = "stay",
    }
}

named_enum! {
    enum HealthAction {
        Nothing = "nothing",
        Eject = "eject",
        EjectLonger = "eject_longer",
        ResetEjections = "forgive",
    }
}

type HealthChart = Chart<HealthState, HealthEvent, HealthAction>;

static CHART: LazyLock<HealthChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/endpoint.toml"))
        .expect("the built-in chart is checked by a test")
});

/// Durations of ejections and of the slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Duration of the first ejection; each further one takes twice as long.
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Duration of the slow start.
    pub slow_start: Duration,
}

impl Default for HealthLimits {
    fn default() -> Self {
        Self {
            base_ejection: Duration::from_millis(1000),
            max_ejection: Duration::from_secs(30),
            slow_start: Duration::from_secs(5),
        }
    }
}

/// Health of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    state: HealthState,
    /// When the state was entered or, if later, when a failed probe last extended an ejection.
    since: Instant,
    /// Consecutive ejections, including failed probes; reset when a slow start is over.
    ejections: u32,
}

impl Health {
    /// Creates the health of an endpoint that is active.
    pub fn new(now: Instant) -> Self {
        Self { state: CHART.initial(), since: now, ejections: 0 }
    }

    /// Returns the current state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Applies an event.
    pub fn on_event(&mut self, now: Instant, event: HealthEvent) {
        let Some(transition) = CHART.step(self.state, event) else {
            return;
        };
        if transition.to != self.state {
            self.since = now;
        }
        self.state = transition.to;
        match transition.action {
            HealthAction::Eject => self.ejections = self.ejections.max(1),
            HealthAction::EjectLonger => {
                self.ejections += 1;
                self.since = now;
            }
            HealthAction::ResetEjections => self.ejections = 0,
            HealthAction::Nothing => {}
        }
    }

    /// Ends the slow start when its time is over.
    pub fn on_tick(&mut self, now: Instant, limits: &HealthLimits) {
        let passed = now.saturating_duration_since(self.since);
        if self.state == HealthState::Returning && passed >= limits.slow_start {
            self.on_event(now, HealthEvent::SlowStartOver);
        }
    }

    /// Whether the ejection time is over, so that a probe may be sent.
    pub fn probe_due(&self, now: Instant, limits: &HealthLimits) -> bool {
        let passed = now.saturating_duration_since(self.since);
        self.state == HealthState::Ejected && passed >= self.ejection_time(limits)
    }

    /// Share of its usual requests that it should receive, from 0 to 1.
    pub fn share(&self, now: Instant, limits: &HealthLimits) -> f64 {
        match self.state {
            HealthState::Active => 1.0,
            HealthState::Ejected | HealthState::Leaving => 0.0,
            HealthState::Returning => {
                let passed = now.saturating_duration_since(self.since).as_secs_f64();
                (passed / limits.slow_start.as_secs_f64().max(1e-3)).clamp(0.1, 1.0)
            }
        }
    }

    fn ejection_time(&self, limits: &HealthLimits) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(16);
        limits.base_ejection.saturating_mul(1 << doublings).min(limits.max_ejection)
    }
}
