//! Tests of stream forecasts, against times measured on a deployment and for any figures.

use sillbank_catalog::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(250);
const FAST: &str = "a100";
const MIDDLE: &str = "l40s";
const SLOW: &str = "l4";

/// Figures of a deployment whose event times are known.
fn figures() -> EngineFigures {
    let kinds =
        [(FAST, 72_000.0, 2.4, 3.2), (MIDDLE, 43_200.0, 5.6, 2.7), (SLOW, 21_600.0, 16.0, 8.2)];
    let accelerators = kinds.map(|(kind, memory_mb, step_factor, prefill_factor)| {
        AcceleratorFigures { kind: kind.to_owned(), memory_mb, step_factor, prefill_factor }
    });
    EngineFigures {
        slots: 192,
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 590_000.0,
        step_ms: 1.02,
        step_ms_per_request: 0.00459,
        step_ms_per_k_context: 0.00615,
        steps_per_pass: 5,
        prefill_tokens_per_s: 164_000.0,
        prefill_ms_per_m_pairs: 0.199,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 775,
        usual_answer_tokens: 223,
        load_ms: 14_000.0,
        loads_at_once: 14,
        report_lag_ms: 200.0,
        accelerators: accelerators.to_vec(),
    }
}

fn load<'a>(figures: &'a EngineFigures, kind: &str, layers: usize, running: f64) -> EngineLoad<'a> {
    let kind = figures.accelerator(kind).expect("it is known");
    EngineLoad { kind, layers, running, waiting: 0.0, pace: 1.0 }
}

