//! When engines are asked for reports, and when one is lost by what comes of that.

use sillbank_gateway::placement::{KnownEngine, ReportOutcome, ReportRounds};
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

fn well() -> KnownEngine {
    let mut engine = KnownEngine::default();
    engine.on_asked(report(), false);
    engine
}

#[test]
fn an_engine_whose_address_refuses_a_call_is_lost_at_once() {
    let mut engine = well();

    engine.on_asked(ReportOutcome::Refused, false);

    assert!(engine.report.is_none());
}

#[test]
fn one_missing_report_is_no_loss_and_two_in_a_row_are() {
    let mut engine = well();

    engine.on_asked(ReportOutcome::Missed, false);
    assert!(engine.report.is_some());
    engine.on_asked(report(), false);
    engine.on_asked(ReportOutcome::Missed, false);
    assert!(engine.report.is_some());
    engine.on_asked(ReportOutcome::Missed, false);

    assert!(engine.report.is_none());
}

#[test]
fn a_missing_report_of_an_engine_that_failed_requests_is_a_loss() {
    let mut engine = well();

    engine.on_asked(ReportOutcome::Missed, true);

    assert!(engine.report.is_none());
}

#[test]
fn an_engine_that_reports_again_is_back() {
    let mut engine = well();
    engine.on_asked(ReportOutcome::Refused, false);

    engine.on_asked(report(), false);

    assert!(engine.report.is_some());
}

const INTERVAL: Duration = Duration::from_millis(700);

/// Rounds of which the last began `ago` before `now`.
fn rounds_begun(now: Instant, ago: Duration, found_engines: bool) -> ReportRounds {
    let mut rounds = ReportRounds::default();
    rounds.on_begun(now.checked_sub(ago).expect("the machine has run for a while"), found_engines);
    rounds
}

#[test]
fn engines_are_asked_again_after_the_interval() {
    let now = Instant::now();
    let is_due = |ago| rounds_begun(now, ago, true).is_due(now, INTERVAL, true);

    assert!(ReportRounds::default().is_due(now, INTERVAL, false));
    assert!(!is_due(INTERVAL / 2));
    assert!(is_due(INTERVAL));
}

/// A leader that begins has its configuration before its endpoints.
#[test]
fn engines_are_asked_as_soon_as_they_are_known() {
    let now = Instant::now();
    let rounds = rounds_begun(now, Duration::from_millis(1), false);

    assert!(!rounds.is_due(now, INTERVAL, false));
    assert!(rounds.is_due(now, INTERVAL, true));
}
