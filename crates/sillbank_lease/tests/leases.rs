//! A lease has at most one holder at a time, whatever messages are lost and VMs paused.

use arbitrary::Unstructured;
use sillbank_lease::{
    Acquisition, Candidate, Lease, LeaseRecord, LeaseState, LeaseWrite, Moment, WriteOutcome,
};
use sillbank_testing::for_fixed_seeds;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(8);

fn candidate(number: usize) -> Candidate {
    let peer = SocketAddr::from(([127, 0, 0, 1], number as u16));
    Candidate { vm: format!("vm{number}"), peer, term: TERM }
}

fn moment(start: Instant, ms: u64) -> Moment {
    Moment { monotonic: start + Duration::from_millis(ms), wall_ms: 1_000_000 + ms }
}

/// The platform's object and its version.
#[derive(Default)]
struct Platform {
    version: u64,
    object: Option<(u64, LeaseRecord)>,
}

impl Platform {
    fn write(&mut self, write: &LeaseWrite) -> WriteOutcome {
        if self.object.as_ref().map(|(version, _)| *version) != write.expected {
            return WriteOutcome::Changed;
        }
        self.version += 1;
        self.object = Some((self.version, write.record.clone()));
        WriteOutcome::Written(self.version)
    }
}

/// A VM acquires a free lease, renews it and releases it to an heir, which then inherits it.
#[test]
fn free_lease_is_acquired_renewed_and_released() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut lease = Lease::new(candidate(1));

    let write = lease.on_read(moment(start, 0), None, 7).expect("it is free");
    let outcome = platform.write(&write);
    lease.on_write_outcome(moment(start, 10), outcome);
    assert_eq!(lease.fence(moment(start, 20)), Some(1));
    assert_eq!(lease.acquisition(), Some(Acquisition::Fresh), "there was never a holder before");

    let renewal = lease.on_tick(moment(start, 3000), 8).expect("a renewal is due");
    let outcome = platform.write(&renewal);
    lease.on_write_outcome(moment(start, 3010), outcome);
    assert_eq!(lease.fence(moment(start, 9000)), Some(2), "counted from the renewal");

    let free = lease.release(moment(start, 9500), 9, Some("vm2".to_owned())).expect("it is held");
    assert_eq!(lease.fence(moment(start, 9500)), None, "it must not be used any more");
    platform.write(&free);
    let mut heir = Lease::new(candidate(2));
    let write = heir.on_read(moment(start, 9600), platform.object.clone(), 10);
    let outcome = platform.write(&write.expect("it is free"));
    heir.on_write_outcome(moment(start, 9610), outcome);
    assert_eq!(heir.acquisition(), Some(Acquisition::Inherited));
}

/// The wait for another VM's lease starts when its version is first read, and again after a
/// renewal.
#[test]
fn lease_of_other_vm_lapses_nine_eighths_of_term_after_first_read() {
    let start = Instant::now();
    let mut lease = Lease::new(candidate(2));
    assert_eq!(lease.lapses_at(), None, "nothing was read");
    let mut other: Lease = Lease::new(candidate(1));
    let write = other.on_read(moment(start, 0), None, 7).expect("it is free");

    lease.on_read(moment(start, 100), Some((1, write.record.clone())), 8);
    lease.on_read(moment(start, 500), Some((1, write.record.clone())), 9);

    let of_first_read = moment(start, 100).monotonic + TERM * 9 / 8;
    assert_eq!(lease.lapses_at(), Some(of_first_read));

    lease.on_read(moment(start, 900), Some((2, write.record)), 10);

    let of_renewal = moment(start, 900).monotonic + TERM * 9 / 8;
    assert_eq!(lease.lapses_at(), Some(of_renewal));
}

