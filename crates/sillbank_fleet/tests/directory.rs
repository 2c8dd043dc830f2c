//! Changes of endpoint entries, outages of the store, and lapsed entries.

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

/// An entry removed while the store is reachable means that its endpoint is gone.
#[test]
fn removal_without_outage_removes_endpoint_at_once() {
    let (mut directory, now) = directory(&["a", "b"]);

    let removal = directory.on_change(now, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.usable("a").is_none());
    assert!(directory.usable("b").is_some());
}

/// An entry missing after an outage stays usable for the grace period and is then evicted.
#[test]
fn entry_lapsed_during_outage_is_kept_until_grace_ends() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_store_recovered(now);

    let removals = directory.on_listing(now, vec![]);
    let early = directory.on_tick(now + LAPSE_GRACE - Duration::from_millis(1));

    assert_eq!(removals, vec![("a".to_owned(), Removal::Lapsed)]);
    assert_eq!(early, Vec::<String>::new());
    assert!(directory.usable("a").is_some());

    let late = directory.on_tick(now + LAPSE_GRACE);

    assert_eq!(late, vec!["a".to_owned()]);
    assert!(directory.usable("a").is_none());
}

/// Guards against evicting lapsed entries only with the next periodic sweep, up to half a second
/// after the end of their grace period.
#[test]
fn next_eviction_is_known_once_store_has_recovered() {
    let (mut directory, now) = directory(&["a", "b"]);
    let without_lapse = directory.next_eviction();
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_change(now, removed("a"));
    let while_unreachable = directory.next_eviction();

    directory.on_store_recovered(now);
    let after_recovery = directory.next_eviction();
    directory.on_tick(now + LAPSE_GRACE);

    assert_eq!((without_lapse, while_unreachable), (None, None));
    assert_eq!(after_recovery, Some(now + LAPSE_GRACE));
    assert_eq!(directory.next_eviction(), None);
}

/// A lapsed entry that is listed again before the grace period ends is not evicted.
#[test]
fn entry_listed_again_within_grace_is_kept() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_store_recovered(now);
    directory.on_listing(now, vec![]);

    directory.on_change(now, Change::Put(record("a", Standing::Ready)));
    let evicted = directory.on_tick(now + LAPSE_GRACE * 2);

    assert_eq!(evicted, Vec::<String>::new());
    assert!(directory.usable("a").is_some());
}

/// The entry of an endpoint that announced that it leaves is removed at once, even during an
/// outage.
#[test]
fn entry_of_leaving_endpoint_does_not_lapse() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_change(now, Change::Put(record("a", Standing::Leaving)));
    directory.on_store_failure(now, StoreFailure::Unreachable);

    let removal = directory.on_change(now, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.get("a").is_none());
}

/// A leaving endpoint gets no new work, but its entry stays.
#[test]
fn leaving_endpoint_is_listed_but_not_usable() {
    let (mut directory, now) = directory(&["a"]);

    directory.on_change(now, Change::Put(record("a", Standing::Leaving)));

    assert!(directory.usable("a").is_none());
    assert!(directory.get("a").is_some());
}

/// Once the grace period after an outage is over, a removal means again that the endpoint is gone.
#[test]
fn removal_after_grace_removes_endpoint_at_once() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_store_recovered(now);
    directory.on_tick(now + LAPSE_GRACE);

    let removal = directory.on_change(now + LAPSE_GRACE, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

/// A VM that the store rate-limits sees no outage: endpoints still write their entries.
#[test]
fn rate_limited_vm_treats_missing_entry_as_gone() {
    let (mut directory, now) = directory(&["a", "b"]);
    directory.on_store_failure(now, StoreFailure::RateLimited);
    directory.on_store_recovered(now);

    let removals = directory.on_listing(now, vec![record("b", Standing::Ready)]);

    assert_eq!(removals, vec![("a".to_owned(), Removal::Gone)]);
    assert!(directory.usable("a").is_none());
}

/// A rate-limited call after a failed one leaves the outage in effect.
#[test]
fn rate_limiting_does_not_end_an_outage() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_store_failure(now, StoreFailure::RateLimited);
    directory.on_store_recovered(now);

    let removals = directory.on_listing(now, vec![]);

    assert_eq!(removals, vec![("a".to_owned(), Removal::Lapsed)]);
}

/// A VM that is updated by its leader makes no call of its own that would show the store's return,
/// so the leader's report must end the outage.
#[test]
fn outage_whose_end_a_leader_reported_does_not_excuse_later_removal() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now, StoreFailure::Unreachable);
    directory.on_store_reachable(now + Duration::from_secs(1));
    let later = now + Duration::from_secs(17);
    directory.on_tick(later);
    directory.on_store_recovered(later);

    let removal = directory.on_change(later, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

/// A report that the store answered a call sent before the last failure does not end the outage.
#[test]
fn answer_to_call_sent_before_outage_does_not_end_it() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_failure(now + Duration::from_secs(1), StoreFailure::Unreachable);
    directory.on_store_reachable(now);
    let later = now + Duration::from_secs(17);

    let removal = directory.on_change(later, removed("a"));

    assert_eq!(removal, Some(Removal::Lapsed));
}

