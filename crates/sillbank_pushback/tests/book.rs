//! Tests of how a VM follows pushback: when it sends, what it learns from other VMs, and when pushback expires.

use sillbank_pushback::{RATE_LEASE_TERM, prelude::*};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const ENDPOINT: &str = "e1";
const VMS: u32 = 8;

fn limit_of(per_s: f64) -> Pushback {
    Pushback { limit: LimitSignal::PerS(per_s), ..Pushback::default() }
}

/// A tracker that has received a limit from the endpoint.
fn limited_tracker(per_s: f64, now: Instant) -> PushbackTracker {
    let mut tracker = PushbackTracker::default();
    let event = tracker.on_answer(ENDPOINT, None, limit_of(per_s), 0.5, now);
    assert_eq!(event, [PushbackEvent::Limited(per_s)]);
    tracker
}

/// Sends a request each `every` when allowed, with a lease that is renewed; returns the times of the sends.
fn send_for(
    tracker: &mut PushbackTracker,
    lease_per_s: Option<f64>,
    every: Duration,
    start: Instant,
    length: Duration,
) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + length {
        if let Some(per_s) = lease_per_s {
            tracker.set_lease(ENDPOINT, RateLease { per_s, until: now + RATE_LEASE_TERM });
        }
        if tracker.may_send(ENDPOINT, VMS, now) {
            tracker.record_send(ENDPOINT, now);
            sent.push(now);
        }
        now += every;
    }
    sent
}

/// Without pushback every request may be sent.
#[test]
fn endpoint_without_pushback_accepts_all_requests() {
    let now = Instant::now();
    let mut tracker = PushbackTracker::default();

    let event = tracker.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!(event, []);
    assert!(tracker.is_empty() && tracker.may_send(ENDPOINT, VMS, now));
}

/// A VM uses its whole leased rate and does not exceed it.
#[test]
fn leased_rate_is_used_fully_and_not_exceeded() {
    for per_s in [1.0, 1.7, 3.4, 20.0] {
        let now = Instant::now();
        let mut tracker = limited_tracker(per_s, now);

        let (every, length) = (Duration::from_millis(20), Duration::from_secs(60));
        let sent = send_for(&mut tracker, Some(per_s), every, now, length).len() as f64;

        let expected = per_s * length.as_secs_f64();
        assert!(
            sent <= expected + 1.0 && sent >= 0.95 * expected,
            "{sent} of {expected} at {per_s}"
        );
    }
}

/// Unused permits expire: an idle VM can send at most the permits of one second at once.
#[test]
fn unused_permits_do_not_accumulate_beyond_a_second() {
    let now = Instant::now();
    let mut tracker = limited_tracker(3.0, now);
    tracker.set_lease(ENDPOINT, RateLease { per_s: 3.0, until: now + Duration::from_secs(60) });
    assert!(!tracker.may_send(ENDPOINT, VMS, now));

    let later = now + Duration::from_secs(20);
    let burst = (0..100).filter(|_| {
        let may_send = tracker.may_send(ENDPOINT, VMS, later);
        if may_send {
            tracker.record_send(ENDPOINT, later);
        }
        may_send
    });

    assert!((3..=4).contains(&burst.count()));
}

/// VMs without a lease use a quarter of the limit together.
#[test]
fn vms_without_a_lease_share_a_quarter_of_the_limit() {
    let now = Instant::now();
    let mut total = 0;
    for vm in 0..VMS {
        let mut tracker = PushbackTracker::default();
        tracker.on_answer(ENDPOINT, None, limit_of(4.0), f64::from(vm) / f64::from(VMS), now);
        let (every, length) = (Duration::from_millis(20), Duration::from_secs(80));
        total += send_for(&mut tracker, None, every, now, length).len();
    }

    // A quarter of 4 requests per second, for 80 s.
    assert!((72..=88).contains(&total), "{total}");
}

/// A lease that is not renewed ends after its term.
#[test]
fn lease_ends_without_renewal() {
    let now = Instant::now();
    let mut tracker = limited_tracker(40.0, now);
    tracker.set_lease(ENDPOINT, RateLease { per_s: 40.0, until: now + RATE_LEASE_TERM });
    assert!(!tracker.may_send(ENDPOINT, VMS, now));

    let in_time = now + RATE_LEASE_TERM - Duration::from_millis(1);
    let after = now + RATE_LEASE_TERM;
    assert!(tracker.may_send(ENDPOINT, VMS, in_time));
    (0..3).for_each(|_| tracker.record_send(ENDPOINT, in_time));

    // Its rate without a lease, 10 per second over 8 VMs, opens at most one permit at a time.
    let sent =
        send_for(&mut tracker, None, Duration::from_millis(10), after, Duration::from_secs(4));
    assert!(sent.len() <= 6, "{}", sent.len());
}

