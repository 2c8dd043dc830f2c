//! Membership of VMs by SWIM-style gossip within a hall: probes, suspicion, incarnations.
//!
//! Each VM probes one VM of its own hall per interval, first directly, then through two others. A
//! VM that does not answer is suspected, and declared dead if it does not refute the suspicion.
//! Updates about VMs are piggybacked on every datagram. Only a few delegates of each hall contact
//! other halls, and no VM suspects VMs of other halls.
//!
//! Pure: datagrams and the time are inputs, datagrams to send are outputs.

#![forbid(unsafe_code)]

mod members;
mod replay_filter;

pub use members::{Member, Members};

use replay_filter::ReplayFilter;
use sillbank_core::hash::rendezvous;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{
    Datagram, GossipMessage, Incarnation, MemberState, MemberUpdate, Summary,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of VMs that are asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 2;
/// Number of VMs per hall that contact other halls.
const DELEGATES: usize = 2;
/// Intervals between a delegate's contacts with other halls.
const CROSS_HALL_INTERVALS: u64 = 3;
/// Intervals between requests to the seeds by a VM that knows only VMs of other halls. One that knows
/// no other VM sends requests in every interval.
const SEED_RETRY_INTERVALS: u64 = 10;
/// Updates about other VMs that are piggybacked on one datagram.
const MAX_PIGGYBACKED_UPDATES: usize = 8;
/// Members in one datagram that answers a request for all members.
const MAX_MEMBERS_PER_DATAGRAM: usize = 12;
/// Intervals after which a suspected VM is declared dead.
const SUSPICION_INTERVALS: u32 = 3;
/// Intervals between requests for all members while digests differ.
const SYNC_INTERVALS: u32 = 5;

/// Configuration of one VM's membership.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Name of the VM.
    pub vm: VmId,
    /// Data hall.
    pub hall: HallId,
    /// Address at which it receives datagrams.
    pub gossip: SocketAddr,
    /// Address at which it accepts connections of its peers.
    pub peer: SocketAddr,
    /// Gossip addresses of the first VMs to contact.
    pub seeds: Vec<SocketAddr>,
    /// Interval between probes.
    pub interval: Duration,
    /// First incarnation: the wall clock at the start, so that it exceeds those of earlier
    /// processes.
    pub incarnation: Incarnation,
}

/// An action for the caller of [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram to an address.
    Send(SocketAddr, Box<Datagram>),
    /// A VM sent a summary of its state.
    Heard {
        /// The sender.
        vm: VmId,
        /// Its hall.
        hall: HallId,
        /// Address at which it accepts connections of its peers.
        peer: SocketAddr,
        /// Its summary.
        summary: Summary,
    },
}

/// A probe that has not been answered yet.
#[derive(Debug)]
struct Probe {
    number: u64,
    target: VmId,
    is_indirect: bool,
}

/// The membership as seen by one VM.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    incarnation: Incarnation,
    has_left: bool,
    /// Number of the last datagram sent.
    sequence: u64,
    members: Members,
    replay_filter: ReplayFilter,
    probe: Option<Probe>,
    probe_count: u64,
    /// Probes made for other VMs, by number: the requester's address and its number of the probe.
    relayed_probes: HashMap<u64, (SocketAddr, u64)>,
    ticks: u64,
    last_tick: Option<Instant>,
    last_sync: Option<Instant>,
    rng: fastrand::Rng,
}

impl Membership {
    /// Creates the membership of a VM that knows only its seeds. `seed` seeds its random choices.
    pub fn new(config: MembershipConfig, seed: u64) -> Self {
        Self {
            incarnation: config.incarnation,
            has_left: false,
            sequence: 0,
            members: Members::default(),
            replay_filter: ReplayFilter::default(),
            probe: None,
            probe_count: 0,
            relayed_probes: HashMap::new(),
            ticks: 0,
            last_tick: None,
            last_sync: None,
            rng: fastrand::Rng::with_seed(seed),
            config,
        }
    }

    /// All other known VMs.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Names of the VMs of the own hall that have neither died nor left, including this one.
    pub fn hall_vms(&self) -> Vec<&str> {
        let own = std::iter::once(self.config.vm.as_str()).filter(|_| !self.has_left);
        own.chain(self.members.live_in(&self.config.hall).map(|m| m.update.vm.as_str())).collect()
    }

    /// Whether this VM is one of the `count` VMs of its hall chosen for a task by rendezvous
    /// hashing. VMs with different views may choose differently, so more than `count` VMs may do
    /// the task.
    pub fn is_chosen(&self, task: &str, count: usize) -> bool {
        let vms = self.hall_vms();
        rendezvous(task, vms.into_iter(), count).contains(&self.config.vm.as_str())
    }

