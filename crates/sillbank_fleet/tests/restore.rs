//! A store that is restored from a copy must not bring back endpoints that leave or have left.

use arbitrary::Unstructured;
use sillbank_fleet::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const ENDPOINTS: [&str; 3] = ["a", "b", "c"];

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

fn ready(id: &str) -> EndpointRecord {
    record(id, Standing::Ready)
}

fn leaving(id: &str) -> EndpointRecord {
    record(id, Standing::Leaving)
}

fn removed(id: &str) -> Change {
    Change::Removed { id: id.to_owned(), born_ms: None }
}

/// A directory of ready endpoints.
fn directory(ids: &[&str]) -> (Directory, Instant) {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.on_listing(now, ids.iter().map(|id| ready(id)).collect::<Vec<_>>());
    (directory, now)
}

/// An endpoint known to be leaving gets no work when the restored store lists it as ready.
#[test]
fn leaving_endpoint_listed_as_ready_by_copy_stays_leaving() {
    let (mut directory, now) = directory(&["a", "b"]);
    directory.on_change(now, Change::Put(leaving("a")));

    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a"), ready("b")]);

    assert!(directory.usable("a").is_none());
    assert!(directory.usable("b").is_some());
    assert_eq!(directory.take_held_back(), vec!["a".to_owned()]);
}

/// An endpoint known to be gone is not added again by the restored store.
#[test]
fn removed_endpoint_listed_by_copy_stays_removed() {
    let (mut directory, now) = directory(&["a", "b"]);
    directory.on_change(now, removed("a"));

    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a"), ready("b")]);

    assert!(directory.get("a").is_none());
}

/// Entries replicated from a leader are held back like those of the store.
#[test]
fn replication_from_leader_that_knows_less_does_not_bring_endpoint_back() {
    let (mut own, now) = directory(&["a"]);
    own.on_change(now, Change::Put(leaving("a")));
    let (leader, _) = directory(&["a"]);
    let mut replication = Replication::default();

    own.on_restored(now);
    replication.on_difference(
        &mut own,
        Instant::now(),
        leader.difference(Instant::now(), 0, 10),
        Recency::Newer,
    );

    assert!(own.usable("a").is_none());
}

/// When the hold ends, a full read is required, and what it lists is accepted.
#[test]
fn entry_still_listed_after_hold_is_accepted() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, removed("a"));
    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a")]);

    directory.on_tick(now + RESTORE_HOLD - Duration::from_millis(1));
    directory.on_listing(now, vec![ready("a")]);
    let early = (directory.usable("a").is_some(), directory.rereads());
    directory.on_tick(now + RESTORE_HOLD);
    let rereads = directory.rereads();
    directory.on_listing(now + RESTORE_HOLD, vec![ready("a")]);

    assert_eq!(early, (false, 0));
    assert_eq!(rereads, 1);
    assert!(directory.usable("a").is_some());
}

/// An entry that was held back and then removed does not reappear when the hold ends.
#[test]
fn entry_removed_during_hold_stays_removed() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, Change::Put(leaving("a")));
    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a")]);

    directory.on_change(now, removed("a"));
    directory.on_tick(now + RESTORE_HOLD);

    assert!(directory.get("a").is_none());
}

/// The end of the hold requires a full read only if entries were held back.
#[test]
fn no_reread_without_held_back_entries() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a")]);

    directory.on_tick(now + RESTORE_HOLD);

    assert_eq!(directory.rereads(), 0);
}

/// An endpoint that writes its leaving entry again during the hold stays leaving.
#[test]
fn endpoint_that_announces_leaving_again_stays_leaving_after_hold() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, Change::Put(leaving("a")));
    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a")]);

    directory.on_change(now, Change::Put(leaving("a")));
    directory.on_tick(now + RESTORE_HOLD);

    assert!(directory.usable("a").is_none());
    assert!(directory.get("a").is_some());
}

/// An entry of a newer incarnation is not held back.
#[test]
fn newer_incarnation_is_accepted_during_hold() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, Change::Put(EndpointRecord { born_ms: Some(5), ..leaving("a") }));
    directory.on_restored(now);

    directory.on_change(now, Change::Put(EndpointRecord { born_ms: Some(6), ..ready("a") }));

    assert!(directory.usable("a").is_some());
}

/// An endpoint that the copy does not list may write its entry again within the grace period.
#[test]
fn endpoint_missing_in_copy_stays_usable_until_grace_ends() {
    let (mut directory, now) = directory(&["a", "b"]);

    directory.on_restored(now);
    let removals = directory.on_listing(now, vec![ready("a")]);
    directory.on_tick(now + LAPSE_GRACE - Duration::from_millis(1));
    let is_usable = directory.usable("b").is_some();
    let gone = directory.on_tick(now + LAPSE_GRACE);

    assert_eq!(removals, vec![("b".to_owned(), Removal::Lapsed)]);
    assert!(is_usable);
    assert_eq!(gone, vec!["b".to_owned()]);
}

/// An endpoint that started leaving between two restores stays leaving after the second one.
#[test]
fn second_restore_holds_back_changes_since_the_first() {
    let (mut directory, now) = directory(&["a", "b"]);
    directory.on_restored(now);
    directory.on_listing(now, vec![ready("a"), ready("b")]);
    directory.on_change(now + LAPSE_GRACE, Change::Put(leaving("a")));
    let later = now + LAPSE_GRACE;

    directory.on_restored(later);
    directory.on_listing(later, vec![ready("a"), ready("b")]);
    directory.on_tick(now + RESTORE_HOLD);

    assert!(directory.usable("a").is_none());
}

/// Whatever restored copies and other VMs list, an endpoint known to leave gets no work before the
/// hold ends.
#[test]
fn no_sequence_of_restores_brings_endpoint_back_within_hold() {
    for_fixed_seeds(2_000, 256, |u| {
        let (mut directory, began) = directory(&ENDPOINTS);
        let mut left: BTreeSet<&str> = BTreeSet::new();
        let mut now = began;
        directory.on_restored(now);
        let mut restored = now;
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=900)?);
            if now >= restored + RESTORE_HOLD || u.ratio(1, 6)? {
                directory.on_restored(now);
                restored = now;
            }
            let id = *u.choose(&ENDPOINTS)?;
            act(u, &mut directory, &mut left, now, id)?;
            directory.on_tick(now);
            for id in &left {
                assert!(
                    directory.usable(id).is_none(),
                    "{id} has announced that it leaves, but is usable"
                );
            }
        }
        Ok(())
    });
}

fn act<'a>(
    u: &mut Unstructured<'_>,
    directory: &mut Directory,
    left: &mut BTreeSet<&'a str>,
    now: Instant,
    id: &'a str,
) -> arbitrary::Result<()> {
    match u.int_in_range(0..=3)? {
        0 => {
            directory.on_change(now, Change::Put(leaving(id)));
            left.insert(id);
        }
        1 if left.contains(id) => {
            directory.on_change(now, removed(id));
            // Without another restore, an entry that is listed after this removal counts as a new one.
            directory.on_restored(now);
        }
        2 => {
            let listed: Vec<_> = ENDPOINTS.iter().map(|id| ready(id)).collect();
            directory.on_listing(now, listed);
        }
        _ => drop(directory.on_replicated_change(Instant::now(), Change::Put(ready(id)))),
    }
    Ok(())
}
