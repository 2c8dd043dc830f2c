//! A directory that is told in differences becomes what its source is.

use sillbank_fleet::prelude::*;
use sillbank_fleet::{MAX_REMOVALS, Replication};
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

/// Asks until nothing is left; answers the ids that went.
fn catch_up(
    replication: &mut Replication,
    copy: &mut Directory,
    source: &Directory,
    most: usize,
) -> Vec<String> {
    catch_up_at(Instant::now(), replication, copy, source, most)
}

/// As [`catch_up`], all at one moment.
fn catch_up_at(
    now: Instant,
    replication: &mut Replication,
    copy: &mut Directory,
    source: &Directory,
    most: usize,
) -> Vec<String> {
    let mut gone = Vec::new();
    loop {
        let difference = source.difference(now, replication.seen(), most);
        let goes_on = difference.goes_on;
        gone.extend(replication.on_difference(copy, now, difference, Recency::Newer));
        if !goes_on {
            return gone;
        }
    }
}

#[test]
fn a_newcomer_is_told_everything_in_pieces() {
    let source = source(&["a", "b", "c", "d", "e"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());

    let first = source.difference(Instant::now(), replication.seen(), 2);

    assert_eq!((first.changes.len(), first.goes_on, first.begins_anew), (2, true, true));

    catch_up(&mut replication, &mut copy, &source, 2);

    assert_eq!(records(&copy), records(&source));
    assert!(replication.is_complete());
}

#[test]
fn one_that_is_up_to_date_is_told_nothing() {
    let source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);

    let difference = source.difference(Instant::now(), replication.seen(), 10);

    assert!(difference.changes.is_empty() && !difference.goes_on && !difference.begins_anew);
}

#[test]
fn an_entry_that_is_written_again_as_it_was_is_no_change() {
    let mut source = source(&["a"]);
    let before = source.newest_change();

    source.on_change(Instant::now(), Change::Put(record("a", 1)));

    assert_eq!(source.newest_change(), before);
}

