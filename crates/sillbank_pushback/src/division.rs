//! Divides the limit of an endpoint among those that want to send.

use sillbank_core::prelude::{EndpointId, HallId, VmId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a part holds. VMs ask several times in it, so that one lost answer ends no part; those that fall silent
/// keep theirs from others for no longer.
pub const PART_TERM: Duration = Duration::from_millis(1_500);

/// Smallest part that is given, in requests a second: a VM's permits stay open for a second, and with fewer permits than
/// that in a second those of many VMs could be open at one moment. Of a smaller limit one asker gets all.
const LEAST_PART_PER_S: f64 = 1.0;

/// How many times as much another must want to take the place of an asker that has a part: parts do not go to and fro
/// between those that want about the same.
const KEEPS_PART: f64 = 1.5;

/// Difference that rounding makes.
const ROUNDING: f64 = 1e-9;

/// Who asks for a part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Asker {
    /// A VM of the leader's hall.
    Vm(VmId),
    /// The leader of another hall, for all VMs there.
    Hall(HallId),
}

/// A part of a limit, or a limit that is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Requests a second.
    pub per_s: f64,
    /// When it ends.
    pub until: Instant,
}

/// What one asker wants and was given.
#[derive(Debug)]
struct Share {
    wanted_per_s: f64,
    heard_at: Instant,
    /// Parts that may still be in use. A smaller one ends those before it only when they end by themselves: they may have
    /// been divided further.
    given: Vec<Part>,
}

impl Share {
    fn in_use_per_s(&self, now: Instant) -> f64 {
        let live = self.given.iter().filter(|part| now < part.until);
        live.map(|part| part.per_s).fold(0.0, f64::max)
    }

    fn is_over(&self, now: Instant) -> bool {
        self.heard_at + PART_TERM <= now && self.given.iter().all(|part| part.until <= now)
    }
}

/// What a leader has given away of the limits that it divides.
#[derive(Debug, Default)]
pub struct Divider {
    shares: BTreeMap<EndpointId, BTreeMap<Asker, Share>>,
    /// When parts that another divider gave before have ended.
    begins_at: Option<Instant>,
}

impl Divider {
    /// Begins to divide. What another divider gave may be in use for a term.
    pub fn begin(&mut self, now: Instant) {
        self.begins_at.get_or_insert(now + PART_TERM);
    }

    /// Divides no more.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Whether it gives parts.
    pub fn divides(&self, now: Instant) -> bool {
        self.begins_at.is_some_and(|begins_at| begins_at <= now)
    }

    /// Notes what an asker wants, and gives it its part of `total`; `None` while nothing is given.
    pub fn divide(
        &mut self,
        endpoint: &str,
        asker: &Asker,
        wanted_per_s: f64,
        total: Part,
        now: Instant,
    ) -> Option<Part> {
        if !self.divides(now) || total.until <= now {
            return None;
        }
        let shares = self.shares.entry(endpoint.to_owned()).or_default();
        shares.retain(|_, share| !share.is_over(now));
        let new = || Share { wanted_per_s, heard_at: now, given: Vec::new() };
        let share = shares.entry(asker.clone()).or_insert_with(new);
        (share.wanted_per_s, share.heard_at) = (wanted_per_s.max(0.0), now);
        let fair_per_s = fair_part(shares, asker, total.per_s, now);
        let others = shares.iter().filter(|(other, _)| *other != asker);
        let in_use: f64 = others.map(|(_, share)| share.in_use_per_s(now)).sum();
        let per_s = fair_per_s.min(total.per_s - in_use);
        let is_enough = per_s + ROUNDING >= LEAST_PART_PER_S.min(total.per_s);
        let per_s = if is_enough { per_s.max(0.0) } else { 0.0 };
        let part = Part { per_s, until: total.until.min(now + PART_TERM) };
        if let Some(share) = shares.get_mut(asker) {
            share.given.retain(|given| now < given.until);
            share.given.push(part);
        }
        Some(part)
    }

    /// Whether an asker was given a part that has not ended, also of nothing.
    pub fn has_given(&self, endpoint: &str, asker: &Asker, now: Instant) -> bool {
        let share = self.shares.get(endpoint).and_then(|shares| shares.get(asker));
        share.is_some_and(|share| share.given.iter().any(|part| now < part.until))
    }

    /// What all askers want of an endpoint, in requests a second.
    pub fn wanted_per_s(&self, endpoint: &str, now: Instant) -> f64 {
        let Some(shares) = self.shares.get(endpoint) else {
            return 0.0;
        };
        let live = shares.values().filter(|share| now < share.heard_at + PART_TERM);
        live.map(|share| share.wanted_per_s).sum()
    }

    /// Notes what an asker wants while there is nothing to divide yet.
    pub fn note_want(&mut self, endpoint: &str, asker: &Asker, wanted_per_s: f64, now: Instant) {
        let shares = self.shares.entry(endpoint.to_owned()).or_default();
        let new = || Share { wanted_per_s, heard_at: now, given: Vec::new() };
        let share = shares.entry(asker.clone()).or_insert_with(new);
        (share.wanted_per_s, share.heard_at) = (wanted_per_s.max(0.0), now);
    }

    /// Forgets endpoints that name no limit any more, and askers that fell silent.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool, now: Instant) {
        self.shares.retain(|endpoint, shares| {
            shares.retain(|_, share| !share.is_over(now));
            !shares.is_empty() && is_limited(endpoint)
        });
    }
}

/// The part of an asker if all were given theirs at once: those that want most, as many as the limit has smallest
/// parts for; none more than it wants while another wants more; what nobody wants in equal parts, as callers come and go.
fn fair_part(
    shares: &BTreeMap<Asker, Share>,
    asker: &Asker,
    total_per_s: f64,
    now: Instant,
) -> f64 {
    let most = (total_per_s / LEAST_PART_PER_S).floor().max(1.0) as usize;
    let weight = |share: &Share| match share.in_use_per_s(now) > 0.0 {
        true => share.wanted_per_s * KEEPS_PART,
        false => share.wanted_per_s,
    };
    let wants = |(_, share): &(&Asker, &Share)| {
        share.wanted_per_s > 0.0 && now < share.heard_at + PART_TERM
    };
    let mut wanting: Vec<(&Asker, &Share)> = shares.iter().filter(wants).collect();
    wanting.sort_by(|one, other| weight(other.1).total_cmp(&weight(one.1)));
    wanting.truncate(most);
    if !wanting.iter().any(|(other, _)| *other == asker) {
        return 0.0;
    }
    wanting.sort_by(|one, other| one.1.wanted_per_s.total_cmp(&other.1.wanted_per_s));
    let count = wanting.len();
    let mut left_per_s = total_per_s;
    let mut own_per_s = 0.0;
    for (at, (other, share)) in wanting.iter().enumerate() {
        let part = share.wanted_per_s.min(left_per_s / (count - at) as f64);
        let part = part.max(LEAST_PART_PER_S.min(left_per_s));
        left_per_s -= part;
        if *other == asker {
            own_per_s = part;
        }
    }
    own_per_s + left_per_s / count as f64
}
