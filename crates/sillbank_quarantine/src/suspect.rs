//! What is known of one request under which endpoints ended.

use crate::fingerprint::Fingerprint;
use crate::news::{ChangeNumber, EndNews, SuspectNews};
use crate::terms::{MEMORY, MOST_ENDS, SAME_END_WITHIN, SAME_RUN_WITHIN, URGENT_ENDS, term_after};
use sillbank_core::prelude::EndpointId;
use std::time::{Duration, Instant};

/// An endpoint that ended under the request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct End {
    endpoint: EndpointId,
    at: Instant,
    /// Time from the request's sending there to the end.
    there: Duration,
}

impl End {
    /// Whether the request was sent there after another of its endpoints had ended.
    fn follows(&self, other: &End) -> bool {
        self.at.saturating_duration_since(other.at) >= self.there
    }
}

/// Keeps those ends of some, in order of their times, that each follow the one kept before. Endpoints that end at
/// the same moment, each with a copy of the request, ended for another reason or one of them did.
fn keep_chain(ends: &mut Vec<End>) {
    let mut kept: Vec<End> = Vec::new();
    for end in ends.drain(..) {
        if kept.last().is_none_or(|last| end.follows(last)) {
            kept.push(end);
        }
    }
    *ends = kept;
}

/// What tells whether the store keeps the same of a request as this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoredMark {
    ends: usize,
    is_cleared: bool,
}

impl StoredMark {
    pub(crate) fn of(news: &SuspectNews) -> Self {
        Self { ends: news.ends.len(), is_cleared: news.cleared_age_ms.is_some() }
    }
}

/// A request under which endpoints ended.
#[derive(Debug, Default)]
pub(crate) struct Suspect {
    /// At most [`MOST_ENDS`], the newest ones, each of a send that followed the end before.
    ends: Vec<End>,
    /// When it was last seen to run well.
    cleared_at: Option<Instant>,
    /// Newest change that other VMs hear of; 0 while they need not.
    pub(crate) changed: ChangeNumber,
    /// Newest change that this VM saw itself.
    pub(crate) witnessed: ChangeNumber,
    /// When a first end is told to others, if it was not yet.
    pub(crate) tell_at: Option<Instant>,
    /// Whether it is told to be held back.
    pub(crate) is_held: bool,
    /// What the store keeps of it, if anything.
    pub(crate) stored: Option<StoredMark>,
    /// From when on this VM writes what the store lacks.
    pub(crate) store_from: Option<Instant>,
}

impl Suspect {
    /// Ends that count.
    pub(crate) fn ends(&self) -> usize {
        self.ends.len()
    }

    /// Endpoints that ended under it.
    pub(crate) fn endpoints(&self) -> Vec<EndpointId> {
        self.ends.iter().map(|end| end.endpoint.clone()).collect()
    }

    /// Whether the store is to keep it: one end more holds it back, or the store keeps what counts no more.
    pub(crate) fn is_kept(&self) -> bool {
        self.ends() >= URGENT_ENDS || self.stored.is_some()
    }

    /// Whether the store is to keep something else than it does.
    pub(crate) fn is_to_be_stored(&self) -> bool {
        let mark = StoredMark { ends: self.ends(), is_cleared: self.cleared_at.is_some() };
        self.is_kept() && self.stored != Some(mark)
    }

    /// When the last end was, or when it was cleared.
    pub(crate) fn newest(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.at).max().max(self.cleared_at)
    }

    /// When the last end was.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        self.ends.iter().map(|end| end.at).max()
    }

    /// Notes an end; answers whether it was not known.
    pub(crate) fn add_end(&mut self, endpoint: &str, at: Instant, there: Duration) -> bool {
        let is_same = |end: &End| {
            let apart = at.max(end.at).saturating_duration_since(at.min(end.at));
            end.endpoint == endpoint && apart < SAME_END_WITHIN
        };
        if self.cleared_at.is_some_and(|cleared| at <= cleared) || self.ends.iter().any(is_same) {
            return false;
        }
        let before = self.ends.clone();
        self.ends.push(End { endpoint: endpoint.to_owned(), at, there });
        self.ends.sort_by_key(|end| end.at);
        keep_chain(&mut self.ends);
        let excess = self.ends.len().saturating_sub(MOST_ENDS);
        self.ends.drain(..excess);
        self.ends != before
    }

    /// Notes that it ran well; answers whether that was not known. Moments that VMs tell each other become a little
    /// later each time, and are the same.
    pub(crate) fn clear(&mut self, at: Instant) -> bool {
        let is_known = |cleared: Instant| at < cleared + SAME_RUN_WITHIN;
        if self.cleared_at.is_some_and(is_known) && self.ends.iter().all(|end| end.at > at) {
            return false;
        }
        self.cleared_at = self.cleared_at.max(Some(at));
        self.ends.retain(|end| end.at > at);
        true
    }

    /// How much longer it is held back; `None` if it is not.
    pub(crate) fn held_for(&self, now: Instant) -> Option<Duration> {
        let term = term_after(self.ends.len())?;
        let since = now.saturating_duration_since(self.newest()?);
        term.checked_sub(since).filter(|left| !left.is_zero())
    }

    /// Whether it is too long ago to be remembered.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.newest().is_none_or(|newest| now.saturating_duration_since(newest) >= MEMORY)
    }

    /// As other VMs hear of it.
    pub(crate) fn to_news(&self, fingerprint: Fingerprint, now: Instant) -> SuspectNews {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let to_news = |end: &End| EndNews {
            endpoint: end.endpoint.clone(),
            age_ms: age_ms(end.at),
            there_ms: end.there.as_millis() as u64,
        };
        let ends = self.ends.iter().map(to_news).collect();
        SuspectNews { fingerprint, ends, cleared_age_ms: self.cleared_at.map(age_ms) }
    }

    /// Takes what another VM or the store tells; answers whether that changed anything.
    pub(crate) fn take_news(&mut self, news: &SuspectNews, now: Instant) -> bool {
        let at = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        let mut has_changed = news.cleared_age_ms.is_some_and(|age_ms| self.clear(at(age_ms)));
        for end in news.ends.iter().take(MOST_ENDS) {
            let there = Duration::from_millis(end.there_ms);
            has_changed |= self.add_end(&end.endpoint, at(end.age_ms), there);
        }
        has_changed
    }
}
