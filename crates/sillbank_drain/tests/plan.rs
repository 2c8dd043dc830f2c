//! Requests that a stopping VM takes or refuses, and when it exits.

use sillbank_drain::prelude::*;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_secs(20);
const CALL: Demand = Demand::Call { objective: Duration::from_millis(100) };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A stream with an event each 40 ms.
fn stream(expected_events: u32, max_events: u32) -> Demand {
    let pace = StreamPace { first_event: ms(100), event_interval: ms(40) };
    Demand::Stream {
        pace: Some(pace),
        expected_events: Some(expected_events),
        max_events,
        received_events: 0,
    }
}

/// The rest of such a stream, whose caller has `received_events` of its events.
fn rest_of_stream(expected_events: u32, max_events: u32, received_events: u32) -> Demand {
    let pace = StreamPace { first_event: ms(100), event_interval: ms(40) };
    let expected_events = Some(expected_events);
    Demand::Stream { pace: Some(pace), expected_events, max_events, received_events }
}

/// Experience of answers that had `ratio` times the events that their callers expected, at the forecast pace.
fn experience(ratio: impl Fn(u64) -> f64) -> Experience {
    let mut experience = Experience::default();
    for number in 0..200 {
        experience.record(&Answer {
            first_event: ms(100),
            event_interval: Some(ms(40)),
            steady_interval: Some(ms(40)),
            total: ms(40).mul_f64(100.0 * ratio(number)),
            events: (100.0 * ratio(number)) as u64,
            expected_events: Some(100),
            expected_interval: Some(ms(40)),
        });
    }
    experience
}

fn as_expected() -> Experience {
    experience(|_| 1.0)
}

fn admits(demand: Demand, experience: &Experience, others: Others, after_ms: u64) -> bool {
    let signalled_at = Instant::now();
    let plan = DrainPlan::new(signalled_at, GRACE);
    plan.admit(demand, experience, PATIENCE, others, signalled_at + ms(after_ms)).is_taken
}

/// Guards against streams that are taken and cut at the end of the grace period.
#[test]
fn a_stream_that_may_outlast_the_grace_period_is_refused_where_others_serve() {
    let as_expected = experience(|_| 1.0);
    let some_longer = experience(|number| if number % 20 == 0 { 3.0 } else { 1.0 });

    assert!(admits(stream(100, 200), &as_expected, Others::Suffice, 0));
    assert!(!admits(stream(100, 200), &as_expected, Others::Suffice, 4_000));
    assert!(!admits(stream(100, 200), &some_longer, Others::Suffice, 0));
    assert!(admits(stream(50, 200), &some_longer, Others::Suffice, 0));
}

/// Guards against refusing callers who come back to the same VM until they give up.
#[test]
fn a_stream_that_is_likely_to_end_in_time_is_taken_while_callers_come_back_here() {
    let some_longer = experience(|number| if number % 20 == 0 { 3.0 } else { 1.0 });

    assert!(admits(stream(100, 200), &some_longer, Others::Few, 2_000));
    assert!(!admits(stream(180, 200), &some_longer, Others::Few, 2_000));
    // The load balancer has taken the VM out.
    assert!(!admits(stream(100, 200), &some_longer, Others::Few, 3_000));
}

/// Guards against taking streams by even odds where few other VMs serve: the exit cut nearly half of them.
#[test]
fn of_the_streams_that_are_taken_where_few_others_serve_at_most_one_in_four_is_cut() {
    // Answers of a third to three times the expected length, as many longer ones as shorter ones.
    let ratio = |number: u64| 3_f64.powf((number as f64 * 0.618).fract() * 2.0 - 1.0);
    let experience = experience(ratio);
    for after_ms in [0, 1_000, 2_000, 2_800] {
        for expected_events in (20..200).step_by(10) {
            if !admits(stream(expected_events, 400), &experience, Others::Few, after_ms) {
                continue;
            }
            let time_left_ms = GRACE.as_millis() as u64 - 300 - after_ms;
            let ends_late = |number: &u64| {
                let events = f64::from(expected_events) * ratio(*number);
                100.0 + 40.0 * events > time_left_ms as f64
            };
            let cut = (0..1_000).filter(ends_late).count();
            assert!(cut <= 250, "{cut} of 1000, {expected_events} events, {after_ms} ms");
        }
    }
    assert!(admits(stream(60, 400), &experience, Others::Few, 0), "not all are refused");
}

