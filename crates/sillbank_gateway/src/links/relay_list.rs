//! Keeps a list of VMs that may connect on behalf of this one.

use super::relay_client::list_vms;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the lists are read again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// The same while a list of the own hall is shorter than the hall: a leader that has just begun does not know all VMs yet.
const SHORT_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the interval by which it varies, so that VMs that start together do not ask together.
const REFRESH_JITTER: f64 = 0.3;
/// Pause while no VM is known that has not failed lately; it doubles while the lists do not help.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Time over which the VMs of a small hall spread their calls; longer in proportion to the size of the hall, as all ask one
/// leader.
const RETRY_SPREAD: Duration = Duration::from_millis(100);
/// VMs of the own hall, and of another one, in a list.
const LIST_LENGTH: usize = 6;

impl<W: Wire, S: MetadataStore> Gateway<W, S> {
    /// Up to `limit` VMs of this hall that are fit, as its leader knows them.
    pub(super) fn fit_vms(&self, limit: usize, now: Instant) -> Vec<SocketAddr> {
        let own = self.settings().peer_listen;
        let is_fit = self.leader_score() > 0.0;
        let mut vms = self.hall.fit_followers(now);
        vms.extend(is_fit.then_some(own));
        draw(vms, limit, &self.rng)
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Whether the list of the own hall lacks VMs that it could hold.
    fn has_short_list(&self, now: Instant) -> bool {
        let others = self.hall.known_vms(now).saturating_sub(1) as usize;
        self.links.relays.borrow().own_hall_len() < others.min(LIST_LENGTH)
    }

    /// Whether no VM is known that has not failed lately, or none of another hall.
    fn needs_relays(&self, now: Instant) -> bool {
        let relays = self.links.relays.borrow();
        !relays.has_usable(now) || (self.platform.halls().len() > 1 && !relays.has_other_halls())
    }
}

/// Draws up to `limit` of the VMs.
fn draw(mut vms: Vec<SocketAddr>, limit: usize, rng: &SharedRng) -> Vec<SocketAddr> {
    let mut drawn = Vec::new();
    while drawn.len() < limit && !vms.is_empty() {
        let at = (rng.next_u64() % vms.len() as u64) as usize;
        drawn.push(vms.swap_remove(at));
    }
    drawn
}

/// Keeps the list while the program runs.
pub async fn follow_relays<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut other_halls: BTreeMap<HallId, Vec<SocketAddr>> = BTreeMap::new();
    let mut due = Instant::now();
    let mut short_due = due;
    let mut retry_pause = MIN_RETRY_PAUSE;
    let mut retry_due = due;
    loop {
        let spread = RETRY_SPREAD * gateway.hall.hall_size_factor();
        smol::Timer::after(MIN_RETRY_PAUSE + spread.mul_f64(gateway.rng.next_f64())).await;
        let now = Instant::now();
        let is_needed = gateway.needs_relays(now) && now >= retry_due;
        let is_short = gateway.has_short_list(now) && now >= short_due;
        if !gateway.settings().mechanisms.relay || (now < due && !is_needed && !is_short) {
            continue;
        }
        let jitter = 1.0 + REFRESH_JITTER * (2.0 * gateway.rng.next_f64() - 1.0);
        read_own_hall(&gateway, now).await;
        due = now + REFRESH_INTERVAL.mul_f64(jitter);
        short_due = now + SHORT_LIST_INTERVAL;
        read_other_halls(&gateway, &mut other_halls, now).await;
        retry_pause = match gateway.needs_relays(Instant::now()) {
            true => (retry_pause * 2).min(MAX_RETRY_PAUSE),
            false => MIN_RETRY_PAUSE,
        };
        retry_due = now + retry_pause;
    }
}

async fn read_own_hall<W: Wire, S: MetadataStore>(gateway: &Rc<Gateway<W, S>>, now: Instant) {
    let own = gateway.settings().peer_listen;
    let mut vms = match gateway.hall.leader.get() {
        None if gateway.hall.acting_fence.get().is_none() => return,
        None => gateway.fit_vms(LIST_LENGTH, now),
        Some(leader) => {
            match list_vms(gateway.settings().vm.clone(), leader, LIST_LENGTH as u32).await {
                Ok(vms) => vms,
                Err(error) => {
                    tracing::debug!(%error, "links: The VMs of the own hall could not be listed.");
                    return;
                }
            }
        }
    };
    vms.retain(|vm| *vm != own);
    gateway.links.relays.borrow_mut().set_own_hall(vms);
}

/// Reads the lists of the other halls.
async fn read_other_halls<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    known: &mut BTreeMap<HallId, Vec<SocketAddr>>,
    now: Instant,
) {
    let own = gateway.settings().hall.clone();
    let halls = gateway.platform.halls();
    known.retain(|hall, _| halls.contains(hall));
    for hall in halls.iter().filter(|hall| **hall != own) {
        let Some(leader) = gateway.hall.reports.leader(hall, now) else { continue };
        match list_vms(gateway.settings().vm.clone(), leader, LIST_LENGTH as u32).await {
            Ok(vms) => {
                known.insert(hall.clone(), vms);
            }
            Err(error) => {
                tracing::debug!(hall, %error, "links: The VMs of a hall could not be listed.");
            }
        }
    }
    let vms = known.values().flatten().copied().collect();
    gateway.links.relays.borrow_mut().set_other_halls(vms);
}