/// A lease that is handed over is usable by the named VM without a wait, and by no other VM.
#[test]
fn handed_over_lease_is_taken_at_once_by_named_vm_only() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let (mut first, mut second) =
        (Lease::new(candidate(1)), Lease::new(candidate(2)).reclaiming_own());
    let mut third = Lease::new(candidate(3)).reclaiming_own();
    let write = first.on_read(moment(start, 0), None, 7).expect("it is free");
    let outcome = platform.write(&write);
    first.on_write_outcome(moment(start, 5), outcome);

    let named = candidate(2);
    let write = first.hand_over(moment(start, 100), 8, named.vm, named.peer).expect("it is held");
    assert_eq!(first.fence(moment(start, 100)), None, "it must not be used any more");
    let outcome = platform.write(&write);
    first.on_write_outcome(moment(start, 105), outcome);

    let write = third.on_read(moment(start, 110), platform.object.clone(), 9);
    assert_eq!(write, None);
    let write = second.on_read(moment(start, 110), platform.object.clone(), 10);
    let outcome = platform.write(&write.expect("it is named as the holder"));
    second.on_write_outcome(moment(start, 115), outcome);
    assert_eq!(second.fence(moment(start, 120)), Some(3));
}

/// If the answer to the write takes longer than the term, the lease is not held.
#[test]
fn term_counts_from_when_write_was_sent() {
    let start = Instant::now();
    let mut lease = Lease::new(candidate(1));
    lease.on_read(moment(start, 0), None, 7).expect("it is free");

    // The answer takes longer than the term.
    lease.on_write_outcome(moment(start, 9000), WriteOutcome::Written(1));

    assert_eq!(lease.fence(moment(start, 9000)), None);
}

/// The lease ends if only the wall clock advanced by more than the term, as in a paused VM.
#[test]
fn pause_seen_only_by_wall_clock_ends_lease() {
    let start = Instant::now();
    let mut lease = Lease::new(candidate(1));
    lease.on_read(moment(start, 0), None, 7).expect("it is free");
    lease.on_write_outcome(moment(start, 10), WriteOutcome::Written(1));

    let woken = Moment { monotonic: start + Duration::from_millis(20), wall_ms: 1_600_000 };

    assert_eq!(lease.fence(woken), None);
}

/// A write whose answer was lost counts as held, from when it was sent, once it is read back.
#[test]
fn lost_answer_is_resolved_by_reading_the_object() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut lease = Lease::new(candidate(1));
    let write = lease.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);

    lease.on_write_outcome(moment(start, 100), WriteOutcome::Lost);
    assert_eq!(lease.fence(moment(start, 100)), None, "nothing is known yet");
    let next = lease.on_read(moment(start, 200), platform.object.clone(), 8);

    assert_eq!(next, None);
    assert_eq!(lease.fence(moment(start, 200)), Some(1));
    assert_eq!(lease.fence(moment(start, 7000)), None, "counted from when the write was sent");
}

/// A VM that acquires a free lease without being named its heir has none of the last holder's
/// state.
#[test]
fn free_lease_naming_other_heir_or_none_is_not_inherited() {
    let start = Instant::now();
    for heir in ["vm3", ""] {
        let record = LeaseRecord {
            owner: String::new(),
            heir: heir.to_owned(),
            peer: candidate(1).peer,
            mark: 5,
            term_ms: 8000,
        };
        let mut lease = Lease::new(candidate(2));

        lease.on_read(moment(start, 0), Some((4, record)), 6).expect("it is free");
        lease.on_write_outcome(moment(start, 10), WriteOutcome::Written(5));

        assert_eq!(lease.acquisition(), Some(Acquisition::TakenOver), "heir '{heir}'");
    }
}

/// A write that takes effect after it was given up as lost still counts from when it was sent.
#[test]
fn late_write_is_held_from_when_it_was_sent() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut lease = Lease::new(candidate(1));
    let write = lease.on_read(moment(start, 0), None, 7).expect("it is free");
    lease.on_write_outcome(moment(start, 100), WriteOutcome::Lost);
    assert_eq!(lease.on_read(moment(start, 200), None, 8), None, "not there yet");

    platform.write(&write);
    lease.on_read(moment(start, 300), platform.object.clone(), 9);

    assert_eq!(lease.state(), LeaseState::Held);
    assert_eq!(lease.fence(moment(start, 7_001)), None);
}

/// A restarted VM does not treat the lease of its previous incarnation as held, even with the same
/// mark.
#[test]
fn restarted_vm_does_not_mistake_old_lease_for_its_own() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut old = Lease::new(candidate(1));
    let write = old.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);

    let mut new = Lease::new(candidate(1));
    let taken = new.on_read(moment(start, 100), platform.object.clone(), 7);

    assert_eq!(taken, None);
    assert_eq!(new.state(), LeaseState::Idle);
}

