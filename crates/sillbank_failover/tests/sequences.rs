//! Sequences of what an answer meets, and what is done.

use sillbank_failover::prelude::*;
use std::time::{Duration, Instant};

/// Longest pause between two tries, with its jitter.
const MAX_PAUSE: Duration = Duration::from_millis(1_200);

/// An answer that is doubted, with the time.
fn doubted() -> (Failover, Instant) {
    let mut failover = Failover::default();
    failover.on_doubt(Doubt::Silence);
    (failover, Instant::now())
}

/// An answer whose connection has ended, with the time.
fn lost() -> (Failover, Instant) {
    let mut failover = Failover::default();
    failover.on_lost();
    (failover, Instant::now())
}

/// Tries another endpoint, which is refused.
fn refuse(failover: &mut Failover, refusal: Refusal, now: Instant) {
    assert_eq!(failover.next(now), Step::Open);
    failover.on_opening();
    failover.on_refused(refusal, now, 0.5);
}

#[test]
fn an_answer_that_flows_needs_nothing() {
    assert_eq!(Failover::default().next(Instant::now()), Step::Wait(None));
}

#[test]
fn another_endpoint_is_tried_at_once_when_the_present_one_is_doubted() {
    let (failover, now) = doubted();

    assert_eq!(failover.next(now), Step::Open);
}

/// Guards against answers that are cut because no other endpoint takes them while their own is silent.
#[test]
fn no_refusal_ends_an_answer_whose_connection_is_open() {
    let refusals = [
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
    for refusal in refusals {
        let (mut failover, now) = doubted();

        refuse(&mut failover, refusal, now);

        let next = failover.next(now);
        assert!(matches!(next, Step::Wait(_)), "{refusal:?}: {next:?}");
        assert_eq!(failover.state(), AnswerState::Doubted, "{refusal:?}");
    }
}

#[test]
fn a_silent_endpoint_that_goes_on_cancels_the_try_of_another() {
    let (mut failover, now) = doubted();
    failover.on_opening();

    let was_doubted = failover.on_sent();

    assert!(was_doubted);
    assert_eq!(failover.state(), AnswerState::Flowing);
    assert_eq!(failover.next(now), Step::Wait(None));
}

/// Guards against a connection that breaks during a try: the try is the fastest way on.
#[test]
fn a_try_goes_on_when_the_connection_ends_meanwhile() {
    let (mut failover, now) = doubted();
    failover.on_opening();

    failover.on_lost();

    assert_eq!(failover.next(now), Step::Wait(None));
    failover.on_replaced();
    assert_eq!(failover.state(), AnswerState::Flowing);
}

/// Guards against answers that are cut at the loss of their endpoint because of a shortage that passes.
#[test]
fn a_lost_answer_waits_for_room_and_budget() {
    for refusal in [Refusal::BudgetUsedUp, Refusal::NoRoom, Refusal::NoPath, Refusal::Failed] {
        let (mut failover, mut now) = lost();
        for _ in 0..10 {
            refuse(&mut failover, refusal, now);
            let Step::Wait(Some(at)) = failover.next(now) else { panic!("{refusal:?}") };
            assert!(at > now && at <= now + MAX_PAUSE, "{refusal:?}");
            now = at;
        }
        assert_eq!(failover.next(now), Step::Open);
    }
}

#[test]
fn a_lost_answer_that_can_never_be_continued_ends_at_once() {
    for refusal in [Refusal::NotRepeatable, Refusal::SendsUsedUp, Refusal::Quarantined] {
        let (mut failover, now) = lost();

        refuse(&mut failover, refusal, now);

        assert_eq!(failover.next(now), Step::GiveUp(refusal));
    }
}

/// Guards against waiting out a pause of a doubted answer after its loss, which is found quickly.
#[test]
fn a_loss_is_followed_by_a_try_at_once_after_earlier_refusals() {
    let (mut failover, now) = doubted();
    for _ in 0..3 {
        let Step::Open = failover.next(now + MAX_PAUSE) else { panic!("a try is due") };
        failover.on_opening();
        failover.on_refused(Refusal::NoRoom, now, 0.5);
    }

    failover.on_lost();

    assert_eq!(failover.next(now), Step::Open);
}

/// Guards against an answer that waits for an endpoint which cannot go on, where all paths start.
#[test]
fn an_answer_without_its_state_is_released_if_no_path_starts_elsewhere() {
    let mut failover = Failover::default();
    let now = Instant::now();
    failover.on_doubt(Doubt::StateLost);

    refuse(&mut failover, Refusal::OnlyHere, now);

    assert_eq!(failover.next(now), Step::Release);
    failover.on_released();
    assert_eq!(failover.state(), AnswerState::Lost);
    assert_eq!(failover.next(now), Step::Open);
}

#[test]
fn a_silent_endpoint_is_not_released_where_all_paths_start() {
    let (mut failover, now) = doubted();

    refuse(&mut failover, Refusal::OnlyHere, now);

    assert!(matches!(failover.next(now), Step::Wait(Some(_))));
}

#[test]
fn pauses_between_tries_grow_and_differ_between_answers() {
    let pauses = |random| {
        let (mut failover, now) = lost();
        let mut pause = || {
            failover.on_refused(Refusal::NoRoom, now, random);
            match failover.next(now) {
                Step::Wait(Some(at)) => at - now,
                step => panic!("{step:?}"),
            }
        };
        [pause(), pause(), pause()]
    };

    let (early, late) = (pauses(0.0), pauses(1.0));

    assert!(early.windows(2).all(|pair| pair[0] < pair[1]), "{early:?}");
    assert!(early[0] < late[0], "{early:?} {late:?}");
}

/// An answer that is doubted again is treated as at first.
#[test]
fn refusals_of_an_earlier_silence_do_not_count() {
    let (mut failover, now) = doubted();
    refuse(&mut failover, Refusal::SendsUsedUp, now);
    failover.on_sent();

    failover.on_doubt(Doubt::Silence);

    assert_eq!(failover.next(now), Step::Open);
}
