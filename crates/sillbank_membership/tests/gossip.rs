//! VMs learn of each other, find the dead, believe the living, and are not fooled by old words.

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_membership::{Membership, MembershipAction, MembershipConfig};
use sillbank_protocol::gossip::{Datagram, MemberState, Summary};
use sillbank_testing::for_fixed_seeds;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_secs(1);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16))
}

fn vm(number: usize, halls: usize, incarnation: u64) -> Membership {
    let config = MembershipConfig {
        vm: format!("vm{number}"),
        hall: format!("hall{}", number % halls),
        gossip: address(number),
        peer: address(number + 5000),
        seeds: vec![address(0), address(1)],
        interval: INTERVAL,
        incarnation,
    };
    Membership::new(config, number as u64 + 1)
}

/// VMs and the datagrams on their way between them.
struct Network {
    vms: Vec<Membership>,
    running: Vec<bool>,
    halls: usize,
    now: Instant,
    queue: VecDeque<(usize, Datagram)>,
    /// Everything that was ever sent, for replays.
    history: Vec<(usize, Datagram)>,
}

impl Network {
    fn new(count: usize, halls: usize) -> Self {
        Self {
            vms: (0..count).map(|number| vm(number, halls, 1)).collect(),
            running: vec![true; count],
            halls,
            now: Instant::now(),
            queue: VecDeque::new(),
            history: Vec::new(),
        }
    }

    fn post(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::Send(to, datagram) = action {
                let number = usize::from(to.port()) - 1000;
                self.history.push((number, (*datagram).clone()));
                self.queue.push_back((number, *datagram));
            }
        }
    }

    /// Delivers all that is on its way; `lost` says which datagrams vanish.
    fn deliver(&mut self, mut lost: impl FnMut() -> bool) {
        while let Some((to, datagram)) = self.queue.pop_front() {
            if self.running[to] && !lost() {
                let actions = self.vms[to].on_datagram(self.now, datagram, Summary::default());
                self.post(actions);
            }
        }
    }

    fn round(&mut self, mut lost: impl FnMut() -> bool) {
        self.now += INTERVAL;
        for number in 0..self.vms.len() {
            if self.running[number] {
                let actions = self.vms[number].on_tick(self.now, Summary::default());
                self.post(actions);
                self.deliver(&mut lost);
            }
        }
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round(|| false));
    }

    fn state(&self, seen_by: usize, of: usize) -> Option<MemberState> {
        self.vms[seen_by].members().get(&format!("vm{of}")).map(|member| member.update.state)
    }

    fn all_alive(&self) -> bool {
        let count = self.vms.len();
        (0..count).all(|a| {
            (0..count).filter(|b| *b != a).all(|b| self.state(a, b) == Some(MemberState::Alive))
        })
    }
}

#[test]
fn everybody_learns_of_everybody_in_all_halls() {
    let mut network = Network::new(24, 3);

    network.rounds(30);

    assert!(network.all_alive());
}

#[test]
fn a_killed_vm_is_found_dead_by_its_hall_and_told_to_the_others() {
    let mut network = Network::new(12, 2);
    network.rounds(20);
    network.running[4] = false;

    network.rounds(30);

    for number in (0..12).filter(|n| *n != 4) {
        assert_eq!(network.state(number, 4), Some(MemberState::Dead), "seen by vm{number}");
    }
}

#[test]
fn a_frozen_vm_that_wakes_refutes_and_believes_nothing_bad_of_the_others() {
    let mut network = Network::new(10, 1);
    network.rounds(20);
    // It freezes in the middle of a probe whose answers it never takes.
    for _ in 0..2 {
        network.now += INTERVAL;
        let unsent = network.vms[3].on_tick(network.now, Summary::default());
        assert!(!unsent.is_empty());
    }
    network.running[3] = false;
    network.rounds(10);
    assert_eq!(network.state(0, 3), Some(MemberState::Dead));

    network.running[3] = true;
    let actions = network.vms[3].on_tick(network.now, Summary::default());
    network.post(actions);
    let suspected = network.vms[3].members().all().any(|m| m.update.state != MemberState::Alive);
    network.rounds(20);

    assert!(!suspected, "its own pause says nothing about others");
    assert!(network.all_alive());
}

#[test]
fn a_vm_that_leaves_is_not_suspected_but_gone() {
    let mut network = Network::new(8, 1);
    network.rounds(15);

    let actions = network.vms[2].leave(Summary::default());
    network.running[2] = false;
    network.post(actions);
    network.rounds(10);

    for number in (0..8).filter(|n| *n != 2) {
        assert_eq!(network.state(number, 2), Some(MemberState::Left), "seen by vm{number}");
    }
}

#[test]
fn a_replaced_vm_of_the_same_name_is_alive_again() {
    let mut network = Network::new(8, 1);
    network.rounds(15);
    network.running[5] = false;
    network.rounds(15);

    network.vms[5] = vm(5, network.halls, 2);
    network.running[5] = true;
    network.rounds(20);

    assert!(network.all_alive());
}

#[test]
fn a_lost_hall_is_not_judged_from_afar() {
    let mut network = Network::new(12, 2);
    network.rounds(20);
    (0..12).filter(|n| n % 2 == 1).for_each(|n| network.running[n] = false);

    network.rounds(30);

    assert_eq!(network.state(0, 1), Some(MemberState::Alive));
}