/// A limit ends when the endpoint revokes it to any VM, restarts, or is silent for long.
#[test]
fn limit_ends_by_revocation_restart_or_expiry() {
    let now = Instant::now();
    let later = now + Duration::from_millis(500);

    let mut observed = limited_tracker(0.5, now);
    let event = observed.on_answer(ENDPOINT, None, Pushback::default(), 0.5, later);
    assert_eq!(event, [PushbackEvent::Unlimited]);
    assert!(observed.may_send(ENDPOINT, VMS, later));

    let mut reported = limited_tracker(0.5, now);
    reported.on_reported(&observed.updates_since(0, 8, later).limits, || 0.5, later);
    assert!(reported.may_send(ENDPOINT, VMS, later));

    let mut restarted = limited_tracker(0.5, now);
    restarted.on_restart(ENDPOINT);
    assert!(restarted.may_send(ENDPOINT, VMS, later));

    let mut silent = limited_tracker(0.5, now);
    let events = silent.expire(now + Duration::from_secs(30));
    assert_eq!(events, [(ENDPOINT.to_owned(), PushbackEvent::Lapsed)]);
    assert!(silent.may_send(ENDPOINT, VMS, later));
}

/// An endpoint with a limit of zero still gets a few requests, because only an answer can revoke the limit.
#[test]
fn limit_of_zero_allows_occasional_requests() {
    let now = Instant::now();
    let mut tracker = limited_tracker(0.0, now);

    let (every, length) = (Duration::from_millis(50), Duration::from_secs(100));
    let sent = send_for(&mut tracker, Some(5.0), every, now, length).len();

    assert!((9..=11).contains(&sent), "{sent}");
}

/// A limit that cannot be parsed is ignored and reported once.
#[test]
fn unreadable_limit_is_ignored_and_reported_once() {
    let now = Instant::now();
    let mut tracker = limited_tracker(2.0, now);
    let unreadable = Pushback { limit: LimitSignal::Unreadable, ..Pushback::default() };

    let first = tracker.on_answer(ENDPOINT, None, unreadable, 0.5, now);
    let second = tracker.on_answer(ENDPOINT, None, unreadable, 0.5, now);

    assert_eq!(first, [PushbackEvent::Unreadable("limit")]);
    assert_eq!(second, []);
    assert_eq!(tracker.limit_per_s(ENDPOINT), Some(2.0));
}

/// Reported limits that are not valid rates are ignored.
#[test]
fn invalid_reported_limits_are_ignored() {
    let now = Instant::now();
    let mut tracker = PushbackTracker::default();
    let update = |limit_per_s: f64| LimitUpdate {
        endpoint: ENDPOINT.to_owned(),
        born_ms: None,
        limit_per_s: Some(limit_per_s),
        age_ms: 0,
    };

    let events =
        tracker.on_reported(&[update(f64::NAN), update(-1.0), update(f64::INFINITY)], || 0.5, now);

    let event = PushbackEvent::Unreadable("a limit reported by another VM");
    let expected = vec![(ENDPOINT.to_owned(), event); 3];
    assert_eq!(events, expected);
    assert!(tracker.is_empty());
}

/// VMs converge to the same limit, in whatever order updates arrive.
#[test]
fn limits_converge_in_any_order_of_updates() {
    for_fixed_seeds(300, 512, |u| {
        // Arrange
        let mut now = Instant::now();
        let mut vms: Vec<PushbackTracker> = (0..3).map(|_| PushbackTracker::default()).collect();

        // Act
        for _ in 0..u.int_in_range(1..=15)? {
            now += Duration::from_millis(u.int_in_range(50..=1_500)?);
            let limit = u.int_in_range(0..=3)?;
            let pushback = match limit {
                0 => Pushback::default(),
                _ => limit_of(f64::from(limit)),
            };
            vms[u.int_in_range(0..=2)?].on_answer(ENDPOINT, None, pushback, 0.5, now);
            let (from, to) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            let updates = vms[from].updates_since(0, 8, now).limits;
            vms[to].on_reported(&updates, || 0.5, now);
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                let updates = vms[from].updates_since(0, 8, now).limits;
                vms[to].on_reported(&updates, || 0.5, now);
            }
        }

        // Assert
        let limits: Vec<_> = vms.iter().map(|vm| vm.limit_per_s(ENDPOINT)).collect();
        assert!(limits.iter().all(|limit| *limit == limits[0]), "{limits:?}");
        Ok(())
    });
}

