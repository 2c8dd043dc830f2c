//! Distribution of settings: versions never decrease, and the last accepted object wins everywhere,
//! in any order of messages.

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

/// All objects that the platform accepted: one key per version.
fn history(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<Object>> {
    let count = u.int_in_range(1..=40)?;
    (1..=count).map(|v| Ok(object(u.int_in_range(0..=5)?, v, u.ratio(1, 5)?))).collect()
}

/// A store keeps the newest version of each key, in whatever order objects arrive.
#[test]
fn version_never_decreases_in_any_order() {
    for_fixed_seeds(200, 2000, |u| {
        let history = history(u)?;
        let mut store = ObjectStore::default();
        let mut held = std::collections::HashMap::new();
        for _ in 0..u.int_in_range(0..=120)? {
            let object = u.choose(&history)?.clone();

            let was_stored = store.apply(object.clone());

            let before: u64 = held.get(&object.key).copied().unwrap_or(0);
            assert_eq!(was_stored, object.version > before);
            held.insert(object.key.clone(), before.max(object.version));
        }
        assert_eq!(store.newest(), held.values().copied().max().unwrap_or(0));
        Ok(())
    });
}

/// After any sequence of pulls, all stores hold the last objects that the platform accepted.
#[test]
fn stores_that_pull_from_each_other_converge() {
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
                        platform.apply(object.clone());
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
        to.apply(object);
    }
    to.set_complete(from.complete().unwrap_or(0));
}

/// A second summary during a pull starts no further pull.
#[test]
fn only_one_pull_runs_at_a_time() {
    let now = Instant::now();
    let mut follower = Follower::default();
    let theirs = Summary { complete: 9, ..Summary::default() };

    let first = follower.on_peer_summary(now, peer(), &theirs, 4, 0);
    let second = follower.on_peer_summary(now, peer(), &theirs, 4, 0);
    follower.on_pull_end(9);
    let third = follower.on_peer_summary(now, peer(), &theirs, 9, 0);

    assert_eq!(first, Some(FollowAction::Pull { peer: peer(), after: 4 }));
    assert_eq!((second, third), (None, None));
}

/// The newest version that a peer reports during a pull is pulled as soon as that pull ends.
#[test]
fn newer_version_reported_during_pull_is_pulled_next() {
    let now = Instant::now();
    let mut follower = Follower::default();
    follower.on_peer_summary(now, peer(), &Summary { complete: 9, ..Summary::default() }, 4, 0);
    follower.on_peer_summary(now, peer(), &Summary { complete: 11, ..Summary::default() }, 4, 0);
    follower.on_peer_summary(now, peer(), &Summary { complete: 10, ..Summary::default() }, 4, 0);

    let next = follower.on_pull_end(9);
    let after_that = follower.on_pull_end(11);

    assert_eq!(next, Some(FollowAction::Pull { peer: peer(), after: 9 }));
    assert_eq!(after_that, None);
}

/// If digests differ at the same version, everything is pulled, but not again right after that.
#[test]
fn gap_below_same_version_is_repaired_at_limited_rate() {
    let now = Instant::now();
    let mut follower = Follower::default();
    let theirs = Summary { complete: 9, digest: 1, ..Summary::default() };

    let first = follower.on_peer_summary(now, peer(), &theirs, 9, 2);
    follower.on_pull_end(9);
    let again = follower.on_peer_summary(now, peer(), &theirs, 9, 2);
    let later = follower.on_peer_summary(now + Duration::from_secs(60), peer(), &theirs, 9, 2);

    assert_eq!(first, Some(FollowAction::Pull { peer: peer(), after: 0 }));
    assert_eq!(again, None);
    assert!(later.is_some());
}

/// A VM that was not chosen watches the platform only while no peer reports a recent answer of it.
#[test]
fn unchosen_vm_watches_platform_only_if_no_peer_reaches_it() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut follower = Follower::default();
    assert!(follower.should_watch(now, false), "no VM has heard from it yet");

    let fresh = Summary { platform_age_ms: 500, ..Summary::default() };
    follower.on_peer_summary(now, peer(), &fresh, 0, 0);

    assert!(!follower.should_watch(now, false));
    assert!(follower.should_watch(now, true));
    assert!(follower.should_watch(now + Duration::from_secs(9), false));
}

/// The age of the platform's last answer that a peer reports is not counted from the report.
#[test]
fn platform_age_is_preserved_when_passed_on() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut follower = Follower::default();
    let old = Summary { platform_age_ms: 6_000, ..Summary::default() };

    follower.on_peer_summary(now, peer(), &old, 0, 0);

    assert_eq!(follower.platform_age(now), Some(Duration::from_secs(6)));
}
