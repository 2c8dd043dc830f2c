//! The table of other VMs, and the words about them that still travel.

use sillbank_core::hash::hash_u64;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{MemberState, MemberUpdate};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the dead and gone are remembered, so that old words do not bring them back.
const REMEMBER: Duration = Duration::from_secs(600);

/// One other VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Newest word about it.
    pub update: MemberUpdate,
    /// When its state last changed here.
    pub since: Instant,
    /// How often the newest word is still to be passed on.
    spreads_left: u32,
}

impl Member {
    /// Whether it may answer.
    pub fn is_live(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Other VMs by name.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<VmId, Member>,
    to_probe: Vec<VmId>,
    digest: u64,
}

/// Hash of a word, for digests.
pub(crate) fn word_hash(update: &MemberUpdate) -> u64 {
    // A suspicion passes by itself: only what lasts is part of a digest.
    let lasting = match update.state {
        MemberState::Alive | MemberState::Suspect => "live",
        MemberState::Dead | MemberState::Left => return 0,
    };
    hash_u64(&[&update.vm, &update.hall, lasting, &update.incarnation.to_string()])
}

impl Members {
    /// One VM.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// All of them, the dead too.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those of a hall that may answer.
    pub fn live_in<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.is_live() && m.update.hall == hall)
    }

    /// Those of other halls that may answer.
    pub fn live_outside<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.is_live() && m.update.hall != hall)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes a word if it is newer than what is known. Returns whether it was.
    pub(crate) fn take(&mut self, now: Instant, update: &MemberUpdate) -> bool {
        let rank = |u: &MemberUpdate| (u.incarnation, u.state);
        if let Some(known) = self.members.get(&update.vm)
            && rank(update) <= rank(&known.update)
        {
            return false;
        }
        let unknown = !self.members.contains_key(&update.vm);
        if unknown && matches!(update.state, MemberState::Dead | MemberState::Left) {
            return false;
        }
        self.put(now, update.clone());
        true
    }

    /// Suspects a VM that did not answer.
    pub(crate) fn suspect(&mut self, now: Instant, vm: &str) {
        let Some(member) = self.members.get(vm).filter(|m| m.update.state == MemberState::Alive)
        else {
            return;
        };
        let update = MemberUpdate { state: MemberState::Suspect, ..member.update.clone() };
        self.put(now, update);
    }

    /// Holds those for dead that were suspected for too long.
    pub(crate) fn bury(&mut self, now: Instant, suspicion: Duration) {
        let late = |m: &&Member| {
            m.update.state == MemberState::Suspect
                && now.saturating_duration_since(m.since) >= suspicion
        };
        let dead: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(late)
            .map(|m| MemberUpdate { state: MemberState::Dead, ..m.update.clone() })
            .collect();
        dead.into_iter().for_each(|update| self.put(now, update));
    }

    /// Gives every suspected VM its whole time again.
    pub(crate) fn renew_suspicions(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Forgets those that are dead or gone for long.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.members
            .retain(|_, m| m.is_live() || now.saturating_duration_since(m.since) < REMEMBER);
    }

    /// The next VM of a hall to ping: each once in a random order before any again.
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

    /// The words that have been passed on least, up to a number.
    pub(crate) fn words_to_spread(&mut self, most: usize) -> Vec<MemberUpdate> {
        let mut fresh: Vec<&mut Member> =
            self.members.values_mut().filter(|m| m.spreads_left > 0).collect();
        fresh.sort_by_key(|m| std::cmp::Reverse(m.spreads_left));
        fresh.truncate(most);
        fresh
            .into_iter()
            .map(|member| {
                member.spreads_left -= 1;
                member.update.clone()
            })
            .collect()
    }

    fn put(&mut self, now: Instant, update: MemberUpdate) {
        // A word is passed on a few times the logarithm of the number of VMs.
        let spreads_left = 3 * (self.members.len() + 2).ilog2() + 3;
        self.digest ^= word_hash(&update);
        let old =
            self.members.insert(update.vm.clone(), Member { update, since: now, spreads_left });
        if let Some(old) = old {
            self.digest ^= word_hash(&old.update);
        }
    }
}
