//! Random sequences: an answer is given up only after its connection has ended.

use arbitrary::Unstructured;
use sillbank_failover::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

/// Tries within a second of the first one: pauses are at least half of 100 and 200 ms, or of 100, 200, 400 and 800 ms if they
/// reach an endpoint.
const MAX_LOCAL_TRIES_PER_S: usize = 11;
const MAX_TRIES_PER_S: usize = 6;

/// What is known of an answer from what happened to it alone.
#[derive(Debug, Default)]
struct Observed {
    is_open: bool,
    doubted_at: Option<Instant>,
    is_trying: bool,
    /// The last refusal, and when it was found.
    last_refusal: Option<(Refusal, Instant)>,
    /// The last refusal since the connection ended.
    refused_since_loss: Option<Refusal>,
}

fn step(u: &mut Unstructured<'_>, failover: &mut Failover, observed: &mut Observed, now: Instant) {
    let event: u8 = u.int_in_range(0..=6).unwrap_or_default();
    match event {
        0 if observed.is_open => {
            failover.on_sent();
            (observed.is_trying, observed.doubted_at) = (false, None);
        }
        1 if observed.is_open => {
            failover.on_doubt(now);
            observed.doubted_at.get_or_insert(now);
        }
        2 if observed.is_open => failover.on_moved(now),
        3 if observed.is_open => {
            failover.on_lost();
            observed.is_open = false;
        }
        4 if observed.is_trying => {
            failover.on_replaced();
            *observed = Observed { is_open: true, ..Observed::default() };
        }
        5 if observed.is_trying => {
            let refusal = *u.choose(&Refusal::ALL).unwrap_or(&Refusal::NoRoom);
            failover.on_refused(refusal, now, f64::from(u.arbitrary::<u8>().unwrap_or(0)) / 255.0);
            observed.is_trying = false;
            observed.last_refusal = Some((refusal, now));
            observed.refused_since_loss = (!observed.is_open).then_some(refusal);
        }
        _ => {}
    }
}

/// Guards against answers that the VM ends itself.
#[test]
fn an_answer_is_given_up_only_when_its_connection_has_ended_and_nothing_can_change() {
    for_fixed_seeds(300, 512, |u| {
        let mut failover = Failover::default();
        let mut observed = Observed { is_open: true, ..Observed::default() };
        let mut now = Instant::now();
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            step(u, &mut failover, &mut observed, now);
            match failover.next(now) {
                Step::GiveUp(refusal) => {
                    assert!(!observed.is_open && refusal.is_permanent(), "{observed:?}");
                    assert_eq!(observed.refused_since_loss, Some(refusal));
                    return Ok(());
                }
                Step::Release => {
                    let doubted_at = observed.doubted_at.expect("it is doubted");
                    let (refusal, found_at) = observed.last_refusal.expect("a try was refused");
                    assert!(observed.is_open && refusal == Refusal::OnlyHere, "{observed:?}");
                    assert!(found_at >= doubted_at + Duration::from_secs(1), "{observed:?}");
                    failover.on_lost();
                    observed.is_open = false;
                    observed.refused_since_loss = None;
                }
                Step::Open => {
                    assert!(!observed.is_trying, "{observed:?}");
                    failover.on_opening();
                    observed.is_trying = true;
                }
                Step::Wait(until) => {
                    let is_idle = failover.state() == AnswerState::Flowing;
                    assert!(until.is_some() || observed.is_open || observed.is_trying || is_idle);
                }
            }
        }
        Ok(())
    });
}

/// Tries of a lost answer within a second, each with this refusal.
fn tries_per_s(u: &mut Unstructured<'_>, refusal: Refusal) -> arbitrary::Result<usize> {
    let (mut failover, start, mut tries) = (Failover::default(), Instant::now(), 0);
    failover.on_lost();
    for ms in 0..1_000 {
        let now = start + Duration::from_millis(ms);
        if failover.next(now) == Step::Open {
            tries += 1;
            failover.on_opening();
            failover.on_refused(refusal, now, f64::from(u.arbitrary::<u8>()?) / 255.0);
        }
    }
    Ok(tries)
}

/// Answers that find no place do not use up the budget and the processor by looking for one.
#[test]
fn tries_are_few() {
    for_fixed_seeds(100, 256, |u| {
        assert!(tries_per_s(u, Refusal::NoRoom)? <= MAX_LOCAL_TRIES_PER_S);
        assert!(tries_per_s(u, Refusal::Failed)? <= MAX_TRIES_PER_S);
        Ok(())
    });
}
