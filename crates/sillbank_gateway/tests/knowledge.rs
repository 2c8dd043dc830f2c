//! What a VM believes, and for how long it may act on it.

use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_gateway::knowledge::Knowledge;
use sillbank_gateway::revision::Revision;
use sillbank_gateway::store::Snapshot;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const REVOCATION: Duration = Duration::from_secs(5);

fn revision(number: u64) -> Revision {
    Revision::new(1, number)
}

fn offer(knowledge: &Knowledge, version: u64) -> bool {
    let parts = CatalogParts { version, ..CatalogParts::default() };
    let catalog = Catalog::new(parts.clone()).expect("it is valid");
    knowledge.offer_catalog(catalog, parts)
}

fn record(id: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "quotes".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".to_owned(),
        standing: Standing::Ready,
        slots: 1,
        accelerator: None,
        layers: None,
    }
}

#[test]
fn a_configuration_is_fresh_for_less_than_a_revocation_may_take() {
    let (knowledge, now) = (Knowledge::new(REVOCATION), Instant::now());
    offer(&knowledge, 1);

    knowledge.confirm_catalog(now, revision(1));

    assert!(knowledge.is_fresh(now + Duration::from_millis(4_700)));
    assert!(!knowledge.is_fresh(now + Duration::from_millis(4_800)));
}

/// The steady clock does not count a suspension: a VM that slept for longer than a revocation may take relied on its keys
/// for as long again.
#[test]
fn what_was_confirmed_before_a_suspension_is_older_by_it() {
    // Arrange
    let (knowledge, now) = (Knowledge::new(REVOCATION), Instant::now());
    offer(&knowledge, 1);
    knowledge.confirm_catalog(now, revision(1));

    // Act
    knowledge.on_suspended(Duration::from_secs(3), now);
    let for_the_rest = now + Duration::from_millis(1_700);
    let is_fresh = (knowledge.is_fresh(for_the_rest), knowledge.stamp(now).catalog_age_ms);
    knowledge.on_suspended(Duration::from_secs(3), now);

    // Assert
    assert_eq!(is_fresh, (true, Some(3_000)));
    assert!(!knowledge.is_fresh(now));
}

#[test]
fn what_was_asked_before_a_suspension_confirms_nothing() {
    // Arrange
    let (knowledge, asked) = (Knowledge::new(REVOCATION), Instant::now());
    let woken = asked + Duration::from_millis(100);

    // Act
    knowledge.on_suspended(Duration::from_secs(9), woken);

    // Assert
    assert!(knowledge.was_suspended_since(asked));
    assert!(!knowledge.was_suspended_since(woken + Duration::from_millis(1)));
}

#[test]
fn a_confirmation_without_a_configuration_means_nothing() {
    let (knowledge, now) = (Knowledge::new(REVOCATION), Instant::now());

    knowledge.confirm_catalog(now, revision(1));

    assert!(!knowledge.is_fresh(now));
}

#[test]
fn versions_only_rise_whatever_order_they_come_in() {
    for_fixed_seeds(200, 128, |u| {
        let knowledge = Knowledge::new(REVOCATION);
        let mut newest = 0;
        for _ in 0..u.int_in_range(1..=20)? {
            let version = u.int_in_range(1..=30)?;
            let taken = offer(&knowledge, version);
            assert_eq!(taken, version > newest);
            newest = newest.max(version);
            assert_eq!(knowledge.catalog().map(|catalog| catalog.version()), Some(newest));
        }
        Ok(())
    });
}

/// What a leader that knows only these endpoints tells a VM that has seen nothing of it.
fn told_by_leader(ids: &[&str], most: usize) -> Difference {
    let mut leader = Directory::default();
    let records: Vec<_> = ids.iter().map(|id| record(id)).collect();
    leader.on_listing(Instant::now(), records);
    leader.difference(Instant::now(), 0, most)
}

fn knowledge_of_two() -> Knowledge {
    let knowledge = Knowledge::new(REVOCATION);
    let list = Snapshot { at: revision(9), value: vec![record("a"), record("b")] };
    knowledge.take_endpoints(Instant::now(), list);
    knowledge
}

#[test]
fn an_older_list_from_a_leader_is_left() {
    let (knowledge, mut replication) = (knowledge_of_two(), Replication::default());

    let gone = knowledge.take_told(&mut replication, revision(8), told_by_leader(&["b"], 10), true);

    assert!(gone.is_empty());
    assert_eq!(knowledge.endpoints(Directory::len), 2);
    assert_eq!(knowledge.endpoints_at(), revision(9));
}

#[test]
fn a_newer_list_from_a_leader_replaces_all() {
    let (knowledge, mut replication) = (knowledge_of_two(), Replication::default());

    let gone =
        knowledge.take_told(&mut replication, revision(10), told_by_leader(&["b"], 10), true);

    assert_eq!(gone, vec!["a".to_owned()]);
    assert_eq!(knowledge.endpoints_at(), revision(10));
}

#[test]
fn a_list_of_which_a_piece_was_told_is_not_known_yet() {
    let (knowledge, mut replication) = (Knowledge::new(REVOCATION), Replication::default());

    knowledge.take_told(&mut replication, revision(10), told_by_leader(&["a", "b"], 1), true);

    assert!(!knowledge.knows_endpoints());
}

#[test]
fn a_list_that_is_not_wanted_is_asked_for_anew_when_it_is() {
    let (knowledge, mut replication) = (knowledge_of_two(), Replication::default());
    knowledge.take_told(&mut replication, revision(10), told_by_leader(&["b"], 10), false);
    assert_eq!(knowledge.endpoints(Directory::len), 2);

    let nothing_new =
        Difference { starts_snapshot: false, changes: vec![], has_more: false, seen: 1 };
    knowledge.take_told(&mut replication, revision(10), nothing_new, true);

    assert_eq!(replication.seen(), 0);
}
