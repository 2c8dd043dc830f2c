//! When an engine is lost by what comes of asking it for reports.

use sillbank_gateway::placement::{KnownEngine, ReportOutcome};
use sillbank_gateway::prelude::EngineReport;

fn report() -> ReportOutcome {
    ReportOutcome::Reported(EngineReport {
        born_ms: None,
        layers: None,
        order_under_way: false,
        orders_taken: 0,
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