#[test]
fn a_removal_is_told_and_so_is_a_return() {
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

/// A source that still uses an entry which is not listed any more.
fn source_with_lapsed(id: &str, now: Instant) -> Directory {
    let mut source = source(&["a", "b"]);
    source.on_store_trouble(now, StoreTrouble::Away);
    assert_eq!(source.on_change(now, removed(id)), Some(Removal::Lapsed));
    source
}

/// A VM that reads the store itself knew that an endpoint had left, and took it up again when another VM told of an entry that
/// had lapsed there; nobody told it later that it was gone.
#[test]
fn a_lapsed_entry_that_is_told_does_not_bring_an_endpoint_back() {
    let now = Instant::now();
    let teller = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    own.on_change(now, removed("a"));

    catch_up(&mut replication, &mut own, &teller, 10);

    assert!(own.get("a").is_none());
    assert!(own.usable("b").is_some());
}

#[test]
fn an_entry_that_is_told_as_lapsed_goes_by_itself_where_nobody_tells_any_more() {
    let now = Instant::now();
    let teller = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    catch_up_at(now, &mut replication, &mut own, &teller, 10);

    own.on_time(now);
    own.on_time(now + LAPSE_GRACE - Duration::from_millis(1));
    let is_used = own.usable("a").is_some();
    let gone = own.on_time(now + LAPSE_GRACE);

    assert!(is_used);
    assert_eq!(gone, vec!["a".to_owned()]);
}

/// A VM that heard of a lapsed entry late in the grace began a whole new one, and kept the endpoint when the reporting VM was killed.
#[test]
fn a_lapsed_entry_that_is_reported_is_evicted_when_its_first_grace_ends() {
    let returned = Instant::now();
    let told = returned + LAPSE_GRACE - Duration::from_millis(500);
    let passed_on = told + Duration::from_millis(400);
    let mut teller = source(&["a", "b"]);
    teller.on_restored(returned);
    assert_eq!(teller.on_change(told, removed("a")), Some(Removal::Lapsed));
    let (mut second, mut third) = (source(&["a", "b"]), source(&["a", "b"]));

    catch_up_at(told, &mut Replication::default(), &mut second, &teller, 10);
    catch_up_at(passed_on, &mut Replication::default(), &mut third, &second, 10);

    for own in [&mut second, &mut third] {
        let early = own.on_time(returned + LAPSE_GRACE - Duration::from_millis(1));
        let late = own.on_time(returned + LAPSE_GRACE);
        assert!(early.is_empty());
        assert_eq!(late, vec!["a".to_owned()]);
    }
}

#[test]
fn an_entry_that_was_told_as_lapsed_and_is_listed_again_stays() {
    let now = Instant::now();
    let mut teller = source_with_lapsed("a", now);
    let (mut replication, mut own) = (Replication::default(), source(&["a", "b"]));
    catch_up_at(now, &mut replication, &mut own, &teller, 10);

    teller.on_change(now, Change::Put(record("a", 1)));
    catch_up(&mut replication, &mut own, &teller, 10);
    own.on_time(now);
    let gone = own.on_time(now + LAPSE_GRACE);

    assert!(gone.is_empty());
    assert!(own.usable("a").is_some());
}

#[test]
fn a_new_source_ends_what_it_does_not_list_also_during_an_outage() {
    let (mut replication, mut copy) = (Replication::default(), source(&["a", "b"]));
    copy.on_store_trouble(Instant::now(), StoreTrouble::Away);

    let gone = catch_up(&mut replication, &mut copy, &source(&["b"]), 1);

    assert_eq!(gone, vec!["a".to_owned()]);
    assert!(copy.usable("a").is_none());
    assert!(copy.usable("b").is_some());
}

#[test]
fn an_entry_that_goes_while_the_list_is_told_is_gone_at_its_end() {
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

#[test]
fn one_that_missed_more_removals_than_are_remembered_is_told_everything() {
    let now = Instant::now();
    let mut source = source(&["a", "b"]);
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    catch_up(&mut replication, &mut copy, &source, 10);
    source.on_change(now, removed("a"));
    for number in 0..=MAX_REMOVALS {
        source.on_change(now, Change::Put(record(&format!("e{number}"), 1)));
        source.on_change(now, removed(&format!("e{number}")));
    }

    let difference = source.difference(Instant::now(), replication.seen(), 10);
    assert!(difference.begins_anew);
    catch_up(&mut replication, &mut copy, &source, 10);

    assert_eq!(records(&copy), records(&source));
}

#[test]
fn one_that_claims_to_have_seen_what_there_was_not_is_told_everything() {
    let source = source(&["a", "b"]);

    for seen in [source.newest_change() + 1, u64::MAX] {
        let difference = source.difference(Instant::now(), seen, 10);

        assert!(difference.begins_anew);
        assert_eq!(difference.changes.len(), 2);
    }
}

#[test]
fn what_is_older_is_left_out_and_asked_for_again_later() {
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

#[test]
fn a_copy_becomes_its_source_whatever_came_between() {
    for_fixed_seeds(300, 256, |u| {
        let now = Instant::now();
        let mut source = Directory::default();
        let (mut replication, mut copy) = (Replication::default(), Directory::default());
        for _ in 0..u.int_in_range(1..=40)? {
            let id = format!("e{}", u.int_in_range(0..=6)?);
            let most = u.int_in_range(1..=4)?;
            match u.int_in_range(0..=7)? {
                0..=2 => {
                    source.on_change(now, Change::Put(record(&id, u.int_in_range(1..=3)?)));
                }
                3 | 4 => {
                    source.on_change(now, removed(&id));
                }
                5 => {
                    let piece = source.difference(Instant::now(), replication.seen(), most);
                    replication.on_difference(&mut copy, Instant::now(), piece, Recency::Newer);
                }
                6 => {
                    let piece = source.difference(Instant::now(), replication.seen(), most);
                    replication.on_difference(&mut copy, Instant::now(), piece, Recency::Older);
                }
                // The source is asked over a new connection.
                _ => replication = Replication::default(),
            }
        }
        catch_up(&mut replication, &mut copy, &source, 3);
        catch_up(&mut replication, &mut copy, &source, 3);

        assert_eq!(records(&copy), records(&source));
        Ok(())
    });
}
