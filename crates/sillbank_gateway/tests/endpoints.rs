//! What is seen of endpoints decides who is left alone, and for how long.

use sillbank_fleet::prelude::*;
use sillbank_gateway::endpoints::{EndpointBook, Evidence, Share};
use sillbank_gateway::probes::{Probe, lost_engines, silence_means_loss};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ID: &str = "e1";

fn share(endpoint: &str) -> Share {
    Share { endpoint: endpoint.to_owned(), kv: 0.0 }
}

fn book() -> (Rc<EndpointBook>, Instant) {
    (Rc::default(), Instant::now())
}

#[test]
fn lost_answers_and_refusals_exclude_no_engine() {
    let (book, now) = book();

    book.on_evidence(ID, Evidence::Failed, now);
    book.on_evidence(ID, Evidence::LacksPart, now);

    assert!(book.may_run_part(ID));
    assert!(book.use_cost_ms(ID, now) > 100.0);
    assert!(book.use_cost_ms(ID, now + Duration::from_secs(1)) < 100.0);
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_left_alone_until_it_answers() {
    let (book, now) = book();

    book.on_evidence(ID, Evidence::Unreachable, now);
    let due_at_once = book.due_for_probe(now);
    let due_later = book.due_for_probe(now + Duration::from_secs(1));
    book.on_evidence(ID, Evidence::Good, now + Duration::from_secs(1));

    assert!(due_at_once.is_empty());
    assert_eq!(due_later, vec![ID.to_owned()]);
    assert!(book.may_run_part(ID));
}

#[test]
fn only_losses_after_a_send_count_against_it() {
    let (book, now) = book();
    let sent_before = now - Duration::from_secs(1);
    let sent_after = now + Duration::from_secs(1);

    book.on_evidence(ID, Evidence::Unreachable, now);

    assert!(book.ejected_since(ID, sent_before));
    assert!(!book.ejected_since(ID, sent_after));
}

#[test]
fn an_endpoint_that_fails_most_requests_is_left_alone() {
    let (book, now) = book();

    let changes = (0..10).filter(|_| book.on_evidence(ID, Evidence::Failed, now)).count();

    assert!(changes > 0);
    assert!(book.is_ejected(ID));
}

#[test]
fn an_endpoint_that_fails_one_request_in_seven_is_not() {
    let (book, now) = book();

    for number in 0..200 {
        let evidence = if number % 7 == 0 { Evidence::Failed } else { Evidence::Good };
        book.on_evidence(ID, evidence, now);
    }

    assert!(!book.is_ejected(ID));
}

#[test]
fn a_lost_plain_endpoint_is_tried_by_one_request_at_a_time() {
    let (book, now) = book();
    book.on_evidence(ID, Evidence::Unreachable, now);
    let later = now + Duration::from_secs(2);

    let may_first = book.takes_work(ID, later);
    let _first = book.begin(vec![share(ID)], later);
    let may_second = book.takes_work(ID, later);

    assert!(may_first);
    assert!(!may_second);
}

#[test]
fn work_in_flight_ends_when_it_is_dropped() {
    let (book, now) = book();

    let first = book.begin(vec![share(ID), share("e2")], now);
    let second = book.begin(vec![share(ID)], now);
    drop(first);

    assert_eq!(book.in_flight(ID), 1);
    drop(second);
    assert_eq!(book.in_flight(ID), 0);
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

    let lost = lost_engines(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Refused)]);
}

#[test]
fn an_engine_that_is_silent_while_most_others_answer_is_lost() {
    let probes = probes(&[("a", Probe::Answered), ("b", Probe::Silent), ("c", Probe::Answered)]);

    let lost = lost_engines(&probes);

    assert_eq!(lost, vec![("b".to_owned(), Probe::Silent)]);
}

#[test]
fn a_vm_that_hears_of_hardly_any_engine_takes_none_for_lost() {
    let probes = probes(&[("a", Probe::Silent), ("b", Probe::Silent), ("c", Probe::Answered)]);

    assert!(lost_engines(&probes).is_empty());
}

#[test]
fn an_engine_that_answered_a_moment_ago_need_not_be_asked() {
    let (book, now) = (Rc::new(EndpointBook::default()), Instant::now());

    book.on_answer("a", now);

    assert!(book.answered_since("a", now));
    assert!(!book.answered_since("a", now + Duration::from_millis(1)));
    assert!(!book.answered_since("b", now));
}

#[test]
fn work_of_a_life_before_ends_without_a_trace_also_after_its_endpoint_was_forgotten() {
    let (book, now) = book();
    let before = book.begin(vec![share(ID)], now);
    book.on_new_life(ID, now);
    book.retain(|_| false);

    let _after = book.begin(vec![share(ID)], now);
    drop(before);

    assert_eq!(book.in_flight(ID), 1);
}
