//! What the directory believes of endpoints whose entries come and go.

use sillbank_fleet::prelude::*;
use std::time::{Duration, Instant};

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned(), born_ms: None }
}

fn record(id: &str, standing: Standing) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "quotes".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".to_owned(),
        standing,
        slots: 4,
        accelerator: None,
        layers: None,
    }
}

fn directory(ids: &[&str]) -> (Directory, Instant) {
    let now = Instant::now();
    let mut directory = Directory::default();
    let records: Vec<_> = ids.iter().map(|id| record(id, Standing::Ready)).collect();
    directory.on_listing(now, records);
    (directory, now)
}

#[test]
fn a_removal_in_steady_times_ends_the_endpoint_at_once() {
    let (mut directory, now) = directory(&["a", "b"]);

    let removal = directory.on_change(now, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.usable("a").is_none());
    assert!(directory.usable("b").is_some());
}

#[test]
fn an_entry_that_lapsed_during_an_outage_stays_until_the_grace_is_over() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_store_back(now);

    let removals = directory.on_listing(now, vec![]);
    let early = directory.on_time(now + LAPSE_GRACE - Duration::from_millis(1));

    assert_eq!(removals, vec![("a".to_owned(), Removal::Lapsed)]);
    assert_eq!(early, Vec::<String>::new());
    assert!(directory.usable("a").is_some());

    let late = directory.on_time(now + LAPSE_GRACE);

    assert_eq!(late, vec!["a".to_owned()]);
    assert!(directory.usable("a").is_none());
}

/// Lapsed entries were evicted by the next periodic sweep, up to half a second after their grace.
#[test]
fn the_end_of_the_grace_is_known_once_the_store_is_back() {
    let (mut directory, now) = directory(&["a", "b"]);
    let without_lapse = directory.next_lapse_end();
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_change(now, removed("a"));
    let while_away = directory.next_lapse_end();

    directory.on_store_back(now);
    let while_back = directory.next_lapse_end();
    directory.on_time(now + LAPSE_GRACE);

    assert_eq!((without_lapse, while_away), (None, None));
    assert_eq!(while_back, Some(now + LAPSE_GRACE));
    assert_eq!(directory.next_lapse_end(), None);
}

#[test]
fn an_entry_that_comes_back_within_the_grace_stays() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_store_back(now);
    directory.on_listing(now, vec![]);

    directory.on_change(now, Change::Put(record("a", Standing::Ready)));
    let over = directory.on_time(now + LAPSE_GRACE * 2);

    assert_eq!(over, Vec::<String>::new());
    assert!(directory.usable("a").is_some());
}

#[test]
fn an_endpoint_that_was_leaving_does_not_lapse() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, Change::Put(record("a", Standing::Leaving)));
    directory.on_store_trouble(now, StoreTrouble::Away);

    let removal = directory.on_change(now, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.get("a").is_none());
}

#[test]
fn an_endpoint_that_leaves_takes_no_new_work() {
    let (mut directory, now) = directory(&["a"]);

    directory.on_change(now, Change::Put(record("a", Standing::Leaving)));

    assert!(directory.usable("a").is_none());
    assert!(directory.get("a").is_some());
}

#[test]
fn a_removal_after_the_grace_ends_the_endpoint_at_once() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_store_back(now);
    directory.on_time(now + LAPSE_GRACE);

    let removal = directory.on_change(now + LAPSE_GRACE, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

#[test]
fn a_vm_that_the_store_turns_away_takes_a_missing_entry_for_gone() {
    let (mut directory, now) = directory(&["a", "b"]);
    directory.on_store_trouble(now, StoreTrouble::TurnsAway);
    directory.on_store_back(now);

    let removals = directory.on_listing(now, vec![record("b", Standing::Ready)]);

    assert_eq!(removals, vec![("a".to_owned(), Removal::Gone)]);
    assert!(directory.usable("a").is_none());
}

#[test]
fn being_turned_away_does_not_end_an_outage() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_store_trouble(now, StoreTrouble::TurnsAway);
    directory.on_store_back(now);

    let removals = directory.on_listing(now, vec![]);

    assert_eq!(removals, vec![("a".to_owned(), Removal::Lapsed)]);
}

/// Its leader tells it all the while, so it makes no call of its own that would show the store's return.
#[test]
fn an_outage_that_a_leader_saw_the_end_of_excuses_no_later_removal() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now, StoreTrouble::Away);
    directory.on_store_seen(now + Duration::from_secs(1));
    let later = now + Duration::from_secs(17);
    directory.on_time(later);
    directory.on_store_back(later);

    let removal = directory.on_change(later, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

#[test]
fn an_answer_to_a_call_before_the_outage_does_not_end_it() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_trouble(now + Duration::from_secs(1), StoreTrouble::Away);
    directory.on_store_seen(now);
    let later = now + Duration::from_secs(17);

    let removal = directory.on_change(later, removed("a"));

    assert_eq!(removal, Some(Removal::Lapsed));
}

/// A watch that went silent failed seconds after the store was back, and removals counted as lapsed for as long again.
#[test]
fn a_call_that_was_sent_before_an_answered_one_is_no_new_outage_when_it_fails() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_store_seen(now + Duration::from_secs(1));

    directory.on_call_failed(now, failed, StoreTrouble::Away);
    let removal = directory.on_change(failed, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

/// Only answers that confirm a configuration counted, so a call that hung since before the store's return began a grace anew.
#[test]
fn a_hung_call_is_no_outage_once_a_later_call_was_answered() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_call_answered(now + Duration::from_secs(1));

    let is_trouble = directory.on_call_failed(now, failed, StoreTrouble::Away);
    let is_newer_trouble = directory.on_call_failed(failed, failed, StoreTrouble::Away);

    assert!(!is_trouble);
    assert!(is_newer_trouble);
}

#[test]
fn a_call_that_fails_after_the_last_answered_one_was_sent_is_an_outage_from_when_it_fails() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_store_seen(now);

    directory.on_call_failed(now + Duration::from_secs(1), failed, StoreTrouble::Away);
    directory.on_store_seen(now + Duration::from_secs(2));
    let removal = directory.on_change(failed + LAPSE_GRACE, removed("a"));

    assert_eq!(removal, Some(Removal::Lapsed));
}

fn unreadable(id: &str) -> UnreadableEntry {
    UnreadableEntry { id: id.to_owned(), version: Some(7), reason: "no address".to_owned() }
}

#[test]
fn an_endpoint_whose_entry_cannot_be_read_takes_no_new_work_until_it_can_be() {
    let (mut directory, now) = directory(&["a", "b"]);

    directory.on_change(now, Change::Unreadable(unreadable("a")));

    assert!(directory.usable("a").is_none() && directory.usable("b").is_some());
    assert!(directory.get("a").is_some(), "it ends what it has");

    directory.on_change(now, Change::Put(record("a", Standing::Ready)));

    assert!(directory.usable("a").is_some());
}

#[test]
fn an_entry_that_cannot_be_read_is_listed_and_names_nobody_new() {
    let (mut directory, now) = directory(&["a", "b"]);
    let listing = Listing {
        records: vec![record("b", Standing::Ready)],
        unreadable: vec![unreadable("a"), unreadable("c"), unreadable("")],
    };

    let removals = directory.on_listing(now, listing);

    assert!(removals.is_empty());
    let standings: Vec<_> = directory.iter().map(|r| (r.id.as_str(), r.standing)).collect();
    assert_eq!(standings, [("a", Standing::Leaving), ("b", Standing::Ready)]);
}
