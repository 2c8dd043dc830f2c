//! No two VMs hold a lease at the same time, also where the store is restored from a copy that lacks it.

use arbitrary::Unstructured;
use sillbank_lease::{Candidate, Lease, LeaseRecord, LeaseState, LeaseWrite, Moment, WriteEnd};
use sillbank_testing::for_fixed_seeds;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(8);
/// Time after a restore was noticed from which a VM that does not hold the lease may take it.
const CLAIMS_AFTER_MS: u64 = 9_000;

/// Era and number within it.
type Version = (u64, u64);

fn candidate(number: usize) -> Candidate {
    let peer = SocketAddr::from(([127, 0, 0, 1], number as u16));
    Candidate { vm: format!("vm{number}"), peer, term: TERM }
}

fn moment(start: Instant, ms: u64) -> Moment {
    Moment { monotonic: start + Duration::from_millis(ms), wall_ms: 1_000_000 + ms }
}

#[derive(Clone, Default)]
struct Object {
    number: u64,
    stored: Option<(u64, LeaseRecord)>,
}

/// A store that answers with its era, and whose conditions are numbers alone.
#[derive(Default)]
struct Store {
    era: u64,
    object: Object,
}

impl Store {
    fn read(&self) -> Option<(Version, LeaseRecord)> {
        let (number, record) = self.object.stored.clone()?;
        Some(((self.era, number), record))
    }

    /// Carries a write out that was made in an era; in another one it is told as lost, whatever it did.
    fn write(&mut self, write: &LeaseWrite<Version>, made_in: u64) -> WriteEnd<Version> {
        let expected = write.expected.map(|(_, number)| number);
        let is_met = self.object.stored.as_ref().map(|(number, _)| *number) == expected;
        if is_met {
            self.object.number += 1;
            self.object.stored = Some((self.object.number, write.record.clone()));
        }
        match is_met {
            _ if made_in != self.era => WriteEnd::Lost,
            true => WriteEnd::Written((self.era, self.object.number)),
            false => WriteEnd::Changed,
        }
    }

    fn restore(&mut self, copy: &Object) {
        self.object = copy.clone();
        self.era += 1;
    }
}

/// A VM that holds the lease since the start.
fn holder(store: &mut Store, start: Instant) -> Lease<Version> {
    let mut lease = Lease::new(candidate(1)).retaking_own();
    let write = lease.on_read(moment(start, 0), store.read(), 7).expect("it is free");
    let end = store.write(&write, store.era);
    lease.on_write_end(moment(start, 10), end);
    lease
}

#[test]
fn the_holder_renews_over_whatever_the_copy_holds() {
    let start = Instant::now();
    let mut store = Store::default();
    let copy = store.object.clone();
    let mut lease = holder(&mut store, start);
    store.restore(&copy);

    lease.on_restored(moment(start, 1_000));
    let is_held = lease.fence(moment(start, 1_000)).is_some();
    let write = lease.on_read(moment(start, 1_100), store.read(), 8).expect("it is renewed");
    let end = store.write(&write, store.era);
    lease.on_write_end(moment(start, 1_110), end);

    assert!(is_held);
    assert_eq!(lease.state(), LeaseState::Held);
    assert_eq!(lease.fence(moment(start, 8_000)), Some((1, 1)), "counted from the renewal");
}

#[test]
fn a_free_lease_of_a_copy_is_not_taken_while_another_may_hold_it() {
    let start = Instant::now();
    let mut store = Store::default();
    let copy = store.object.clone();
    let holder = holder(&mut store, start);
    store.restore(&copy);
    let mut other: Lease<Version> = Lease::new(candidate(2));

    other.on_restored(moment(start, 1_000));
    let early = other.on_read(moment(start, 1_000), store.read(), 8);
    let last = moment(start, 1_000 + CLAIMS_AFTER_MS - 1);
    let still_early = other.on_read(last, store.read(), 9);
    let due = other.on_read(moment(start, 1_000 + CLAIMS_AFTER_MS), store.read(), 10);

    assert_eq!((early, still_early), (None, None));
    assert!(due.is_some());
    assert_eq!(holder.fence(moment(start, 1_000 + CLAIMS_AFTER_MS)), None);
}

#[test]
fn a_holder_whose_term_is_over_waits_as_the_others_do() {
    let start = Instant::now();
    let mut store = Store::default();
    let mut lease = holder(&mut store, start);
    let copy = store.object.clone();
    store.restore(&copy);

    let noticed = moment(start, 7_500);
    lease.on_tick(noticed, 8);
    lease.on_restored(noticed);

    assert_eq!(lease.on_read(noticed, store.read(), 9), None);
    assert_eq!(lease.fence(noticed), None);
}

/// One VM: its lease, its write on the way, and the era that it has noticed.
struct Racer {
    lease: Lease<Version>,
    on_its_way: Option<LeaseWrite<Version>>,
    era: u64,
    frozen_until_ms: u64,
}

#[test]
fn no_two_vms_hold_a_lease_of_a_store_that_is_restored_again_and_again() {
    let (mut restores, mut holds) = (0, 0);
    for_fixed_seeds(400, 3_000, |u| {
        let start = Instant::now();
        let mut store = Store::default();
        let mut copy = store.object.clone();
        let new = |number| Racer {
            lease: Lease::new(candidate(number)).retaking_own(),
            on_its_way: None,
            era: 0,
            frozen_until_ms: 0,
        };
        let mut racers: Vec<Racer> = (1..=3).map(new).collect();
        let (mut ms, mut mark) = (0, 0);
        while !u.is_empty() {
            ms += u.int_in_range(10..=900)?;
            mark += 1;
            match u.int_in_range(0..=60)? {
                0 => {
                    store.restore(&copy);
                    restores += 1;
                }
                1 => copy = store.object.clone(),
                _ => {}
            }
            let number = u.choose_index(racers.len())?;
            act(u, &mut racers[number], &mut store, moment(start, ms), ms, mark)?;
            let now = moment(start, ms);
            let held = racers.iter().filter(|racer| racer.lease.fence(now).is_some()).count();
            assert!(held <= 1, "held by {held} VMs at {ms} ms");
            holds += held;
        }
        Ok(())
    });
    assert!(restores > 100 && holds > 1_000, "{restores} restores, held {holds} times");
}

fn act(
    u: &mut Unstructured<'_>,
    racer: &mut Racer,
    store: &mut Store,
    now: Moment,
    ms: u64,
    mark: u64,
) -> arbitrary::Result<()> {
    if ms < racer.frozen_until_ms {
        return Ok(());
    }
    if let Some(write) = racer.on_its_way.take() {
        match u.int_in_range(0..=4)? {
            0 => racer.on_its_way = Some(write),
            1 => {
                store.write(&write, racer.era);
                racer.lease.on_write_end(now, WriteEnd::Lost);
            }
            _ => {
                let end = store.write(&write, racer.era);
                racer.lease.on_write_end(now, end);
            }
        }
        return Ok(());
    }
    if racer.era < store.era {
        racer.era = store.era;
        racer.lease.on_restored(now);
        return Ok(());
    }
    match u.int_in_range(0..=9)? {
        0 => racer.frozen_until_ms = ms + u.int_in_range(1_000..=20_000)?,
        1 => racer.on_its_way = racer.lease.give_up(now, mark, None),
        _ if racer.lease.wants_read() => {
            racer.on_its_way = racer.lease.on_read(now, store.read(), mark);
        }
        _ => racer.on_its_way = racer.lease.on_tick(now, mark),
    }
    Ok(())
}
