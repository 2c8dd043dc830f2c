//! Decides which parts of prompts are the cause of crashes.
//!
//! All requests in their beginning at an endpoint that crashes look alike, and so do their parts. The part that explains
//! most crashes is held back first; the crashes that it explains say nothing against other parts or requests. Crashes of
//! requests that come again, and that the part explains only in part, do not count against it: sound requests are there by chance.
//! Decisions follow from the evidence alone, so that VMs with the same evidence decide alike.

use crate::crash_pattern::{causal_crashes, longest_run};
use crate::part_suspect::{PartCrash, PartSuspect};
use crate::part_updates::RequestTag;
use crate::policy::{CRASHES_TO_QUARANTINE, CRASHING_RUN, quarantine_term};
use crate::request_traits::{OrganisationTag, PartKey};
use sillbank_core::prelude::EndpointId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The organisations whose requests are held back if they have a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HoldScope {
    /// These, by crashes under their own requests.
    Organisations(BTreeSet<OrganisationTag>),
    /// All for which the part never ran well, by crashes under requests of several, and those under whose own requests
    /// enough endpoints crashed.
    All(BTreeSet<OrganisationTag>),
}

/// A part that is held back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PartHold {
    pub(crate) scope: HoldScope,
    /// Crashes that count.
    pub(crate) crashes: usize,
    /// Time of the last of them.
    pub(crate) last_crash: Instant,
    /// Time after the last one for which nobody tries the part again.
    pub(crate) term: Duration,
}

/// Incarnations of endpoints that crashed, one after the other, under one request that came again and again.
pub(crate) type RepeatedCrashes = BTreeSet<EndpointId>;

/// Parts that are held back, and the crashes that they explain.
#[derive(Debug, Default)]
pub(crate) struct Attribution {
    pub(crate) holds: BTreeMap<PartKey, PartHold>,
    /// Incarnations of endpoints that crashed under the parts that are held back.
    pub(crate) explained: BTreeSet<EndpointId>,
    /// Those that crashed under single requests, and do not count against parts.
    explained_by_requests: BTreeSet<EndpointId>,
}

/// Which crashes count against a part, and how many of them hold it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standard {
    /// Those that no good run refutes.
    Unrefuted,
    /// Those that only good runs of other organisations refute, if there are twice as many. A caller may name a part that
    /// its prompt does not have, and so make a harmful part look sound.
    RefutedByOthers,
}

impl Standard {
    fn min_crashes(self) -> usize {
        match self {
            Self::Unrefuted => CRASHES_TO_QUARANTINE,
            Self::RefutedByOthers => 2 * CRASHES_TO_QUARANTINE,
        }
    }
}

/// A part that may be the cause of crashes that are not explained yet.
struct Candidate {
    key: PartKey,
    /// Endpoints that crashed and are not explained otherwise.
    endpoints: BTreeSet<EndpointId>,
    /// Requests with the part under which they crashed.
    requests: BTreeSet<RequestTag>,
    /// The longest time for which one of them had run when its endpoint crashed.
    longest_run: Duration,
    hold: PartHold,
}

impl Candidate {
    /// Lower for likelier causes.
    fn rank(&self) -> (Reverse<usize>, Duration) {
        (Reverse(self.endpoints.len()), self.longest_run.max(CRASHING_RUN))
    }

    /// Whether a request that comes again is a likelier cause of what it shares with the part. It is if the part does not explain
    /// all its crashes, or if requests with the part ran for longer than a harmful one does: they were there by chance.
    fn is_rivalled_by(&self, request: &RepeatedCrashes) -> bool {
        self.longest_run > CRASHING_RUN || !request.is_subset(&self.endpoints)
    }

    /// Whether requests with this part have the other one too, and the other one is in more requests. Sound requests share
    /// parts with harmful ones, so the part in fewer requests is the likelier cause.
    fn is_more_specific_than(&self, other: &Self) -> bool {
        self.requests.len() < other.requests.len() && !self.requests.is_disjoint(&other.requests)
    }
}

/// The likeliest cause. In this order:
///
/// - The part under which most endpoints crashed.
/// - The one whose requests had run for the shortest time: a harmful one crashes its endpoint as it begins to run, and
///   others are at any point of their beginning.
/// - One that no more specific one can replace.
/// - The one in most requests: others are there because they went on where the harmful ones did.
fn likeliest(candidates: Vec<Candidate>) -> Option<Candidate> {
    let first = candidates.iter().map(Candidate::rank).min()?;
    let (top, _): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(|candidate| candidate.rank() == first);
    let is_replaced =
        |candidate: &Candidate| top.iter().any(|other| other.is_more_specific_than(candidate));
    let replaced: BTreeSet<PartKey> = top
        .iter()
        .filter(|candidate| is_replaced(candidate))
        .map(|candidate| candidate.key)
        .collect();
    let rest = top.into_iter().filter(|candidate| !replaced.contains(&candidate.key));
    rest.max_by_key(|candidate| (candidate.requests.len(), candidate.key))
}

