//! A key is granted at most once, whatever writes are lost or late, VMs frozen, and slots handed
//! over.

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_lease::{Candidate, LeaseRecord, LeaseWrite, Moment, WriteOutcome};
use sillbank_once::{ClaimAnswer, Slot};
use sillbank_testing::for_fixed_seeds;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(8);
const RETENTION: Duration = Duration::from_secs(60);
const VMS: usize = 3;

fn candidate(number: usize) -> Candidate {
    let peer = SocketAddr::from(([127, 0, 0, 1], number as u16));
    Candidate { vm: format!("vm{number}"), peer, term: TERM }
}

/// One VM: its slot, its write in flight, writes given up as lost, and until when it is frozen.
struct Vm {
    slot: Slot,
    in_flight: Option<LeaseWrite>,
    late: Vec<LeaseWrite>,
    frozen_until_ms: u64,
}

struct World {
    start: Instant,
    ms: u64,
    version: u64,
    object: Option<(u64, LeaseRecord)>,
    vms: Vec<Vm>,
    /// Time of the first attempt with each key, and when the key was minted.
    keys: HashMap<u64, (u64, Option<u64>)>,
    granted: HashMap<u64, u32>,
    grants: usize,
}

impl World {
    fn new() -> Self {
        let vm = |number| Vm {
            slot: Slot::new(candidate(number)),
            in_flight: None,
            late: Vec::new(),
            frozen_until_ms: 0,
        };
        Self {
            start: Instant::now(),
            ms: 0,
            version: 0,
            object: None,
            vms: (0..VMS).map(vm).collect(),
            keys: HashMap::new(),
            granted: HashMap::new(),
            grants: 0,
        }
    }

    fn now(&self) -> Moment {
        let monotonic = self.start + Duration::from_millis(self.ms);
        Moment { monotonic, wall_ms: 10_000_000 + self.ms }
    }

    fn apply(&mut self, write: &LeaseWrite) -> WriteOutcome {
        if self.object.as_ref().map(|(version, _)| *version) != write.expected {
            return WriteOutcome::Changed;
        }
        self.version += 1;
        self.object = Some((self.version, write.record.clone()));
        WriteOutcome::Written(self.version)
    }

    fn finish_write(&mut self, u: &mut Unstructured<'_>, number: usize) -> arbitrary::Result<()> {
        let Some(write) = self.vms[number].in_flight.take() else {
            return Ok(());
        };
        let outcome = match u.int_in_range(0..=5)? {
            0 => {
                self.vms[number].late.push(write);
                WriteOutcome::Lost
            }
            1 => {
                self.apply(&write);
                WriteOutcome::Lost
            }
            _ => self.apply(&write),
        };
        let now = self.now();
        self.vms[number].slot.lease.on_write_outcome(now, outcome);
        self.vms[number].slot.sync_claims(now);
        Ok(())
    }

    fn work(&mut self, number: usize) {
        let (now, object, mark) = (self.now(), self.object.clone(), self.ms * 8 + number as u64);
        let vm = &mut self.vms[number];
        vm.in_flight = match vm.slot.lease.needs_read() {
            true => vm.slot.lease.on_read(now, object, mark),
            false => vm.slot.lease.on_tick(now, mark),
        };
        vm.slot.sync_claims(now);
    }

    /// A planned stop: hands claims to an heir, releases the lease, and restarts the process.
    fn hand_over(&mut self, u: &mut Unstructured<'_>, number: usize) -> arbitrary::Result<()> {
        let heir = (number + 1 + u.choose_index(VMS - 1)?) % VMS;
        let now = self.now();
        let Some((claims, from)) = self.vms[number].slot.stop_granting() else {
            self.vms[number].slot = Slot::new(candidate(number));
            self.vms[number].in_flight = None;
            return Ok(());
        };
        let is_delivered = u.ratio(3, 4)?;
        if is_delivered {
            self.vms[heir].slot.receive_claims(now, claims, from);
        }
        let named = is_delivered.then(|| format!("vm{heir}"));
        let mark = self.ms * 8 + number as u64;
        if let Some(write) = self.vms[number].slot.lease.release(now, mark, named) {
            match u.ratio(1, 4)? {
                true => self.vms[number].late.push(write),
                false => drop(self.apply(&write)),
            }
        }
        self.vms[number].slot = Slot::new(candidate(number));
        self.vms[number].in_flight = None;
        Ok(())
    }

    fn claim(&mut self, u: &mut Unstructured<'_>, number: usize) -> arbitrary::Result<()> {
        let now = self.now();
        let key = u.int_in_range(0..=12)?;
        let minted = u.ratio(1, 2)?.then_some(now.wall_ms);
        let (first_ms, minted) = *self.keys.entry(key).or_insert((self.ms, minted));
        // A caller does not retry after the retention, so the number then stands for a new key.
        if self.ms - first_ms >= RETENTION.as_millis() as u64 {
            self.keys.remove(&key);
            self.granted.remove(&key);
            return Ok(());
        }
        let uid = RequestUid(key, first_ms);
        let answer = self.vms[number].slot.claim(now, uid, minted, u.arbitrary()?, RETENTION);
        if matches!(answer, ClaimAnswer::Granted(_)) {
            let count = self.granted.entry(key).or_default();
            *count += 1;
            self.grants += 1;
            assert_eq!(*count, 1, "key {key} is granted twice, at {} ms by vm{number}", self.ms);
        }
        Ok(())
    }

    fn act(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        self.ms += u.int_in_range(10..=500)?;
        let number = u.choose_index(VMS)?;
        if !self.vms[number].late.is_empty() && u.ratio(1, 4)? {
            let write = self.vms[number].late.remove(0);
            self.apply(&write);
        }
        if self.ms < self.vms[number].frozen_until_ms {
            return Ok(());
        }
        match u.int_in_range(0..=59)? {
            0 => {
                self.vms[number].frozen_until_ms = self.ms + u.int_in_range(1_000..=30_000)?;
                Ok(())
            }
            1 => self.hand_over(u, number),
            2 => {
                // The process is killed and replaced by a new one of the same name.
                self.vms[number].slot = Slot::new(candidate(number));
                self.vms[number].in_flight = None;
                Ok(())
            }
            3..=30 if self.vms[number].in_flight.is_some() => self.finish_write(u, number),
            3..=30 => {
                self.work(number);
                Ok(())
            }
            _ => self.claim(u, number),
        }
    }
}

/// Three VMs race for one slot; over all holders of the slot, every key is granted at most once.
#[test]
fn key_is_granted_at_most_once_across_holders() {
    let mut granted = 0;
    for_fixed_seeds(500, 6000, |u| {
        let mut world = World::new();
        while !u.is_empty() {
            world.act(u)?;
        }
        granted += world.grants;
        Ok(())
    });
    assert!(granted > 2_000, "only {granted} grants were seen");
}
