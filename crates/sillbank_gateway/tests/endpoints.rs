//! What is seen of endpoints decides who is left alone, and for how long.

use sillbank_fleet::prelude::*;
use sillbank_gateway::doctor::{Probe, lost_by_probes, silence_means_loss};
use sillbank_gateway::endpoints::{EndpointTracker, Evidence, RequestPart};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ID: &str = "e1";

fn share(endpoint: &str) -> RequestPart {
    RequestPart { endpoint: endpoint.to_owned(), kv: 0.0 }
}

fn tracker() -> (Rc<EndpointTracker>, Instant) {
    (Rc::default(), Instant::now())
}

#[test]
fn lost_answers_and_refusals_exclude_no_engine() {
    let (tracker, now) = tracker();

    tracker.on_evidence(ID, Evidence::Failed, now);
    tracker.on_evidence(ID, Evidence::LacksPart, now);

    assert!(tracker.may_join_path(ID));
    assert!(tracker.use_cost_ms(ID, now) > 100.0);
    assert!(tracker.use_cost_ms(ID, now + Duration::from_secs(1)) < 100.0);
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_left_alone_until_it_answers() {
    let (tracker, now) = tracker();

    tracker.on_evidence(ID, Evidence::Unreachable, now);
    let due_at_once = tracker.due_for_probe(now);
    let due_later = tracker.due_for_probe(now + Duration::from_secs(1));
    tracker.on_evidence(ID, Evidence::Good, now + Duration::from_secs(1));

    assert!(due_at_once.is_empty());
    assert_eq!(due_later, vec![ID.to_owned()]);
    assert!(tracker.may_join_path(ID));
}

#[test]
fn only_losses_after_a_send_count_against_it() {
    let (tracker, now) = tracker();
    let sent_before = now - Duration::from_secs(1);
    let sent_after = now + Duration::from_secs(1);

    tracker.on_evidence(ID, Evidence::Unreachable, now);

    assert!(tracker.ejected_since(ID, sent_before));
    assert!(!tracker.ejected_since(ID, sent_after));
}

#[test]
fn an_endpoint_that_fails_most_requests_is_left_alone() {
    let (tracker, now) = tracker();

    let changes = (0..10).filter(|_| tracker.on_evidence(ID, Evidence::Failed, now)).count();

    assert!(changes > 0);
    assert!(tracker.is_ejected(ID));
}

#[test]
fn an_endpoint_that_fails_one_request_in_seven_is_not() {
    let (tracker, now) = tracker();

    for number in 0..200 {
        let evidence = if number % 7 == 0 { Evidence::Failed } else { Evidence::Good };
        tracker.on_evidence(ID, evidence, now);
    }

    assert!(!tracker.is_ejected(ID));
}

#[test]
fn a_lost_plain_endpoint_is_tried_by_one_request_at_a_time() {
    let (tracker, now) = tracker();
    tracker.on_evidence(ID, Evidence::Unreachable, now);
    let later = now + Duration::from_secs(2);

    let may_first = tracker.accepts_work(ID, later);
    let _first = tracker.start(vec![share(ID)], later);
    let may_second = tracker.accepts_work(ID, later);

    assert!(may_first);
    assert!(!may_second);
}

#[test]
fn work_in_flight_ends_when_it_is_dropped() {
    let (tracker, now) = tracker();

    let first = tracker.start(vec![share(ID), share("e2")], now);
    let second = tracker.start(vec![share(ID)], now);
    drop(first);

    assert_eq!(tracker.in_flight(ID), 1);
    drop(second);
    assert_eq!(tracker.in_flight(ID), 0);
}

#[test]
fn an_endpoint_that_leaves_may_fall_silent_while_it_ends_what_it_has() {
    assert!(silence_means_loss(Some(Standing::Ready)));
    assert!(!silence_means_loss(Some(Standing::Leaving)));
    assert!(!silence_means_loss(None));
}

fn probes(of: &[(&str, Probe)]) -> Vec<(String, Probe)> {
    of.iter().map(|(id, probe)| ((*id).to_owned(), *probe)).collect()
}

#[test]
fn an_engine_that_refuses_a_call_while_a_stream_stands_still_is_lost() {
    let probes = probes(&[("a", Probe::Silent), ("b", Probe::Refused), ("c", Probe::Silent)]);

    let lost = lost_by_probes(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Refused)]);
}

#[test]
fn an_engine_that_is_silent_while_most_others_answer_is_lost() {
    let probes = probes(&[("a", Probe::Answered), ("b", Probe::Silent), ("c", Probe::Answered)]);

    let lost = lost_by_probes(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Silent)]);
}

#[test]
fn a_vm_that_hears_of_hardly_any_engine_takes_none_for_lost() {
    let probes = probes(&[("a", Probe::Silent), ("b", Probe::Silent), ("c", Probe::Answered)]);

    assert!(lost_by_probes(&probes).is_empty());
}

#[test]
fn an_engine_that_answered_a_moment_ago_need_not_be_asked() {
    let (tracker, now) = (Rc::new(EndpointTracker::default()), Instant::now());

    tracker.on_answer("a", now);

    assert!(tracker.answered_since("a", now));
    assert!(!tracker.answered_since("a", now + Duration::from_millis(1)));
    assert!(!tracker.answered_since("b", now));
}

#[test]
fn work_of_a_life_before_ends_without_a_trace_also_after_its_endpoint_was_forgotten() {
    let (tracker, now) = tracker();
    let before = tracker.start(vec![share(ID)], now);
    tracker.on_restart(ID, now);
    tracker.retain(|_| false);

    let _after = tracker.start(vec![share(ID)], now);
    drop(before);

    assert_eq!(tracker.in_flight(ID), 1);
}
