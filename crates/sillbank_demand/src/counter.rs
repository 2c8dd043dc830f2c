//! Counts what one VM is asked for.

use crate::news::{Counts, DemandNews, DemandReport, Incarnation};
use crate::{MAX_SERVICES, Rank, WINDOW, counted_rank};
use sillbank_core::prelude::ServiceId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time whose requests are counted together: a tenth of the window, which then is right to a tenth.
const SLOT: Duration = Duration::from_millis(100);
/// Slots that are kept: a whole window, and the one that has begun.
const SLOTS: usize = (WINDOW.as_millis() / SLOT.as_millis()) as usize + 1;

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It came for the first time.
    Offered,
    /// It came, and its caller had been refused before.
    Returned,
    /// An endpoint took it.
    LetIn,
    /// It was refused and has not run.
    Refused,
}

impl Event {
    fn counts(self) -> Counts {
        let none = Counts::default();
        match self {
            Self::Offered => Counts { offered: 1, ..none },
            Self::Returned => Counts { offered: 1, returning: 1, ..none },
            Self::LetIn => Counts { let_in: 1, ..none },
            Self::Refused => Counts { refused: 1, ..none },
        }
    }
}

/// Requests of the last second at one VM, by service and rank.
#[derive(Debug)]
pub struct DemandCounter {
    incarnation: Incarnation,
    began: Instant,
    services: BTreeMap<ServiceId, BTreeMap<Rank, Slots>>,
}

impl DemandCounter {
    /// Nothing counted; `incarnation` tells this process from others of the same VM.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self { incarnation, began: now, services: BTreeMap::new() }
    }

    /// Counts an event. Answers whether it was counted: services beyond [`MAX_SERVICES`] are not, while
    /// all others were asked for in the last second.
    pub fn count(&mut self, now: Instant, service: &str, rank: Rank, event: Event) -> bool {
        let slot = self.slot(now);
        if !self.services.contains_key(service) {
            if !self.make_room(slot) {
                return false;
            }
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(ranks) = self.services.get_mut(service) {
            ranks.entry(counted_rank(rank)).or_default().add(slot, event.counts());
        }
        true
    }

    /// What was counted in about the last second.
    pub fn report(&self, now: Instant) -> DemandReport {
        let slot = self.slot(now);
        let age = now.saturating_duration_since(self.began);
        let first = slot.saturating_sub(SLOTS as u64 - 1);
        let covers = age.saturating_sub(SLOT * first as u32);
        let all = self.services.iter().flat_map(|(service, ranks)| {
            ranks.iter().map(move |(rank, slots)| (service, rank, slots))
        });
        let news = all.map(|(service, rank, slots)| DemandNews {
            service: service.clone(),
            rank: *rank,
            counts: slots.sum(slot),
        });
        DemandReport {
            incarnation: self.incarnation,
            at_ms: age.as_millis() as u64,
            covers_ms: covers.as_millis() as u32,
            news: news.filter(|news| !news.counts.is_zero()).collect(),
        }
    }

    /// Number of the slot of a moment.
    fn slot(&self, now: Instant) -> u64 {
        (now.saturating_duration_since(self.began).as_millis() / SLOT.as_millis()) as u64
    }

    /// Forgets what was not asked for lately if no further service fits.
    fn make_room(&mut self, slot: u64) -> bool {
        if self.services.len() >= MAX_SERVICES {
            self.services.retain(|_, ranks| ranks.values().any(|slots| !slots.sum(slot).is_zero()));
        }
        self.services.len() < MAX_SERVICES
    }
}

/// Counts of the last slots, each with the number of its slot.
#[derive(Debug, Default)]
struct Slots([(u64, Counts); SLOTS]);

impl Slots {
    fn add(&mut self, slot: u64, counts: Counts) {
        let kept = &mut self.0[(slot % SLOTS as u64) as usize];
        if kept.0 != slot {
            *kept = (slot, Counts::default());
        }
        kept.1.add(counts);
    }

    fn sum(&self, newest: u64) -> Counts {
        let mut sum = Counts::default();
        let in_window = |slot: u64| slot <= newest && slot + SLOTS as u64 > newest;
        for (_, counts) in self.0.iter().filter(|(slot, _)| in_window(*slot)) {
            sum.add(*counts);
        }
        sum
    }
}
