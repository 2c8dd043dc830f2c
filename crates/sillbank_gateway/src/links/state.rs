//! What a VM knows of its links, and the connections that it passes on for others.

use super::tunnel::TunnelActivity;
use crate::settings::GatewaySettings;
use sillbank_core::prelude::*;
use sillbank_links::prelude::*;
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Largest number of endpoints that wait for a check; with more, the links are in question anyway.
const MAX_TROUBLED: usize = 32;

/// State of this VM's links.
#[derive(Debug)]
pub struct Links {
    /// Beliefs about the links.
    pub(super) monitor: RefCell<LinkMonitor>,
    /// VMs that may connect on behalf of this one.
    pub(super) relays: RefCell<RelaySet>,
    /// Endpoints with which an exchange over a direct connection failed.
    troubled: (Sender<EndpointId>, Receiver<EndpointId>),
    /// Connections that this VM passes on.
    passed_on: RefCell<Vec<Weak<TunnelActivity>>>,
    /// When another VM last connected on behalf of this one.
    relayed_at: Cell<Option<Instant>>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            monitor: RefCell::default(),
            relays: RefCell::default(),
            troubled: smol::channel::bounded(MAX_TROUBLED),
            passed_on: RefCell::default(),
            relayed_at: Cell::new(None),
        }
    }
}

impl Links {
    /// How a connection to an endpoint of a hall is opened.
    pub fn transit(&self, hall: &str, endpoint: &str) -> Transit {
        self.monitor.borrow().transit(hall, endpoint)
    }

    /// Whether all links to a hall count as lost.
    pub fn is_hall_lost(&self, hall: &str) -> bool {
        self.monitor.borrow().is_hall_lost(hall)
    }

    /// Whether all links to a hall were lost at `since` or later.
    pub fn was_hall_lost_since(&self, hall: &str, since: Instant) -> bool {
        self.monitor.borrow().lost_halls().any(|(lost, at)| lost == hall && at >= since)
    }

    /// An exchange with an endpoint over a direct connection failed, so the link to it is checked.
    pub fn on_trouble(&self, endpoint: &str) {
        // If the queue is full, enough links are being checked.
        drop(self.troubled.0.try_send(endpoint.to_owned()));
    }

    /// The next endpoint whose link is to be checked.
    pub(super) async fn next_troubled(&self) -> Option<EndpointId> {
        self.troubled.1.recv().await.ok()
    }

    /// Another VM has connected on behalf of this one.
    pub(super) fn on_relay_worked(&self, vm: SocketAddr, now: Instant) {
        self.relayed_at.set(Some(now));
        self.relays.borrow_mut().on_worked(vm);
    }

    /// VMs could not connect on behalf of this one.
    pub(super) fn on_relays_failed(&self, vms: &[SocketAddr], now: Instant) {
        let mut relays = self.relays.borrow_mut();
        vms.iter().for_each(|vm| relays.on_failed(*vm, now));
    }

    /// Whether no VM can connect on behalf of this one: none is known that has not failed, and none has connected within
    /// `max_age`.
    pub fn has_no_relay(&self, max_age: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < max_age;
        !self.relays.borrow().has_usable(now) && !self.relayed_at.get().is_some_and(is_recent)
    }

    /// Number of connections that this VM passes on.
    pub fn passed_on(&self) -> usize {
        let mut passed_on = self.passed_on.borrow_mut();
        passed_on.retain(|tunnel| tunnel.strong_count() > 0);
        passed_on.len()
    }

    /// Number of those on which a request is in progress.
    pub fn passed_on_in_use(&self, now: Instant) -> usize {
        let passed_on = self.passed_on.borrow();
        let open = passed_on.iter().filter_map(Weak::upgrade);
        open.filter(|tunnel| !tunnel.is_idle(now)).count()
    }

    /// Counts a connection as passed on for as long as the result is kept; `None` if this VM passes on as many as it may.
    pub(super) fn try_pass_on(
        &self,
        settings: &GatewaySettings,
        now: Instant,
    ) -> Option<Rc<TunnelActivity>> {
        if self.passed_on() >= settings.max_relayed_connections() {
            return None;
        }
        let activity = Rc::new(TunnelActivity::new(now));
        self.passed_on.borrow_mut().push(Rc::downgrade(&activity));
        Some(activity)
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.monitor.borrow_mut().retain(is_known);
    }
}
