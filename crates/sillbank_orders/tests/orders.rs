//! Engines are brought to what settings ask, one at a time, without losing a layer on the way.

use sillbank_core::prelude::*;
use sillbank_orders::{EngineView, ORDER_FLIGHT, Pace, Report, next_order};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(100);

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn engine(id: &str, wanted: LayerRange, held: LayerRange, now: Instant) -> EngineView {
    EngineView {
        id: id.to_owned(),
        pipeline: "p".to_owned(),
        wanted,
        checks_fences: true,
        report: Some(Report { layers: held, loading: false, at: now }),
    }
}

fn next(engines: &[EngineView], now: Instant) -> Option<String> {
    next_order(engines, &Pace::default(), now, LONG, PAUSE).map(|engine| engine.id.clone())
}

#[test]
fn an_engine_that_differs_is_named_if_another_serves_its_layers() {
    let now = Instant::now();
    let engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(0, 4), now)];

    assert_eq!(next(&engines, now).as_deref(), Some("a"));
}

#[test]
fn the_last_engine_that_serves_a_layer_stays() {
    let now = Instant::now();
    let engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(4, 8), now)];

    assert_eq!(next(&engines, now), None);
}

#[test]
fn one_order_at_a_time_and_at_the_stores_pace() {
    let now = Instant::now();
    let mut engines = vec![
        engine("a", range(4, 8), range(0, 4), now),
        engine("b", range(4, 8), range(0, 4), now),
        engine("c", range(0, 4), range(0, 4), now),
    ];
    let mut pace = Pace::default();
    pace.ordered("p", now);

    assert_eq!(next_order(&engines, &pace, now, LONG, PAUSE), None, "too soon");
    let later = now + PAUSE;
    engines[0].report = Some(Report { layers: range(0, 4), loading: true, at: later });
    assert_eq!(next_order(&engines, &pace, later, LONG, PAUSE), None, "one is loading");
}

#[test]
fn an_endpoint_that_does_not_check_fences_waits_for_orders_still_on_their_way() {
    let now = Instant::now();
    let mut engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(0, 4), now)];
    engines[0].checks_fences = false;

    let soon = next_order(&engines, &Pace::default(), now, ORDER_FLIGHT / 2, PAUSE);
    let later = next_order(&engines, &Pace::default(), now, ORDER_FLIGHT, PAUSE);

    assert_eq!(soon, None);
    assert!(later.is_some());
}

#[test]
fn an_old_report_moves_nothing() {
    let then = Instant::now();
    let now = then + Duration::from_secs(120);
    let engines =
        [engine("a", range(4, 8), range(0, 4), then), engine("b", range(0, 4), range(0, 4), now)];

    assert_eq!(next(&engines, now), None);
}

#[test]
fn whatever_is_ordered_no_asked_layer_loses_its_last_engine() {
    let mut orders = 0;
    for_fixed_seeds(300, 300, |u| {
        let start = Instant::now();
        let ranges = [range(0, 4), range(4, 8), range(0, 8)];
        let mut engines = Vec::new();
        for number in 0..u.int_in_range(2..=6)? {
            let (wanted, held) = (*u.choose(&ranges)?, *u.choose(&ranges)?);
            engines.push(engine(&format!("e{number}"), wanted, held, start));
        }
        let served = |engines: &[EngineView], layer: u16| {
            let holds = |r: LayerRange| (r.first..r.end).contains(&layer);
            engines.iter().any(|e| e.report.is_some_and(|r| !r.loading && holds(r.layers)))
        };
        let asked = |engines: &[EngineView], layer: u16| {
            engines.iter().any(|e| (e.wanted.first..e.wanted.end).contains(&layer))
        };
        let before: Vec<bool> = (0..8).map(|layer| served(&engines, layer)).collect();
        let mut pace = Pace::default();
        let mut now = start;
        for _ in 0..20 {
            now += PAUSE;
            engines.iter_mut().for_each(|e| e.report = e.report.map(|r| Report { at: now, ..r }));
            let Some(named) = next_order(&engines, &pace, now, LONG, PAUSE) else {
                break;
            };
            let (id, wanted) = (named.id.clone(), named.wanted);
            orders += 1;
            pace.ordered("p", now);
            let place = engines.iter().position(|e| e.id == id).expect("it is one of them");
            let loading = Report { layers: wanted, loading: true, at: now };
            engines[place].report = Some(loading);
            for layer in 0..8 {
                let kept = served(&engines, layer) || !asked(&engines, layer);
                assert!(kept || !before[usize::from(layer)], "layer {layer} is served by nobody");
            }
            engines[place].report = Some(Report { loading: false, ..loading });
        }
        Ok(())
    });
    assert!(orders > 200, "{orders}");
}
