//! Beliefs about the links to all endpoints.

use crate::hall_links::{HallLinkState, HallLinks};
use sillbank_core::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;

/// How connections to an endpoint are opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transit {
    /// Directly; through another VM only if that fails.
    Direct,
    /// Through another VM; directly only if that fails.
    Relayed,
}

/// The state of the links to a hall has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HallChange {
    /// State before.
    pub from: HallLinkState,
    /// State now.
    pub to: HallLinkState,
    /// Endpoints of the hall whose links are known to be lost.
    pub lost: usize,
}

/// A VM's beliefs about its links to endpoints.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    halls: BTreeMap<HallId, HallLinks>,
}

impl LinkMonitor {
    /// How a connection to an endpoint of a hall is opened.
    pub fn transit(&self, hall: &str, endpoint: &str) -> Transit {
        let is_lost =
            |links: &HallLinks| links.state() != HallLinkState::Good || links.is_lost(endpoint);
        match self.halls.get(hall).is_some_and(is_lost) {
            true => Transit::Relayed,
            false => Transit::Direct,
        }
    }

    /// Whether all links to a hall count as lost.
    pub fn is_hall_lost(&self, hall: &str) -> bool {
        self.halls.get(hall).is_some_and(|links| links.state() != HallLinkState::Good)
    }

    /// Halls all links to which count as lost, and when that was found.
    pub fn lost_halls(&self) -> impl Iterator<Item = (&HallId, Instant)> {
        let lost = self.halls.iter().filter(|(_, links)| links.state() != HallLinkState::Good);
        lost.map(|(hall, links)| (hall, links.since()))
    }

    /// Endpoints whose links are lost, in halls to which not all links are.
    pub fn lost_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        let good = self.halls.values().filter(|links| links.state() == HallLinkState::Good);
        good.flat_map(HallLinks::lost)
    }

    /// An endpoint answered on a new direct connection.
    pub fn on_reached(&mut self, hall: &str, endpoint: &str, now: Instant) {
        // Nothing is kept for halls to which no link was ever lost.
        if let Some(links) = self.halls.get_mut(hall) {
            links.on_reached(endpoint, now);
        }
    }

    /// An endpoint was not reached directly, but through another VM. `listed` is the number of endpoints of the hall.
    pub fn on_link_lost(
        &mut self,
        hall: &str,
        endpoint: &str,
        listed: usize,
        now: Instant,
    ) -> Option<HallChange> {
        self.change(hall, now, |links| links.on_link_lost(endpoint, listed, now))
    }

    /// Some endpoints of a hall were checked directly.
    pub fn on_check(&mut self, hall: &str, all_answered: bool, now: Instant) -> Option<HallChange> {
        self.change(hall, now, |links| links.on_check(all_answered, now))
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.halls.values_mut().for_each(|links| links.retain(&is_known));
    }

    fn change(
        &mut self,
        hall: &str,
        now: Instant,
        change: impl FnOnce(&mut HallLinks),
    ) -> Option<HallChange> {
        let links = self.halls.entry(hall.to_owned()).or_insert_with(|| HallLinks::new(now));
        let (from, lost) = (links.state(), links.lost().count());
        change(links);
        let to = links.state();
        (from != to).then(|| HallChange { from, to, lost: lost.max(links.lost().count()) })
    }
}
