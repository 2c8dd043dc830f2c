//! Limits that endpoints named, and this VM's parts of them.

use crate::division::Part;
use crate::news::{ChangeNumber, LimitNews, LimitsNews, Want};
use crate::permits::Permits;
use crate::reason::{PushbackEvent, WithheldReason};
use crate::wanted::WantedRate;
use crate::word::LimitWord;
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a limit holds that no VM hears of any more: nobody sends there, so it cannot be taken back.
const LIMIT_TERM: Duration = Duration::from_secs(30);
/// Time after which a limit that is heard again is told again, so that it does not end at those that only are told.
const TELL_AGAIN: Duration = Duration::from_secs(5);
/// Least requests a second that go to an endpoint from all VMs, whatever it names: only an answer takes a limit back.
const LEAST_LIMIT_PER_S: f64 = 0.1;
/// Part of a limit that all VMs together use which no leader gives a part. Beside them those that have parts use the
/// whole limit.
const UNTOLD_SHARE: f64 = 0.25;
/// Requests a second below which a VM asks for no part.
const LEAST_WANTED_PER_S: f64 = 0.05;

/// What an endpoint said last of the requests that it takes.
#[derive(Debug, Clone, Copy)]
struct Said {
    limit_per_s: Option<f64>,
    born_ms: Option<u64>,
    at: Instant,
    /// Whether this VM heard it from the endpoint.
    is_witnessed: bool,
    number: ChangeNumber,
    told_at: Instant,
}

/// What is known of one endpoint.
#[derive(Debug)]
struct Known {
    said: Said,
    wanted: WantedRate,
    part: Option<Part>,
    permits: Permits,
}

impl Known {
    /// The limit that VMs go by, if there is one.
    fn limit_per_s(&self) -> Option<f64> {
        self.said.limit_per_s.map(|per_s| per_s.max(LEAST_LIMIT_PER_S))
    }

    /// This VM's part, and whether a leader gave it.
    fn part_per_s(&self, limit_per_s: f64, vms: u32, now: Instant) -> (f64, bool) {
        match self.part.filter(|part| now < part.until) {
            Some(part) => (part.per_s.min(limit_per_s), true),
            None => (UNTOLD_SHARE * limit_per_s / f64::from(vms.max(1)), false),
        }
    }
}

/// Limits as one VM knows them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    known: BTreeMap<EndpointId, Known>,
    /// Endpoints whose limit could not be read.
    unreadable: BTreeSet<EndpointId>,
    newest: ChangeNumber,
}

impl Limits {
    /// Whether none is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// An endpoint answered this VM; answers what is new. `draw` is drawn evenly from 0 to 1.
    pub(crate) fn on_answer(
        &mut self,
        endpoint: &str,
        born_ms: Option<u64>,
        word: LimitWord,
        draw: f64,
        now: Instant,
    ) -> Option<PushbackEvent> {
        let limit_per_s = match word {
            LimitWord::Unreadable => {
                let is_new = self.unreadable.insert(endpoint.to_owned());
                return is_new.then_some(PushbackEvent::Unreadable("limit"));
            }
            LimitWord::None if !self.known.contains_key(endpoint) => return None,
            LimitWord::None => None,
            LimitWord::PerS(per_s) => Some(per_s),
        };
        let number = self.newest + 1;
        let said = Said { limit_per_s, born_ms, at: now, is_witnessed: true, number, told_at: now };
        self.take(endpoint, said, draw, now)
    }

