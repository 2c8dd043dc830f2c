//! What a VM knows of the endpoints that asked something of VMs, and whether it may send to them.

use crate::division::Part;
use crate::limits::Limits;
use crate::news::{ChangeNumber, LimitNews, LimitsNews, Want};
use crate::reason::{PushbackEvent, Withheld, WithheldReason};
use crate::word::{Pushback, RestWord};
use sillbank_core::prelude::EndpointId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest rest that an endpoint is given, whatever it names: a slip in its figure does not take it out for good.
const LONGEST_REST: Duration = Duration::from_secs(600);
/// How long the word of an endpoint that it leaves holds which says so no more. Its entry may go and come meanwhile.
const LEAVING_TERM: Duration = Duration::from_secs(600);

/// What endpoints asked of VMs, as one VM knows it.
#[derive(Debug, Default)]
pub struct PushbackBook {
    limits: Limits,
    /// When the rest of endpoints ends that turned this VM away.
    rests: BTreeMap<EndpointId, Instant>,
    /// When endpoints said last that they leave.
    leaving: BTreeMap<EndpointId, Instant>,
    /// Endpoints whose rest could not be read.
    unreadable: BTreeSet<EndpointId>,
    withheld: Vec<Withheld>,
}

impl PushbackBook {
    /// Whether nothing is asked of this VM.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.rests.is_empty() && self.leaving.is_empty()
    }

    /// An endpoint answered this VM; answers what is new. `draw` is drawn evenly from 0 to 1.
    pub fn on_answer(
        &mut self,
        endpoint: &str,
        born_ms: Option<u64>,
        pushback: Pushback,
        draw: f64,
        now: Instant,
    ) -> Vec<PushbackEvent> {
        let limited = self.limits.on_answer(endpoint, born_ms, pushback.limit, draw, now);
        let rests = self.on_rest(endpoint, pushback.rest, now);
        let leaves = pushback.is_leaving && self.on_leaving(endpoint, now);
        let leaves = leaves.then_some(PushbackEvent::Leaves);
        limited.into_iter().chain(rests).chain(leaves).collect()
    }

    fn on_rest(&mut self, endpoint: &str, word: RestWord, now: Instant) -> Option<PushbackEvent> {
        let rest = match word {
            RestWord::None => return None,
            RestWord::Unreadable => {
                let is_new = self.unreadable.insert(endpoint.to_owned());
                return is_new.then_some(PushbackEvent::Unreadable("rest"));
            }
            RestWord::For(rest) => rest.min(LONGEST_REST),
        };
        let until = now + rest;
        let before = self.rests.get(endpoint).copied();
        if before.is_none_or(|before| before < until) {
            self.rests.insert(endpoint.to_owned(), until);
        }
        let rested = before.is_some_and(|before| now < before);
        (!rested && !rest.is_zero()).then_some(PushbackEvent::Rests(rest))
    }

    /// Answers whether that is new.
    fn on_leaving(&mut self, endpoint: &str, now: Instant) -> bool {
        self.leaving.insert(endpoint.to_owned(), now).is_none()
    }

    /// Another VM told what endpoints said of their limits; answers what is new.
    pub fn on_told(
        &mut self,
        news: &[LimitNews],
        draw: impl FnMut() -> f64,
        now: Instant,
    ) -> Vec<(EndpointId, PushbackEvent)> {
        self.limits.on_told(news, draw, now)
    }

    /// Whether a request may be sent to an endpoint now. `vms` are the VMs of the fleet.
    pub fn may_send(&mut self, endpoint: &str, vms: u32, now: Instant) -> bool {
        let Some(reason) = self.withholds(endpoint, vms, now) else {
            return true;
        };
        if !self.withheld.iter().any(|withheld| withheld.endpoint == endpoint) {
            self.withheld.push(Withheld { endpoint: endpoint.to_owned(), reason });
        }
        false
    }

    fn withholds(&mut self, endpoint: &str, vms: u32, now: Instant) -> Option<WithheldReason> {
        if let Some(said_at) = self.leaving.get(endpoint) {
            let age = now.saturating_duration_since(*said_at);
            return Some(WithheldReason::Leaving { age });
        }
        // A request that is sent all the same is turned away, and what it then takes of the repeats that VMs share is
        // missing to those that need one.
        if let Some(until) = self.rests.get(endpoint).filter(|until| now < **until) {
            let left = until.saturating_duration_since(now);
            return Some(WithheldReason::Rest { left });
        }
        self.limits.withholds(endpoint, vms, now)
    }

    /// A request is sent to an endpoint.
    pub fn on_sent(&mut self, endpoint: &str, now: Instant) {
        self.limits.on_sent(endpoint, now);
    }

    /// Endpoints that requests were withheld from since this was last asked.
    pub fn take_withheld(&mut self) -> Vec<Withheld> {
        std::mem::take(&mut self.withheld)
    }

    /// What this VM would send to endpoints that name limits.
    pub fn wants(&self, now: Instant) -> Vec<Want> {
        self.limits.wants(now)
    }

    /// A leader gives this VM a part of an endpoint's limit.
    pub fn take_part(&mut self, endpoint: &str, part: Part) {
        self.limits.take_part(endpoint, part);
    }

    /// The limit of an endpoint that VMs go by, in requests a second; `None` if it takes what comes.
    pub fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.limits.limit_per_s(endpoint)
    }

    /// Endpoints that name a limit.
    pub fn limited_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.limits.limited_endpoints()
    }

    /// How many endpoints name a limit.
    pub fn limited(&self) -> usize {
        self.limits.limited_endpoints().count()
    }

    /// How many endpoints rest.
    pub fn resting(&self) -> usize {
        self.rests.len()
    }

    /// How many endpoints say that they leave.
    pub fn leaving(&self) -> usize {
        self.leaving.len()
    }

    /// Number of the newest change of limits.
    pub fn newest(&self) -> ChangeNumber {
        self.limits.newest()
    }

    /// What changed in limits after a number, as far as `most` of it.
    pub fn news_since(&self, number: ChangeNumber, most: usize, now: Instant) -> LimitsNews {
        self.limits.news_since(number, most, now)
    }

    /// The same, of what this VM heard itself.
    pub fn witnessed_since(&self, number: ChangeNumber, most: usize, now: Instant) -> LimitsNews {
        self.limits.witnessed_since(number, most, now)
    }

    /// The machine was suspended, and the clock by which parts end stood still: they may be others' by now.
    pub fn on_suspended(&mut self) {
        self.limits.drop_parts();
    }

    /// An endpoint has started again: what its life before asked holds no more.
    pub fn on_new_life(&mut self, endpoint: &str) {
        self.limits.on_new_life(endpoint);
        self.rests.remove(endpoint);
        self.leaving.remove(endpoint);
        self.unreadable.remove(endpoint);
    }

    /// Ends what holds no more; answers the limits that no VM has heard for so long that they end.
    pub fn on_time(&mut self, now: Instant) -> Vec<(EndpointId, PushbackEvent)> {
        self.rests.retain(|_, until| now < *until);
        self.leaving.retain(|_, at| now.saturating_duration_since(*at) < LEAVING_TERM);
        self.limits.on_time(now)
    }
}