impl Attribution {
    /// Attributes crashes to parts, or to requests that are likelier causes.
    pub(crate) fn new(
        suspects: &BTreeMap<PartKey, PartSuspect>,
        repeated: &BTreeSet<RepeatedCrashes>,
    ) -> Self {
        let mut attribution = Self::default();
        for standard in [Standard::Unrefuted, Standard::RefutedByOthers] {
            while let Some(best) = attribution.next_hold(suspects, standard) {
                if attribution.explain_by_requests(&best, repeated, standard) {
                    continue;
                }
                let crashes = suspects.get(&best.key).into_iter().flat_map(PartSuspect::crashes);
                attribution.explained.extend(crashes.map(|crash| crash.endpoint.clone()));
                attribution.holds.insert(best.key, best.hold);
            }
        }
        attribution
    }

    /// Attributes crashes to requests that come again, if these leave too few to hold the part back. Returns whether they do.
    fn explain_by_requests(
        &mut self,
        part: &Candidate,
        repeated: &BTreeSet<RepeatedCrashes>,
        standard: Standard,
    ) -> bool {
        let rivals = repeated.iter().filter(|request| part.is_rivalled_by(request));
        let by_rivals: RepeatedCrashes = rivals.flatten().cloned().collect();
        let left = part.endpoints.difference(&by_rivals).count();
        let is_explained = left < part.endpoints.len() && left < standard.min_crashes();
        if is_explained {
            self.explained_by_requests.extend(by_rivals);
        }
        is_explained
    }

    fn is_explained(&self, endpoint: &str) -> bool {
        self.explained.contains(endpoint) || self.explained_by_requests.contains(endpoint)
    }

    /// The part that explains most of the crashes that are not explained yet.
    fn next_hold(
        &self,
        suspects: &BTreeMap<PartKey, PartSuspect>,
        standard: Standard,
    ) -> Option<Candidate> {
        let candidates = suspects.iter().filter(|(key, suspect)| {
            suspect.max_endpoints() >= standard.min_crashes() && !self.holds.contains_key(key)
        });
        let candidates = candidates
            .filter_map(|(key, suspect)| self.candidate(*key, suspect, standard, suspects));
        likeliest(candidates.collect())
    }

    /// Whether no other endpoint crashed, for an unknown reason, between the first and the last of these crashes.
    fn are_all_crashes(
        &self,
        crashes: &[&PartCrash],
        endpoints: &BTreeSet<&str>,
        suspects: &BTreeMap<PartKey, PartSuspect>,
    ) -> bool {
        let first = crashes.iter().map(|crash| crash.at).min();
        let last = crashes.iter().map(|crash| crash.at).max();
        let is_other = |crash: &PartCrash| {
            Some(crash.at) >= first
                && Some(crash.at) <= last
                && !endpoints.contains(crash.endpoint.as_str())
                && !self.is_explained(&crash.endpoint)
        };
        !suspects.values().flat_map(PartSuspect::crashes).any(is_other)
    }

    fn candidate(
        &self,
        key: PartKey,
        suspect: &PartSuspect,
        standard: Standard,
        suspects: &BTreeMap<PartKey, PartSuspect>,
    ) -> Option<Candidate> {
        let unexplained = |crash: &&PartCrash| !self.is_explained(&crash.endpoint);
        let crashes: Vec<&PartCrash> = match standard {
            Standard::Unrefuted => suspect.unrefuted_crashes().filter(unexplained).collect(),
            Standard::RefutedByOthers => suspect.crashes().filter(unexplained).collect(),
        };
        let endpoints: BTreeSet<&str> =
            crashes.iter().map(|crash| crash.endpoint.as_str()).collect();
        let are_all_crashes = || self.are_all_crashes(&crashes, &endpoints, suspects);
        let hold = hold_for(&crashes, standard, are_all_crashes)?;
        let requests = crashes.iter().map(|crash| crash.request).collect();
        let longest_run = longest_run(&crashes);
        let endpoints = endpoints.into_iter().map(str::to_owned).collect();
        Some(Candidate { key, endpoints, requests, longest_run, hold })
    }
}

/// How many crashes hold a part back, and for whom.
fn hold_for(
    crashes: &[&PartCrash],
    standard: Standard,
    are_all_crashes: impl Fn() -> bool,
) -> Option<PartHold> {
    let causal = causal_crashes(crashes, standard.min_crashes(), &are_all_crashes)?;
    let organisations: BTreeSet<OrganisationTag> =
        crashes.iter().map(|crash| crash.organisation).collect();
    let is_held = |tag: &OrganisationTag| {
        let own = crashes.iter().copied().filter(|crash| crash.organisation == *tag);
        let own: Vec<&PartCrash> = own.collect();
        causal_crashes(&own, standard.min_crashes(), &are_all_crashes).is_some()
    };
    let held: BTreeSet<OrganisationTag> = organisations.into_iter().filter(is_held).collect();
    let scope = match causal.organisations > 1 {
        true => HoldScope::All(held),
        false => HoldScope::Organisations(held),
    };
    let last_crash = crashes.iter().map(|crash| crash.at).max()?;
    let term = quarantine_term(causal.crashes)?;
    Some(PartHold { scope, crashes: causal.crashes, last_crash, term })
}
