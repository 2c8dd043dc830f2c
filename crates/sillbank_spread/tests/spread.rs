//! Versions never fall, and what was accepted last wins everywhere, in any order of messages.

use sillbank_protocol::gossip::Summary;
use sillbank_protocol::platform::Object;
use sillbank_spread::{FollowAction, Follower, ObjectStore};
use sillbank_testing::for_fixed_seeds;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn object(key: u32, version: u64, deleted: bool) -> Object {
    Object { key: format!("k{key}"), version, deleted, value: version.to_string() }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Everything the platform ever accepted: one key for each version.
fn history(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<Object>> {
    let count = u.int_in_range(1..=40)?;
    (1..=count).map(|v| Ok(object(u.int_in_range(0..=5)?, v, u.ratio(1, 5)?))).collect()
}

#[test]
fn a_version_never_falls_whatever_the_order() {
    for_fixed_seeds(200, 2000, |u| {
        let history = history(u)?;
        let mut store = ObjectStore::default();
        let mut held = std::collections::HashMap::new();
        for _ in 0..u.int_in_range(0..=120)? {
            let object = u.choose(&history)?.clone();

            let taken = store.take(object.clone());

            let before: u64 = held.get(&object.key).copied().unwrap_or(0);
            assert_eq!(taken, object.version > before);
            held.insert(object.key.clone(), before.max(object.version));
        }
        assert_eq!(store.newest(), held.values().copied().max().unwrap_or(0));
        Ok(())
    });
}

#[test]
fn stores_that_pull_from_each_other_in_any_order_end_with_what_was_accepted_last() {
    for_fixed_seeds(200, 3000, |u| {
        let history = history(u)?;
        let mut platform = ObjectStore::default();
        let mut stores: Vec<ObjectStore> = (0..4).map(|_| ObjectStore::default()).collect();
        let mut accepted = history.iter();
        let mut more = true;
        while more || stores.iter().any(|s| s.complete() != platform.complete()) {
            if u.ratio(1, 3)? || u.is_empty() {
                match accepted.next() {
                    Some(object) => {
                        platform.take(object.clone());
                        platform.set_complete(object.version);
                    }
                    None => more = false,
                }
            }
            // The first store watches the platform, the others pull from any other.
            let to = if u.is_empty() { 0 } else { u.choose_index(4)? };
            let from = u.choose_index(4).unwrap_or(0);
            if to == 0 {
                copy(&platform, &mut stores[0]);
            } else if from != to {
                let source = std::mem::take(&mut stores[from]);
                copy(&source, &mut stores[to]);
                stores[from] = source;
            }
            if u.is_empty() {
                for to in 1..4 {
                    let source = std::mem::take(&mut stores[0]);
                    copy(&source, &mut stores[to]);
                    stores[0] = source;
                }
            }
        }

        for store in &stores {
            assert_eq!(store.digest(), platform.digest());
            assert_eq!(store.list(""), platform.list(""));
        }
        Ok(())
    });
}

fn copy(from: &ObjectStore, to: &mut ObjectStore) {
    for object in from.newer_than(to.complete().unwrap_or(0)) {
        to.take(object);
    }
    to.set_complete(from.complete().unwrap_or(0));
}

#[test]
fn a_peer_that_holds_more_is_asked_once_at_a_time() {
    let now = Instant::now();
    let mut follower = Follower::default();
    let theirs = Summary { complete: 9, ..Summary::default() };

    let first = follower.on_peer(now, peer(), &theirs, 4, 0);
    let second = follower.on_peer(now, peer(), &theirs, 4, 0);
    follower.on_pulled(9);
    let third = follower.on_peer(now, peer(), &theirs, 9, 0);

    assert_eq!(first, Some(FollowAction::Pull { peer: peer(), after: 4 }));
    assert_eq!((second, third), (None, None));
}

#[test]
fn what_is_heard_during_a_pull_is_pulled_right_after_it() {
    let now = Instant::now();
    let mut follower = Follower::default();
    follower.on_peer(now, peer(), &Summary { complete: 9, ..Summary::default() }, 4, 0);
    follower.on_peer(now, peer(), &Summary { complete: 11, ..Summary::default() }, 4, 0);
    follower.on_peer(now, peer(), &Summary { complete: 10, ..Summary::default() }, 4, 0);

    let next = follower.on_pulled(9);
    let after_that = follower.on_pulled(11);

    assert_eq!(next, Some(FollowAction::Pull { peer: peer(), after: 9 }));
    assert_eq!(after_that, None);
}

#[test]
fn a_gap_below_the_same_version_is_repaired_but_not_in_a_loop() {
    let now = Instant::now();
    let mut follower = Follower::default();
    let theirs = Summary { complete: 9, digest: 1, ..Summary::default() };

    let first = follower.on_peer(now, peer(), &theirs, 9, 2);
    follower.on_pulled(9);
    let again = follower.on_peer(now, peer(), &theirs, 9, 2);
    let later = follower.on_peer(now + Duration::from_secs(60), peer(), &theirs, 9, 2);

    assert_eq!(first, Some(FollowAction::Pull { peer: peer(), after: 0 }));
    assert_eq!(again, None);
    assert!(later.is_some());
}

#[test]
fn a_vm_that_was_not_chosen_asks_the_platform_only_if_nobody_else_hears_it() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut follower = Follower::default();
    assert!(follower.should_watch(now, false), "nobody has heard it yet");

    let fresh = Summary { platform_age_ms: 500, ..Summary::default() };
    follower.on_peer(now, peer(), &fresh, 0, 0);

    assert!(!follower.should_watch(now, false));
    assert!(follower.should_watch(now, true));
    assert!(follower.should_watch(now + Duration::from_secs(9), false));
}

#[test]
fn the_age_of_the_platforms_word_is_not_made_younger_by_passing_it_on() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut follower = Follower::default();
    let old = Summary { platform_age_ms: 6_000, ..Summary::default() };

    follower.on_peer(now, peer(), &old, 0, 0);

    assert_eq!(follower.platform_age(now), Some(Duration::from_secs(6)));
}
