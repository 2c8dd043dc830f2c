//! Endpoint health and the choice of chains.
#![allow(clippy::unwrap_used)]

use sillbank_core::prelude::*;
use sillbank_protocol::engine::EngineLoad;
use sillbank_routing::chain::EarliestFinish;
use sillbank_routing::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

fn spec(id: &str, first: u16, end: u16) -> EndpointSpec {
    EndpointSpec {
        id: id.to_owned(),
        hall: "hall1".to_owned(),
        kind: "k1".to_owned(),
        pipeline: "p".to_owned(),
        layers: LayerRange { first, end },
        address: "127.0.0.1:1".to_owned(),
        leaving: false,
    }
}

fn table(specs: &[EndpointSpec], now: Instant) -> EndpointTable {
    let mut table = EndpointTable::new(HealthLimits::default());
    for spec in specs {
        let slot = table.upsert(spec.clone(), now).unwrap();
        table.get_mut(slot).connected = true;
    }
    table
}

fn load(run_us: u32) -> EngineLoad {
    EngineLoad { run_us, batch: 4, ..EngineLoad::default() }
}

fn request() -> ChainRequest<'static> {
    let layers = LayerRange { first: 0, end: 6 };
    ChainRequest {
        pipeline: "p",
        layers,
        kv_tokens: 10,
        prefill_tokens: 4,
        tokens: 6,
        excluded: None,
    }
}

fn choose(table: &EndpointTable, now: Instant) -> Option<Vec<ChainLink>> {
    let mut rng = fastrand::Rng::with_seed(1);
    choose_chain(table, &request(), &mut EarliestFinish, now, &mut rng)
}

/// A chain is found whenever one exists, and it covers each layer once, in order, by endpoints that hold it.
#[test]
fn chosen_chain_covers_each_layer_once_in_order() {
    let now = Instant::now();
    for_fixed_seeds(200, 256, |u| {
        let mut specs = Vec::new();
        for number in 0..u.int_in_range(1..=12)? {
            let first = u.int_in_range(0..=5)?;
            let end = u.int_in_range(first + 1..=6)?;
            specs.push(spec(&format!("e{number}"), first, end));
        }
        let reachable = |goal: u16| {
            let mut at = 0;
            while let Some(end) = specs
                .iter()
                .map(|s| s.layers)
                .filter(|l| l.first <= at && l.end > at)
                .map(|l| l.end)
                .max()
            {
                at = end;
            }
            at >= goal
        };

        let chain = choose(&table(&specs, now), now);

        assert_eq!(chain.is_some(), reachable(6));
        let mut at = 0;
        for link in chain.iter().flatten() {
            let held = specs[link.endpoint as usize].layers;
            assert_eq!(link.layers.first, at);
            assert!(held.first <= link.layers.first && link.layers.end <= held.end);
            at = link.layers.end;
        }
        Ok(())
    });
}

/// An ejected endpoint is used only if all others are ejected too.
#[test]
fn ejected_endpoint_is_used_only_as_last_resort() {
    let now = Instant::now();
    let mut table = table(&[spec("a", 0, 6), spec("b", 0, 6)], now);
    table.get_mut(0).health.on_event(now, HealthEvent::Failure);

    let with_other = choose(&table, now).unwrap();
    table.get_mut(1).health.on_event(now, HealthEvent::Failure);
    let without_other = choose(&table, now);

    assert_eq!(with_other[0].endpoint, 1);
    assert!(without_other.is_some(), "a hall cannot eject all of its endpoints");
}

/// A leaving endpoint receives no new requests, even if there is no other.
#[test]
fn leaving_endpoint_is_never_chosen() {
    let now = Instant::now();
    let mut table = table(&[spec("a", 0, 6)], now);
    table.upsert(EndpointSpec { leaving: true, ..spec("a", 0, 6) }, now);

    assert_eq!(choose(&table, now), None);
}

/// The faster endpoint is chosen, until many requests were added to it since its last load report.
#[test]
fn faster_endpoint_is_preferred_until_requests_were_added() {
    let now = Instant::now();
    let mut table = table(&[spec("slow", 0, 6), spec("quick", 0, 6)], now);
    for _ in 0..50 {
        table.get_mut(0).cost.observe(Duration::from_millis(9), &load(8000), 1);
        table.get_mut(1).cost.observe(Duration::from_millis(3), &load(2500), 1);
    }

    let first = choose(&table, now).unwrap()[0].endpoint;
    table.get_mut(1).added_since_report = 60;
    let later = choose(&table, now).unwrap()[0].endpoint;

    assert_eq!((first, later), (1, 0));
}

