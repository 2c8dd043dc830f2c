//! A fleet of VMs that follow the store and one another by the gateway's own rules, in steps of 10 ms.

use sillbank_core::rng::SharedRng;
use sillbank_gateway::backoff::{Backoff, Pause};
use sillbank_gateway::freshness::{Freshness, NEED_POLL, NEWS_WAIT, confirmed_by_watch};
use sillbank_gateway::hall::Hall;
use sillbank_gateway::revision::Revision;
use sillbank_gateway::sources::{Followed, SourceNeed, SourceView, is_told};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
/// Time of an answer of the store beside the wait of a watch.
const STORE_ANSWER: Duration = Duration::from_millis(10);
/// Limit for an answer of the store beside the wait of a watch.
const STORE_LIMIT: Duration = Duration::from_millis(1_200);
/// How long the first watch waits of a VM that was told so far.
const FIRST_WAIT: Duration = Duration::from_millis(10);
/// Pause between two asks of a leader to the leader of another hall.
const OTHER_HALL_PAUSE: Duration = Duration::from_millis(100);
/// A VM's strength; nobody is stronger, so nobody else comes to lead.
const STRENGTH: f64 = 1.0;
/// Names of halls, in the order in which leaders rely on each other.
const HALLS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// What a VM sees of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreSees {
    /// It answers.
    Answer,
    /// It refuses at once.
    Refusal,
    /// It says nothing.
    Silence,
}

/// Which VM it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct VmPlace {
    pub(crate) hall: usize,
    pub(crate) number: usize,
    pub(crate) leads: bool,
}

/// What the task does that follows the configuration.
enum Following {
    Resting(Instant),
    Calling { sent: Instant, wait: Duration, ends: Instant },
    Pausing(Pause),
}

struct Vm {
    place: VmPlace,
    hall: Hall,
    sees: StoreSees,
    confirmed: Instant,
    store_is_reached: bool,
    following: Following,
    was_told: bool,
    has_failed: bool,
    backoff: Backoff,
    calls: u64,
    /// When the held ask to the leader, or to the source, was sent.
    asked: Instant,
    source: Option<SocketAddr>,
    other_asked: Instant,
}

/// A fleet.
pub(crate) struct Fleet {
    vms: Vec<Vm>,
    vms_a_hall: usize,
    freshness: Freshness,
    chance: SharedRng,
    began: Instant,
    now: Instant,
    calls_when_settled: Vec<u64>,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (at / 256) as u8, (at % 256) as u8], 7_000))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            usize::from(v4.ip().octets()[2]) * 256 + usize::from(v4.ip().octets()[3])
        }
        SocketAddr::V6(_) => unreachable!("addresses are of version 4"),
    }
}

impl Fleet {
    /// `halls` halls of `vms` VMs, of which the first leads, all of them just confirmed. All of them draw from
    /// `chance`.
    pub(crate) fn new(halls: usize, vms: usize, freshness: Freshness, chance: SharedRng) -> Self {
        let began = Instant::now();
        let new = |at: usize| {
            let place = VmPlace { hall: at / vms, number: at % vms, leads: at.is_multiple_of(vms) };
            let hall = Hall::new(chance.clone());
            hall.note_hall_vms(vms as u32);
            match place.leads {
                true => hall.tells.set(Some(Revision::new(1, 1))),
                false => hall.on_news(began, Some(began), true),
            }
            Vm {
                place,
                hall,
                sees: StoreSees::Answer,
                confirmed: began,
                store_is_reached: true,
                following: Following::Resting(began),
                was_told: false,
                has_failed: false,
                backoff: Backoff::default(),
                calls: 0,
                asked: began,
                source: None,
                other_asked: began,
            }
        };
        let vms_of_all: Vec<Vm> = (0..halls * vms).map(new).collect();
        let calls_when_settled = vec![0; vms_of_all.len()];
        Self {
            vms: vms_of_all,
            vms_a_hall: vms,
            freshness,
            chance,
            began,
            now: began,
            calls_when_settled,
        }
    }

    /// From now on the store is so to the VMs that `is_cut`, and answers the others.
    pub(crate) fn cut_from_store(&mut self, sees: StoreSees, is_cut: impl Fn(VmPlace) -> bool) {
        for vm in &mut self.vms {
            vm.sees = if is_cut(vm.place) { sees } else { StoreSees::Answer };
        }
    }

    /// Plays so long, and looks after each step.
    pub(crate) fn run(&mut self, for_ms: u64, mut look: impl FnMut(&Self)) {
        let end = self.now + Duration::from_millis(for_ms);
        if self.now != self.began {
            self.calls_when_settled = self.vms.iter().map(|vm| vm.calls).collect();
        }
        while self.now < end {
            self.now += STEP;
            for at in 0..self.vms.len() {
                self.follow(at);
                match self.vms[at].place.leads {
                    true => self.ask_others(at),
                    false => self.ask_leader(at),
                }
            }
            look(self);
        }
    }

    /// Calls of all VMs to the store.
    pub(crate) fn calls(&self) -> u64 {
        self.vms.iter().map(|vm| vm.calls).sum()
    }

    /// Calls of the leader of a hall.
    pub(crate) fn calls_of_leader(&self, hall: usize) -> u64 {
        self.vms[hall * self.vms_a_hall].calls
    }

    /// Calls of VMs that do not lead.
    pub(crate) fn calls_of_members(&self) -> u64 {
        self.vms.iter().filter(|vm| !vm.place.leads).map(|vm| vm.calls).sum()
    }

    /// VMs that called the store since the last run began.
    pub(crate) fn callers_since_settled(&self) -> usize {
        let before = self.calls_when_settled.iter();
        self.vms.iter().zip(before).filter(|(vm, before)| vm.calls > **before).count()
    }

