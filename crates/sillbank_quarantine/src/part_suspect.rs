//! Evidence about one part of prompts: crashes under requests with it, and its good runs.

use crate::part_updates::{GoodRunUpdate, PartCrashUpdate, PartUpdate, RequestTag};
use crate::policy::{
    EXONERATION_TIME, MAX_ENDPOINTS_OF_PART, MAX_PART_ORGANISATIONS, MAX_REQUESTS_OF_CRASH,
    RETENTION, SAME_CRASH_TOLERANCE, SAME_RUN_TOLERANCE,
};
use crate::request_traits::{OrganisationTag, PartKey};
use crate::updates::ChangeNumber;
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A crash of an endpoint that ran a request with the part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartCrash {
    /// Incarnation of the endpoint.
    pub(crate) endpoint: EndpointId,
    pub(crate) at: Instant,
    /// Time from sending the request to the crash.
    pub(crate) since_send: Duration,
    /// Time from the first event of the request to the crash.
    pub(crate) ran_for: Duration,
    pub(crate) request: RequestTag,
    pub(crate) organisation: OrganisationTag,
}

impl PartCrash {
    /// Whether the request was sent to this endpoint after another one had crashed.
    pub(crate) fn follows(&self, other: &Self) -> bool {
        self.at.saturating_duration_since(other.at) >= self.since_send
    }

    fn is_same(&self, other: &Self) -> bool {
        let distance = self.at.max(other.at).saturating_duration_since(self.at.min(other.at));
        self.endpoint == other.endpoint
            && self.request == other.request
            && distance < SAME_CRASH_TOLERANCE
    }
}

/// A part that ran well shortly before a crash, or at any time after it, did not cause it.
fn is_refuted(crash: &PartCrash, last_run: Instant) -> bool {
    crash.at < last_run + EXONERATION_TIME
}

/// A part of prompts under which endpoints crashed.
#[derive(Debug, Default)]
pub(crate) struct PartSuspect {
    /// The newest crashes, ordered by time.
    crashes: Vec<PartCrash>,
    /// Last good run under each organisation.
    good_runs: BTreeMap<OrganisationTag, Instant>,
    /// When a request with the part was last refused.
    pub(crate) refused_at: Option<Instant>,
    /// Newest change that is reported to other VMs; 0 while none needs to be.
    pub(crate) changed: ChangeNumber,
    /// Newest change that this VM observed itself.
    pub(crate) observed: ChangeNumber,
    /// State in the store, if any.
    pub(crate) stored: Option<(usize, usize)>,
    /// Time from which this VM writes what the store lacks.
    pub(crate) store_from: Option<Instant>,
}

