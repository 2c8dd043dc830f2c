//! Routes: which requests they match, where these go and how they may be handled.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::ServiceId;
use std::time::Duration;

/// Name of a route.
pub type RouteName = String;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// How the streams of a route may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRules {
    /// Whether a broken stream may resume at another endpoint after its last complete event.
    pub resumable: bool,
    /// Objective for the longest pause between events.
    pub gap_objective: Option<Duration>,
}

/// The kind of work that a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKind {
    /// A call with a single answer.
    Call(Idempotency),
    /// A stream of events.
    Stream(StreamRules),
}

impl WorkKind {
    /// Whether the work may run more than once.
    pub fn idempotency(self) -> Idempotency {
        match self {
            Self::Call(idempotency) => idempotency,
            Self::Stream(rules) if rules.resumable => Idempotency::Idempotent,
            Self::Stream(_) => Idempotency::NonIdempotent,
        }
    }
}

/// A service that a route sends requests to, and its share of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests must name.
    pub host: String,
    /// Prefix of the paths it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of work of its requests.
    pub kind: WorkKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that requests are sent to; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it accepts requests without a key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 to 1.
    ///
    /// Targets of weight 0 are never chosen, unless all weights are 0.
    pub fn choose_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = (draw.clamp(0.0, 1.0) * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| &target.service)
    }
}