fn predicted(figures: &EngineFigures, parts: &[EngineLoad<'_>]) -> ForecastTimes {
    forecast(figures, parts, RequestSize::usual(figures))
}

fn max_requests(figures: &EngineFigures, kind: &str, layers: usize, pace: f64) -> f64 {
    let kind = figures.accelerator(kind).expect("it is known");
    max_requests_for_pause(figures, kind, layers, pace, OBJECTIVE)
}

/// Forecasts with a deployment's figures lie a little above the event times measured there.
#[test]
fn forecasts_match_a_real_deployment() {
    let figures = figures();
    let fast = vec![load(&figures, FAST, 27, 100.0); 3];
    let slow_part = load(&figures, SLOW, 4, 60.0);
    let middle_part = load(&figures, MIDDLE, 7, 60.0);
    let slow = [vec![middle_part; 8], vec![slow_part; 6]].concat();

    let [fast, slow] = [predicted(&figures, &fast), predicted(&figures, &slow)];

    // Measured: one event every 31 to 44 ms on three fast engines, every 57 to 89 ms on about 15 slower ones.
    assert!((31.0..75.0).contains(&millis(fast.pause)), "{fast:?}");
    assert!((57.0..125.0).contains(&millis(slow.pause)), "{slow:?}");
    // Measured first events: 54 ms at p50 and 112 ms at p95 over all paths.
    assert!((45.0..70.0).contains(&millis(fast.first_event)), "{fast:?}");
    assert!(fast.first_event < slow.first_event, "{fast:?} {slow:?}");
}

/// On one idle engine with all layers an event takes the steps of one pass.
#[test]
fn idle_single_engine_needs_only_its_own_steps() {
    let figures = figures();

    let predicted = predicted(&figures, &[load(&figures, FAST, 80, 0.0)]);

    // Five steps of 1.02 ms times 2.4, and sometimes a pass that another request started.
    assert!((12.2..24.5).contains(&millis(predicted.pause)), "{predicted:?}");
    // In addition, 775 tokens are prefilled at 164 tokens per ms times 3.2.
    assert!((27.0..29.0).contains(&millis(predicted.first_event)), "{predicted:?}");
}

/// Requests that wait for KV cache on a full engine delay the first event.
#[test]
fn first_event_waits_for_requests_beyond_capacity() {
    let figures = figures();
    let running_only = load(&figures, FAST, 27, 130.0);
    let full = EngineLoad { waiting: 60.0, ..running_only };

    let [free, full] =
        [vec![running_only; 3], vec![full; 3]].map(|parts| predicted(&figures, &parts));

    // About 50 requests beyond its memory, with 70 to 80 requests ending per second.
    assert!(free.first_event < Duration::from_millis(200), "{free:?}");
    assert!((500.0..1_200.0).contains(&millis(full.first_event)), "{full:?}");
}

/// At their usual pace engines meet the pause objective with as many requests as fit their memory.
#[test]
fn healthy_engines_meet_pauses_up_to_their_memory() {
    let figures = figures();

    for (kind, layers) in [(FAST, 27), (MIDDLE, 8), (SLOW, 5)] {
        let requests = max_requests(&figures, kind, layers, 1.0);
        assert!(requests >= 130.0, "{kind}: {requests}");
    }
}

/// The number of requests within the pause objective falls as engines become slower.
#[test]
fn slow_engines_meet_pauses_with_fewer_requests() {
    let figures = figures();

    let at_paces = [1.0, 3.0, 7.0].map(|pace| max_requests(&figures, FAST, 27, pace));
    let slow_twice = max_requests(&figures, SLOW, 5, 2.0);

    assert!(at_paces[1] < 150.0, "{at_paces:?}");
    assert!(at_paces[2] < 40.0, "{at_paces:?}");
    assert_eq!(slow_twice, 1.0);
}

/// Zero layers, a NaN or zero pace, no objective and an empty path give safe results.
#[test]
fn invalid_arguments_get_a_safe_result() {
    let figures = figures();
    let kind = figures.accelerator(FAST).expect("it is known");
    let limit =
        |layers, pace, objective| max_requests_for_pause(&figures, kind, layers, pace, objective);
    let nothing = predicted(&figures, &[]);

    assert_eq!(limit(0, 1.0, OBJECTIVE), 1.0, "it runs no part of a path");
    assert_eq!(limit(27, f64::NAN, OBJECTIVE), limit(27, 1.0, OBJECTIVE));
    assert_eq!(
        limit(27, 0.0, OBJECTIVE),
        limit(27, 1.0, OBJECTIVE),
        "no engine is faster than its figures"
    );
    assert_eq!(limit(27, 1.0, Duration::ZERO), 192.0, "no objective is missed");
    assert_eq!(nothing.first_event, Duration::ZERO);
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// A valid or invalid value for a figure.
fn any_figure(u: &mut arbitrary::Unstructured<'_>, usual: f64) -> arbitrary::Result<f64> {
    Ok(match u.int_in_range(0..=7)? {
        0 => f64::NAN,
        1 => f64::INFINITY,
        2 => -usual,
        3 => 0.0,
        4 => f64::MAX,
        _ => usual * f64::from(u.int_in_range(1..=300_u16)?) / 100.0,
    })
}

fn any_figures(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<EngineFigures> {
    let mut figures = figures();
    for kind in &mut figures.accelerators {
        kind.step_factor = any_figure(u, kind.step_factor)?;
        kind.prefill_factor = any_figure(u, kind.prefill_factor)?;
        kind.memory_mb = any_figure(u, kind.memory_mb)?;
    }
    figures.slots = u.int_in_range(0..=300)?;
    figures.layers = u.int_in_range(0..=90)?;
    figures.step_ms = any_figure(u, 1.0)?;
    figures.step_ms_per_request = any_figure(u, 0.005)?;
    figures.step_ms_per_k_context = any_figure(u, 0.006)?;
    figures.prefill_tokens_per_s = any_figure(u, 164_000.0)?;
    figures.prefill_ms_per_m_pairs = any_figure(u, 0.2)?;
    figures.kv_token_bytes = any_figure(u, 590_000.0)?;
    figures.steps_per_pass = u.int_in_range(0..=6)?;
    figures.prefill_tokens_per_step = *u.choose(&[0, 1, 512, u32::MAX])?;
    figures.usual_prompt_tokens = *u.choose(&[0, 1, 775, u32::MAX])?;
    figures.usual_answer_tokens = *u.choose(&[0, 1, 223, u32::MAX])?;
    Ok(figures)
}

/// Infinite, negative and NaN figures give results within their bounds.
#[test]
fn results_stay_in_bounds_for_any_figures() {
    for_fixed_seeds(2_000, 512, |u| {
        let figures = any_figures(u)?;
        let layers = u.int_in_range(0..=100)?;
        let pace = any_figure(u, 1.0)?;
        let objective = Duration::from_millis(u.int_in_range(0..=1_000)?);
        let [running, waiting] = [any_figure(u, 60.0)?, any_figure(u, 10.0)?];
        let size = RequestSize {
            prompt_tokens: any_figure(u, 700.0)?,
            answer_tokens: any_figure(u, 200.0)?,
        };

        let parts: Vec<EngineLoad<'_>> = figures
            .accelerators
            .iter()
            .map(|kind| EngineLoad { kind, layers, running, waiting, pace })
            .collect();
        let predicted = forecast(&figures, &parts, size);
        let max = f64::from(figures.slots.max(1));

        for kind in &figures.accelerators {
            let requests = max_requests_for_pause(&figures, kind, layers, pace, objective);
            assert!((1.0..=max).contains(&requests), "{requests} of {figures:?}");
        }
        assert!(predicted.first_event <= Duration::from_secs(60), "{predicted:?}");
        assert!(predicted.pause <= Duration::from_secs(60), "{predicted:?}");
        Ok(())
    });
}

/// Forecasts grow with running and waiting requests and with the pace of any engine.
#[test]
fn more_load_or_slower_pace_never_shortens_a_forecast() {
    let figures = figures();
    for_fixed_seeds(2_000, 512, |u| {
        let mut parts = Vec::new();
        for _ in 0..u.int_in_range(1..=16)? {
            let (kind, layers) = *u.choose(&[(FAST, 27), (MIDDLE, 8), (SLOW, 5)])?;
            let running = f64::from(u.int_in_range(0..=192_u16)?);
            let waiting = f64::from(u.int_in_range(0..=50_u16)?);
            parts.push(EngineLoad { waiting, ..load(&figures, kind, layers, running) });
        }
        let worse = u.choose_index(parts.len())?;
        let before = predicted(&figures, &parts);

        match u.int_in_range(0..=2)? {
            0 => parts[worse].running += f64::from(u.int_in_range(1..=20_u16)?),
            1 => parts[worse].waiting += f64::from(u.int_in_range(1..=20_u16)?),
            _ => parts[worse].pace += f64::from(u.int_in_range(1..=20_u16)?) / 5.0,
        }
        let after = predicted(&figures, &parts);

        assert!(after.first_event >= before.first_event, "{before:?} {after:?} at {worse}");
        assert!(after.pause >= before.pause, "{before:?} {after:?} at {worse}");
        Ok(())
    });
}

/// The number of requests within the pause objective never grows with the pace.
#[test]
fn slower_pace_never_allows_more_requests() {
    let figures = figures();
    for_fixed_seeds(500, 64, |u| {
        let kind = u.choose(&figures.accelerators)?;
        let layers = u.int_in_range(1..=80)?;
        let pace = f64::from(u.int_in_range(10..=100_u16)?) / 10.0;
        let slower = pace + f64::from(u.int_in_range(1..=50_u16)?) / 10.0;

        let [at_pace, at_slower] = [pace, slower]
            .map(|pace| max_requests_for_pause(&figures, kind, layers, pace, OBJECTIVE));

        assert!(at_slower <= at_pace, "{at_slower} at {slower}, {at_pace} at {pace}");
        Ok(())
    });
}
