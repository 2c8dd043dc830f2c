//! Sequences of what an answer meets, and what is done.

use sillbank_failover::prelude::*;
use std::time::{Duration, Instant};

/// Longest pause between two tries, with its jitter.
const MAX_PAUSE: Duration = Duration::from_millis(1_200);

/// An answer that is doubted, with the time.
fn doubted() -> (Failover, Instant) {
    let (mut failover, now) = (Failover::default(), Instant::now());
    failover.on_doubt(now);
    (failover, now)
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
    for refusal in Refusal::ALL {
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

/// Tries again and again from `now` on, each time with this refusal. Returns when the connection is to be closed.
fn released_at(failover: &mut Failover, refusal: Refusal, mut now: Instant) -> Option<Instant> {
    let until = now + Duration::from_secs(5);
    while now < until {
        match failover.next(now) {
            Step::Open => {
                failover.on_opening();
                failover.on_refused(refusal, now, 0.5);
            }
            Step::Wait(Some(at)) => now = at,
            Step::Release => return Some(now),
            step => panic!("{step:?}"),
        }
    }
    None
}

/// Guards against closing the connection to an endpoint that is silent for about a second, where no other one could take
/// the answer.
#[test]
fn an_endpoint_where_all_paths_start_is_kept_for_a_second() {
    let (mut failover, now) = doubted();

    let released_at = released_at(&mut failover, Refusal::OnlyHere, now);

    assert!(released_at.is_some_and(|at| at >= now + Duration::from_secs(1)), "{released_at:?}");
}

/// Guards against closing the connection of an answer that has just been moved.
#[test]
fn a_move_gives_the_endpoint_another_second() {
    let (mut failover, now) = doubted();
    let moved_at = now + Duration::from_millis(900);
    failover.on_moved(moved_at);

    let released_at = released_at(&mut failover, Refusal::OnlyHere, now);

    assert!(released_at.is_some_and(|at| at >= moved_at + Duration::from_secs(1)));
}

/// Silence after which an endpoint that works has gone on.
const LONGEST_SILENCE: Duration = Duration::from_millis(2_400);

/// Leaves an answer silent. All paths start at its endpoint at first; from `changes_at` on, counted from the doubt, each try gets
/// `refusal`. Returns the step that closes the connection or ends the answer, if one does while nothing could take the answer.
fn ended_by(refusal: Refusal, changes_at: Duration) -> Option<Step> {
    let (mut failover, start) = doubted();
    let mut now = start;
    while now < start + LONGEST_SILENCE {
        let may_be_taken_here = now < start + changes_at;
        match failover.next(now) {
            Step::Open => {
                failover.on_opening();
                let refusal = if may_be_taken_here { Refusal::OnlyHere } else { refusal };
                failover.on_refused(refusal, now, 0.5);
            }
            Step::Wait(Some(at)) => now = at,
            Step::Release if may_be_taken_here => return None,
            Step::Wait(None) => return None,
            step @ (Step::Release | Step::GiveUp(_)) => return Some(step),
        }
    }
    None
}

/// Guards against closing the connection to a silent endpoint because of an earlier look for another path: when the answer could
/// not be sent again any more, it ended, and its endpoint would have gone on.
#[test]
fn no_silence_ends_an_answer_that_cannot_be_sent_again() {
    for refusal in [Refusal::NotRepeatable, Refusal::SendsUsedUp, Refusal::Quarantined] {
        for changes_at_ms in (0..2_400).step_by(50) {
            let changes_at = Duration::from_millis(changes_at_ms);

            let ended_by = ended_by(refusal, changes_at);

            assert_eq!(ended_by, None, "{refusal:?} from {changes_at:?} on");
        }
    }
}

/// The same while nothing takes the answer for a time.
#[test]
fn an_endpoint_is_kept_when_its_paths_are_gone_before_the_release() {
    for refusal in [Refusal::BudgetUsedUp, Refusal::NoRoom, Refusal::NoPath] {
        for changes_at_ms in (0..2_400).step_by(50) {
            let changes_at = Duration::from_millis(changes_at_ms);

            let ended_by = ended_by(refusal, changes_at);

            assert_eq!(ended_by, None, "{refusal:?} from {changes_at:?} on");
        }
    }
}

/// Guards against closing a connection although the answer could only wait elsewhere too.
#[test]
fn an_endpoint_is_kept_while_nothing_else_takes_the_answer() {
    for refusal in [Refusal::NoRoom, Refusal::NoPath, Refusal::BudgetUsedUp, Refusal::Failed] {
        let (mut failover, now) = doubted();

        assert_eq!(released_at(&mut failover, refusal, now), None, "{refusal:?}");
    }
}

#[test]
fn pauses_between_tries_grow_and_differ_between_answers() {
    let pauses = |random| {
        let (mut failover, now) = lost();
        let mut pause = || {
            failover.on_refused(Refusal::Failed, now, random);
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

    failover.on_doubt(now);

    assert_eq!(failover.next(now), Step::Open);
}