/// With `reclaiming_own`, a restarted VM takes over the lease of its previous incarnation without a
/// wait.
#[test]
fn restarted_vm_at_same_address_reclaims_lease_at_once() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut old = Lease::new(candidate(1));
    let write = old.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);

    let mut new = Lease::new(candidate(1)).reclaiming_own();
    let write = new.on_read(moment(start, 100), platform.object.clone(), 8).expect("it is its own");
    let outcome = platform.write(&write);
    new.on_write_outcome(moment(start, 110), outcome);

    assert_eq!(new.fence(moment(start, 120)), Some(2));
    assert_eq!(new.acquisition(), Some(Acquisition::TakenOver));
}

/// After a takeover, `holder` names this VM and not the previous holder.
#[test]
fn holder_after_takeover_is_the_new_one() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut first = Lease::new(candidate(1));
    let write = first.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);
    let mut second = Lease::new(candidate(2));
    second.on_read(moment(start, 100), platform.object.clone(), 8);

    let write = second.on_read(moment(start, 9_200), platform.object.clone(), 9);
    let outcome = platform.write(&write.expect("the first has lapsed"));
    second.on_write_outcome(moment(start, 9_210), outcome);

    assert_eq!(second.holder().map(|record| record.owner.as_str()), Some("vm2"));
}

/// A process of the same name that listens at another address may be a different one, so it must
/// wait.
#[test]
fn lease_is_not_reclaimed_from_another_address() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut old = Lease::new(candidate(1));
    let write = old.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);

    let moved = Candidate { peer: candidate(2).peer, ..candidate(1) };
    let mut new = Lease::new(moved).reclaiming_own();

    assert_eq!(new.on_read(moment(start, 100), platform.object.clone(), 8), None);
}

/// A renewal that was refused, or that had no effect so far, leaves the lease held and is retried.
#[test]
fn failed_renewal_leaves_lease_held() {
    for outcome in [WriteOutcome::Refused, WriteOutcome::Lost] {
        let start = Instant::now();
        let mut platform = Platform::default();
        let mut lease = Lease::new(candidate(1));
        let write = lease.on_read(moment(start, 0), None, 7).expect("it is free");
        let written = platform.write(&write);
        lease.on_write_outcome(moment(start, 10), written);

        lease.on_tick(moment(start, 3000), 8).expect("a renewal is due");
        lease.on_write_outcome(moment(start, 3010), outcome);
        if lease.needs_read() {
            assert_eq!(lease.on_read(moment(start, 3020), platform.object.clone(), 9), None);
        }
        let renewal = lease.on_tick(moment(start, 3250), 9).expect("it is tried again");
        let written = platform.write(&renewal);
        lease.on_write_outcome(moment(start, 3260), written);

        assert_eq!(lease.fence(moment(start, 9000)), Some(2), "{outcome:?}");
    }
}

/// A lease can be taken over once nine eighths of its term are over; the last holder's state is
/// lost.
#[test]
fn lapsed_lease_is_taken_over_without_state() {
    let start = Instant::now();
    let mut platform = Platform::default();
    let mut dead = Lease::new(candidate(1));
    let write = dead.on_read(moment(start, 0), None, 7).expect("it is free");
    platform.write(&write);
    let mut lease = Lease::new(candidate(2));

    assert_eq!(lease.on_read(moment(start, 1000), platform.object.clone(), 8), None);
    assert_eq!(lease.on_read(moment(start, 9900), platform.object.clone(), 8), None);
    let write = lease.on_read(moment(start, 10_001), platform.object.clone(), 8);
    let outcome = platform.write(&write.expect("nine eighths of the term are over"));
    lease.on_write_outcome(moment(start, 10_010), outcome);

    assert!(lease.fence(moment(start, 10_010)).is_some());
    assert_eq!(lease.acquisition(), Some(Acquisition::TakenOver));
}

/// One VM in a race: its lease, its write in flight, and until when it is frozen.
struct Racer {
    lease: Lease,
    in_flight: Option<LeaseWrite>,
    /// Writes that were given up as lost and may still take effect.
    late: Vec<LeaseWrite>,
    frozen_until_ms: u64,
}

/// Whatever answers are lost and VMs frozen or restarted, two VMs never hold a lease at the same
/// time.
#[test]
fn lease_has_one_holder_at_a_time() {
    let takeovers = race(Lease::new);
    assert!(takeovers > 50, "only {takeovers} takeovers were seen");
}