    /// Age of the oldest confirmation that a VM goes by.
    pub(crate) fn oldest(&self) -> Duration {
        self.vms.iter().map(|vm| self.now - vm.confirmed).max().unwrap_or_default()
    }

    /// The same among VMs that reach the store or have another in their hall that does, or whose leader hears
    /// of the leader of a hall in which one does.
    pub(crate) fn oldest_in_touch(&self) -> Duration {
        let reaches = |vm: &&Vm| vm.sees == StoreSees::Answer;
        match self.vms.iter().any(|vm| reaches(&vm)) {
            true => self.oldest(),
            false => Duration::ZERO,
        }
    }

    fn view(&self, vm: &Vm) -> SourceView {
        let own = HALLS[vm.place.hall];
        SourceView {
            leader_is_live: vm.hall.leader_is_live(self.now),
            leader_holds_lease: vm.hall.leader_holds_lease(self.now),
            leader_suffices: vm.hall.leader_suffices(self.now, self.freshness)
                || vm.hall.senior_suffices(own, self.now, self.freshness),
            is_source: vm.hall.is_source(self.now),
            has_catalog: true,
            store_is_reached: vm.store_is_reached,
            awaits_leader: false,
        }
    }

    /// The task of a VM that follows the configuration.
    fn follow(&mut self, at: usize) {
        let now = self.now;
        let view = self.view(&self.vms[at]);
        let leader_wait = self.freshness.leader_wait;
        let vm = &mut self.vms[at];
        match &vm.following {
            Following::Resting(until) if now < *until => {}
            Following::Resting(_) if is_told(Followed::Catalog, view) => {
                vm.was_told = true;
                vm.following = Following::Resting(now + NEED_POLL);
            }
            Following::Resting(_) => {
                let wait = if vm.was_told || vm.has_failed { FIRST_WAIT } else { leader_wait };
                vm.was_told = false;
                vm.calls += 1;
                let takes = match vm.sees {
                    StoreSees::Answer => wait + STORE_ANSWER,
                    StoreSees::Refusal => STORE_ANSWER,
                    StoreSees::Silence => wait + STORE_LIMIT,
                };
                vm.following = Following::Calling { sent: now, wait, ends: now + takes };
            }
            Following::Calling { ends, .. } if now < *ends => {}
            Following::Calling { sent, wait, .. } => {
                let (sent, wait) = (*sent, *wait);
                vm.store_is_reached = vm.sees == StoreSees::Answer;
                vm.has_failed = !vm.store_is_reached;
                if vm.store_is_reached {
                    vm.backoff = Backoff::default();
                    vm.confirmed = vm.confirmed.max(confirmed_by_watch(sent, wait, now));
                    vm.following = Following::Resting(now);
                } else {
                    vm.following =
                        Following::Pausing(vm.backoff.next_pause(now, self.chance.next_f64()));
                }
            }
            Following::Pausing(pause) => {
                if pause.left(now, &vm.hall, self.freshness).is_zero() {
                    vm.following = Following::Resting(now);
                }
            }
        }
    }

    /// Whether an ask of a VM to another is answered now: it is confirmed anew, or the ask was held long enough.
    fn is_answered(&self, asked: Instant, by: usize, known: Instant) -> bool {
        self.vms[by].confirmed > known || self.now >= asked + NEWS_WAIT
    }

    fn ask_leader(&mut self, at: usize) {
        let leader = self.vms[at].place.hall * self.vms_a_hall;
        let (now, known) = (self.now, self.vms[at].confirmed);
        let asked = self.vms[at].asked;
        let (hall, confirmed_age) = (&self.vms[leader].hall, now - known);
        if asked + STEP >= now {
            hall.on_asker(&at.to_string(), address(at), STRENGTH, Some(confirmed_age), now);
        }
        if !self.is_answered(asked, leader, known) {
            return;
        }
        let told = self.vms[leader].confirmed;
        let holds_lease = self.vms[leader].store_is_reached;
        let vm = &mut self.vms[at];
        vm.hall.on_news(now, Some(told), holds_lease);
        vm.confirmed = vm.confirmed.max(told);
        vm.asked = now;
    }

    /// A leader asks its source, if it needs one, and the leaders of other halls.
    fn ask_others(&mut self, at: usize) {
        let now = self.now;
        let vm = &self.vms[at];
        let need = SourceNeed {
            confirmed: vm.confirmed,
            enough_for: self.freshness.enough_for,
            store_is_reached: vm.store_is_reached,
        };
        let source = need.choose(&vm.hall, now, vm.source);
        if source != vm.source {
            self.vms[at].asked = now;
            self.vms[at].source = source;
        }
        if let Some(source) = source.map(index) {
            let asked = self.vms[at].asked;
            if asked + STEP >= now {
                self.vms[source].hall.on_asked_as_source(now);
            }
            if self.is_answered(asked, source, self.vms[at].confirmed) {
                self.vms[at].confirmed = self.vms[at].confirmed.max(self.vms[source].confirmed);
                self.vms[at].asked = now;
            }
        }
        if now < self.vms[at].other_asked + OTHER_HALL_PAUSE {
            return;
        }
        self.vms[at].other_asked = now;
        for other in (0..self.vms.len()).step_by(self.vms_a_hall).filter(|other| *other != at) {
            let teller = &self.vms[other];
            let own = HALLS[teller.place.hall];
            let follows_store =
                teller.store_is_reached && !teller.hall.senior_suffices(own, now, self.freshness);
            let told = teller.confirmed;
            self.vms[at].hall.on_other_news(own, now, Some(told), follows_store);
            self.vms[at].confirmed = self.vms[at].confirmed.max(told);
        }
    }
}
