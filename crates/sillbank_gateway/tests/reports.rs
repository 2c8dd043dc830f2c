//! When engines are polled for reports, and when missing reports make an engine count as lost.

use sillbank_gateway::placement::{ReportOutcome, ReportSchedule, TrackedEngine};
use sillbank_gateway::prelude::EngineReport;
use std::time::{Duration, Instant};

fn report() -> ReportOutcome {
    ReportOutcome::Reported(EngineReport {
        born_ms: None,
        layers: None,
        order_in_progress: false,
        orders_accepted: 0,
        waiting: 0,
        running: 0,
        kv_share: 0.0,
        pace: 1.0,
        stalled: Vec::new(),
    })
}

fn healthy() -> TrackedEngine {
    let mut engine = TrackedEngine::default();
    engine.on_polled(report(), false, Instant::now());
    engine
}

/// A refused connection makes an engine count as lost at once.
#[test]
fn an_engine_whose_address_refuses_a_call_is_lost_at_once() {
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Refused, false, Instant::now());

    assert!(engine.report.is_none());
}

/// Only two consecutive missing reports make an engine count as lost.
#[test]
fn one_missing_report_is_no_loss_and_two_in_a_row_are() {
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Missed, false, Instant::now());
    assert!(engine.report.is_some());
    engine.on_polled(report(), false, Instant::now());
    engine.on_polled(ReportOutcome::Missed, false, Instant::now());
    assert!(engine.report.is_some());
    engine.on_polled(ReportOutcome::Missed, false, Instant::now());

    assert!(engine.report.is_none());
}

/// One missing report suffices if the VM's own exchanges with the engine failed.
#[test]
fn a_missing_report_of_an_engine_that_failed_requests_is_a_loss() {
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Missed, true, Instant::now());

    assert!(engine.report.is_none());
}

/// A report makes a lost engine usable again.
#[test]
fn an_engine_that_reports_again_is_back() {
    let mut engine = healthy();
    engine.on_polled(ReportOutcome::Refused, false, Instant::now());

    engine.on_polled(report(), false, Instant::now());

    assert!(engine.report.is_some());
}

const INTERVAL: Duration = Duration::from_millis(700);

/// A schedule whose last round began `ago` before `now`.
fn schedule_with_round(now: Instant, ago: Duration, found_engines: bool) -> ReportSchedule {
    let mut schedule = ReportSchedule::default();
    schedule.on_round_started(
        now.checked_sub(ago).expect("the machine has run for a while"),
        found_engines,
    );
    schedule
}

/// Rounds start one interval apart, the first at once.
#[test]
fn engines_are_polled_again_after_the_interval() {
    let now = Instant::now();
    let is_due = |ago| schedule_with_round(now, ago, true).is_due(now, INTERVAL, true);

    assert!(ReportSchedule::default().is_due(now, INTERVAL, false));
    assert!(!is_due(INTERVAL / 2));
    assert!(is_due(INTERVAL));
}

/// After a round without engines the next one starts as soon as there are some. A new leader
/// receives its configuration before its endpoints.
#[test]
fn engines_are_polled_as_soon_as_they_are_known() {
    let now = Instant::now();
    let schedule = schedule_with_round(now, Duration::from_millis(1), false);

    assert!(!schedule.is_due(now, INTERVAL, false));
    assert!(schedule.is_due(now, INTERVAL, true));
}

/// Guards against layers of a sound engine being ordered elsewhere because it was silent for a second or so.
#[test]
fn a_silent_engine_keeps_its_layers_for_a_while_and_gets_no_requests() {
    let start = Instant::now();
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Missed, true, start);

    assert!(engine.report.is_none());
    assert!(engine.planned_report(start + Duration::from_millis(900)).is_some());
    assert!(engine.planned_report(start + Duration::from_millis(1_000)).is_none());
}

#[test]
fn an_engine_that_refuses_connections_keeps_no_layers() {
    let start = Instant::now();
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Missed, true, start);
    engine.on_polled(ReportOutcome::Refused, true, start);

    assert!(engine.planned_report(start).is_none());
}

#[test]
fn the_silence_counts_from_the_first_missing_report() {
    let start = Instant::now();
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Missed, false, start);
    engine.on_polled(ReportOutcome::Missed, false, start + Duration::from_millis(700));

    assert!(engine.planned_report(start + Duration::from_millis(1_000)).is_none());
}

/// Guards against a leader that has lost its links and reports its engines as lost.
#[test]
fn what_no_vm_can_tell_changes_nothing() {
    let mut engine = healthy();

    engine.on_polled(ReportOutcome::Unknown, true, Instant::now());

    assert!(engine.report.is_some());
}
