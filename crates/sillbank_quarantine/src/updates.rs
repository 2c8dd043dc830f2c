//! Updates about suspects that VMs exchange, and the record that the platform's store keeps.
//!
//! VMs exchange ages, because their clocks share no origin. The store keeps times of day, because the process that
//! reads them may differ from the one that wrote them.

use crate::fingerprint::Fingerprint;
use crate::part_updates::StoredPart;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::EndpointId;
use std::collections::BTreeSet;

/// Number of a change, counted by one VM.
pub type ChangeNumber = u64;

/// Selects what changed after `since`, the oldest changes first and at most `max` of them. Also returns the number up to
/// which all changes were selected.
pub(crate) fn changes_since<K: Ord>(
    changes: impl Iterator<Item = (ChangeNumber, K)>,
    since: ChangeNumber,
    newest: ChangeNumber,
    max: usize,
) -> (ChangeNumber, Vec<K>) {
    if since >= newest {
        return (since, Vec::new());
    }
    let changed: BTreeSet<(ChangeNumber, K)> =
        changes.filter(|(change, _)| *change > since).collect();
    let is_complete = changed.len() <= max;
    let mut up_to = newest;
    let mut selected = Vec::new();
    for (change, key) in changed.into_iter().take(max) {
        if !is_complete {
            up_to = change;
        }
        selected.push(key);
    }
    (up_to, selected)
}

/// A crash of an endpoint that ran the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from sending the request to the crash, in milliseconds.
    pub since_send_ms: u64,
}

/// State of one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes of endpoints that ran it.
    pub crashes: Vec<CrashUpdate>,
    /// Time since it was last seen to run well, in milliseconds. Earlier crashes do not count.
    pub cleared_age_ms: Option<u64>,
}

/// Changes that another VM may not know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Changes up to this number are included here or were sent before.
    pub up_to: ChangeNumber,
    /// Changed suspects.
    pub suspects: Vec<SuspectUpdate>,
}

/// A crash of an endpoint that ran the request, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrash {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Time of the crash in Unix milliseconds, by the clock of the VM that wrote it.
    pub at_ms: u64,
    /// Time from sending the request to the crash, in milliseconds.
    pub there_ms: u64,
}

/// State of one suspect, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// Fingerprint of the request as 32 hexadecimal digits.
    pub fingerprint: String,
    /// Crashes of endpoints that ran it.
    pub ends: Vec<StoredCrash>,
    /// Time at which it was last seen to run well, in Unix milliseconds.
    pub cleared_at_ms: Option<u64>,
}

/// All suspects in the store, kept in one object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Suspects, those with the newest crashes first.
    pub suspects: Vec<StoredSuspect>,
    /// Suspected parts of prompts. A VM that does not know them reads and writes the record without them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<StoredPart>,
}

impl StoredSuspect {
    /// Converts to an update as of a time of day; `None` if the fingerprint cannot be parsed.
    pub fn to_update(&self, now_unix_ms: u64) -> Option<SuspectUpdate> {
        let fingerprint = Fingerprint::from_str_radix(&self.fingerprint, 16).ok()?;
        let to_update = |crash: &StoredCrash| CrashUpdate {
            endpoint: crash.endpoint.clone(),
            age_ms: now_unix_ms.saturating_sub(crash.at_ms),
            since_send_ms: crash.there_ms,
        };
        let crashes = self.ends.iter().map(to_update).collect();
        let cleared_age_ms = self.cleared_at_ms.map(|at_ms| now_unix_ms.saturating_sub(at_ms));
        Some(SuspectUpdate { fingerprint, crashes, cleared_age_ms })
    }

    /// Converts from an update as of a time of day.
    pub fn from_update(update: &SuspectUpdate, now_unix_ms: u64) -> Self {
        let to_stored = |crash: &CrashUpdate| StoredCrash {
            endpoint: crash.endpoint.clone(),
            at_ms: now_unix_ms.saturating_sub(crash.age_ms),
            there_ms: crash.since_send_ms,
        };
        let ends = update.crashes.iter().map(to_stored).collect();
        let cleared_at_ms = update.cleared_age_ms.map(|age_ms| now_unix_ms.saturating_sub(age_ms));
        Self { fingerprint: format!("{:032x}", update.fingerprint), ends, cleared_at_ms }
    }
}