/// An endpoint with too little free KV cache for the request is not chosen if there is another.
#[test]
fn endpoint_without_free_kv_cache_is_avoided() {
    let now = Instant::now();
    let mut table = table(&[spec("full", 0, 6), spec("free", 0, 6)], now);
    table.get_mut(0).kv_free_tokens = Some(9);

    assert_eq!(choose(&table, now).unwrap()[0].endpoint, 1);
}

/// An ejected endpoint returns after a successful probe and receives a growing share during its slow start.
#[test]
fn ejected_endpoint_returns_by_probe_and_slow_start() {
    let limits = HealthLimits::default();
    let start = Instant::now();
    let mut health = Health::new(start);
    health.on_event(start, HealthEvent::Failure);
    assert!(!health.probe_due(start, &limits));
    let due = start + limits.base_ejection;
    assert!(health.probe_due(due, &limits));

    health.on_event(due, HealthEvent::ProbeOk);

    assert_eq!(health.state(), HealthState::Returning);
    assert!(health.share(due, &limits) < 0.2);
    let later = due + limits.slow_start;
    health.on_tick(later, &limits);
    assert_eq!(health.state(), HealthState::Active);
}

/// Each failed probe doubles the ejection time, up to its limit.
#[test]
fn failed_probe_doubles_ejection_up_to_the_limit() {
    let limits = HealthLimits::default();
    let mut now = Instant::now();
    let mut health = Health::new(now);
    health.on_event(now, HealthEvent::Failure);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let ejected_at = now;
        while !health.probe_due(now, &limits) {
            now += Duration::from_millis(100);
        }
        waits.push(now - ejected_at);
        health.on_event(now, HealthEvent::ProbeFailed);
    }

    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
    assert_eq!(waits[7], limits.max_ejection);
}

/// Outstanding prefills make an endpoint more expensive and extend the time that it may stay silent.
#[test]
fn outstanding_prefills_raise_cost_and_silence_limit() {
    let now = Instant::now();
    let mut table = table(&[spec("busy", 0, 6), spec("free", 0, 6)], now);
    for slot in [0, 1] {
        for _ in 0..50 {
            table.get_mut(slot).cost.observe(Duration::from_millis(3), &load(2500), 1);
            table.get_mut(slot).cost.observe(Duration::from_millis(100), &load(2500), 100);
        }
    }
    table.get_mut(0).prefill_outstanding = 2000;

    let chosen = choose(&table, now).unwrap()[0].endpoint;
    let ceiling = Duration::from_millis(500);
    let limit = table.get(0).cost.silence_limit(2000, ceiling);

    assert_eq!(chosen, 1);
    assert!(limit > Duration::from_secs(2), "2000 positions take 2 s: {limit:?}");
}

/// An endpoint whose address changes gets a new slot, and the old slot is no longer present.
#[test]
fn endpoint_with_new_address_gets_a_new_slot() {
    let now = Instant::now();
    let mut table = table(&[spec("a", 0, 6)], now);

    let slot =
        table.upsert(EndpointSpec { address: "127.0.0.1:2".to_owned(), ..spec("a", 0, 6) }, now);

    assert_eq!(slot, Some(1));
    assert!(!table.get(0).present);
}

/// The time that an endpoint may stay silent depends on its own usual step time.
#[test]
fn silence_limit_follows_step_time_of_the_endpoint() {
    let ceiling = Duration::from_secs(1);
    let mut table = table(&[spec("quick", 0, 6), spec("slow", 0, 6)], Instant::now());
    for _ in 0..50 {
        table.get_mut(0).cost.observe(Duration::from_millis(3), &load(2500), 1);
        table.get_mut(1).cost.observe(Duration::from_millis(80), &load(70_000), 1);
    }

    let fast = table.get(0).cost.silence_limit(0, ceiling);
    let slow = table.get(1).cost.silence_limit(0, ceiling);

    assert!(fast < Duration::from_millis(200), "{fast:?}");
    assert!(slow > Duration::from_millis(400) && slow < ceiling, "{slow:?}");
}