/// The same for VMs that reclaim the lease of their previous incarnation.
#[test]
fn lease_has_one_holder_at_a_time_with_reclaiming() {
    let takeovers = race(|candidate| Lease::new(candidate).reclaiming_own());
    assert!(takeovers > 50, "only {takeovers} takeovers were seen");
}

/// Three VMs race for a lease, lose answers, freeze and restart; returns the number of takeovers.
fn race(make: impl Fn(Candidate) -> Lease) -> usize {
    let mut takeovers = 0;
    for_fixed_seeds(300, 4000, |u| {
        let start = Instant::now();
        let mut platform = Platform::default();
        let mut racers: Vec<Racer> = (1..=3)
            .map(|number| Racer {
                lease: make(candidate(number)),
                in_flight: None,
                late: Vec::new(),
                frozen_until_ms: 0,
            })
            .collect();
        let mut holders = std::collections::BTreeSet::new();
        let mut mark = 0;
        let mut ms = 0;
        while !u.is_empty() {
            ms += u.int_in_range(10..=900)?;
            let now = moment(start, ms);
            let number = u.choose_index(racers.len())?;
            if u.ratio(1, 60)? {
                let ended = &mut racers[number];
                ended.late.extend(ended.in_flight.take());
                ended.lease = make(candidate(number + 1));
            }
            act(u, &mut racers[number], &mut platform, now, ms, &mut mark)?;
            let held: Vec<usize> =
                (0..3).filter(|n| racers[*n].lease.fence(now).is_some()).collect();
            assert!(held.len() <= 1, "held by {held:?} at {ms} ms");
            holders.extend(held);
        }
        takeovers += holders.len().saturating_sub(1);
        Ok(())
    });
    takeovers
}

fn act(
    u: &mut Unstructured<'_>,
    racer: &mut Racer,
    platform: &mut Platform,
    now: Moment,
    ms: u64,
    mark: &mut u64,
) -> arbitrary::Result<()> {
    // A write given up as lost may take effect at any later moment.
    if !racer.late.is_empty() && u.ratio(1, 4)? {
        platform.write(&racer.late.remove(0));
    }
    if ms < racer.frozen_until_ms {
        return Ok(());
    }
    *mark += 1;
    if let Some(write) = racer.in_flight.take() {
        match u.int_in_range(0..=5)? {
            0 => {
                racer.late.push(write);
                racer.lease.on_write_outcome(now, WriteOutcome::Lost);
            }
            1 => {
                platform.write(&write);
                racer.lease.on_write_outcome(now, WriteOutcome::Lost);
            }
            2 => racer.in_flight = Some(write),
            _ => {
                let outcome = platform.write(&write);
                racer.lease.on_write_outcome(now, outcome);
            }
        }
        return Ok(());
    }
    match u.int_in_range(0..=9)? {
        0 => racer.frozen_until_ms = ms + u.int_in_range(1000..=30_000)?,
        1 if u.ratio(1, 3)? => racer.in_flight = racer.lease.release(now, *mark, None),
        _ if racer.lease.needs_read() => {
            racer.in_flight = racer.lease.on_read(now, platform.object.clone(), *mark);
        }
        _ => racer.in_flight = racer.lease.on_tick(now, *mark),
    }
    Ok(())
}

/// Guards against a record of another writer that keeps the lease from all VMs: one that can't be read, or whose term is longer
/// than any holder's.
#[test]
fn a_record_that_no_holder_wrote_lapses() {
    let start = Instant::now();
    let endless = LeaseRecord {
        owner: "gone".to_owned(),
        peer: SocketAddr::from(([127, 0, 0, 1], 9)),
        mark: 1,
        term_ms: u64::MAX,
        heir: String::new(),
    };
    for record in [LeaseRecord::unreadable(), endless] {
        let mut lease = Lease::new(candidate(1));

        let at_once = lease.on_read(moment(start, 0), Some((5, record.clone())), 7);
        let within_own_term = lease.on_read(moment(start, 8_900), Some((5, record.clone())), 8);
        let later = lease.on_read(moment(start, 36_000), Some((5, record)), 9);

        assert_eq!((at_once, within_own_term), (None, None), "its holder may rely on it");
        assert_eq!(later.expect("it has lapsed").expected, Some(5));
    }
}
