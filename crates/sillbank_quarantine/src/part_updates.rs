//! Updates about parts of prompts that VMs exchange, and their form in the platform's store.
//!
//! VMs exchange ages, because their clocks share no origin. The store keeps times of day.

use crate::request_traits::{OrganisationTag, PartKey};
use crate::updates::ChangeNumber;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::EndpointId;

/// Hash that distinguishes the requests under which endpoints crashed.
pub type RequestTag = u64;

/// A crash of an endpoint that ran a request with the part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashUpdate {
    /// Incarnation of the endpoint.
    pub endpoint: EndpointId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Time from sending the request to the crash, in milliseconds.
    pub since_send_ms: u64,
    /// Time from the first event of the request to the crash, in milliseconds.
    pub ran_ms: u64,
    /// The request.
    pub request: RequestTag,
    /// Organisation of its caller.
    pub organisation: OrganisationTag,
}

/// The last good run of a part under an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoodRunUpdate {
    /// Organisation.
    pub organisation: OrganisationTag,
    /// Time since the run, in milliseconds.
    pub age_ms: u64,
}

/// State of one suspected part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdate {
    /// The part.
    pub key: PartKey,
    /// Crashes of endpoints that ran requests with it.
    pub crashes: Vec<PartCrashUpdate>,
    /// Its last good runs.
    pub good_runs: Vec<GoodRunUpdate>,
}

/// Changes of suspected parts that another VM may not know.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdates {
    /// Changes up to this number are included here or were sent before.
    pub up_to: ChangeNumber,
    /// Changed parts.
    pub parts: Vec<PartUpdate>,
}

/// A crash of an endpoint that ran a request with the part, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPartCrash {
    /// Incarnation of the endpoint.
    pub endpoint: EndpointId,
    /// Time of the crash in Unix milliseconds, by the clock of the VM that wrote it.
    pub at_ms: u64,
    /// Time from sending the request to the crash, in milliseconds.
    pub since_send_ms: u64,
    /// Time from the first event of the request to the crash, in milliseconds.
    pub ran_ms: u64,
    /// The request, in hexadecimal.
    pub request: String,
    /// Organisation of its caller, in hexadecimal.
    pub organisation: String,
}

/// The last good run of a part under an organisation, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredGoodRun {
    /// Organisation, in hexadecimal.
    pub organisation: String,
    /// Time of the run in Unix milliseconds.
    pub at_ms: u64,
}

/// State of one suspected part, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// Service, in hexadecimal.
    pub service: String,
    /// Part, in hexadecimal.
    pub part: String,
    /// Crashes of endpoints that ran requests with it.
    pub crashes: Vec<StoredPartCrash>,
    /// Its last good runs.
    pub good_runs: Vec<StoredGoodRun>,
}

fn parse_tag(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

impl StoredPart {
    /// Converts to an update as of a time of day; `None` if an id cannot be parsed.
    pub fn to_update(&self, now_unix_ms: u64) -> Option<PartUpdate> {
        let part = u128::from_str_radix(&self.part, 16).ok()?;
        let key = PartKey { service: parse_tag(&self.service)?, part };
        let age_ms = |at_ms: u64| now_unix_ms.saturating_sub(at_ms);
        let to_crash = |crash: &StoredPartCrash| {
            Some(PartCrashUpdate {
                endpoint: crash.endpoint.clone(),
                age_ms: age_ms(crash.at_ms),
                since_send_ms: crash.since_send_ms,
                ran_ms: crash.ran_ms,
                request: parse_tag(&crash.request)?,
                organisation: parse_tag(&crash.organisation)?,
            })
        };
        let to_run = |run: &StoredGoodRun| {
            let organisation = parse_tag(&run.organisation)?;
            Some(GoodRunUpdate { organisation, age_ms: age_ms(run.at_ms) })
        };
        let crashes = self.crashes.iter().map(to_crash).collect::<Option<Vec<_>>>()?;
        let good_runs = self.good_runs.iter().map(to_run).collect::<Option<Vec<_>>>()?;
        Some(PartUpdate { key, crashes, good_runs })
    }

    /// Converts from an update as of a time of day.
    pub fn from_update(update: &PartUpdate, now_unix_ms: u64) -> Self {
        let at_ms = |age_ms: u64| now_unix_ms.saturating_sub(age_ms);
        let to_crash = |crash: &PartCrashUpdate| StoredPartCrash {
            endpoint: crash.endpoint.clone(),
            at_ms: at_ms(crash.age_ms),
            since_send_ms: crash.since_send_ms,
            ran_ms: crash.ran_ms,
            request: format!("{:x}", crash.request),
            organisation: format!("{:x}", crash.organisation),
        };
        let to_run = |run: &GoodRunUpdate| StoredGoodRun {
            organisation: format!("{:x}", run.organisation),
            at_ms: at_ms(run.age_ms),
        };
        Self {
            service: format!("{:x}", update.key.service),
            part: format!("{:x}", update.key.part),
            crashes: update.crashes.iter().map(to_crash).collect(),
            good_runs: update.good_runs.iter().map(to_run).collect(),
        }
    }
}