/// Guards against callers who come back to a VM that stops until their tries are used up.
#[test]
fn refused_callers_come_back_when_the_load_balancer_has_taken_the_vm_out() {
    let signalled_at = Instant::now();
    let plan = DrainPlan::new(signalled_at, GRACE);
    let returns_at = |other_vms, after_ms, spread| {
        let now = signalled_at + ms(after_ms);
        now + plan.retry_after(other_vms, spread, now)
    };

    assert_eq!(returns_at(1, 1_000, 1.0), signalled_at + ms(1_000));
    for after_ms in [0, 1_000, 2_800] {
        assert!(returns_at(0, after_ms, 0.0) >= plan.balancer_knows_at());
        assert!(returns_at(0, after_ms, 1.0) > returns_at(0, after_ms, 0.0));
    }
    assert!(returns_at(0, 5_000, 0.0) > signalled_at + ms(5_000));
}

/// Guards against taking a stream that is already longer than its caller expected for one that is about to end. Such a
/// stream was taken until shortly before the exit, and cut.
#[test]
fn the_rest_of_a_stream_that_outlasts_its_expected_length_may_be_long() {
    let some_longer = experience(|number| if number % 20 < 3 { 3.0 } else { 1.0 });

    for others in [Others::Few, Others::Suffice] {
        // All that were longer than 60 events had 150.
        assert!(!admits(rest_of_stream(50, 200, 60), &some_longer, others, 7_000), "{others:?}");
        assert!(admits(rest_of_stream(50, 200, 60), &some_longer, others, 2_000), "{others:?}");
        // None was longer than 100: what the request allows counts.
        assert!(!admits(rest_of_stream(20, 200, 100), &some_longer, others, 5_000), "{others:?}");
        assert!(admits(rest_of_stream(20, 200, 195), &some_longer, others, 5_000), "{others:?}");
        assert!(!admits(rest_of_stream(20, 200, 195), &some_longer, others, 7_000), "{others:?}");
        // It is as long as expected, and most end there.
        assert!(admits(rest_of_stream(60, 200, 40), &as_expected(), others, 2_000), "{others:?}");
        assert!(!admits(rest_of_stream(60, 200, 40), &as_expected(), others, 6_000), "{others:?}");
    }
}

/// Guards against taking a stream late in the grace period that ends in time only if it is as long, and its endpoint as fast,
/// as earlier answers were: the exit cut it.
#[test]
fn a_stream_that_is_taken_late_ends_in_time_however_long_slow_or_silent_it_is() {
    let as_expected = as_expected();
    let mut taken = 0;
    for after_ms in (2_600..7_500).step_by(100) {
        for (expected_events, max_events) in
            [(1, 1), (2, 10), (1, 60), (10, 40), (20, 100), (5, 300)]
        {
            for others in [Others::Few, Others::Suffice] {
                if !admits(stream(expected_events, max_events), &as_expected, others, after_ms) {
                    continue;
                }
                taken += 1;
                let (slow_interval_ms, silence_ms) = (2 * 40, 2_000);
                let time_ms = 100 + silence_ms + u64::from(max_events - 1) * slow_interval_ms;
                assert!(after_ms + time_ms <= 7_500, "{max_events} events, {after_ms} ms");
            }
        }
    }
    assert!(taken > 0, "not all are refused");
}

/// Guards against a silence within a short answer that counts as its pace, so that no stream is taken late any more.
#[test]
fn a_silence_within_an_earlier_answer_does_not_count_as_its_pace() {
    let mut beside_silences = Experience::default();
    for _ in 0..200 {
        beside_silences.record(&Answer {
            first_event: ms(100),
            event_interval: Some(ms(160)),
            steady_interval: Some(ms(40)),
            total: ms(100) + ms(160) * 9,
            events: 10,
            expected_events: Some(10),
            expected_interval: Some(ms(40)),
        });
    }

    assert!(admits(stream(10, 20), &beside_silences, Others::Suffice, 3_500));
}

/// Guards against a notice of the signal that comes late: what is taken by probability was sent soon after the signal, so that
/// its caller may not have known of the stop.
#[test]
fn streams_are_taken_by_probability_only_as_long_as_callers_may_not_know_of_the_stop() {
    let (as_expected, notice_delay_ms) = (as_expected(), 300);
    let balancer_lag_ms = 2_900;
    for others in [Others::Few, Others::Suffice] {
        // It is as long as expected, and may be much longer.
        let is_taken = |after_ms| admits(stream(50, 1_000), &as_expected, others, after_ms);

        assert!(is_taken(balancer_lag_ms - notice_delay_ms - 1), "{others:?}");
        assert!(!is_taken(balancer_lag_ms - notice_delay_ms), "{others:?}");
    }
}

