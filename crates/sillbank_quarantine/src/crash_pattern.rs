//! Whether the crashes under a part look as if the part had caused them.

use crate::part_suspect::PartCrash;
use crate::part_updates::RequestTag;
use crate::policy::{
    CRASHES_AT_ONCE, CRASHING_RUN, MASS_LOSS_TIME, MOMENTS_TO_HOLD_PART, REQUESTS_TO_HOLD_PART,
};
use crate::request_traits::OrganisationTag;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of crashes, and under what they were.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashCounts {
    /// Endpoints that crashed.
    pub(crate) crashes: usize,
    /// Requests under which they crashed.
    pub(crate) requests: usize,
    /// Organisations of their callers.
    pub(crate) organisations: usize,
}

impl CrashCounts {
    fn of<'a>(crashes: impl Iterator<Item = &'a PartCrash> + Clone) -> Self {
        let endpoints: BTreeSet<&str> =
            crashes.clone().map(|crash| crash.endpoint.as_str()).collect();
        let requests: BTreeSet<RequestTag> = crashes.clone().map(|crash| crash.request).collect();
        let organisations: BTreeSet<OrganisationTag> =
            crashes.map(|crash| crash.organisation).collect();
        Self {
            crashes: endpoints.len(),
            requests: requests.len(),
            organisations: organisations.len(),
        }
    }
}

/// Crashes of endpoints which each ran a request with the part that was sent after the crash before. Those that crash at one
/// moment, each with such a request, count once.
#[derive(Debug)]
struct CrashSequence {
    counts: CrashCounts,
    /// Number of moments, of [`MASS_LOSS_TIME`] each, at which the endpoints crashed.
    moments: usize,
}

impl CrashSequence {
    fn of(crashes: &[&PartCrash]) -> Self {
        let mut last: Option<&PartCrash> = None;
        let mut moment: Option<Instant> = None;
        let (mut endpoints, mut moments) = (BTreeSet::new(), 0);
        for crash in crashes {
            let is_next = last.is_none_or(|last| crash.follows(last));
            if !is_next || !endpoints.insert(crash.endpoint.as_str()) {
                continue;
            }
            last = Some(crash);
            if moment.is_none_or(|began_at| crash.at >= began_at + MASS_LOSS_TIME) {
                moment = Some(crash.at);
                moments += 1;
            }
        }
        let in_sequence = crashes.iter().copied();
        let in_sequence = in_sequence.filter(|crash| endpoints.contains(crash.endpoint.as_str()));
        Self { counts: CrashCounts::of(in_sequence), moments }
    }
}

/// The crashes that show that a part is their cause, and not one request that came again or a mass loss of endpoints.
/// `crashes` are ordered by time.
///
/// At least `min_crashes` endpoints crashed one after the other, under several requests. Those of a mass loss may do so too, as
/// requests go on at endpoints that are lost next. If all crashed within the time of a mass loss, the part is the cause
/// only if many did, each request with it was just beginning to run, and no endpoint crashed meanwhile without one: in a mass
/// loss, some requests have run for longer.
pub(crate) fn causal_crashes(
    crashes: &[&PartCrash],
    min_crashes: usize,
    are_all_crashes: impl Fn() -> bool,
) -> Option<CrashCounts> {
    let sequence = CrashSequence::of(crashes);
    let CrashCounts { crashes: in_sequence, requests, .. } = sequence.counts;
    if in_sequence < min_crashes || requests < REQUESTS_TO_HOLD_PART {
        return None;
    }
    if sequence.moments >= MOMENTS_TO_HOLD_PART {
        return Some(sequence.counts);
    }
    let all = CrashCounts::of(crashes.iter().copied());
    let is_cause =
        all.crashes >= CRASHES_AT_ONCE && longest_run(crashes) <= CRASHING_RUN && are_all_crashes();
    is_cause.then_some(all)
}

/// The longest time for which a request had run when its endpoint crashed.
pub(crate) fn longest_run(crashes: &[&PartCrash]) -> Duration {
    crashes.iter().map(|crash| crash.ran_for).max().unwrap_or_default()
}
