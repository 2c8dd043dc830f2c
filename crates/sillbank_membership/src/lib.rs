//! Which VMs there are, by hall-scoped gossip: pings, suspicion, incarnations.
//!
//! Pure: datagrams and time come in, datagrams to send go out. Each VM pings one VM of its own
//! hall an interval, first directly, then through two others; a VM that does not answer is
//! suspected, and dead if it does not refute. Words about VMs travel on every datagram. Other
//! halls are only looked at by a few delegates of a hall and are never judged from afar.

#![forbid(unsafe_code)]

mod members;
mod replays;

pub use members::{Member, Members};

use replays::Replays;
use sillbank_core::hash::rendezvous;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::{
    Datagram, GossipMessage, Incarnation, MemberState, MemberUpdate, Summary,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// VMs that are asked to ping one that did not answer.
const HELPERS: usize = 2;
/// VMs of a hall that look at other halls.
const DELEGATES: usize = 2;
/// A delegate looks at another hall every so many intervals.
const CROSS_EVERY: u64 = 3;
/// A VM that is alone in its hall asks the seeds again every so many intervals.
const KNOCK_EVERY: u64 = 10;
/// Words about others on one datagram.
const MAX_UPDATES: usize = 8;
/// Members in one answer to a request for all.
const MEMBERS_IN_DATAGRAM: usize = 12;
/// Intervals that a suspicion lasts before it is a death.
const SUSPICION_INTERVALS: u32 = 3;
/// Intervals between requests for all members while digests differ.
const SYNC_INTERVALS: u32 = 5;

/// Fixed facts of one VM.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Name.
    pub vm: VmId,
    /// Data hall.
    pub hall: HallId,
    /// Where its datagrams come.
    pub gossip: SocketAddr,
    /// Where its peers' connections come.
    pub peer: SocketAddr,
    /// Where to begin.
    pub seeds: Vec<SocketAddr>,
    /// Interval of pings.
    pub interval: Duration,
    /// First incarnation: the wall clock at the start, so that a new life is above the last.
    pub incarnation: Incarnation,
}

/// What the driver has to do or to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send(SocketAddr, Box<Datagram>),
    /// A VM said this of itself.
    Heard {
        /// The VM.
        vm: VmId,
        /// Its hall.
        hall: HallId,
        /// Where its peers' connections come.
        peer: SocketAddr,
        /// What it said.
        summary: Summary,
    },
}

#[derive(Debug)]
struct Probe {
    number: u64,
    target: VmId,
    indirect: bool,
}

/// The view of one VM.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    incarnation: Incarnation,
    left: bool,
    sequence: u64,
    members: Members,
    replays: Replays,
    probe: Option<Probe>,
    probe_count: u64,
    relays: HashMap<u64, (SocketAddr, u64)>,
    ticks: u64,
    ticked_at: Option<Instant>,
    synced_at: Option<Instant>,
    rng: fastrand::Rng,
}

impl Membership {
    /// The view of a VM that knows only its seeds.
    pub fn new(config: MembershipConfig, seed: u64) -> Self {
        Self {
            incarnation: config.incarnation,
            left: false,
            sequence: 0,
            members: Members::default(),
            replays: Replays::default(),
            probe: None,
            probe_count: 0,
            relays: HashMap::new(),
            ticks: 0,
            ticked_at: None,
            synced_at: None,
            rng: fastrand::Rng::with_seed(seed),
            config,
        }
    }

    /// All other VMs that are known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Own name and the names of the VMs of the own hall that are not dead or gone.
    pub fn hall_vms(&self) -> Vec<&str> {
        let own = std::iter::once(self.config.vm.as_str()).filter(|_| !self.left);
        own.chain(self.members.live_in(&self.config.hall).map(|m| m.update.vm.as_str())).collect()
    }

    /// Whether this VM is among the first `count` of its hall for a task, by rendezvous hashing.
    /// VMs with different views may both think so; tasks chosen this way bear it.
    pub fn is_chosen(&self, task: &str, count: usize) -> bool {
        let vms = self.hall_vms();
        rendezvous(task, vms.into_iter(), count).contains(&self.config.vm.as_str())
    }

    /// One interval has passed.
    pub fn on_tick(&mut self, now: Instant, mut summary: Summary) -> Vec<MembershipAction> {
        let paused = self
            .ticked_at
            .replace(now)
            .is_some_and(|last| now.saturating_duration_since(last) > self.config.interval * 3);
        if paused {
            // This process was frozen: that others did not answer says nothing about them.
            self.probe = None;
            self.members.renew_suspicions(now);
        }
        self.ticks += 1;
        summary.members_digest = self.members_digest();
        let mut actions = Vec::new();
        self.judge_probe(now, summary, &mut actions);
        let suspicion = self.config.interval * SUSPICION_INTERVALS;
        self.members.bury(now, suspicion);
        self.members.forget_old(now);
        self.start_probe(summary, &mut actions);
        self.look_across(summary, &mut actions);
        actions
    }

    /// A datagram has come; its seal was right.
    pub fn on_datagram(
        &mut self,
        now: Instant,
        datagram: Datagram,
        mut summary: Summary,
    ) -> Vec<MembershipAction> {
        if datagram.from.vm == self.config.vm || !self.replays.is_new(&datagram) {
            return Vec::new();
        }
        let from = datagram.from.clone();
        self.take_update(now, &from);
        for update in &datagram.updates {
            self.take_update(now, update);
        }
        summary.members_digest = self.members_digest();
        let mut actions = vec![MembershipAction::Heard {
            vm: from.vm.clone(),
            hall: from.hall.clone(),
            peer: from.peer,
            summary: datagram.summary,
        }];
        self.answer(&datagram, summary, &mut actions);
        self.sync_if_different(now, &datagram, summary, &mut actions);
        actions
    }

