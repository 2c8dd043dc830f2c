//! While all is well nobody but the leader asks the store; when the leader is blind, others ask in time.

use sillbank_core::rng::SharedRng;
use sillbank_gateway::feed::FeedNews;
use sillbank_gateway::freshness::{
    Freshness, NEED_POLL, NEWS_WAIT, confirmed_by_watch, lease_term,
};
use sillbank_gateway::hall::{Hall, HallVms};
use sillbank_gateway::revision::Revision;
use std::time::{Duration, Instant};

/// Bounds for configurations to be in force on the sites known.
const BOUNDS_MS: [u64; 3] = [2_000, 3_000, 4_000];
/// What chance brings in these tests; any other holds as well.
const SEED: u64 = 1;
/// A way between two VMs, with a wait for a busy processor.
const WAY: Duration = Duration::from_millis(50);
/// Bound for revocations on the sites known.
const REVOCATION: Duration = Duration::from_secs(5);

/// By how much the leader of another hall, which follows the store for this hall's, is later.
const BY_OTHER_HALL: Duration = Duration::from_millis(200);

/// Ages of the leader's confirmation as a VM knows it right before each news, over some seconds.
fn ages_before_news(freshness: Freshness, phase: Duration) -> Vec<Duration> {
    let began = Instant::now();
    let (hall, mut ages) = (Hall::new(SharedRng::with_seed(SEED)), Vec::new());
    let step = freshness.leader_wait + WAY;
    // When the leader has the confirmation after this one, by the leader of another hall.
    let next_at = |watch_sent: Instant| watch_sent + step + BY_OTHER_HALL;
    let (mut confirmed, mut watch_sent) = (began, began);
    let mut told = began + phase;
    while told < began + Duration::from_secs(20) {
        while next_at(watch_sent) <= told - WAY {
            confirmed = watch_sent + freshness.leader_wait;
            watch_sent += step;
        }
        ages.extend(hall.confirmation_age(told));
        hall.on_news(told, Some(confirmed), false);
        // The leader answers when it is confirmed anew, or after a wait.
        let by_confirmation = (next_at(watch_sent) + WAY).max(told + 2 * WAY);
        told = (told + NEWS_WAIT + WAY).min(by_confirmation);
    }
    ages
}

#[test]
fn a_leader_that_sees_the_store_suffices_without_a_gap() {
    for bound_ms in BOUNDS_MS {
        let freshness = Freshness::new(Duration::from_millis(bound_ms), REVOCATION);
        for phase_ms in (0..1_000).step_by(50) {
            let ages = ages_before_news(freshness, Duration::from_millis(phase_ms));

            let oldest = ages.iter().max().expect("there are some");
            assert!(*oldest < freshness.enough_for, "{bound_ms} {phase_ms}: {oldest:?}");
        }
    }
}

#[test]
fn a_vm_whose_leader_is_blind_asks_in_time_for_the_bound() {
    for bound_ms in BOUNDS_MS {
        let bound = Duration::from_millis(bound_ms);

        let freshness = Freshness::new(bound, REVOCATION);

        let last = freshness.enough_for_member(300, 1.0);
        // A fifth is left for a call in vain and for passing the news on.
        assert!(last + NEED_POLL <= bound.mul_f64(0.8), "{bound_ms}: {last:?}");
        assert!(last + NEED_POLL + 4 * WAY <= bound, "{bound_ms}: {last:?}");
    }
}

#[test]
fn the_vms_of_a_small_hall_do_not_wait_for_turns() {
    let freshness = freshness();

    assert_eq!(freshness.enough_for_member(4, 1.0), freshness.enough_for);
    assert!(freshness.enough_for_member(60, 1.0) > freshness.enough_for_member(60, 0.0));
}

fn freshness() -> Freshness {
    Freshness::new(Duration::from_secs(2), REVOCATION)
}

fn news(held_ms: u64, confirmed_age_ms: u64) -> FeedNews {
    FeedNews {
        incarnation: 1,
        boards_seen: 0,
        holds_lease: true,
        follows_store: true,
        hall_vms: HallVms { vms: 2, fit: 2 },
        held_ms,
        confirmed_age_ms: Some(confirmed_age_ms),
        confirmed_at: Revision::new(1, 9),
        catalog: None,
        endpoints: None,
        boards: Vec::new(),
        quarantine: Default::default(),
        limits: Default::default(),
        parts: Vec::new(),
    }
}

#[test]
fn a_confirmation_that_waited_for_news_is_not_taken_for_older_than_it_is() {
    let sent = Instant::now();
    let answered = sent + Duration::from_millis(410);

    let confirmed = news(400, 700).confirmed_since(sent, answered);

    // 300 ms before the ask was sent, and not 700.
    assert_eq!(confirmed, sent.checked_sub(Duration::from_millis(300)));
}

#[test]
fn a_leader_that_claims_to_have_held_an_ask_for_an_hour_confirms_nothing_that_is_to_come() {
    let sent = Instant::now();
    let answered = sent + Duration::from_millis(410);

    let confirmed = news(3_600_000, 0).confirmed_since(sent, answered);

    assert_eq!(confirmed, Some(answered));
}

#[test]
fn a_confirmation_of_absurd_age_is_not_fresh() {
    let sent = Instant::now();

    let confirmed = news(0, u64::MAX).confirmed_since(sent, sent);

    let age = confirmed.map(|confirmed| sent.saturating_duration_since(confirmed));
    assert!(age.is_none_or(|age| age > freshness().enough_for), "{age:?}");
}

#[test]
fn a_leader_of_a_slow_store_asks_more_often() {
    let freshness = Freshness::new(Duration::from_secs(3), REVOCATION);

    let wait = freshness.leader_wait_after(Duration::from_millis(250));

    // Two calls that take 250 ms more are as far apart as two that do not.
    assert_eq!(wait + Duration::from_millis(250), freshness.leader_wait);
    assert!(!freshness.leader_wait_after(Duration::from_secs(9)).is_zero());
}

#[test]
fn keys_are_known_for_three_fifths_of_the_bound_after_the_store_was_lost() {
    for bound_ms in BOUNDS_MS {
        let freshness = Freshness::new(Duration::from_millis(bound_ms), REVOCATION);
        for phase_ms in (0..1_000).step_by(50) {
            let ages = ages_before_news(freshness, Duration::from_millis(phase_ms));

            let oldest = ages.iter().max().expect("there are some");
            let left = lease_term(REVOCATION) - *oldest;
            assert!(left >= REVOCATION.mul_f64(0.6), "{bound_ms} {phase_ms}: {left:?}");
        }
    }
}

#[test]
fn a_watch_that_waited_in_vain_confirms_as_of_its_end() {
    let (sent, wait) = (Instant::now(), Duration::from_millis(900));
    let answered = sent + Duration::from_millis(905);

    assert_eq!(confirmed_by_watch(sent, wait, answered), sent + wait);
}

#[test]
fn a_watch_that_was_answered_early_confirms_as_of_its_beginning() {
    let (sent, wait) = (Instant::now(), Duration::from_millis(900));
    let answered = sent + Duration::from_millis(500);

    assert_eq!(confirmed_by_watch(sent, wait, answered), sent);
}