impl PartSuspect {
    /// Crashes that no good run under the same organisation refutes, ordered by time.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = &PartCrash> + Clone {
        self.crashes.iter().filter(|crash| {
            let last_run = self.good_runs.get(&crash.organisation);
            !last_run.is_some_and(|run| is_refuted(crash, *run))
        })
    }

    /// Crashes that no good run refutes, whatever its organisation, ordered by time.
    pub(crate) fn unrefuted_crashes(&self) -> impl Iterator<Item = &PartCrash> + Clone {
        let last_run = self.good_runs.values().max().copied();
        let is_refuted =
            move |crash: &PartCrash| last_run.is_some_and(|run| is_refuted(crash, run));
        self.crashes.iter().filter(move |crash| !is_refuted(crash))
    }

    /// Upper bound of the number of endpoints that crashed.
    pub(crate) fn max_endpoints(&self) -> usize {
        self.crashes.len()
    }

    /// Whether the part ran well under an organisation.
    pub(crate) fn ran_well_for(&self, organisation: OrganisationTag) -> bool {
        self.good_runs.contains_key(&organisation)
    }

    /// Number of different endpoints that crashed.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.crashes().map(|crash| crash.endpoint.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Time of the last crash that counts.
    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes().map(|crash| crash.at).max()
    }

    /// Adds a crash and returns whether anything changed.
    pub(crate) fn add_crash(&mut self, crash: PartCrash) -> bool {
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return false;
        }
        self.crashes.push(crash.clone());
        self.drop_excess_requests(&crash.endpoint);
        self.drop_excess_endpoints();
        self.crashes.sort_by_key(|crash| (crash.at, crash.request));
        self.crashes.contains(&crash)
    }

    /// Bounds the requests of one crash. Those that were sent last show whether the crash follows another one, and the one
    /// that ran longest shows most of whether the part is harmless.
    fn drop_excess_requests(&mut self, endpoint: &str) {
        let mut of_endpoint: Vec<&PartCrash> =
            self.crashes.iter().filter(|crash| crash.endpoint == endpoint).collect();
        if of_endpoint.len() <= MAX_REQUESTS_OF_CRASH {
            return;
        }
        let longest = of_endpoint.iter().max_by_key(|crash| (crash.ran_for, crash.request));
        let longest = longest.map(|crash| crash.request);
        of_endpoint
            .sort_by_key(|crash| (Some(crash.request) != longest, crash.since_send, crash.request));
        let excess: Vec<PartCrash> =
            of_endpoint.into_iter().skip(MAX_REQUESTS_OF_CRASH).cloned().collect();
        self.crashes.retain(|crash| !excess.contains(crash));
    }

    /// Bounds the endpoints, as a whole: a part must not lose crashes that another one keeps because more requests had it.
    fn drop_excess_endpoints(&mut self) {
        let mut crashed_at: BTreeMap<&str, Instant> = BTreeMap::new();
        for crash in &self.crashes {
            let at = crashed_at.entry(&crash.endpoint).or_insert(crash.at);
            *at = crash.at.min(*at);
        }
        let excess = crashed_at.len().saturating_sub(MAX_ENDPOINTS_OF_PART);
        if excess == 0 {
            return;
        }
        let mut oldest: Vec<(Instant, EndpointId)> =
            crashed_at.into_iter().map(|(endpoint, at)| (at, endpoint.to_owned())).collect();
        oldest.sort();
        oldest.truncate(excess);
        self.crashes.retain(|crash| !oldest.iter().any(|(_, oldest)| *oldest == crash.endpoint));
    }

    /// Records a good run under an organisation and returns whether it was unknown. Times that VMs exchange become
    /// slightly later with each exchange, so close times are treated as equal.
    pub(crate) fn add_good_run(&mut self, organisation: OrganisationTag, at: Instant) -> bool {
        let known = self.good_runs.get(&organisation);
        if known.is_some_and(|known| at < *known + SAME_RUN_TOLERANCE) {
            return false;
        }
        if self.good_runs.len() >= MAX_PART_ORGANISATIONS && known.is_none() {
            let oldest = self.good_runs.iter().min_by_key(|(tag, at)| (**at, **tag));
            let Some((tag, _)) = oldest.filter(|(_, oldest)| **oldest < at) else {
                return false;
            };
            let tag = *tag;
            self.good_runs.remove(&tag);
        }
        self.good_runs.insert(organisation, at);
        true
    }

    /// Whether nothing happened for the retention time.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        let last_crash = self.crashes.last().map(|crash| crash.at);
        let newest = last_crash.max(self.refused_at);
        newest.is_none_or(|newest| now.saturating_duration_since(newest) >= RETENTION)
    }

    /// Number of stored crashes and good runs, to compare the state in the store with that of this VM.
    pub(crate) fn summary(&self) -> (usize, usize) {
        (self.crashes.len(), self.good_runs.len())
    }

    /// Converts to an update for other VMs.
    pub(crate) fn to_update(&self, key: PartKey, now: Instant) -> PartUpdate {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let to_crash = |crash: &PartCrash| PartCrashUpdate {
            endpoint: crash.endpoint.clone(),
            age_ms: age_ms(crash.at),
            since_send_ms: crash.since_send.as_millis() as u64,
            ran_ms: crash.ran_for.as_millis() as u64,
            request: crash.request,
            organisation: crash.organisation,
        };
        let to_run = |(organisation, at): (&OrganisationTag, &Instant)| GoodRunUpdate {
            organisation: *organisation,
            age_ms: age_ms(*at),
        };
        PartUpdate {
            key,
            crashes: self.crashes.iter().map(to_crash).collect(),
            good_runs: self.good_runs.iter().map(to_run).collect(),
        }
    }

    /// Merges an update from another VM or the store and returns whether it changed anything.
    pub(crate) fn merge(&mut self, update: &PartUpdate, now: Instant) -> bool {
        let at = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let mut has_changed = false;
        for run in update.good_runs.iter().take(MAX_PART_ORGANISATIONS) {
            has_changed |= self.add_good_run(run.organisation, at(run.age_ms));
        }
        for crash in update.crashes.iter().take(MAX_ENDPOINTS_OF_PART * MAX_REQUESTS_OF_CRASH) {
            has_changed |= self.add_crash(PartCrash {
                endpoint: crash.endpoint.clone(),
                at: at(crash.age_ms),
                since_send: Duration::from_millis(crash.since_send_ms),
                ran_for: Duration::from_millis(crash.ran_ms),
                request: crash.request,
                organisation: crash.organisation,
            });
        }
        has_changed
    }
}