    /// Another VM told what endpoints said; answers what is new.
    pub(crate) fn on_told(
        &mut self,
        news: &[LimitNews],
        mut draw: impl FnMut() -> f64,
        now: Instant,
    ) -> Vec<(EndpointId, PushbackEvent)> {
        let mut events = Vec::new();
        for told in news {
            let age = Duration::from_millis(told.age_ms);
            if !told.limit_per_s.is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0) {
                let event = PushbackEvent::Unreadable("a limit that another VM told");
                events.push((told.endpoint.clone(), event));
                continue;
            }
            let Some(at) = now.checked_sub(age).filter(|_| age < LIMIT_TERM) else {
                continue;
            };
            let said = Said {
                limit_per_s: told.limit_per_s,
                born_ms: told.born_ms,
                at,
                is_witnessed: false,
                number: self.newest + 1,
                told_at: now,
            };
            let event = self.take(&told.endpoint, said, draw(), now);
            events.extend(event.map(|event| (told.endpoint.clone(), event)));
        }
        events
    }

    /// Takes what an endpoint said, unless it has said something since.
    fn take(
        &mut self,
        endpoint: &str,
        mut said: Said,
        draw: f64,
        now: Instant,
    ) -> Option<PushbackEvent> {
        let before = self.known.get_mut(endpoint);
        let before_said = before.as_ref().map(|known| known.said);
        if before_said.is_some_and(|before| said.at <= before.at) {
            return None;
        }
        // That a limit was taken back is kept also where it was not known: others may hear of both from here.
        let before_per_s = before_said.and_then(|before| before.limit_per_s);
        let is_new = before_per_s != said.limit_per_s;
        if let Some(before) = before_said
            .filter(|before| !is_new && now.saturating_duration_since(before.told_at) < TELL_AGAIN)
        {
            (said.number, said.told_at) = (before.number, before.told_at);
        }
        self.newest = self.newest.max(said.number);
        match before {
            Some(known) => known.said = said,
            None => {
                let known = Known {
                    said,
                    wanted: WantedRate::new(now),
                    part: None,
                    permits: Permits::new(draw, now),
                };
                self.known.insert(endpoint.to_owned(), known);
            }
        }
        let event = said.limit_per_s.map_or(PushbackEvent::Unlimited, PushbackEvent::Limited);
        is_new.then_some(event)
    }

    /// Why a request may not be sent to an endpoint now. `vms` are the VMs of the fleet.
    pub(crate) fn withholds(
        &mut self,
        endpoint: &str,
        vms: u32,
        now: Instant,
    ) -> Option<WithheldReason> {
        let known = self.known.get_mut(endpoint)?;
        let limit_per_s = known.limit_per_s()?;
        let (part_per_s, is_given) = known.part_per_s(limit_per_s, vms, now);
        known.permits.set_pace(part_per_s, now);
        if known.permits.is_open(now) {
            return None;
        }
        known.wanted.count(now);
        let age = now.saturating_duration_since(known.said.at);
        Some(WithheldReason::Limit { limit_per_s, part_per_s, is_given, age })
    }

    /// A request is sent to an endpoint.
    pub(crate) fn on_sent(&mut self, endpoint: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint)
            && known.said.limit_per_s.is_some()
        {
            known.permits.take(now);
            known.wanted.count(now);
        }
    }

    /// What this VM would send to endpoints that name limits.
    pub(crate) fn wants(&self, now: Instant) -> Vec<Want> {
        let limited = self.known.iter().filter(|(_, known)| known.said.limit_per_s.is_some());
        let wants = limited.map(|(endpoint, known)| Want {
            endpoint: endpoint.clone(),
            per_s: known.wanted.per_s(now),
        });
        wants.filter(|want| want.per_s >= LEAST_WANTED_PER_S).collect()
    }

    /// A leader gives this VM a part of an endpoint's limit.
    pub(crate) fn take_part(&mut self, endpoint: &str, part: Part) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.part = Some(part);
        }
    }

    /// The limit of an endpoint that VMs go by, in requests a second; `None` if it takes what comes.
    pub(crate) fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.known.get(endpoint)?.limit_per_s()
    }

    /// Endpoints that name a limit.
    pub(crate) fn limited_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let limited = self.known.iter().filter(|(_, known)| known.said.limit_per_s.is_some());
        limited.map(|(endpoint, _)| endpoint)
    }

    /// Number of the newest change.
    pub(crate) fn newest(&self) -> ChangeNumber {
        self.newest
    }

    /// What changed after a number, as far as `most` of it.
    pub(crate) fn news_since(&self, number: ChangeNumber, most: usize, now: Instant) -> LimitsNews {
        self.changes(number, most, now, |_| true)
    }

    /// The same, of what this VM heard itself.
    pub(crate) fn witnessed_since(
        &self,
        number: ChangeNumber,
        most: usize,
        now: Instant,
    ) -> LimitsNews {
        self.changes(number, most, now, |said| said.is_witnessed)
    }

    fn changes(
        &self,
        number: ChangeNumber,
        most: usize,
        now: Instant,
        is_told: impl Fn(&Said) -> bool,
    ) -> LimitsNews {
        let is_new = |known: &&Known| known.said.number > number && is_told(&known.said);
        let mut new: Vec<(&EndpointId, &Known)> =
            self.known.iter().filter(|(_, known)| is_new(known)).collect();
        new.sort_by_key(|(_, known)| known.said.number);
        let is_all = new.len() <= most;
        new.truncate(most);
        let up_to = match (is_all, new.last()) {
            (false, Some((_, last))) => last.said.number,
            _ => self.newest,
        };
        let limits = new.into_iter().map(|(endpoint, known)| LimitNews {
            endpoint: endpoint.clone(),
            born_ms: known.said.born_ms,
            limit_per_s: known.said.limit_per_s,
            age_ms: now.saturating_duration_since(known.said.at).as_millis() as u64,
        });
        LimitsNews { up_to, limits: limits.collect() }
    }

    /// An endpoint has started again: what its life before asked holds no more.
    pub(crate) fn on_new_life(&mut self, endpoint: &str) {
        self.known.remove(endpoint);
        self.unreadable.remove(endpoint);
    }

    /// Ends what no VM has heard for long; answers the limits that end so.
    pub(crate) fn on_time(&mut self, now: Instant) -> Vec<(EndpointId, PushbackEvent)> {
        let mut lapsed = Vec::new();
        self.known.retain(|endpoint, known| {
            let lives = now.saturating_duration_since(known.said.at) < LIMIT_TERM;
            if !lives && known.said.limit_per_s.is_some() {
                lapsed.push((endpoint.clone(), PushbackEvent::Lapsed));
            }
            lives
        });
        lapsed
    }

    /// Gives up all parts.
    pub(crate) fn drop_parts(&mut self) {
        self.known.values_mut().for_each(|known| known.part = None);
    }
}
