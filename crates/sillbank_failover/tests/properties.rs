//! Random sequences: an answer is given up only after its connection has ended.

use arbitrary::Unstructured;
use sillbank_failover::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const REFUSALS: [Refusal; 9] = [
    Refusal::NotRepeatable,
    Refusal::SendsUsedUp,
    Refusal::Quarantined,
    Refusal::BudgetUsedUp,
    Refusal::NoPath,
    Refusal::OnlyHere,
    Refusal::NoRoom,
    Refusal::Failed,
    Refusal::Silent,
];
/// Tries within a second of the first one: pauses are at least half of 100, 200, 400, 800 ms.
const MAX_TRIES_PER_S: usize = 6;

/// What is known of an answer from what happened to it alone.
#[derive(Debug, Default)]
struct Observed {
    is_open: bool,
    has_lost_state: bool,
    is_trying: bool,
    /// Refusals since the connection ended.
    refused_since_loss: Option<Refusal>,
}

fn step(u: &mut Unstructured<'_>, failover: &mut Failover, observed: &mut Observed, now: Instant) {
    let event: u8 = u.int_in_range(0..=6).unwrap_or_default();
    match event {
        0 if observed.is_open => {
            failover.on_sent();
            (observed.is_trying, observed.has_lost_state) = (false, false);
        }
        1 if observed.is_open => {
            failover.on_doubt(Doubt::Silence);
        }
        2 if observed.is_open => {
            failover.on_doubt(Doubt::StateLost);
            observed.has_lost_state = true;
        }
        3 if observed.is_open => {
            failover.on_lost();
            observed.is_open = false;
        }
        4 if observed.is_trying => {
            failover.on_replaced();
            *observed = Observed { is_open: true, ..Observed::default() };
        }
        5 if observed.is_trying => {
            let refusal = *u.choose(&REFUSALS).unwrap_or(&Refusal::NoRoom);
            failover.on_refused(refusal, now, f64::from(u.arbitrary::<u8>().unwrap_or(0)) / 255.0);
            observed.is_trying = false;
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
                    assert!(observed.is_open && observed.has_lost_state, "{observed:?}");
                    failover.on_released();
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

/// Answers that find no place do not use up the budget and the processor by looking for one.
#[test]
fn tries_are_few() {
    for_fixed_seeds(100, 256, |u| {
        let mut failover = Failover::default();
        let start = Instant::now();
        failover.on_lost();
        let mut tries = 0;
        for ms in 0..1_000 {
            let now = start + Duration::from_millis(ms);
            if failover.next(now) == Step::Open {
                tries += 1;
                failover.on_opening();
                failover.on_refused(Refusal::NoRoom, now, f64::from(u.arbitrary::<u8>()?) / 255.0);
            }
        }
        assert!(tries <= MAX_TRIES_PER_S, "{tries}");
        Ok(())
    });
}