/// A limit that is received again is announced again before it expires on other VMs.
#[test]
fn repeated_limit_is_reannounced_in_time() {
    let now = Instant::now();
    let mut tracker = limited_tracker(2.0, now);
    let announced = tracker.newest_change();

    let soon = now + Duration::from_secs(1);
    tracker.on_answer(ENDPOINT, None, limit_of(2.0), 0.5, soon);
    assert_eq!(tracker.newest_change(), announced);

    let later = now + Duration::from_secs(6);
    tracker.on_answer(ENDPOINT, None, limit_of(2.0), 0.5, later);
    assert!(tracker.updates_since(announced, 8, later).limits.len() == 1);
}

fn pause_of(pause: Duration) -> Pushback {
    Pushback { retry_after: RetryAfterSignal::For(pause), ..Pushback::default() }
}

/// A paused endpoint gets no requests until its longest pause is over.
#[test]
fn paused_endpoint_gets_no_requests_until_its_longest_pause_ends() {
    let now = Instant::now();
    let mut tracker = PushbackTracker::default();

    let events = tracker.on_answer(ENDPOINT, None, pause_of(Duration::from_secs(3)), 0.5, now);
    tracker.on_answer(ENDPOINT, None, pause_of(Duration::from_secs(1)), 0.5, now);
    // An answer to an earlier request does not end the pause.
    tracker.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!(events, [PushbackEvent::Paused(Duration::from_secs(3))]);
    assert!(!tracker.may_send(ENDPOINT, VMS, now + Duration::from_millis(2_999)));
    assert!(tracker.may_send(ENDPOINT, VMS, now + Duration::from_secs(3)));
    let retry_after: Vec<_> =
        tracker.take_withheld().iter().map(|w| w.reason.retry_after()).collect();
    assert_eq!(retry_after, [Some(Duration::from_millis(1))]);
}

/// A pause is limited to ten minutes; one of zero or one that cannot be parsed has no effect.
#[test]
fn pause_is_bounded_and_invalid_pauses_are_ignored() {
    let now = Instant::now();
    let mut tracker = PushbackTracker::default();

    tracker.on_answer(ENDPOINT, None, pause_of(Duration::from_secs(864_000)), 0.5, now);
    tracker.on_answer("e2", None, pause_of(Duration::ZERO), 0.5, now);
    let unreadable = Pushback { retry_after: RetryAfterSignal::Unreadable, ..Pushback::default() };
    let events = tracker.on_answer("e3", None, unreadable, 0.5, now);

    assert!(!tracker.may_send(ENDPOINT, VMS, now + Duration::from_secs(599)));
    assert!(tracker.may_send(ENDPOINT, VMS, now + Duration::from_secs(600)));
    assert!(tracker.may_send("e2", VMS, now) && tracker.may_send("e3", VMS, now));
    assert_eq!(events, [PushbackEvent::Unreadable("rest")]);
}

/// An endpoint that announced that it leaves gets no requests until it restarts.
#[test]
fn leaving_endpoint_gets_no_requests_until_it_restarts() {
    let now = Instant::now();
    let mut tracker = PushbackTracker::default();
    let leaving = Pushback { is_leaving: true, ..Pushback::default() };

    let first = tracker.on_answer(ENDPOINT, None, leaving, 0.5, now);
    let second = tracker.on_answer(ENDPOINT, None, leaving, 0.5, now);
    // The answer to an older request may arrive later.
    tracker.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!((first, second), (vec![PushbackEvent::Leaves], vec![]));
    assert!(!tracker.may_send(ENDPOINT, VMS, now + Duration::from_secs(60)));
    tracker.on_restart(ENDPOINT);
    assert!(tracker.may_send(ENDPOINT, VMS, now));
}

/// Guards against a lease that outlasts its term because the clock stood still while the machine was suspended.
#[test]
fn lease_does_not_outlast_a_suspension() {
    let now = Instant::now();
    let mut tracker = limited_tracker(400.0, now);
    tracker.set_lease(ENDPOINT, RateLease { per_s: 400.0, until: now + RATE_LEASE_TERM });
    assert!(!tracker.may_send(ENDPOINT, VMS, now));
    let later = now + Duration::from_millis(100);
    assert!(tracker.may_send(ENDPOINT, VMS, later));

    tracker.on_suspended();

    let sent =
        send_for(&mut tracker, None, Duration::from_millis(1), later, Duration::from_secs(1));
    // Open permits of one second and those of the next second, each at a quarter of the limit over 8 VMs.
    assert!(sent.len() <= 2 * 13 + 1, "{}", sent.len());
}