    /// Handles the end of one interval.
    pub fn on_tick(&mut self, now: Instant, mut summary: Summary) -> Vec<MembershipAction> {
        let was_paused = self
            .last_tick
            .replace(now)
            .is_some_and(|last| now.saturating_duration_since(last) > self.config.interval * 3);
        if was_paused {
            // This process was frozen and could not receive answers, so missing ones say nothing about
            // other VMs.
            self.probe = None;
            self.members.renew_suspicions(now);
        }
        self.ticks += 1;
        summary.members_digest = self.members_digest();
        let mut actions = Vec::new();
        self.check_probe(now, summary, &mut actions);
        let suspicion_time = self.config.interval * SUSPICION_INTERVALS;
        self.members.expire_suspicions(now, suspicion_time);
        self.members.remove_expired(now);
        self.start_probe(summary, &mut actions);
        self.contact_other_halls(summary, &mut actions);
        actions
    }

    /// Handles a received datagram whose seal was valid.
    pub fn on_datagram(
        &mut self,
        now: Instant,
        datagram: Datagram,
        mut summary: Summary,
    ) -> Vec<MembershipAction> {
        if datagram.from.vm == self.config.vm || !self.replay_filter.accept(&datagram) {
            return Vec::new();
        }
        let from = datagram.from.clone();
        self.apply_update(now, &from);
        for update in &datagram.updates {
            self.apply_update(now, update);
        }
        summary.members_digest = self.members_digest();
        let mut actions = vec![MembershipAction::Heard {
            vm: from.vm.clone(),
            hall: from.hall.clone(),
            peer: from.peer,
            summary: datagram.summary,
        }];
        self.reply(&datagram, summary, &mut actions);
        self.sync_if_different(now, &datagram, summary, &mut actions);
        actions
    }

    /// Announces new settings to all VMs of the hall.
    pub fn broadcast_news(&mut self, mut summary: Summary) -> Vec<MembershipAction> {
        summary.members_digest = self.members_digest();
        let hall = self.config.hall.clone();
        let addresses: Vec<SocketAddr> =
            self.members.live_in(&hall).map(|member| member.update.gossip).collect();
        addresses.into_iter().map(|to| self.send(to, GossipMessage::News, summary)).collect()
    }

    /// Announces to up to 8 VMs of the hall that this VM leaves.
    pub fn leave(&mut self, summary: Summary) -> Vec<MembershipAction> {
        self.has_left = true;
        let hall = self.config.hall.clone();
        let addresses: Vec<SocketAddr> =
            self.members.live_in(&hall).map(|member| member.update.gossip).take(8).collect();
        addresses.into_iter().map(|to| self.send(to, GossipMessage::News, summary)).collect()
    }

