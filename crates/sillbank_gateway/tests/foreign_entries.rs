//! What a leader does with entries of its hall behind which there is no engine.
#![allow(clippy::unwrap_used)]

use sillbank_gateway::placement::{
    EngineCounts, KnownEngines, PollTurns, ReportOutcome, TrackedEngine,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Interval of polling rounds.
const ROUND: Duration = Duration::from_millis(700);

fn ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}{number:04}")).collect()
}

/// Plans at a moment after the VM started to lead, with engines that have all reported once.
fn may_plan(after: Duration, counts: EngineCounts, is_first: bool) -> bool {
    let began_at = Instant::now();
    let mut engines = KnownEngines::new(began_at);
    engines.on_round(began_at, ids("e", counts.alive + counts.lost));
    engines.may_plan(began_at + after, counts, is_first)
}

/// Guards against a leader that takes entries without an engine for lost engines, and never places layers.
#[test]
fn engines_that_never_reported_count_as_lost_only_at_first() {
    let counts = EngineCounts { alive: 4, lost: 0, unknown: 2_000 };

    assert!(!may_plan(SECOND, counts, true));
    assert!(!may_plan(SECOND, counts, false));
    assert!(may_plan(5 * SECOND, counts, true));
    assert!(may_plan(5 * SECOND, counts, false));
    assert!(may_plan(SECOND, EngineCounts { unknown: 3, ..counts }, true));
}

/// Guards against a leader that is cut off from most engines and orders the others to take over their layers.
#[test]
fn engines_that_reported_and_are_lost_count_for_ever() {
    let counts = EngineCounts { alive: 4, lost: 4, unknown: 0 };

    assert!(!may_plan(3_600 * SECOND, counts, false));
    assert!(may_plan(SECOND, EngineCounts { lost: 3, ..counts }, false));
}

/// Guards against a first placement on the engines that happen to report first, and one that never comes as entries without an
/// engine come and go.
#[test]
fn a_first_placement_waits_until_the_engines_that_report_settle() {
    let began_at = Instant::now();
    let mut engines = KnownEngines::new(began_at);
    let counts = |alive| EngineCounts { alive, lost: 0, unknown: 1 };
    engines.on_round(began_at, ids("e", 3));
    engines.on_round(began_at + ROUND, ids("e", 4));

    assert!(!engines.may_plan(began_at + ROUND, counts(4), true));
    assert!(engines.may_plan(began_at + ROUND, counts(4), false));
    engines.on_round(began_at + 2 * ROUND, ids("e", 4));
    assert!(engines.may_plan(began_at + 2 * ROUND, counts(4), true));
}

/// Polls engines for some rounds with so many slots, of which those with an `e` report, and returns how often each was polled.
fn poll(engines: &[String], slots: usize, rounds: u32) -> BTreeMap<String, u32> {
    let mut tracked: BTreeMap<String, TrackedEngine> =
        engines.iter().map(|id| (id.clone(), TrackedEngine::default())).collect();
    let mut turns = PollTurns::default();
    let mut polled = BTreeMap::new();
    for _ in 0..rounds {
        for id in turns.next_round(slots, engines.iter(), |id| tracked.get(id)) {
            let outcome = match id.starts_with('e') {
                true => ReportOutcome::Reported(report()),
                false => ReportOutcome::Refused,
            };
            tracked.get_mut(&id).unwrap().on_polled(outcome, false, Instant::now());
            *polled.entry(id).or_default() += 1;
        }
    }
    polled
}

fn report() -> sillbank_gateway::prelude::EngineReport {
    sillbank_gateway::prelude::EngineReport {
        born_ms: None,
        layers: None,
        order_in_progress: false,
        orders_accepted: 0,
        waiting: 0,
        running: 0,
        kv_share: 0.0,
        pace: 1.0,
        stalled: Vec::new(),
    }
}

/// Guards against rounds of polls that take ever longer with entries without an engine, while the reports of sound engines age.
#[test]
fn engines_that_never_report_are_polled_in_turn() {
    let engines = [ids("e", 40), ids("x", 320)].concat();

    let polled = poll(&engines, 64, 24);

    assert!(polled.iter().filter(|(id, _)| id.starts_with('e')).all(|(_, polls)| *polls == 24));
    assert!(polled.iter().filter(|(id, _)| id.starts_with('x')).all(|(_, polls)| *polls == 6));
}

/// Guards against a leader that finds the engines of a large hall only after many rounds, as they were late to report.
#[test]
fn silent_engines_use_the_slots_that_others_leave_free() {
    for engines in [600, 1_200] {
        let engines = ids("x", engines);

        let polled = poll(&engines, 512, 4 + engines.len().div_ceil(512) as u32);

        assert!(polled.values().all(|polls| *polls >= 5));
    }
}

/// Guards against an engine that counts as one that never reports, as this VM had lost its link to it.
#[test]
fn a_lost_link_is_no_poll_without_a_report() {
    let engines = ids("x", 100);
    let mut unreached = TrackedEngine::default();
    (0..10).for_each(|_| unreached.on_polled(ReportOutcome::Unknown, false, Instant::now()));

    let polled = PollTurns::default().next_round(16, engines.iter(), |_| Some(&unreached));

    assert_eq!(polled.len(), 100);
}

/// An engine that reported once is polled in each round, however long it is silent.
#[test]
fn an_engine_that_reported_is_polled_in_each_round() {
    let engines = ids("x", 100);
    let mut lost = TrackedEngine::default();
    lost.on_polled(ReportOutcome::Reported(report()), false, Instant::now());
    let mut unknown = TrackedEngine::default();
    for _ in 0..10 {
        lost.on_polled(ReportOutcome::Missed, false, Instant::now());
        unknown.on_polled(ReportOutcome::Missed, false, Instant::now());
    }
    let find = |id: &String| Some(if id == "x0099" { &lost } else { &unknown });

    let polled = PollTurns::default().next_round(16, engines.iter(), find);

    assert!(polled.contains("x0099"));
    assert_eq!(polled.len(), 33);
}