#[test]
fn replayed_datagrams_bring_nobody_back_and_kill_nobody() {
    for_fixed_seeds(20, 4000, |u: &mut Unstructured<'_>| {
        let mut network = Network::new(6, 1);
        network.rounds(12);
        network.running[4] = false;
        network.rounds(12);
        let old = network.history.clone();

        for _ in 0..300 {
            let (to, datagram) = old[u.choose_index(old.len())?].clone();
            if !network.running[to] {
                continue;
            }
            let actions = network.vms[to].on_datagram(network.now, datagram, Summary::default());
            assert_eq!(actions, Vec::new(), "a replay is not heard at all");
        }
        network.rounds(3);

        for number in (0..6).filter(|n| *n != 4) {
            assert_eq!(network.state(number, 4), Some(MemberState::Dead));
        }
        for (a, b) in [(0, 1), (1, 0), (5, 2)] {
            assert_eq!(network.state(a, b), Some(MemberState::Alive));
        }
        Ok(())
    });
}

#[test]
fn with_some_datagrams_lost_the_living_are_alive_in_the_end() {
    for_fixed_seeds(20, 20_000, |u: &mut Unstructured<'_>| {
        let mut network = Network::new(9, 3);
        for _ in 0..60 {
            let mut draws = Vec::new();
            for _ in 0..200 {
                draws.push(u.ratio(1, 5).unwrap_or(false));
            }
            let mut draws = draws.into_iter().cycle();
            network.round(|| draws.next().unwrap_or(false));
        }

        network.rounds(20);

        assert!(network.all_alive());
        Ok(())
    });
}

#[test]
fn the_dead_are_forgotten_in_the_end_and_old_words_do_not_bring_them_back() {
    let mut network = Network::new(4, 1);
    network.rounds(12);
    network.running[3] = false;
    network.rounds(12);
    let word = network.vms[1].members().get("vm3").expect("known").update.clone();
    network.now += Duration::from_secs(700);
    network.rounds(2);
    assert_eq!(network.state(0, 3), None);

    let last = network.history.iter().rev().find(|(to, d)| *to == 0 && d.from.vm == "vm1");
    let (_, mut datagram) = last.expect("vm1 spoke to vm0").clone();
    datagram.sequence += 1_000;
    datagram.updates = vec![word];
    network.vms[0].on_datagram(network.now, datagram, Summary::default());

    assert_eq!(network.state(0, 3), None);
}

#[test]
fn every_vm_of_a_hall_names_the_same_watchers() {
    let mut network = Network::new(20, 2);
    network.rounds(30);

    let chosen: Vec<usize> =
        (0..20).filter(|n| n % 2 == 0 && network.vms[*n].is_chosen("watch", 2)).collect();

    assert_eq!(chosen.len(), 2);
}

#[test]
fn a_datagram_fits_its_limit_with_the_most_it_may_hold() {
    use sillbank_protocol::gossip::{MAX_DATAGRAM_BYTES, SealKey, open_datagram, seal_datagram};
    let mut network = Network::new(40, 1);
    network.rounds(30);
    let key = SealKey::from_text("a key of this test");

    for (_, datagram) in &network.history {
        let bytes = seal_datagram(datagram, &key).expect("it fits");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(open_datagram(&bytes, std::slice::from_ref(&key)).as_ref(), Ok(datagram));
    }
}

#[test]
fn forged_truncated_and_old_key_datagrams_are_refused() {
    use sillbank_protocol::gossip::{SealKey, open_datagram, seal_datagram};
    use sillbank_protocol::peer::DecodeError;
    let mut network = Network::new(2, 1);
    network.round(|| true);
    let datagram = network.history[0].1.clone();
    let (old, new) = (SealKey::from_text("old key"), SealKey::from_text("new key"));
    let sealed = seal_datagram(&datagram, &old).expect("it fits");

    // While the key is changed both are accepted; afterwards the old one is not.
    assert_eq!(open_datagram(&sealed, &[new.clone(), old]), Ok(datagram));
    assert_eq!(open_datagram(&sealed, std::slice::from_ref(&new)), Err(DecodeError::Forged));
    for_fixed_seeds(200, 64, |u| {
        let mut bytes = seal_datagram(&network.history[0].1, &new).expect("it fits");
        let at = u.choose_index(bytes.len())?;
        match u.arbitrary()? {
            true => bytes[at] ^= u.int_in_range(1..=255)?,
            false => bytes.truncate(at),
        }
        assert_eq!(open_datagram(&bytes, std::slice::from_ref(&new)), Err(DecodeError::Forged));
        Ok(())
    });
}

#[test]
fn names_are_not_needed_to_be_known_before_they_speak() {
    let mut network = Network::new(3, 1);
    let stranger: VmId = "vm2".to_owned();

    network.round(|| false);

    assert!(network.vms[0].members().get(&stranger).is_some());
}

#[test]
fn datagrams_that_overtake_each_other_are_both_heard() {
    let mut network = Network::new(2, 1);
    network.rounds(3);
    let to_first = network.vms[1].spread_news(Summary { complete: 7, ..Summary::default() });
    let after = network.vms[1].spread_news(Summary { complete: 8, ..Summary::default() });
    let datagram = |actions: &[MembershipAction]| match &actions[0] {
        MembershipAction::Send(_, datagram) => (**datagram).clone(),
        MembershipAction::Heard { .. } => unreachable!("news are sent"),
    };

    let second = network.vms[0].on_datagram(network.now, datagram(&after), Summary::default());
    let first = network.vms[0].on_datagram(network.now, datagram(&to_first), Summary::default());
    let again = network.vms[0].on_datagram(network.now, datagram(&to_first), Summary::default());

    assert!(!second.is_empty());
    assert!(!first.is_empty(), "it was only overtaken");
    assert!(again.is_empty(), "it is a replay");
}
