//! Gossip: VMs discover each other, detect dead VMs, and ignore outdated or replayed updates.

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

/// VMs and the datagrams in flight between them.
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

    fn enqueue(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            if let MembershipAction::Send(to, datagram) = action {
                let number = usize::from(to.port()) - 1000;
                self.history.push((number, (*datagram).clone()));
                self.queue.push_back((number, *datagram));
            }
        }
    }

    /// Delivers all datagrams in flight; `lost` decides which are dropped.
    fn deliver(&mut self, mut lost: impl FnMut() -> bool) {
        while let Some((to, datagram)) = self.queue.pop_front() {
            if self.running[to] && !lost() {
                let actions = self.vms[to].on_datagram(self.now, datagram, Summary::default());
                self.enqueue(actions);
            }
        }
    }

    fn round(&mut self, mut lost: impl FnMut() -> bool) {
        self.now += INTERVAL;
        for number in 0..self.vms.len() {
            if self.running[number] {
                let actions = self.vms[number].on_tick(self.now, Summary::default());
                self.enqueue(actions);
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

/// Starting from the seeds, every VM learns of all VMs in all halls.
#[test]
fn all_vms_discover_each_other_across_halls() {
    let mut network = Network::new(24, 3);

    network.rounds(30);

    assert!(network.all_alive());
}

/// A killed VM is detected by its own hall, and the other halls learn of it by gossip.
#[test]
fn killed_vm_is_declared_dead_in_all_halls() {
    let mut network = Network::new(12, 2);
    network.rounds(20);
    network.running[4] = false;

    network.rounds(30);

    for number in (0..12).filter(|n| *n != 4) {
        assert_eq!(network.state(number, 4), Some(MemberState::Dead), "seen by vm{number}");
    }
}

/// A VM that resumes after a pause refutes its death, and does not suspect VMs whose answers it
/// missed.
#[test]
fn frozen_vm_refutes_its_death_and_suspects_nobody() {
    let mut network = Network::new(10, 1);
    network.rounds(20);
    // It freezes in the middle of a probe and never receives the answers.
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
    network.enqueue(actions);
    let suspected = network.vms[3].members().all().any(|m| m.update.state != MemberState::Alive);
    network.rounds(20);

    assert!(!suspected, "answers missed during its own pause do not count");
    assert!(network.all_alive());
}

/// A VM that announces that it leaves is marked as left instead of suspected.
#[test]
fn leaving_vm_is_marked_as_left() {
    let mut network = Network::new(8, 1);
    network.rounds(15);

    let actions = network.vms[2].leave(Summary::default());
    network.running[2] = false;
    network.enqueue(actions);
    network.rounds(10);

    for number in (0..8).filter(|n| *n != 2) {
        assert_eq!(network.state(number, 2), Some(MemberState::Left), "seen by vm{number}");
    }
}

/// A new process with a higher incarnation replaces a dead one of the same name.
#[test]
fn replaced_vm_of_same_name_is_alive() {
    let mut network = Network::new(8, 1);
    network.rounds(15);
    network.running[5] = false;
    network.rounds(15);

    network.vms[5] = vm(5, network.halls, 2);
    network.running[5] = true;
    network.rounds(20);

    assert!(network.all_alive());
}

/// VMs of a hall that is unreachable as a whole stay alive in the view of other halls.
#[test]
fn unreachable_hall_is_not_suspected_by_other_halls() {
    let mut network = Network::new(12, 2);
    network.rounds(20);
    (0..12).filter(|n| n % 2 == 1).for_each(|n| network.running[n] = false);

    network.rounds(30);

    assert_eq!(network.state(0, 1), Some(MemberState::Alive));
}

/// Replayed datagrams neither bring a dead VM back nor make a live one appear dead.
#[test]
fn replayed_datagrams_have_no_effect() {
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
            assert_eq!(actions, Vec::new(), "a replay is ignored");
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

/// False suspicions caused by lost datagrams are refuted once datagrams arrive again.
#[test]
fn live_vms_are_alive_after_packet_loss() {
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

/// A dead VM is removed after the retention, and an old update that it is dead does not add it
/// again.
#[test]
fn expired_dead_vm_is_not_brought_back_by_old_update() {
    let mut network = Network::new(4, 1);
    network.rounds(12);
    network.running[3] = false;
    network.rounds(12);
    let old_update = network.vms[1].members().get("vm3").expect("known").update.clone();
    network.now += Duration::from_secs(700);
    network.rounds(2);
    assert_eq!(network.state(0, 3), None);

    let last = network.history.iter().rev().find(|(to, d)| *to == 0 && d.from.vm == "vm1");
    let (_, mut datagram) = last.expect("vm1 sent to vm0").clone();
    datagram.sequence += 1_000;
    datagram.updates = vec![old_update];
    network.vms[0].on_datagram(network.now, datagram, Summary::default());

    assert_eq!(network.state(0, 3), None);
}

/// VMs with the same view agree on which of them are chosen for a task.
#[test]
fn hall_chooses_exactly_the_requested_number_of_vms() {
    let mut network = Network::new(20, 2);
    network.rounds(30);

    let chosen: Vec<usize> =
        (0..20).filter(|n| n % 2 == 0 && network.vms[*n].is_chosen("watch", 2)).collect();

    assert_eq!(chosen.len(), 2);
}

/// In a large hall every datagram fits the size limit and is read back unchanged.
#[test]
fn datagrams_fit_the_size_limit() {
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

/// A datagram that was changed or cut, or that is sealed with a key no longer in use, is refused.
#[test]
fn forged_truncated_and_old_key_datagrams_are_refused() {
    use sillbank_protocol::gossip::{SealKey, open_datagram, seal_datagram};
    use sillbank_protocol::peer::DecodeError;
    let mut network = Network::new(2, 1);
    network.round(|| true);
    let datagram = network.history[0].1.clone();
    let (old, new) = (SealKey::from_text("old key"), SealKey::from_text("new key"));
    let sealed = seal_datagram(&datagram, &old).expect("it fits");

    // During a key change both keys are accepted; afterwards the old one is not.
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

/// A VM that is not among the seeds is added when it sends a datagram.
#[test]
fn unknown_vm_is_added_on_its_first_datagram() {
    let mut network = Network::new(3, 1);
    let stranger: VmId = "vm2".to_owned();

    network.round(|| false);

    assert!(network.vms[0].members().get(&stranger).is_some());
}

/// Datagrams that arrive out of order are accepted; a second copy of one is not.
#[test]
fn out_of_order_datagrams_are_both_accepted() {
    let mut network = Network::new(2, 1);
    network.rounds(3);
    let sent_first = network.vms[1].broadcast_news(Summary { complete: 7, ..Summary::default() });
    let sent_second = network.vms[1].broadcast_news(Summary { complete: 8, ..Summary::default() });
    let datagram = |actions: &[MembershipAction]| match &actions[0] {
        MembershipAction::Send(_, datagram) => (**datagram).clone(),
        MembershipAction::Heard { .. } => unreachable!("a broadcast only sends"),
    };

    let second =
        network.vms[0].on_datagram(network.now, datagram(&sent_second), Summary::default());
    let first = network.vms[0].on_datagram(network.now, datagram(&sent_first), Summary::default());
    let again = network.vms[0].on_datagram(network.now, datagram(&sent_first), Summary::default());

    assert!(!second.is_empty());
    assert!(!first.is_empty(), "it only arrived out of order");
    assert!(again.is_empty(), "it is a replay");
}
