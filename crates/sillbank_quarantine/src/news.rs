//! What VMs tell each other of suspected requests, and what the platform's store keeps of them.
//!
//! VMs tell ages, as their clocks share no origin. The store keeps times of day: whoever reads it may be
//! another process than the one that wrote it.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::EndpointId;

/// Number of a change among those of one VM.
pub type ChangeNumber = u64;

/// An endpoint that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNews {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time since it ended, in milliseconds.
    pub age_ms: u64,
    /// Time from the request's sending there to the end, in milliseconds.
    pub there_ms: u64,
}

/// What is known of one suspected request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Endpoints that ended under it.
    pub ends: Vec<EndNews>,
    /// Time since it was last seen to run well, in milliseconds. Ends before that do not count.
    pub cleared_age_ms: Option<u64>,
}

/// Changes that another VM may not know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// Changes up to this one are told now or were told before.
    pub up_to: ChangeNumber,
    /// The requests that changed.
    pub suspects: Vec<SuspectNews>,
}

/// An endpoint that ended under a request, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredEnd {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Unix millisecond at which it ended, by the clock of the VM that wrote it.
    pub at_ms: u64,
    /// Time from the request's sending there to the end, in milliseconds.
    pub there_ms: u64,
}

/// One suspected request, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// The request's fingerprint as 32 hexadecimal digits.
    pub fingerprint: String,
    /// Endpoints that ended under it.
    pub ends: Vec<StoredEnd>,
    /// Unix millisecond at which it was last seen to run well.
    pub cleared_at_ms: Option<u64>,
}

/// All that the store keeps of suspected requests: one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Requests, those with the newest ends first.
    pub suspects: Vec<StoredSuspect>,
}

impl StoredSuspect {
    /// As another VM would tell it at a time of day; `None` if its fingerprint cannot be read.
    pub fn to_news(&self, now_unix_ms: u64) -> Option<SuspectNews> {
        let fingerprint = Fingerprint::from_str_radix(&self.fingerprint, 16).ok()?;
        let to_news = |end: &StoredEnd| EndNews {
            endpoint: end.endpoint.clone(),
            age_ms: now_unix_ms.saturating_sub(end.at_ms),
            there_ms: end.there_ms,
        };
        let ends = self.ends.iter().map(to_news).collect();
        let cleared_age_ms = self.cleared_at_ms.map(|at_ms| now_unix_ms.saturating_sub(at_ms));
        Some(SuspectNews { fingerprint, ends, cleared_age_ms })
    }

    /// As the store keeps what is known at a time of day.
    pub fn from_news(news: &SuspectNews, now_unix_ms: u64) -> Self {
        let to_stored = |end: &EndNews| StoredEnd {
            endpoint: end.endpoint.clone(),
            at_ms: now_unix_ms.saturating_sub(end.age_ms),
            there_ms: end.there_ms,
        };
        let ends = news.ends.iter().map(to_stored).collect();
        let cleared_at_ms = news.cleared_age_ms.map(|age_ms| now_unix_ms.saturating_sub(age_ms));
        Self { fingerprint: format!("{:032x}", news.fingerprint), ends, cleared_at_ms }
    }
}