/// Guards against streams of unknown length that are taken late, though nothing bounds their time.
#[test]
fn a_stream_of_unknown_length_is_refused_late() {
    let short = experience(|_| 0.01);

    assert!(admits(Demand::Unbounded, &short, Others::Suffice, 2_000));
    assert!(!admits(Demand::Unbounded, &short, Others::Suffice, 3_000));
}

/// Guards against a VM that has just started and refuses nearly all streams when it is stopped again.
#[test]
fn without_experience_the_caller_and_the_limit_of_the_request_are_believed() {
    let none = Experience::default();

    assert!(admits(stream(10, 100), &none, Others::Suffice, 0));
    assert!(!admits(stream(10, 200), &none, Others::Suffice, 0));
    assert!(admits(stream(10, 200), &none, Others::Few, 0));
}

/// Guards against taking whatever comes where few other VMs serve and nothing is known of its time: the exit cut it.
#[test]
fn a_stream_of_unknown_time_is_refused_wherever_others_are() {
    let none = Experience::default();
    let unknown = Demand::Stream {
        pace: None,
        expected_events: Some(10),
        max_events: 200,
        received_events: 0,
    };

    for others in [Others::Few, Others::Suffice] {
        for demand in [unknown, Demand::Unbounded] {
            assert!(!admits(demand, &none, others, 0), "{demand:?} {others:?}");
        }
    }
}

/// Guards against refusing all streams without token counts, also those that earlier answers show to be short.
#[test]
fn a_stream_of_unknown_length_is_judged_by_the_times_of_earlier_answers() {
    let as_expected = experience(|_| 1.0);

    assert!(admits(Demand::Unbounded, &as_expected, Others::Suffice, 1_000));
    assert!(!admits(Demand::Unbounded, &as_expected, Others::Suffice, 4_000));
}

/// Guards against streams without a forecast of their path that are taken for endless.
#[test]
fn a_stream_without_a_forecast_is_judged_by_earlier_answers() {
    let stream = Demand::Stream {
        pace: None,
        expected_events: Some(100),
        max_events: 200,
        received_events: 0,
    };

    assert!(admits(stream, &experience(|_| 1.0), Others::Suffice, 0));
    assert!(!admits(stream, &experience(|_| 1.0), Others::Suffice, 4_000));
}

/// Guards against refusing calls that are done long before the grace period ends.
#[test]
fn a_call_is_taken_until_shortly_before_the_exit() {
    let none = Experience::default();

    assert!(admits(CALL, &none, Others::Suffice, 7_000));
    assert!(!admits(CALL, &none, Others::Suffice, 7_400));
    assert!(!admits(CALL, &none, Others::Few, 7_400));
}

/// Guards against a VM that refuses calls with a long objective from the signal on, though no other VM takes them.
#[test]
fn a_call_with_a_long_objective_is_taken_while_callers_come_back_here() {
    let call = Demand::Call { objective: ms(2_600) };

    assert!(admits(call, &Experience::default(), Others::Few, 0));
    assert!(admits(call, &Experience::default(), Others::Suffice, 1_000));
    assert!(!admits(call, &Experience::default(), Others::Suffice, 4_000));
}

/// Guards against an exit before the load balancer has taken the VM out, and against waiting without work.
#[test]
fn a_vm_without_work_finishes_when_the_load_balancer_has_taken_it_out() {
    let signalled_at = Instant::now();
    let plan = DrainPlan::new(signalled_at, GRACE);
    let (idle, busy) = (OpenWork::default(), OpenWork { passed_on: 1, ..OpenWork::default() });
    let next = |work, after_ms| plan.next(work, signalled_at + ms(after_ms));

    assert_eq!(next(idle, 2_000), DrainStep::Serve);
    assert_eq!(next(idle, 3_000), DrainStep::Finish);
    assert_eq!(next(busy, 7_000), DrainStep::Serve);
    assert_eq!(next(busy, 7_600), DrainStep::Finish);
}

/// Guards against replies that are written after the process has been killed.
#[test]
fn replies_come_before_the_exit_and_the_exit_before_the_kill_for_any_grace_period() {
    for grace_ms in [0, 100, 400, 1_000, 8_000, 600_000] {
        let signalled_at = Instant::now();
        let plan = DrainPlan::new(signalled_at, ms(grace_ms));

        assert!(signalled_at <= plan.replies_at() && plan.replies_at() <= plan.exits_at());
        assert!(plan.exits_at() <= signalled_at + ms(grace_ms));
        assert_eq!(plan.next(OpenWork::default(), plan.exits_at()), DrainStep::Finish);
    }
}
