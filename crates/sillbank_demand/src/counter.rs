//! Counter of the requests at one VM.

use crate::report::{Counts, DemandEntry, DemandReport, Incarnation};
use crate::{MAX_SERVICES, Rank, WINDOW, clamp_rank};
use sillbank_core::prelude::ServiceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Resolution of the counter: a tenth of the window, so that rates are precise to a tenth.
const BUCKET: Duration = Duration::from_millis(100);
/// Number of buckets kept: a full window and the current, incomplete bucket.
const BUCKETS: usize = (WINDOW.as_millis() / BUCKET.as_millis()) as usize + 1;

/// Event of a request that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DemandEvent {
    /// The request arrived for the first time.
    Offered,
    /// The request arrived after its caller had been refused before.
    Retried,
    /// An endpoint accepted the request.
    Admitted,
    /// The request was refused and has not run.
    Refused,
}

impl DemandEvent {
    fn counts(self) -> Counts {
        let none = Counts::default();
        match self {
            Self::Offered => Counts { offered: 1, ..none },
            Self::Retried => Counts { offered: 1, retries: 1, ..none },
            Self::Admitted => Counts { admitted: 1, ..none },
            Self::Refused => Counts { refused: 1, ..none },
        }
    }
}

/// Counts of the requests of the last second at one VM, by service and rank.
#[derive(Debug)]
pub struct DemandCounter {
    incarnation: Incarnation,
    started: Instant,
    services: BTreeMap<ServiceId, BTreeMap<Rank, BucketRing>>,
}

impl DemandCounter {
    /// Creates an empty counter. `incarnation` distinguishes this process from others of the same VM.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self { incarnation, started: now, services: BTreeMap::new() }
    }

    /// Counts an event. Returns false if it was not counted because [`MAX_SERVICES`] other services had
    /// events in the last second.
    pub fn count(&mut self, now: Instant, service: &str, rank: Rank, event: DemandEvent) -> bool {
        let bucket = self.bucket(now);
        if !self.services.contains_key(service) {
            if !self.evict_idle(bucket) {
                return false;
            }
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(ranks) = self.services.get_mut(service) {
            ranks.entry(clamp_rank(rank)).or_default().add(bucket, event.counts());
        }
        true
    }

    /// Reports what was counted in about the last second.
    pub fn report(&self, now: Instant) -> DemandReport {
        let bucket = self.bucket(now);
        let age = now.saturating_duration_since(self.started);
        let first = bucket.saturating_sub(BUCKETS as u64 - 1);
        let covers = age.saturating_sub(BUCKET * first as u32);
        let all = self.services.iter().flat_map(|(service, ranks)| {
            ranks.iter().map(move |(rank, buckets)| (service, rank, buckets))
        });
        let entries = all.map(|(service, rank, buckets)| DemandEntry {
            service: service.clone(),
            rank: *rank,
            counts: buckets.sum(bucket),
        });
        DemandReport {
            incarnation: self.incarnation,
            at_ms: age.as_millis() as u64,
            covers_ms: covers.as_millis() as u32,
            entries: entries.filter(|entry| !entry.counts.is_zero()).collect(),
        }
    }

    /// Number of the bucket of a time, counted from the start of the counter.
    fn bucket(&self, now: Instant) -> u64 {
        (now.saturating_duration_since(self.started).as_millis() / BUCKET.as_millis()) as u64
    }

    /// Evicts services without recent events if no further service fits; false if none fits even then.
    fn evict_idle(&mut self, bucket: u64) -> bool {
        if self.services.len() >= MAX_SERVICES {
            self.services
                .retain(|_, ranks| ranks.values().any(|buckets| !buckets.sum(bucket).is_zero()));
        }
        self.services.len() < MAX_SERVICES
    }
}

/// Ring buffer of the last buckets, each with its number.
#[derive(Debug, Default)]
struct BucketRing([(u64, Counts); BUCKETS]);

impl BucketRing {
    fn add(&mut self, bucket: u64, counts: Counts) {
        let entry = &mut self.0[(bucket % BUCKETS as u64) as usize];
        if entry.0 != bucket {
            *entry = (bucket, Counts::default());
        }
        entry.1.add(counts);
    }

    fn sum(&self, newest: u64) -> Counts {
        let mut sum = Counts::default();
        let in_window = |bucket: u64| bucket <= newest && bucket + BUCKETS as u64 > newest;
        for (_, counts) in self.0.iter().filter(|(bucket, _)| in_window(*bucket)) {
            sum.add(*counts);
        }
        sum
    }
}
