//! What streams are foretold from what leaders tell of engines, and what is learnt from what they show.

use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_gateway::delivery::Delivery;
use sillbank_gateway::endpoints::EndpointBook;
use sillbank_gateway::feed::{EngineState, HallBoard};
use sillbank_gateway::forecasts::{Forecasts, Foretold};
use sillbank_gateway::hall::Hall;
use sillbank_gateway::knowledge::Knowledge;
use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::paths::{PathAsk, Views, choose_path};
use sillbank_gateway::revision::Revision;
use sillbank_gateway::store::Snapshot;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Seed of what chance adds to costs.
const SEED: u64 = 1;
const HOME: &str = "a";
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
        address: "10.0.0.9:80".parse().expect("an address"),
        hall: HOME.to_owned(),
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

/// What a stream over the only engine is foretold.
fn foretold(
    forecasts: &Forecasts,
    record: EndpointRecord,
    told: Option<EngineState>,
) -> Option<Foretold> {
    let now = Instant::now();
    let chance = SharedRng::with_seed(SEED);
    let (knowledge, hall) = (Knowledge::new(Duration::from_secs(5)), Hall::new(chance.clone()));
    knowledge.take_endpoints(now, Snapshot { at: Revision::new(1, 1), value: vec![record] });
    if let Some(state) = told {
        let leader = "10.0.0.1:7000".parse().expect("an address");
        let (hall_name, engines) = (HOME.to_owned(), vec![state]);
        let board = HallBoard {
            hall: hall_name,
            age_ms: 0,
            vms: 1,
            leader,
            is_whole: true,
            engines,
            demand: None,
        };
        hall.boards.keep(now, board);
    }
    let (book, service) = (EndpointBook::default(), service());
    let mechanisms = Mechanisms::default();
    let views = Views {
        knowledge: &knowledge,
        hall: &hall,
        book: &book,
        pushback: &RefCell::default(),
        mechanisms,
        chance: &chance,
        now,
    };
    let figures = service.engine.as_ref().expect("it has one");
    let demand = Demand::usual(figures);
    let ask = PathAsk { service: &service, figures, home: HOME, avoid: &[], demand };
    let path = choose_path(views, ask).expect("there is one");
    forecasts.foretell(views, ask, &path)
}

/// A stream sent 10 ms after it was read that showed the parts of what was foretold.
fn shown(foretold: &Foretold, first_part: f64, pause_part: f64) -> (Instant, Delivery) {
    let began = foretold.sent_at - Duration::from_millis(10);
    let first_at = foretold.sent_at + foretold.plain.first_event.mul_f64(first_part);
    let delivery = Delivery::default();
    delivery.on_event(began, first_at);
    delivery.on_event(began, first_at + foretold.plain.pause.mul_f64(pause_part));
    (began, delivery)
}

#[test]
fn a_stream_is_foretold_by_what_the_leader_tells_of_its_engines() {
    let forecasts = Forecasts::default();
    let of = |running, pace| {
        foretold(&forecasts, record("quick"), Some(state(running, pace))).expect("it is foretold")
    };

    let [idle, busy, slow] = [of(0, 1000), of(150, 1000), of(150, 4000)].map(|told| told.corrected);

    assert!(idle.first_event < busy.first_event && busy.first_event < slow.first_event);
    assert!(idle.pause < busy.pause && busy.pause < slow.pause);
}

#[test]
fn nothing_is_foretold_where_engines_are_not_known() {
    let forecasts = Forecasts::default();

    let told_by_no_leader = foretold(&forecasts, record("quick"), None);
    let unknown_kind = foretold(&forecasts, record("other"), Some(state(0, 1000)));

    assert_eq!([told_by_no_leader, unknown_kind], [None, None]);
}

#[test]
fn what_streams_show_corrects_what_is_foretold_of_their_hall() {
    let forecasts = Forecasts::default();
    let of = || foretold(&forecasts, record("quick"), Some(state(50, 1000))).expect("it is told");
    let first = of();

    for _ in 0..300 {
        let (began, delivery) = shown(&first, 1.5, 0.75);
        forecasts.on_shown(&first, began, &delivery, true);
    }
    let later = of();
    let (began, delivery) = shown(&later, 1.5, 0.75);
    let ratios = forecasts.on_shown(&later, began, &delivery, true);

    let is_one = |ratio: Option<f64>| ratio.is_some_and(|ratio| (0.97..1.03).contains(&ratio));
    assert_eq!(later.plain, first.plain);
    assert!(is_one(ratios.first_event) && is_one(ratios.pause), "{ratios:?}");
}

#[test]
fn without_learning_forecasts_stay_and_their_error_is_told() {
    let forecasts = Forecasts::default();
    let of = || foretold(&forecasts, record("quick"), Some(state(50, 1000))).expect("it is told");
    let first = of();

    let (began, delivery) = shown(&first, 3.0, 2.0);
    let ratios = forecasts.on_shown(&first, began, &delivery, false);

    assert_eq!(of().corrected, first.corrected);
    let near = |ratio: Option<f64>, wanted: f64| (ratio.expect("it is told") - wanted).abs() < 0.01;
    assert!(near(ratios.first_event, 3.0) && near(ratios.pause, 2.0), "{ratios:?}");
}

#[test]
fn a_stream_without_events_tells_nothing() {
    let forecasts = Forecasts::default();
    let told = foretold(&forecasts, record("quick"), Some(state(50, 1000))).expect("it is told");

    let ratios = forecasts.on_shown(&told, told.sent_at, &Delivery::default(), true);

    assert_eq!((ratios.first_event, ratios.pause), (None, None));
}
