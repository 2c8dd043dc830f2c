//! Health of an endpoint: ejection, return and slow start, by the chart in `charts/endpoint.toml`.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

named_enum! {
    /// Where an endpoint stands, as this VM sees it.
    pub enum HealthState {
        /// Takes work.
        Active = "active",
        /// Takes none until its time is over.
        Ejected = "ejected",
        /// Takes a growing share.
        Returning = "returning",
        /// Takes no new work; what it has may end.
        Leaving = "leaving",
    }
}

named_enum! {
    /// What can happen to an endpoint's health.
    pub enum HealthEvent {
        /// It died, froze or broke a promise.
        Failure = "failure",
        /// It answered a probe sent after its ejection.
        ProbeOk = "probe_ok",
        /// It did not answer a probe.
        ProbeFailed = "probe_failed",
        /// Its slow start has lasted long enough.
        SlowStartOver = "slow_start_over",
        /// Settings, the platform or the endpoint itself says that it leaves.
        Leave = "leave",
        /// It no longer leaves.
        Stay = "stay",
    }
}

named_enum! {
    enum HealthAction {
        Nothing = "nothing",
        Eject = "eject",
        EjectLonger = "eject_longer",
        Forgive = "forgive",
    }
}

type HealthChart = Chart<HealthState, HealthEvent, HealthAction>;

static CHART: LazyLock<HealthChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/endpoint.toml"))
        .expect("the built-in chart is checked by a test")
});

/// Times that govern ejection and return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// First ejection; each further one doubles.
    pub eject: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Length of the slow start.
    pub slow_start: Duration,
}

impl Default for HealthLimits {
    fn default() -> Self {
        Self {
            eject: Duration::from_millis(1000),
            eject_max: Duration::from_secs(30),
            slow_start: Duration::from_secs(5),
        }
    }
}

/// Health of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    state: HealthState,
    since: Instant,
    ejections: u32,
}

impl Health {
    /// A healthy endpoint.
    pub fn new(now: Instant) -> Self {
        Self { state: CHART.initial(), since: now, ejections: 0 }
    }

    /// Where it stands.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Takes an event.
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
            HealthAction::Forgive => self.ejections = 0,
            HealthAction::Nothing => {}
        }
    }

    /// Raises the events that time alone brings.
    pub fn on_time(&mut self, now: Instant, limits: &HealthLimits) {
        let passed = now.saturating_duration_since(self.since);
        if self.state == HealthState::Returning && passed >= limits.slow_start {
            self.on_event(now, HealthEvent::SlowStartOver);
        }
    }

    /// Whether its ejection has lasted long enough for a probe.
    pub fn probe_due(&self, now: Instant, limits: &HealthLimits) -> bool {
        let passed = now.saturating_duration_since(self.since);
        self.state == HealthState::Ejected && passed >= self.eject_time(limits)
    }

    /// Share of its ordinary work it should get, from 0 to 1.
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

    fn eject_time(&self, limits: &HealthLimits) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(16);
        limits.eject.saturating_mul(1 << doublings).min(limits.eject_max)
    }
}
