//! The table of other VMs, and the updates about them that are still being gossiped.

use sillbank_core::hash::hash_u64;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{MemberState, MemberUpdate};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long VMs that died or left are remembered, so that old updates do not bring them back.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// One other VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Newest update about it.
    pub update: MemberUpdate,
    /// When its state last changed in this table.
    pub since: Instant,
    /// How many more times the newest update is gossiped.
    transmissions_left: u32,
}

impl Member {
    /// Whether it is alive or only suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Other VMs by name.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<VmId, Member>,
    to_probe: Vec<VmId>,
    /// XOR of the hashes of the newest updates.
    digest: u64,
}

/// Hash of an update, for digests.
pub(crate) fn update_hash(update: &MemberUpdate) -> u64 {
    // Suspicions resolve by themselves, so they are not part of the digest.
    let lasting_state = match update.state {
        MemberState::Alive | MemberState::Suspect => "live",
        MemberState::Dead | MemberState::Left => return 0,
    };
    hash_u64(&[&update.vm, &update.hall, lasting_state, &update.incarnation.to_string()])
}

impl Members {
    /// One VM.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// All VMs, including dead ones.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Live VMs of a hall.
    pub fn live_in<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.is_live() && m.update.hall == hall)
    }

    /// Live VMs of other halls.
    pub fn live_outside<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.is_live() && m.update.hall != hall)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies an update if it is newer than what is known. Returns whether it was.
    pub(crate) fn apply(&mut self, now: Instant, update: &MemberUpdate) -> bool {
        let precedence = |u: &MemberUpdate| (u.incarnation, u.state);
        if let Some(known) = self.members.get(&update.vm)
            && precedence(update) <= precedence(&known.update)
        {
            return false;
        }
        let is_unknown = !self.members.contains_key(&update.vm);
        if is_unknown && matches!(update.state, MemberState::Dead | MemberState::Left) {
            return false;
        }
        self.put(now, update.clone());
        true
    }

    /// Marks a VM that did not answer as suspected.
    pub(crate) fn suspect(&mut self, now: Instant, vm: &str) {
        let Some(member) = self.members.get(vm).filter(|m| m.update.state == MemberState::Alive)
        else {
            return;
        };
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update.clone() };
        self.put(now, update);
    }

    /// Declares VMs dead that have been suspected for `suspicion_time`.
    pub(crate) fn expire_suspicions(&mut self, now: Instant, suspicion_time: Duration) {
        let is_expired = |m: &&Member| {
            m.update.state == MemberState::Suspect
                && now.saturating_duration_since(m.since) >= suspicion_time
        };
        let dead: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(is_expired)
            .map(|m| MemberUpdate { state: MemberState::Dead, ..m.update.clone() })
            .collect();
        dead.into_iter().for_each(|update| self.put(now, update));
    }

    /// Restarts the suspicion time of every suspected VM.
    pub(crate) fn renew_suspicions(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Removes VMs that died or left longer ago than the retention.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.members
            .retain(|_, m| m.is_live() || now.saturating_duration_since(m.since) < DEAD_RETENTION);
    }

    /// The next VM of a hall to probe. Every VM is probed once, in random order, before any is
    /// again.
    pub(crate) fn next_to_probe(
        &mut self,
        hall: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<(VmId, SocketAddr)> {
        for _ in 0..2 {
            while let Some(vm) = self.to_probe.pop() {
                let member = self.members.get(&vm).filter(|m| m.is_live());
                if let Some(member) = member {
                    return Some((vm, member.update.gossip));
                }
            }
            self.to_probe = self.live_in(hall).map(|m| m.update.vm.clone()).collect();
            rng.shuffle(&mut self.to_probe);
        }
        None
    }

    /// Takes the updates to gossip next, at most `limit`, those gossiped least first.
    pub(crate) fn updates_to_gossip(&mut self, limit: usize) -> Vec<MemberUpdate> {
        let mut pending: Vec<&mut Member> =
            self.members.values_mut().filter(|m| m.transmissions_left > 0).collect();
        pending.sort_by_key(|m| std::cmp::Reverse(m.transmissions_left));
        pending.truncate(limit);
        pending
            .into_iter()
            .map(|member| {
                member.transmissions_left -= 1;
                member.update.clone()
            })
            .collect()
    }

    fn put(&mut self, now: Instant, update: MemberUpdate) {
        // An update reaches all VMs in O(log n) gossip rounds, so it is sent a few times that often.
        let transmissions_left = 3 * (self.members.len() + 2).ilog2() + 3;
        self.digest ^= update_hash(&update);
        let old = self
            .members
            .insert(update.vm.clone(), Member { update, since: now, transmissions_left });
        if let Some(old) = old {
            self.digest ^= update_hash(&old.update);
        }
    }
}