/// Guards against removals counting as lapsed after a silent watch fails seconds after the store's
/// return.
#[test]
fn failure_of_call_sent_before_answered_one_is_not_an_outage() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_store_reachable(now + Duration::from_secs(1));

    directory.on_call_failed(now, failed, StoreFailure::Unreachable);
    let removal = directory.on_change(failed, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

/// Guards against counting only answers that confirm a configuration: the failure of a call that
/// hung since before the store's return then starts a new grace period.
#[test]
fn hung_call_is_not_an_outage_once_later_call_was_answered() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_call_answered(now + Duration::from_secs(1));

    let is_store_failure = directory.on_call_failed(now, failed, StoreFailure::Unreachable);
    let is_newer_store_failure =
        directory.on_call_failed(failed, failed, StoreFailure::Unreachable);

    assert!(!is_store_failure);
    assert!(is_newer_store_failure);
}

/// The outage starts at the failure, so a later answer to a call sent before it does not end it.
#[test]
fn failure_of_call_sent_after_last_answered_one_starts_outage_when_it_fails() {
    let (mut directory, now) = directory(&["a"]);
    let failed = now + Duration::from_secs(3);
    directory.on_store_reachable(now);

    directory.on_call_failed(now + Duration::from_secs(1), failed, StoreFailure::Unreachable);
    directory.on_store_reachable(now + Duration::from_secs(2));
    let removal = directory.on_change(failed + LAPSE_GRACE, removed("a"));

    assert_eq!(removal, Some(Removal::Lapsed));
}

/// Calls fail at these times after the last answer, in ms; the store has answered again 20 ms after each. Returns what a
/// removal right after the last answer means.
fn removal_after_failures(failed_ms: &[u64]) -> Option<Removal> {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_answer(now);
    let mut answered = now;
    for failed_ms in failed_ms {
        let failed = now + Duration::from_millis(*failed_ms);
        answered = failed + Duration::from_millis(20);
        directory.on_call_failed(failed, failed, StoreFailure::ConnectionLost);
        directory.on_store_recovered(answered);
        directory.on_store_answer(answered);
    }
    directory.on_change(answered, removed("a"))
}

/// A time in which the connections of all calls break, in ms after the first answer.
struct Break {
    from_ms: u64,
    /// When the store answers again.
    until_ms: u64,
}

/// Breaks of 20 ms that begin at these times.
fn short_breaks(from_ms: impl IntoIterator<Item = u64>) -> Vec<Break> {
    from_ms.into_iter().map(|from_ms| Break { from_ms, until_ms: from_ms + 20 }).collect()
}

/// Lets connections break while the store answers other calls each second. Returns what a removal right after the last
/// break means.
fn removal_after_breaks(breaks: &[Break]) -> Option<Removal> {
    let (mut directory, now) = directory(&["a"]);
    let at = |ms| now + Duration::from_millis(ms);
    directory.on_store_answer(now);
    let mut answered = now;
    for Break { from_ms, until_ms } in breaks {
        while answered + Duration::from_secs(1) < at(*from_ms) {
            answered += Duration::from_secs(1);
            directory.on_tick(answered);
            directory.on_store_answer(answered);
        }
        directory.on_call_failed(at(*from_ms), at(*from_ms), StoreFailure::ConnectionLost);
        answered = at(*until_ms);
        directory.on_store_recovered(answered);
        directory.on_store_answer(answered);
    }
    directory.on_change(answered, removed("a"))
}

/// Guards against taking a removal for a lapse after a watch was cut while the store answered all other calls: endpoints
/// that were gone got requests for the whole grace period.
#[test]
fn removal_after_a_cut_watch_removes_the_endpoint() {
    assert_eq!(removal_after_failures(&[500]), Some(Removal::Gone));
    assert_eq!(removal_after_failures(&[500, 9_000]), Some(Removal::Lapsed));
    assert_eq!(removal_after_failures(&[500, 5_500, 7_000]), Some(Removal::Lapsed));
}

/// Guards against taking a removal for a lapse after several watches were cut within seconds, while the store answered in
/// between: endpoints that were gone got requests for the whole grace period, which each further cut prolonged.
#[test]
fn removal_after_repeatedly_cut_watches_removes_the_endpoint() {
    let several = short_breaks([0, 1_300, 1_500]);
    let cut_every_two_seconds = short_breaks((0..30_000).step_by(2_000));
    let cut_every_100_ms = short_breaks((0..3_000).step_by(100));

    let removals = [several, cut_every_two_seconds, cut_every_100_ms]
        .map(|breaks| removal_after_breaks(&breaks));

    assert_eq!(removals, [Some(Removal::Gone); 3]);
    assert_eq!(removal_after_failures(&[500, 1_500]), Some(Removal::Gone));
}

