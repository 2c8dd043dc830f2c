//! A lease has at most one holder at a time, even if the store is restored from a copy without it.

use arbitrary::Unstructured;
use sillbank_lease::{Candidate, Lease, LeaseRecord, LeaseState, LeaseWrite, Moment, WriteOutcome};
use sillbank_testing::for_fixed_seeds;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(8);
/// Time after a restore is noticed until a VM that does not hold the lease may take it.
const TAKEOVER_BLOCKED_MS: u64 = 9_000;

/// Era of the store and number within it.
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

/// A store that answers with its era, but whose write conditions compare only numbers.
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

    /// Applies a write that was made in era `made_in`. In a later era its outcome is reported as
    /// lost, whatever it did.
    fn write(&mut self, write: &LeaseWrite<Version>, made_in: u64) -> WriteOutcome<Version> {
        let expected = write.expected.map(|(_, number)| number);
        let is_met = self.object.stored.as_ref().map(|(number, _)| *number) == expected;
        if is_met {
            self.object.number += 1;
            self.object.stored = Some((self.object.number, write.record.clone()));
        }
        match is_met {
            _ if made_in != self.era => WriteOutcome::Lost,
            true => WriteOutcome::Written((self.era, self.object.number)),
            false => WriteOutcome::Changed,
        }
    }

    fn restore(&mut self, copy: &Object) {
        self.object = copy.clone();
        self.era += 1;
    }
}

/// A VM that holds the lease from the start.
fn holder(store: &mut Store, start: Instant) -> Lease<Version> {
    let mut lease = Lease::new(candidate(1)).reclaiming_own();
    let write = lease.on_read(moment(start, 0), store.read(), 7).expect("it is free");
    let outcome = store.write(&write, store.era);
    lease.on_write_outcome(moment(start, 10), outcome);
    lease
}

/// After a restore, the holder keeps its lease and renews it over whatever the copy holds.
#[test]
fn holder_renews_over_content_of_copy() {
    let start = Instant::now();
    let mut store = Store::default();
    let copy = store.object.clone();
    let mut lease = holder(&mut store, start);
    store.restore(&copy);

    lease.on_restored(moment(start, 1_000));
    let is_held = lease.fence(moment(start, 1_000)).is_some();
    let write = lease.on_read(moment(start, 1_100), store.read(), 8).expect("it is renewed");
    let outcome = store.write(&write, store.era);
    lease.on_write_outcome(moment(start, 1_110), outcome);

    assert!(is_held);
    assert_eq!(lease.state(), LeaseState::Held);
    assert_eq!(lease.fence(moment(start, 8_000)), Some((1, 1)), "counted from the renewal");
}

/// A lease that the copy shows as free is not taken before the longest possible term is over.
#[test]
fn free_lease_in_copy_is_not_taken_while_another_vm_may_hold_it() {
    let start = Instant::now();
    let mut store = Store::default();
    let copy = store.object.clone();
    let holder = holder(&mut store, start);
    store.restore(&copy);
    let mut other: Lease<Version> = Lease::new(candidate(2));

    other.on_restored(moment(start, 1_000));
    let early = other.on_read(moment(start, 1_000), store.read(), 8);
    let last = moment(start, 1_000 + TAKEOVER_BLOCKED_MS - 1);
    let still_early = other.on_read(last, store.read(), 9);
    let due = other.on_read(moment(start, 1_000 + TAKEOVER_BLOCKED_MS), store.read(), 10);

    assert_eq!((early, still_early), (None, None));
    assert!(due.is_some());
    assert_eq!(holder.fence(moment(start, 1_000 + TAKEOVER_BLOCKED_MS)), None);
}

/// A VM whose term ended before it noticed the restore may not renew; it waits like the others.
#[test]
fn holder_whose_term_is_over_waits_like_others() {
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

/// One VM: its lease, its write in flight, and the era that it has noticed.
struct Racer {
    lease: Lease<Version>,
    in_flight: Option<LeaseWrite<Version>>,
    era: u64,
    frozen_until_ms: u64,
}

/// Whatever the sequence of restores, lost answers and frozen VMs, two VMs never hold the lease.
#[test]
fn lease_has_one_holder_at_a_time_across_restores() {
    let (mut restores, mut holds) = (0, 0);
    for_fixed_seeds(400, 3_000, |u| {
        let start = Instant::now();
        let mut store = Store::default();
        let mut copy = store.object.clone();
        let new = |number| Racer {
            lease: Lease::new(candidate(number)).reclaiming_own(),
            in_flight: None,
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
    if let Some(write) = racer.in_flight.take() {
        match u.int_in_range(0..=4)? {
            0 => racer.in_flight = Some(write),
            1 => {
                store.write(&write, racer.era);
                racer.lease.on_write_outcome(now, WriteOutcome::Lost);
            }
            _ => {
                let outcome = store.write(&write, racer.era);
                racer.lease.on_write_outcome(now, outcome);
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
        1 => racer.in_flight = racer.lease.release(now, mark, None),
        _ if racer.lease.needs_read() => {
            racer.in_flight = racer.lease.on_read(now, store.read(), mark);
        }
        _ => racer.in_flight = racer.lease.on_tick(now, mark),
    }
    Ok(())
}
