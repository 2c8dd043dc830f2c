//! Which endpoints are ejected by observed evidence, and for how long.

use sillbank_fleet::prelude::*;
use sillbank_gateway::endpoints::{EndpointTracker, Evidence, RequestPart};
use sillbank_gateway::probes::{Probe, lost_engines, silence_means_loss};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ID: &str = "e1";

fn part(endpoint: &str) -> RequestPart {
    RequestPart { endpoint: endpoint.to_owned(), kv: 0.0 }
}

fn tracker() -> (Rc<EndpointTracker>, Instant) {
    (Rc::default(), Instant::now())
}

/// Failures and refused parts of a path only raise an engine's cost, and only for a while.
#[test]
fn lost_answers_and_refusals_exclude_no_engine() {
    let (tracker, now) = tracker();

    tracker.on_evidence(ID, Evidence::Failed, now);
    tracker.on_evidence(ID, Evidence::RefusedPart, now);

    assert!(tracker.may_join_path(ID));
    assert!(tracker.use_cost_ms(ID, now) > 100.0);
    assert!(tracker.use_cost_ms(ID, now + Duration::from_secs(1)) < 100.0);
}

/// An unreachable endpoint is ejected, becomes due for a probe, and returns after a success.
#[test]
fn an_unreachable_endpoint_is_ejected_until_it_answers() {
    let (tracker, now) = tracker();

    tracker.on_evidence(ID, Evidence::Unreachable, now);
    let due_at_once = tracker.due_for_probe(now);
    let due_later = tracker.due_for_probe(now + Duration::from_secs(1));
    tracker.on_evidence(ID, Evidence::Good, now + Duration::from_secs(1));

    assert!(due_at_once.is_empty());
    assert_eq!(due_later, vec![ID.to_owned()]);
    assert!(tracker.may_join_path(ID));
}

/// Only an ejection at or after the given moment counts.
#[test]
fn only_an_ejection_after_a_send_counts_for_it() {
    let (tracker, now) = tracker();
    let sent_before = now - Duration::from_secs(1);
    let sent_after = now + Duration::from_secs(1);

    tracker.on_evidence(ID, Evidence::Unreachable, now);

    assert!(tracker.ejected_since(ID, sent_before));
    assert!(!tracker.ejected_since(ID, sent_after));
}

/// An endpoint that fails continuously is ejected.
#[test]
fn an_endpoint_that_fails_most_requests_is_ejected() {
    let (tracker, now) = tracker();

    let changes = (0..10).filter(|_| tracker.on_evidence(ID, Evidence::Failed, now)).count();

    assert!(changes > 0);
    assert!(tracker.is_ejected(ID));
}

/// A failure share of one in seven, as healthy endpoints have, causes no ejection.
#[test]
fn an_endpoint_that_fails_one_request_in_seven_is_not_ejected() {
    let (tracker, now) = tracker();

    for number in 0..200 {
        let evidence = if number % 7 == 0 { Evidence::Failed } else { Evidence::Good };
        tracker.on_evidence(ID, evidence, now);
    }

    assert!(!tracker.is_ejected(ID));
}

/// An ejected endpoint gets one trial request at a time.
#[test]
fn an_ejected_endpoint_gets_one_trial_request_at_a_time() {
    let (tracker, now) = tracker();
    tracker.on_evidence(ID, Evidence::Unreachable, now);
    let later = now + Duration::from_secs(2);

    let may_first = tracker.accepts_work(ID, later);
    let _first = tracker.start(vec![part(ID)], later);
    let may_second = tracker.accepts_work(ID, later);

    assert!(may_first);
    assert!(!may_second);
}

/// Dropping a guard ends exactly its own work.
#[test]
fn work_in_flight_ends_when_it_is_dropped() {
    let (tracker, now) = tracker();

    let first = tracker.start(vec![part(ID), part("e2")], now);
    let second = tracker.start(vec![part(ID)], now);
    drop(first);

    assert_eq!(tracker.in_flight(ID), 1);
    drop(second);
    assert_eq!(tracker.in_flight(ID), 0);
}

/// A silent endpoint only counts as lost while it is listed as ready.
#[test]
fn a_leaving_endpoint_may_be_silent_while_it_finishes_its_work() {
    assert!(silence_means_loss(Some(Standing::Ready)));
    assert!(!silence_means_loss(Some(Standing::Leaving)));
    assert!(!silence_means_loss(None));
}

fn probes(of: &[(&str, Probe)]) -> Vec<(String, Probe)> {
    of.iter().map(|(id, probe)| ((*id).to_owned(), *probe)).collect()
}

/// A refused connection during a stalled stream shows that the engine is lost.
#[test]
fn an_engine_that_refuses_a_connection_while_a_stream_is_stalled_is_lost() {
    let probes = probes(&[("a", Probe::Silent), ("b", Probe::Refused), ("c", Probe::Silent)]);

    let lost = lost_engines(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Refused)]);
}

/// A silent engine is lost if most other probes are answered.
#[test]
fn an_engine_that_is_silent_while_most_others_answer_is_lost() {
    let probes = probes(&[("a", Probe::Answered), ("b", Probe::Silent), ("c", Probe::Answered)]);

    let lost = lost_engines(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Silent)]);
}

/// A VM that is itself cut off considers no engine lost.
#[test]
fn a_vm_that_reaches_hardly_any_engine_considers_none_lost() {
    let probes = probes(&[("a", Probe::Silent), ("b", Probe::Silent), ("c", Probe::Answered)]);

    assert!(lost_engines(&probes).is_empty());
}

/// A recent answer makes a probe unnecessary.
#[test]
fn an_engine_that_answered_recently_need_not_be_probed() {
    let (tracker, now) = (Rc::new(EndpointTracker::default()), Instant::now());

    tracker.on_answer("a", now);

    assert!(tracker.answered_since("a", now));
    assert!(!tracker.answered_since("a", now + Duration::from_millis(1)));
    assert!(!tracker.answered_since("b", now));
}

/// Work sent to an earlier incarnation does not reduce the count of the new one, even if the
/// endpoint was dropped in between.
#[test]
fn work_of_an_earlier_incarnation_does_not_affect_the_new_one() {
    let (tracker, now) = tracker();
    let before = tracker.start(vec![part(ID)], now);
    tracker.on_restart(ID, now);
    tracker.retain(|_| false);

    let _after = tracker.start(vec![part(ID)], now);
    drop(before);

    assert_eq!(tracker.in_flight(ID), 1);
}
