//! Forecasts of streams from the leaders' reports of engines, and what is learned from observed
//! streams.

use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_gateway::delivery::Delivery;
use sillbank_gateway::demand_share::DemandShares;
use sillbank_gateway::endpoints::EndpointTracker;
use sillbank_gateway::feed::{EngineState, HallReport};
use sillbank_gateway::forecasts::{Forecasts, StreamForecast};
use sillbank_gateway::hall::Hall;
use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::paths::{PathRequest, RoutingContext, choose_path};
use sillbank_gateway::platform_view::PlatformView;
use sillbank_gateway::revision::Revision;
use sillbank_gateway::store::Snapshot;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Seed of the random part of path costs.
const SEED: u64 = 1;
const LOCAL_HALL: &str = "a";
const LAYERS: LayerRange = LayerRange { first: 0, end: 20 };

fn service() -> Service {
    let accelerator = AcceleratorFigures {
        kind: "quick".to_owned(),
        memory_mb: 60_000.0,
        step_factor: 3.1,
        prefill_factor: 3.1,
    };
    let engine = EngineFigures {
        slots: 192,
        layers: LAYERS.end,
        layer_mb: 1750.0,
        kv_token_bytes: 100_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.003,
        step_ms_per_k_context: 0.006,
        steps_per_pass: 5,
        prefill_tokens_per_s: 252_000.0,
        prefill_ms_per_m_pairs: 0.2,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 154,
        load_ms: 14_000.0,
        loads_at_once: 6,
        report_lag_ms: 200.0,
        accelerators: vec![accelerator],
    };
    Service {
        name: "gen".to_owned(),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        engine: Some(engine),
    }
}

fn record(accelerator: &str) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        service: "gen".to_owned(),
        address: "10.0.0.9:80".parse().expect("valid address"),
        hall: LOCAL_HALL.to_owned(),
        standing: Standing::Ready,
        slots: 192,
        accelerator: Some(accelerator.to_owned()),
        layers: Some(LAYERS),
        born_ms: None,
    }
}

fn state(running: u32, pace_permille: u32) -> EngineState {
    EngineState {
        id: "e".to_owned(),
        is_lost: false,
        layers: Some(LAYERS),
        waiting: 0,
        running,
        kv_permille: 0,
        pace_permille,
        born_ms: None,
    }
}

/// Forecast for a stream over the only engine.
fn predict(
    forecasts: &Forecasts,
    record: EndpointRecord,
    reported: Option<EngineState>,
) -> Option<StreamForecast> {
    let now = Instant::now();
    let rng = SharedRng::with_seed(SEED);
    let (platform, hall) = (PlatformView::new(Duration::from_secs(5)), Hall::new(rng.clone()));
    platform.apply_listing(now, Snapshot { at: Revision::new(1, 1), value: vec![record] });
    if let Some(state) = reported {
        let leader = "10.0.0.1:7000".parse().expect("valid address");
        let (hall_name, engines) = (LOCAL_HALL.to_owned(), vec![state]);
        let board = HallReport {
            hall: hall_name,
            age_ms: 0,
            vms: 1,
            leader,
            is_complete: true,
            engines,
            demand: None,
        };
        hall.reports.insert(now, board);
    }
    let (endpoint_tracker, service) = (EndpointTracker::default(), service());
    let mechanisms = Mechanisms::default();
    let context = RoutingContext {
        platform: &platform,
        hall: &hall,
        endpoint_tracker: &endpoint_tracker,
        pushback: &RefCell::default(),
        demand_shares: &DemandShares::default(),
        mechanisms,
        rng: &rng,
        now,
    };
    let figures = service.engine.as_ref().expect("the service has engine figures");
    let demand = RequestSize::usual(figures);
    let request =
        PathRequest { service: &service, figures, local_hall: LOCAL_HALL, avoid: &[], demand };
    let path = choose_path(context, request).expect("a path exists");
    forecasts.predict(context, request, &path)
}

/// A stream, received 10 ms before it was sent, that took `first_event_ratio` and `pause_ratio` of the
/// forecast times.
fn observed(
    forecast: &StreamForecast,
    first_event_ratio: f64,
    pause_ratio: f64,
) -> (Instant, Delivery) {
    let received_at = forecast.sent_at - Duration::from_millis(10);
    let first_at = forecast.sent_at + forecast.uncorrected.first_event.mul_f64(first_event_ratio);
    let delivery = Delivery::default();
    delivery.on_event(received_at, first_at);
    delivery.on_event(received_at, first_at + forecast.uncorrected.pause.mul_f64(pause_ratio));
    (received_at, delivery)
}

/// A forecast grows with the load and the slowdown that the leader reports of the engine.
#[test]
fn forecast_grows_with_reported_load_and_pace() {
    let forecasts = Forecasts::default();
    let of = |running, pace| {
        predict(&forecasts, record("quick"), Some(state(running, pace))).expect("a forecast exists")
    };

    let [idle, busy, slow] =
        [of(0, 1000), of(150, 1000), of(150, 4000)].map(|forecast| forecast.corrected);

    assert!(idle.first_event < busy.first_event && busy.first_event < slow.first_event);
    assert!(idle.pause < busy.pause && busy.pause < slow.pause);
}

/// There is no forecast without a leader's report or figures of the accelerator.
#[test]
fn no_forecast_for_unknown_engines() {
    let forecasts = Forecasts::default();

    let without_report = predict(&forecasts, record("quick"), None);
    let unknown_kind = predict(&forecasts, record("other"), Some(state(0, 1000)));

    assert_eq!([without_report, unknown_kind], [None, None]);
}

/// After enough observations with a constant error, the corrected forecast matches them.
#[test]
fn observations_correct_forecasts_of_their_hall() {
    let forecasts = Forecasts::default();
    let of = || predict(&forecasts, record("quick"), Some(state(50, 1000))).expect("known");
    let first = of();

    for _ in 0..300 {
        let (received_at, delivery) = observed(&first, 1.5, 0.75);
        forecasts.record_observed(&first, received_at, &delivery, true);
    }
    let later = of();
    let (received_at, delivery) = observed(&later, 1.5, 0.75);
    let ratios = forecasts.record_observed(&later, received_at, &delivery, true);

    let is_one = |ratio: Option<f64>| ratio.is_some_and(|ratio| (0.97..1.03).contains(&ratio));
    assert_eq!(later.uncorrected, first.uncorrected);
    assert!(is_one(ratios.first_event) && is_one(ratios.pause), "{ratios:?}");
}

/// With learning off, forecasts do not change and the ratios show the error.
#[test]
fn without_learning_only_the_error_is_reported() {
    let forecasts = Forecasts::default();
    let of = || predict(&forecasts, record("quick"), Some(state(50, 1000))).expect("known");
    let first = of();

    let (received_at, delivery) = observed(&first, 3.0, 2.0);
    let ratios = forecasts.record_observed(&first, received_at, &delivery, false);

    assert_eq!(of().corrected, first.corrected);
    let near = |ratio: Option<f64>, wanted: f64| (ratio.expect("known") - wanted).abs() < 0.01;
    assert!(near(ratios.first_event, 3.0) && near(ratios.pause, 2.0), "{ratios:?}");
}

/// A stream without events yields no ratios.
#[test]
fn stream_without_events_has_no_ratios() {
    let forecasts = Forecasts::default();
    let forecast = predict(&forecasts, record("quick"), Some(state(50, 1000))).expect("known");

    let ratios = forecasts.record_observed(&forecast, forecast.sent_at, &Delivery::default(), true);

    assert_eq!((ratios.first_event, ratios.pause), (None, None));
}
