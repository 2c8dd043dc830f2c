//! All requests under which endpoints ended, as one VM knows them.

use crate::fingerprint::Fingerprint;
use crate::news::{ChangeNumber, QuarantineNews, QuarantineRecord, StoredSuspect, SuspectNews};
use crate::suspect::{StoredMark, Suspect};
use crate::terms::{KEPT_APART, MEMORY, MOST_SUSPECTS, TELL_AFTER, URGENT_ENDS};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long this VM waits for the leader of the hall that saw an end to write it to the store.
const OTHERS_STORE_WITHIN: Duration = Duration::from_secs(1);
/// Requests that the store keeps at most, some 300 bytes each: an object may have 1 MB.
const MOST_STORED: usize = 256;

/// Who told of a suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Teller {
    /// A VM of the own hall that saw it.
    Member,
    /// A leader.
    Leader,
    /// The platform's store.
    Store,
}

/// What changed for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// It is held back from now on.
    Begun {
        /// Request.
        fingerprint: Fingerprint,
        /// Endpoints that ended under it.
        endpoints: Vec<EndpointId>,
        /// How long it is held back.
        term: Duration,
    },
    /// It is held back no more: its term is over, or it was seen to run well.
    Ended {
        /// Request.
        fingerprint: Fingerprint,
    },
}

/// Requests under which endpoints ended, those of which this VM knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    newest_change: ChangeNumber,
    /// Newest change that others should hear of without a wait.
    newest_urgent: ChangeNumber,
}

impl Quarantine {
    /// An endpoint ended under a request in its beginning, which was sent there at a moment. `endpoint` names one life
    /// of it, as far as that is known.
    pub fn on_end(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineEvent> {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let there = now.saturating_duration_since(sent_at);
        if !suspect.add_end(endpoint, now, there) {
            return Vec::new();
        }
        suspect.store_from = Some(now);
        if suspect.changed == 0 && suspect.ends() < URGENT_ENDS {
            suspect.tell_at.get_or_insert(now + TELL_AFTER);
        } else {
            self.note_change(fingerprint, true);
        }
        self.drop_excess();
        self.follow(fingerprint, now)
    }

    /// A request was seen to run well: to its end, or beyond its beginning.
    pub fn on_ran_well(&mut self, fingerprint: Fingerprint, now: Instant) -> Vec<QuarantineEvent> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        if suspect.ends() == 0 || !suspect.clear(now) {
            return Vec::new();
        }
        suspect.store_from = Some(now);
        let is_untold = suspect.changed == 0;
        let events = self.follow(fingerprint, now);
        match is_untold {
            true => drop(self.suspects.remove(&fingerprint)),
            false => self.note_change(fingerprint, true),
        }
        events
    }

