//! Replication: a directory that applies the differences of a source converges to it.

use sillbank_fleet::prelude::*;
use sillbank_fleet::{MAX_TOMBSTONES, Replication};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned(), born_ms: None }
}

fn record(id: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "quotes".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".to_owned(),
        standing: Standing::Ready,
        slots,
        accelerator: None,
        layers: None,
    }
}

fn source(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    let records: Vec<_> = ids.iter().map(|id| record(id, 1)).collect();
    directory.on_listing(Instant::now(), records);
    directory
}

fn records(directory: &Directory) -> Vec<EndpointRecord> {
    directory.iter().cloned().collect()
}

/// Requests differences until there are no more; returns the removed ids.
fn catch_up(
    replication: &mut Replication,
    copy: &mut Directory,
    source: &Directory,
    limit: usize,
) -> Vec<String> {
    catch_up_at(Instant::now(), replication, copy, source, limit)
}

/// Like [`catch_up`], with a fixed time.
fn catch_up_at(
    now: Instant,
    replication: &mut Replication,
    copy: &mut Directory,
    source: &Directory,
    limit: usize,
) -> Vec<String> {
    let mut gone = Vec::new();
    loop {
        let difference = source.difference(now, replication.seen(), limit);
        let has_more = difference.has_more;
        gone.extend(replication.on_difference(copy, now, difference, Recency::Newer));
        if !has_more {
            return gone;
        }
    }
}

/// A directory that has seen nothing receives all entries, a limited number per difference.
#[test]
fn new_replica_receives_snapshot_in_pages() {
    let source = source(&["a", "b", "c", "d", "e"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());

    let first = source.difference(Instant::now(), replication.seen(), 2);

    assert_eq!((first.changes.len(), first.has_more, first.starts_snapshot), (2, true, true));

    catch_up(&mut replication, &mut copy, &source, 2);

    assert_eq!(records(&copy), records(&source));
    assert!(replication.is_complete());
}

/// A directory that has seen the newest change receives no changes and no snapshot.
#[test]
fn up_to_date_replica_receives_empty_difference() {
    let source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);

    let difference = source.difference(Instant::now(), replication.seen(), 10);

    assert!(difference.changes.is_empty() && !difference.has_more && !difference.starts_snapshot);
}

/// An entry that is written again with the same content gets no new change number.
#[test]
fn rewriting_identical_entry_is_not_a_change() {
    let mut source = source(&["a"]);
    let before = source.newest_change();

    source.on_change(Instant::now(), Change::Put(record("a", 1)));

    assert_eq!(source.newest_change(), before);
}

/// A removed entry is removed from the replica, and is back once the source lists it again.
#[test]
fn removal_and_return_are_replicated() {
    let now = Instant::now();
    let mut source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);
    source.on_change(now, removed("a"));

    let gone = catch_up(&mut replication, &mut copy, &source, 10);

    assert_eq!(gone, vec!["a".to_owned()]);
    assert!(copy.get("a").is_none());

    source.on_change(now, Change::Put(record("a", 2)));
    catch_up(&mut replication, &mut copy, &source, 10);

    assert_eq!(records(&copy), records(&source));
}

/// A source that keeps an entry which is no longer listed, as it may have lapsed.
fn source_with_lapsed(id: &str, now: Instant) -> Directory {
    let mut source = source(&["a", "b"]);
    source.on_store_failure(now, StoreFailure::Unreachable);
    assert_eq!(source.on_change(now, removed(id)), Some(Removal::Lapsed));
    source
}

/// Guards against re-adding an endpoint that is known to be gone because another VM reports its
/// entry as lapsed; that VM may never report its removal later.
#[test]
fn reported_lapse_does_not_bring_an_endpoint_back() {
    let now = Instant::now();
    let reporter = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    own.on_change(now, removed("a"));

    catch_up(&mut replication, &mut own, &reporter, 10);

    assert!(own.get("a").is_none());
    assert!(own.usable("b").is_some());
}

/// An entry that was reported as lapsed is evicted when its grace period ends, even if the
/// reporting VM falls silent.
#[test]
fn reported_lapse_is_evicted_without_further_reports() {
    let now = Instant::now();
    let reporter = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    catch_up_at(now, &mut replication, &mut own, &reporter, 10);

    own.on_tick(now);
    own.on_tick(now + LAPSE_GRACE - Duration::from_millis(1));
    let is_used = own.usable("a").is_some();
    let gone = own.on_tick(now + LAPSE_GRACE);

    assert!(is_used);
    assert_eq!(gone, vec!["a".to_owned()]);
}

/// Guards against a VM that hears of a lapsed entry late starting a new grace period, and keeping
/// the endpoint when the reporting VM is killed.
#[test]
fn reported_lapse_does_not_restart_grace() {
    let recovered_at = Instant::now();
    let reported_at = recovered_at + LAPSE_GRACE - Duration::from_millis(500);
    let relayed_at = reported_at + Duration::from_millis(400);
    let mut reporter = source(&["a", "b"]);
    reporter.on_restored(recovered_at);
    assert_eq!(reporter.on_change(reported_at, removed("a")), Some(Removal::Lapsed));
    let (mut second, mut third) = (source(&["a", "b"]), source(&["a", "b"]));

    catch_up_at(reported_at, &mut Replication::default(), &mut second, &reporter, 10);
    catch_up_at(relayed_at, &mut Replication::default(), &mut third, &second, 10);

    for own in [&mut second, &mut third] {
        let early = own.on_tick(recovered_at + LAPSE_GRACE - Duration::from_millis(1));
        let late = own.on_tick(recovered_at + LAPSE_GRACE);
        assert!(early.is_empty());
        assert_eq!(late, vec!["a".to_owned()]);
    }
}

