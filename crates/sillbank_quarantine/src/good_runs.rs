//! Remembers which parts of prompts ran well, for each organisation.
//!
//! Once all first engines of a model are down nothing can run well, so what is harmless has to be known before.

use crate::policy::{MAX_GOOD_RUNS, MAX_GOOD_RUNS_OF_ORGANISATION, RETENTION};
use crate::request_traits::{OrganisationTag, PartKey};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

type Runs = HashMap<PartKey, Instant>;

/// Good runs under one organisation, in two generations. The older one is dropped as a whole when the newer one is full.
#[derive(Debug, Default)]
struct OrganisationRuns {
    newer: Runs,
    older: Runs,
}

impl OrganisationRuns {
    fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    fn last(&self, part: PartKey) -> Option<Instant> {
        self.newer.get(&part).max(self.older.get(&part)).copied()
    }

    fn rotate(&mut self) {
        self.older = std::mem::take(&mut self.newer);
    }

    /// Drops at least one of its runs, if it has any.
    fn shrink(&mut self) {
        if self.older.is_empty() {
            self.rotate();
        }
        self.older.clear();
    }
}

/// Last good run of parts under each organisation.
///
/// An organisation can only displace its own runs, unless the total is exceeded: then the organisation with the most
/// loses some of its own.
#[derive(Debug, Default)]
pub struct GoodRuns {
    organisations: BTreeMap<OrganisationTag, OrganisationRuns>,
    /// Number of remembered runs.
    total: usize,
}

impl GoodRuns {
    /// Records that a part ran well under an organisation.
    pub fn record(&mut self, part: PartKey, organisation: OrganisationTag, now: Instant) {
        let runs = self.organisations.entry(organisation).or_default();
        let before = runs.len();
        runs.newer.insert(part, now);
        if runs.newer.len() >= MAX_GOOD_RUNS_OF_ORGANISATION / 2 {
            runs.rotate();
        }
        self.total = self.total + runs.len() - before;
        while self.total > MAX_GOOD_RUNS {
            self.shrink_largest();
        }
    }

    /// When a part last ran well under an organisation, if that is remembered.
    pub fn last(
        &self,
        part: PartKey,
        organisation: OrganisationTag,
        now: Instant,
    ) -> Option<Instant> {
        let last = self.organisations.get(&organisation)?.last(part)?;
        (now.saturating_duration_since(last) < RETENTION).then_some(last)
    }

    /// The organisations under which a part ran well, and when it did last.
    pub fn of_part(
        &self,
        part: PartKey,
        now: Instant,
    ) -> impl Iterator<Item = (OrganisationTag, Instant)> + '_ {
        let organisations = self.organisations.keys();
        organisations.filter_map(move |tag| Some((*tag, self.last(part, *tag, now)?)))
    }

    /// Number of remembered runs.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Whether no run is remembered.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    fn shrink_largest(&mut self) {
        let largest = self.organisations.iter_mut().max_by_key(|(_, runs)| runs.len());
        let Some((tag, runs)) = largest else {
            return;
        };
        let before = runs.len();
        runs.shrink();
        self.total -= before - runs.len();
        let emptied = (runs.len() == 0).then_some(*tag);
        if let Some(tag) = emptied {
            self.organisations.remove(&tag);
        }
    }
}