    /// Words for all VMs of the hall that settings are new.
    pub fn spread_news(&mut self, mut summary: Summary) -> Vec<MembershipAction> {
        summary.members_digest = self.members_digest();
        let hall = self.config.hall.clone();
        let addresses: Vec<SocketAddr> =
            self.members.live_in(&hall).map(|member| member.update.gossip).collect();
        addresses.into_iter().map(|to| self.send(to, GossipMessage::News, summary)).collect()
    }

    /// Says that this VM leaves, to a few others.
    pub fn leave(&mut self, summary: Summary) -> Vec<MembershipAction> {
        self.left = true;
        let hall = self.config.hall.clone();
        let addresses: Vec<SocketAddr> =
            self.members.live_in(&hall).map(|member| member.update.gossip).take(8).collect();
        addresses.into_iter().map(|to| self.send(to, GossipMessage::News, summary)).collect()
    }

    fn take_update(&mut self, now: Instant, update: &MemberUpdate) {
        if update.vm != self.config.vm {
            self.members.take(now, update);
            return;
        }
        // Somebody says that this VM is not alive: it goes above that word, unless it leaves.
        let refuted = update.state != MemberState::Alive && !self.left;
        if refuted && update.incarnation >= self.incarnation {
            self.incarnation = update.incarnation + 1;
        }
    }

    fn answer(
        &mut self,
        datagram: &Datagram,
        summary: Summary,
        actions: &mut Vec<MembershipAction>,
    ) {
        let back = datagram.from.gossip;
        match &datagram.message {
            GossipMessage::Ping(number) => {
                actions.push(self.send(back, GossipMessage::Ack(*number), summary));
            }
            GossipMessage::Ack(number) => {
                if self.probe.as_ref().is_some_and(|probe| probe.number == *number) {
                    self.probe = None;
                }
                if let Some((to, asked)) = self.relays.remove(number) {
                    actions.push(self.send(to, GossipMessage::Ack(asked), summary));
                }
            }
            GossipMessage::PingRequest { probe, target } => {
                let to = self.members.get(target).map(|member| member.update.gossip);
                if let Some(to) = to {
                    let number = self.next_probe();
                    self.relays.insert(number, (back, *probe));
                    actions.push(self.send(to, GossipMessage::Ping(number), summary));
                }
            }
            GossipMessage::MembersRequest => self.send_members(back, summary, actions),
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
        let recent = self.synced_at.is_some_and(|at| now.saturating_duration_since(at) < pause);
        if recent || datagram.summary.members_digest == summary.members_digest {
            return;
        }
        self.synced_at = Some(now);
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
        for chunk in all.chunks(MEMBERS_IN_DATAGRAM) {
            let mut datagram = self.datagram(GossipMessage::Members, summary);
            datagram.updates = chunk.to_vec();
            actions.push(MembershipAction::Send(to, Box::new(datagram)));
        }
    }

    fn judge_probe(&mut self, now: Instant, summary: Summary, actions: &mut Vec<MembershipAction>) {
        // Relays whose answer never came are old by now.
        if self.relays.len() > 64 {
            self.relays.clear();
        }
        let Some(probe) = self.probe.take() else {
            return;
        };
        if probe.indirect {
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
        for helper in helpers.into_iter().take(HELPERS) {
            let target = probe.target.clone();
            let message = GossipMessage::PingRequest { probe: probe.number, target };
            actions.push(self.send(helper, message, summary));
        }
        self.probe = Some(Probe { indirect: true, ..probe });
    }

    fn start_probe(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        if self.probe.is_some() {
            return;
        }
        let Some((target, to)) = self.members.next_to_probe(&self.config.hall, &mut self.rng)
        else {
            if self.members.all().next().is_none() || self.ticks.is_multiple_of(KNOCK_EVERY) {
                self.knock(summary, actions);
            }
            return;
        };
        let number = self.next_probe();
        self.probe = Some(Probe { number, target, indirect: false });
        actions.push(self.send(to, GossipMessage::Ping(number), summary));
    }

    /// Nobody of the hall is known: asks the seeds who there is.
    fn knock(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        let own = self.config.gossip;
        let seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|seed| *seed != own).collect();
        for seed in seeds {
            actions.push(self.send(seed, GossipMessage::MembersRequest, summary));
        }
    }

    /// Delegates look at other halls, so that words and settings cross.
    fn look_across(&mut self, summary: Summary, actions: &mut Vec<MembershipAction>) {
        if !self.ticks.is_multiple_of(CROSS_EVERY) || !self.is_chosen("delegate", DELEGATES) {
            return;
        }
        let others: Vec<SocketAddr> =
            self.members.live_outside(&self.config.hall).map(|m| m.update.gossip).collect();
        let seeds = self.config.seeds.iter().copied().filter(|seed| *seed != self.config.gossip);
        let choice = match others.is_empty() {
            true => seeds.collect(),
            false => others,
        };
        if let Some(to) = self.rng.choice(choice) {
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
        datagram.updates = self.members.words_to_spread(MAX_UPDATES);
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
            state: if self.left { MemberState::Left } else { MemberState::Alive },
        }
    }

    /// The same for two VMs that know the same, their own words included.
    fn members_digest(&self) -> u64 {
        self.members.digest() ^ members::word_hash(&self.own_update())
    }
}