/// An entry that was reported as lapsed is kept once the source lists it again.
#[test]
fn reported_lapse_listed_again_is_kept() {
    let now = Instant::now();
    let mut reporter = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    catch_up_at(now, &mut replication, &mut own, &reporter, 10);

    reporter.on_change(now, Change::Put(record("a", 1)));
    catch_up(&mut replication, &mut own, &reporter, 10);
    own.on_tick(now);
    let gone = own.on_tick(now + LAPSE_GRACE);

    assert!(gone.is_empty());
    assert!(own.usable("a").is_some());
}

/// The source has decided what lapsed and what is gone, so entries missing in its snapshot are
/// removed even if this VM cannot reach the store.
#[test]
fn snapshot_of_new_source_removes_unlisted_entries_during_outage() {
    let (mut replication, mut copy) = (Replication::default(), source(&["a", "b"]));
    copy.on_store_failure(Instant::now(), StoreFailure::Unreachable);

    let gone = catch_up(&mut replication, &mut copy, &source(&["b"]), 1);

    assert_eq!(gone, vec!["a".to_owned()]);
    assert!(copy.usable("a").is_none());
    assert!(copy.usable("b").is_some());
}

/// An entry that is removed at the source between two pages of a snapshot does not stay in the
/// replica.
#[test]
fn entry_removed_between_pages_is_gone_after_snapshot() {
    let mut source = source(&["a", "b", "c"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    replication.on_difference(
        &mut copy,
        Instant::now(),
        source.difference(Instant::now(), 0, 1),
        Recency::Newer,
    );

    source.on_change(Instant::now(), removed("a"));
    catch_up(&mut replication, &mut copy, &source, 1);

    assert_eq!(records(&copy), records(&source));
}

/// A replica that has missed more removals than there are tombstones starts over with a snapshot.
#[test]
fn replica_that_missed_dropped_tombstones_receives_snapshot() {
    let now = Instant::now();
    let mut source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);
    source.on_change(now, removed("a"));
    for number in 0..=MAX_TOMBSTONES {
        source.on_change(now, Change::Put(record(&format!("e{number}"), 1)));
        source.on_change(now, removed(&format!("e{number}")));
    }

    let difference = source.difference(Instant::now(), replication.seen(), 10);
    assert!(difference.starts_snapshot);
    catch_up(&mut replication, &mut copy, &source, 10);

    assert_eq!(records(&copy), records(&source));
}

/// A change number that the source has not reached starts a snapshot.
#[test]
fn replica_ahead_of_source_receives_snapshot() {
    let source = source(&["a", "b"]);

    for seen in [source.newest_change() + 1, u64::MAX] {
        let difference = source.difference(Instant::now(), seen, 10);

        assert!(difference.starts_snapshot);
        assert_eq!(difference.changes.len(), 2);
    }
}

/// A difference of a source that is behind is not applied; a snapshot fills the gap later.
#[test]
fn older_difference_is_skipped_and_requested_again() {
    let now = Instant::now();
    let mut source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);
    source.on_change(now, removed("a"));

    let difference = source.difference(Instant::now(), replication.seen(), 10);
    let gone = replication.on_difference(&mut copy, Instant::now(), difference, Recency::Older);

    assert!(gone.is_empty() && copy.get("a").is_some());
    assert!(!replication.is_complete());

    catch_up(&mut replication, &mut copy, &source, 10);
    catch_up(&mut replication, &mut copy, &source, 10);

    assert_eq!(records(&copy), records(&source));
    assert!(replication.is_complete());
}

/// After any sequence of changes, skipped differences and reconnects, the replica equals its
/// source.
#[test]
fn replica_converges_to_source() {
    for_fixed_seeds(300, 256, |u| {
        let now = Instant::now();
        let mut source = Directory::default();
        let (mut replication, mut copy) = (Replication::default(), Directory::default());
        for _ in 0..u.int_in_range(1..=40)? {
            let id = format!("e{}", u.int_in_range(0..=6)?);
            let limit = u.int_in_range(1..=4)?;
            match u.int_in_range(0..=7)? {
                0..=2 => {
                    source.on_change(now, Change::Put(record(&id, u.int_in_range(1..=3)?)));
                }
                3 | 4 => {
                    source.on_change(now, removed(&id));
                }
                5 => {
                    let page = source.difference(Instant::now(), replication.seen(), limit);
                    replication.on_difference(&mut copy, Instant::now(), page, Recency::Newer);
                }
                6 => {
                    let page = source.difference(Instant::now(), replication.seen(), limit);
                    replication.on_difference(&mut copy, Instant::now(), page, Recency::Older);
                }
                // A new connection to the source starts over.
                _ => replication = Replication::default(),
            }
        }
        catch_up(&mut replication, &mut copy, &source, 3);
        catch_up(&mut replication, &mut copy, &source, 3);

        assert_eq!(records(&copy), records(&source));
        Ok(())
    });
}