    /// How much longer a request is held back; `None` if it is not.
    pub fn held_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        self.suspects.get(&fingerprint)?.held_for(now)
    }

    /// How much longer a request is kept apart from others: an endpoint ended under it not long ago, and it has not run well
    /// since.
    pub fn kept_apart_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let last_end = self.suspects.get(&fingerprint)?.last_end()?;
        let left = KEPT_APART.checked_sub(now.saturating_duration_since(last_end));
        left.filter(|left| !left.is_zero())
    }

    /// Endpoints that ended under a request, as far as they count.
    pub fn ends(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Suspect::ends)
    }

    /// Whether no request is known of.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests that are held back, and all that are suspected.
    pub fn counts(&self) -> (usize, usize) {
        (self.suspects.values().filter(|suspect| suspect.is_held).count(), self.suspects.len())
    }

    /// Lets time pass: first ends become due to be told, terms end, and what is too old is forgotten.
    pub fn on_time(&mut self, now: Instant) -> Vec<QuarantineEvent> {
        let is_due = |suspect: &Suspect| suspect.tell_at.is_some_and(|at| at <= now);
        let due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        for fingerprint in due.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.note_change(fingerprint, true);
        }
        let is_over = |suspect: &Suspect| suspect.is_held && suspect.held_for(now).is_none();
        let over = self.suspects.iter().filter(|(_, suspect)| is_over(suspect));
        let over: Vec<Fingerprint> = over.map(|(fingerprint, _)| *fingerprint).collect();
        let events = over.into_iter().flat_map(|fingerprint| self.follow(fingerprint, now));
        let events = events.collect();
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
        events
    }

    /// Takes what a VM or the store tells.
    pub fn on_news(
        &mut self,
        suspects: &[SuspectNews],
        teller: Teller,
        now: Instant,
    ) -> Vec<QuarantineEvent> {
        let mut events = Vec::new();
        for news in suspects.iter().filter(|news| is_recent(news)) {
            let suspect = self.suspects.entry(news.fingerprint).or_default();
            if !suspect.take_news(news, now) {
                continue;
            }
            suspect.store_from = Some(match teller {
                Teller::Member => now,
                Teller::Leader | Teller::Store => now + OTHERS_STORE_WITHIN,
            });
            self.note_change(news.fingerprint, false);
            events.extend(self.follow(news.fingerprint, now));
        }
        self.drop_excess();
        events
    }

    /// Takes what the store keeps, at a time of day.
    pub fn on_stored(
        &mut self,
        record: &QuarantineRecord,
        now: Instant,
        now_unix_ms: u64,
    ) -> Vec<QuarantineEvent> {
        let stored = record.suspects.iter().filter_map(|stored| stored.to_news(now_unix_ms));
        let stored: Vec<SuspectNews> = stored.collect();
        let events = self.on_news(&stored, Teller::Store, now);
        self.note_stored(&stored);
        events
    }

    /// What the store should keep, if it lacks anything that this VM is to write by now.
    pub fn due_record(&self, now: Instant, now_unix_ms: u64) -> Option<QuarantineRecord> {
        let is_due = |suspect: &Suspect| {
            suspect.is_to_be_stored() && suspect.store_from.is_some_and(|at| at <= now)
        };
        if !self.suspects.values().any(is_due) {
            return None;
        }
        let mut kept: Vec<_> =
            self.suspects.iter().filter(|(_, suspect)| suspect.is_kept()).collect();
        kept.sort_by_key(|(_, suspect)| std::cmp::Reverse((suspect.is_held, suspect.newest())));
        kept.truncate(MOST_STORED);
        let to_stored = |(fingerprint, suspect): (&Fingerprint, &Suspect)| {
            StoredSuspect::from_news(&suspect.to_news(*fingerprint, now), now_unix_ms)
        };
        Some(QuarantineRecord { suspects: kept.into_iter().map(to_stored).collect() })
    }

    /// The store took a record.
    pub fn on_written(&mut self, record: &QuarantineRecord, now_unix_ms: u64) {
        let stored: Vec<SuspectNews> =
            record.suspects.iter().filter_map(|stored| stored.to_news(now_unix_ms)).collect();
        self.note_stored(&stored);
        if record.suspects.len() < MOST_STORED {
            return;
        }
        // What did not fit is written with its next change.
        for suspect in self.suspects.values_mut() {
            suspect.store_from = None;
        }
    }

    fn note_stored(&mut self, stored: &[SuspectNews]) {
        self.suspects.values_mut().for_each(|suspect| suspect.stored = None);
        for news in stored {
            if let Some(suspect) = self.suspects.get_mut(&news.fingerprint) {
                suspect.stored = Some(StoredMark::of(news));
            }
        }
    }

    /// Newest change that others should hear of without a wait.
    pub fn newest_urgent(&self) -> ChangeNumber {
        self.newest_urgent
    }

    /// At most `most` changes after one, the oldest first.
    pub fn news_since(&self, since: ChangeNumber, most: usize, now: Instant) -> QuarantineNews {
        self.news(since, most, now, |suspect| suspect.changed)
    }

    /// As [`Self::news_since`], of what this VM saw itself.
    pub fn witnessed_since(
        &self,
        since: ChangeNumber,
        most: usize,
        now: Instant,
    ) -> QuarantineNews {
        self.news(since, most, now, |suspect| suspect.witnessed)
    }

    fn news(
        &self,
        since: ChangeNumber,
        most: usize,
        now: Instant,
        change_of: impl Fn(&Suspect) -> ChangeNumber,
    ) -> QuarantineNews {
        if since >= self.newest_change {
            return QuarantineNews { up_to: since, suspects: Vec::new() };
        }
        let changed = self.suspects.iter().filter(|(_, suspect)| change_of(suspect) > since);
        let changed: BTreeSet<(ChangeNumber, Fingerprint)> =
            changed.map(|(fingerprint, suspect)| (change_of(suspect), *fingerprint)).collect();
        let is_whole = changed.len() <= most;
        let told: Vec<(ChangeNumber, Fingerprint)> = changed.into_iter().take(most).collect();
        let up_to = match (is_whole, told.last()) {
            (false, Some((last, _))) => *last,
            _ => self.newest_change,
        };
        let suspects = told.iter().filter_map(|(_, fingerprint)| {
            Some(self.suspects.get(fingerprint)?.to_news(*fingerprint, now))
        });
        QuarantineNews { up_to, suspects: suspects.collect() }
    }

    /// Numbers a change. That of a request which one end more holds back is urgent.
    fn note_change(&mut self, fingerprint: Fingerprint, is_witnessed: bool) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        self.newest_change += 1;
        suspect.changed = self.newest_change;
        let is_urgent = suspect.ends() >= URGENT_ENDS;
        if is_urgent {
            self.newest_urgent = self.newest_change;
        }
        // An end that was seen here and waits to be told is told with others.
        if is_witnessed || (is_urgent && suspect.tell_at.is_some()) {
            suspect.witnessed = self.newest_change;
            suspect.tell_at = None;
        }
    }

    /// Tells whether a request is held back, if that changed.
    fn follow(&mut self, fingerprint: Fingerprint, now: Instant) -> Vec<QuarantineEvent> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let held_for = suspect.held_for(now);
        let was_held = std::mem::replace(&mut suspect.is_held, held_for.is_some());
        match (was_held, held_for) {
            (false, Some(term)) => {
                let endpoints = suspect.endpoints();
                vec![QuarantineEvent::Begun { fingerprint, endpoints, term }]
            }
            (true, None) => vec![QuarantineEvent::Ended { fingerprint }],
            _ => Vec::new(),
        }
    }

    /// Forgets those with the fewest and oldest ends beyond the bound.
    fn drop_excess(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let least = self.suspects.iter().min_by_key(|(_, s)| (s.ends(), s.newest()));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.suspects.remove(&fingerprint);
        }
    }
}

/// Whether news tell of something that is still to be remembered.
fn is_recent(news: &SuspectNews) -> bool {
    let memory_ms = MEMORY.as_millis() as u64;
    let ages = news.ends.iter().map(|end| end.age_ms).chain(news.cleared_age_ms);
    ages.min().is_some_and(|age_ms| age_ms < memory_ms)
}