    fn apply_update(&mut self, now: Instant, update: &MemberUpdate) {
        if update.vm != self.config.vm {
            self.members.apply(now, update);
            return;
        }
        // A VM claims that this one is not alive. Refute it with a higher incarnation, unless this
        // VM leaves.
        let needs_refutation = update.state != MemberState::Alive && !self.has_left;
        if needs_refutation && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation + 1;
        }
    }

    fn reply(
        &mut self,
        datagram: &Datagram,
        summary: Summary,
        actions: &mut Vec<MembershipAction>,
    ) {
        let sender = datagram.from.gossip;
        match &datagram.message {
            GossipMessage::Ping(number) => {
                actions.push(self.send(sender, GossipMessage::Ack(*number), summary));
            }
            GossipMessage::Ack(number) => {
                if self.probe.as_ref().is_some_and(|probe| probe.number == *number) {
                    self.probe = None;
                }
                if let Some((to, requested)) = self.relayed_probes.remove(number) {
                    actions.push(self.send(to, GossipMessage::Ack(requested), summary));
                }
            }
            GossipMessage::PingRequest { probe, target } => {
                let to = self.members.get(target).map(|member| member.update.gossip);
                if let Some(to) = to {
                    let number = self.next_probe();
                    self.relayed_probes.insert(number, (sender, *probe));
                    actions.push(self.send(to, GossipMessage::Ping(number), summary));
                }
            }
            GossipMessage::MembersRequest => self.send_members(sender, summary, actions),
            GossipMessage::News | GossipMessage::Members => {}
        }
    }

    fn sync_if_different(
        &mut self,
        now: Instant,
        datagram: &Datagram,
        summary: Summary,
        actions: &mut Vec<MembershipAction>,
    ) {
        let pause = self.config.interval * SYNC_INTERVALS;
        let is_recent = self.last_sync.is_some_and(|at| now.saturating_duration_since(at) < pause);
        if is_recent || datagram.summary.members_digest == summary.members_digest {
            return;
        }
        self.last_sync = Some(now);
        actions.push(self.send(datagram.from.gossip, GossipMessage::MembersRequest, summary));
    }

    fn send_members(
        &mut self,
        to: SocketAddr,
        summary: Summary,
        actions: &mut Vec<MembershipAction>,
    ) {
        let all: Vec<MemberUpdate> =
            self.members.all().map(|member| member.update.clone()).collect();
        for chunk in all.chunks(MAX_MEMBERS_PER_DATAGRAM) {
            let mut datagram = self.datagram(GossipMessage::Members, summary);
            datagram.updates = chunk.to_vec();
            actions.push(MembershipAction::Send(to, Box::new(datagram)));
        }
    }

    /// Handles a probe that was not answered within its interval: probes through other VMs first,
    /// then suspects the target.
    fn check_probe(&mut self, now: Instant, summary: Summary, actions: &mut Vec<MembershipAction>) {
        // With so many of them, most are old ones that will not be answered any more.
        if self.relayed_probes.len() > 64 {
            self.relayed_probes.clear();
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        if probe.is_indirect {
            self.members.suspect(now, &probe.target);
            return;
        }
        let hall = self.config.hall.clone();
        let mut helpers: Vec<SocketAddr> = self
            .members
            .live_in(&hall)
            .filter(|member| member.update.vm != probe.target)
            .map(|member| member.update.gossip)
            .collect();
        self.rng.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let target = probe.target.clone();
            let message = GossipMessage::PingRequest { probe: probe.number, target };
            actions.push(self.send(helper, message, summary));
        }
        self.probe = Some(Probe { is_indirect: true, ..probe });
    }

    fn start_probe(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        if self.probe.is_some() {
            return;
        }
        let Some((target, to)) = self.members.next_to_probe(&self.config.hall, &mut self.rng)
        else {
            if self.members.all().next().is_none()
                || self.ticks.is_multiple_of(SEED_RETRY_INTERVALS)
            {
                self.contact_seeds(summary, actions);
            }
            return;
        };
        let number = self.next_probe();
        self.probe = Some(Probe { number, target, is_indirect: false });
        actions.push(self.send(to, GossipMessage::Ping(number), summary));
    }

    /// Requests all members from the seeds, while there is no VM of the hall to probe.
    fn contact_seeds(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        let own = self.config.gossip;
        let seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|seed| *seed != own).collect();
        for seed in seeds {
            actions.push(self.send(seed, GossipMessage::MembersRequest, summary));
        }
    }

    /// Pings a VM of another hall if this VM is a delegate, to exchange updates and settings.
    fn contact_other_halls(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        if !self.ticks.is_multiple_of(CROSS_HALL_INTERVALS)
            || !self.is_chosen("delegate", DELEGATES)
        {
            return;
        }
        let others: Vec<SocketAddr> =
            self.members.live_outside(&self.config.hall).map(|m| m.update.gossip).collect();
        let seeds = self.config.seeds.iter().copied().filter(|seed| *seed != self.config.gossip);
        let candidates = match others.is_empty() {
            true => seeds.collect(),
            false => others,
        };
        if let Some(to) = self.rng.choice(candidates) {
            let number = self.next_probe();
            actions.push(self.send(to, GossipMessage::Ping(number), summary));
        }
    }

    fn next_probe(&mut self) -> u64 {
        self.probe_count += 1;
        self.probe_count
    }

    fn send(
        &mut self,
        to: SocketAddr,
        message: GossipMessage,
        summary: Summary,
    ) -> MembershipAction {
        let mut datagram = self.datagram(message, summary);
        datagram.updates = self.members.updates_to_gossip(MAX_PIGGYBACKED_UPDATES);
        MembershipAction::Send(to, Box::new(datagram))
    }

    fn datagram(&mut self, message: GossipMessage, summary: Summary) -> Datagram {
        self.sequence += 1;
        Datagram {
            from: self.own_update(),
            sequence: self.sequence,
            message,
            summary,
            updates: Vec::new(),
        }
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            vm: self.config.vm.clone(),
            hall: self.config.hall.clone(),
            gossip: self.config.gossip,
            peer: self.config.peer,
            incarnation: self.incarnation,
            state: if self.has_left { MemberState::Left } else { MemberState::Alive },
        }
    }

    /// Digest of all live members, including this VM; equal for VMs with the same view.
    fn members_digest(&self) -> u64 {
        self.members.digest() ^ members::update_hash(&self.own_update())
    }
}