/// Guards against a cut watch that counts as an outage because the calls of the same cut fail one after the other, as on
/// a VM that is short of processor time.
#[test]
fn calls_of_one_cut_that_fail_late_are_no_outage() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_answer(now);
    for failed_ms in [500, 750, 1_000] {
        let failed = now + Duration::from_millis(failed_ms);
        directory.on_call_failed(failed, failed, StoreFailure::ConnectionLost);
    }
    let answered = now + Duration::from_millis(1_020);
    directory.on_store_recovered(answered);

    let removal = directory.on_change(answered, removed("a"));

    assert_eq!(removal, Some(Removal::Gone));
}

/// A store that did not answer for seconds may have let entries lapse.
#[test]
fn removal_after_an_outage_may_be_a_lapse() {
    assert_eq!(removal_after_failures(&[2_500]), Some(Removal::Lapsed));
    let outage = Break { from_ms: 100, until_ms: 2_100 };
    assert_eq!(removal_after_breaks(&[outage]), Some(Removal::Lapsed));
}

/// A store that answers now and then, but not for most of the time, may have missed the check-ins of endpoints.
#[test]
fn removal_after_a_store_was_mostly_unavailable_may_be_a_lapse() {
    let starts_ms = [0, 1_600, 3_200];
    let mostly_broken = starts_ms.map(|from_ms| Break { from_ms, until_ms: from_ms + 1_500 });
    let mostly_answering = starts_ms.map(|from_ms| Break { from_ms, until_ms: from_ms + 500 });

    assert_eq!(removal_after_breaks(&mostly_broken), Some(Removal::Lapsed));
    assert_eq!(removal_after_breaks(&mostly_answering), Some(Removal::Gone));
}

/// A cut of connections does not end the grace period of an outage before it, and does not prolong it.
#[test]
fn cut_watches_leave_the_grace_period_of_an_outage_as_it_is() {
    for (removed_ms, expected) in [(2_200, Removal::Lapsed), (2_400, Removal::Gone)] {
        let (mut directory, now) = directory(&["a"]);
        directory.on_store_failure(now, StoreFailure::Unreachable);
        directory.on_store_recovered(now);
        directory.on_store_answer(now);
        for cut_ms in [500, 1_500, 2_100] {
            let cut = now + Duration::from_millis(cut_ms);
            directory.on_call_failed(cut, cut, StoreFailure::ConnectionLost);
            directory.on_store_recovered(cut + Duration::from_millis(20));
            directory.on_store_answer(cut + Duration::from_millis(20));
        }

        let removal = directory.on_change(now + Duration::from_millis(removed_ms), removed("a"));

        assert_eq!(removal, Some(expected), "{removed_ms}");
    }
}

/// A removal that arrives while only connections were cut counts as one, and as a lapse once the store has not answered for
/// seconds.
#[test]
fn removal_during_an_outage_may_be_a_lapse_once_it_has_lasted() {
    for (after_ms, expected) in [(600, Removal::Gone), (2_600, Removal::Lapsed)] {
        let (mut directory, now) = directory(&["a"]);
        directory.on_store_answer(now);
        let failed = now + Duration::from_millis(500);
        directory.on_call_failed(failed, failed, StoreFailure::ConnectionLost);

        let removal = directory.on_change(now + Duration::from_millis(after_ms), removed("a"));

        assert_eq!(removal, Some(expected), "{after_ms}");
    }
}

/// Guards against taking a store that refuses calls for one that was reachable: it may refuse the check-ins of endpoints too.
#[test]
fn removal_after_a_refused_call_may_be_a_lapse() {
    let (mut directory, now) = directory(&["a"]);
    directory.on_store_answer(now);
    let failed = now + Duration::from_millis(500);
    directory.on_call_failed(failed, failed, StoreFailure::Unreachable);
    directory.on_store_recovered(failed + Duration::from_millis(20));

    let removal = directory.on_change(failed + Duration::from_millis(20), removed("a"));

    assert_eq!(removal, Some(Removal::Lapsed));
}

fn unreadable(id: &str) -> UnreadableEntry {
    UnreadableEntry { id: id.to_owned(), version: Some(7), reason: "no address".to_owned() }
}

/// An endpoint whose entry becomes unreadable is treated as leaving until the entry can be read
/// again.
#[test]
fn endpoint_with_unreadable_entry_is_not_usable_until_entry_is_readable() {
    let (mut directory, now) = directory(&["a", "b"]);

    directory.on_change(now, Change::Unreadable(unreadable("a")));

    assert!(directory.usable("a").is_none() && directory.usable("b").is_some());
    assert!(directory.get("a").is_some(), "it completes its current requests");

    directory.on_change(now, Change::Put(record("a", Standing::Ready)));

    assert!(directory.usable("a").is_some());
}

/// In a listing, an unreadable entry keeps a known endpoint and does not introduce an unknown one.
#[test]
fn unreadable_entry_counts_as_listed_but_adds_no_endpoint() {
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
