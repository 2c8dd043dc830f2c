//! One route: which requests it takes, where they go and how they may be handled.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::ServiceId;
use std::time::Duration;

/// Name of a route.
pub type RouteName = String;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may.
    Safe,
    /// It may run once at most.
    Never,
}

/// How streams of a route may be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRules {
    /// Whether a broken stream may go on at another endpoint after its last whole event.
    pub resumable: bool,
    /// Longest pause between events that still counts as in time.
    pub gap_objective: Option<Duration>,
}

/// What kind of work a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKind {
    /// One answer.
    Call(Repeat),
    /// A stream of events.
    Stream(StreamRules),
}

impl WorkKind {
    /// Whether the work may run more than once.
    pub fn repeat(self) -> Repeat {
        match self {
            Self::Call(repeat) => repeat,
            Self::Stream(rules) if rules.resumable => Repeat::Safe,
            Self::Stream(_) => Repeat::Never,
        }
    }
}

/// A service that a route sends to, with its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service.
    pub service: ServiceId,
    /// Share, relative to the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host it answers for.
    pub host: String,
    /// Beginning of the paths it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// What kind of work its requests are.
    pub kind: WorkKind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most; of a stream, its first event.
    pub objective: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services, at least one.
    pub targets: Vec<Target>,
    /// Endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it takes requests without a key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 to 1.
    ///
    /// Targets of weight 0 are never chosen unless all are 0.
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
