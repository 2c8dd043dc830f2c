//! VMs that may connect to endpoints on behalf of this one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a VM that could not connect on behalf of this one is left out.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// Address of a VM for other VMs.
type PeerAddress = SocketAddr;

/// The known VMs, and which of them have failed.
#[derive(Debug, Default)]
pub struct RelaySet {
    own_hall: Vec<PeerAddress>,
    other_halls: Vec<PeerAddress>,
    failed_at: HashMap<PeerAddress, Instant>,
}

impl RelaySet {
    /// Replaces the known VMs of the own hall.
    pub fn set_own_hall(&mut self, vms: Vec<PeerAddress>) {
        self.own_hall = vms;
        self.forget_unknown();
    }

    /// Replaces the known VMs of other halls.
    pub fn set_other_halls(&mut self, vms: Vec<PeerAddress>) {
        self.other_halls = vms;
        self.forget_unknown();
    }

    /// Number of known VMs.
    pub fn len(&self) -> usize {
        self.own_hall.len() + self.other_halls.len()
    }

    /// Number of known VMs of the own hall.
    pub fn own_hall_len(&self) -> usize {
        self.own_hall.len()
    }

    /// Whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a VM of another hall is known.
    pub fn has_other_halls(&self) -> bool {
        !self.other_halls.is_empty()
    }

    /// Whether there is a VM that has not failed lately.
    pub fn has_usable(&self, now: Instant) -> bool {
        self.own_hall.iter().chain(&self.other_halls).any(|vm| self.is_usable(vm, now))
    }

    /// The VM to ask after those in `tried`, drawn by `draw` from 0 to 1. VMs of the own hall and of other halls take turns, the
    /// own hall first: all of its VMs may have lost their links with this one.
    pub fn next(&self, tried: &[PeerAddress], draw: f64, now: Instant) -> Option<PeerAddress> {
        let usable = |vms: &[PeerAddress]| -> Vec<PeerAddress> {
            let is_new = |vm: &&PeerAddress| !tried.contains(vm) && self.is_usable(vm, now);
            vms.iter().filter(is_new).copied().collect()
        };
        let (own, other) = (usable(&self.own_hall), usable(&self.other_halls));
        let prefers_own = tried.len().is_multiple_of(2);
        let candidates = match (own.is_empty(), other.is_empty()) {
            (false, _) if prefers_own => own,
            (false, true) => own,
            _ => other,
        };
        let at = (draw * candidates.len() as f64) as usize;
        candidates.get(at).or(candidates.last()).copied()
    }

    /// A VM could not connect on behalf of this one.
    pub fn on_failed(&mut self, vm: PeerAddress, now: Instant) {
        self.failed_at.insert(vm, now);
    }

    /// A VM has connected on behalf of this one.
    pub fn on_worked(&mut self, vm: PeerAddress) {
        self.failed_at.remove(&vm);
    }

    fn is_usable(&self, vm: &PeerAddress, now: Instant) -> bool {
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= FAILURE_PAUSE;
        self.failed_at.get(vm).is_none_or(is_over)
    }

    fn forget_unknown(&mut self) {
        let Self { own_hall, other_halls, failed_at } = self;
        failed_at.retain(|vm, _| own_hall.contains(vm) || other_halls.contains(vm));
    }
}
