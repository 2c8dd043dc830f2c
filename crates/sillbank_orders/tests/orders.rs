//! Engines are moved to their assigned layers one at a time, and no layer is left without an
//! engine.

use sillbank_core::prelude::*;
use sillbank_orders::{EngineView, MAX_ORDER_TRANSIT, OrderRateLimiter, Report, next_order};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(100);

fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

fn engine(id: &str, assigned: LayerRange, held: LayerRange, now: Instant) -> EngineView {
    EngineView {
        id: id.to_owned(),
        pipeline: "p".to_owned(),
        assigned,
        checks_fences: true,
        report: Some(Report { layers: held, loading: false, at: now }),
    }
}

fn next(engines: &[EngineView], now: Instant) -> Option<String> {
    next_order(engines, &OrderRateLimiter::default(), now, LONG, PAUSE)
        .map(|engine| engine.id.clone())
}

/// An engine with other layers than assigned gets an order if a second engine serves its current
/// layers.
#[test]
fn engine_off_assignment_gets_order_if_another_serves_its_layers() {
    let now = Instant::now();
    let engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(0, 4), now)];

    assert_eq!(next(&engines, now).as_deref(), Some("a"));
}

/// An engine is not moved while no other engine serves its layers.
#[test]
fn last_engine_serving_a_layer_gets_no_order() {
    let now = Instant::now();
    let engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(4, 8), now)];

    assert_eq!(next(&engines, now), None);
}

/// No order is given within the pause after the last one, or while an engine of the pipeline loads.
#[test]
fn orders_are_rate_limited_and_wait_for_running_load() {
    let now = Instant::now();
    let mut engines = vec![
        engine("a", range(4, 8), range(0, 4), now),
        engine("b", range(4, 8), range(0, 4), now),
        engine("c", range(0, 4), range(0, 4), now),
    ];
    let mut limiter = OrderRateLimiter::default();
    limiter.record_order("p", now);

    assert_eq!(next_order(&engines, &limiter, now, LONG, PAUSE), None, "too soon");
    let later = now + PAUSE;
    engines[0].report = Some(Report { layers: range(0, 4), loading: true, at: later });
    assert_eq!(next_order(&engines, &limiter, later, LONG, PAUSE), None, "one is loading");
}

/// A new lease holder gives no orders to an endpoint that does not check fences until orders of the
/// previous holder can no longer arrive.
#[test]
fn endpoint_without_fence_check_gets_no_order_while_old_ones_are_in_flight() {
    let now = Instant::now();
    let mut engines =
        [engine("a", range(4, 8), range(0, 4), now), engine("b", range(0, 4), range(0, 4), now)];
    engines[0].checks_fences = false;

    let soon =
        next_order(&engines, &OrderRateLimiter::default(), now, MAX_ORDER_TRANSIT / 2, PAUSE);
    let later = next_order(&engines, &OrderRateLimiter::default(), now, MAX_ORDER_TRANSIT, PAUSE);

    assert_eq!(soon, None);
    assert!(later.is_some());
}

/// An engine whose last report is stale gets no order.
#[test]
fn stale_report_causes_no_order() {
    let then = Instant::now();
    let now = then + Duration::from_secs(120);
    let engines =
        [engine("a", range(4, 8), range(0, 4), then), engine("b", range(0, 4), range(0, 4), now)];

    assert_eq!(next(&engines, now), None);
}

/// Whatever layers engines hold and are assigned, an assigned layer that is served stays served.
#[test]
fn no_assigned_layer_loses_its_last_engine() {
    let mut orders = 0;
    for_fixed_seeds(300, 300, |u| {
        let start = Instant::now();
        let ranges = [range(0, 4), range(4, 8), range(0, 8)];
        let mut engines = Vec::new();
        for number in 0..u.int_in_range(2..=6)? {
            let (assigned, held) = (*u.choose(&ranges)?, *u.choose(&ranges)?);
            engines.push(engine(&format!("e{number}"), assigned, held, start));
        }
        let is_served = |engines: &[EngineView], layer: u16| {
            let holds = |r: LayerRange| (r.first..r.end).contains(&layer);
            engines.iter().any(|e| e.report.is_some_and(|r| !r.loading && holds(r.layers)))
        };
        let is_assigned = |engines: &[EngineView], layer: u16| {
            engines.iter().any(|e| (e.assigned.first..e.assigned.end).contains(&layer))
        };
        let before: Vec<bool> = (0..8).map(|layer| is_served(&engines, layer)).collect();
        let mut limiter = OrderRateLimiter::default();
        let mut now = start;
        for _ in 0..20 {
            now += PAUSE;
            engines.iter_mut().for_each(|e| e.report = e.report.map(|r| Report { at: now, ..r }));
            let Some(named) = next_order(&engines, &limiter, now, LONG, PAUSE) else {
                break;
            };
            let (id, assigned) = (named.id.clone(), named.assigned);
            orders += 1;
            limiter.record_order("p", now);
            let index = engines.iter().position(|e| e.id == id).expect("it is one of them");
            let loading = Report { layers: assigned, loading: true, at: now };
            engines[index].report = Some(loading);
            for layer in 0..8 {
                let is_allowed = is_served(&engines, layer) || !is_assigned(&engines, layer);
                assert!(
                    is_allowed || !before[usize::from(layer)],
                    "no engine serves layer {layer}"
                );
            }
            engines[index].report = Some(Report { loading: false, ..loading });
        }
        Ok(())
    });
    assert!(orders > 200, "{orders}");
}
