//! Where plain calls go: traces of calls and answers, without a network.

use sillbank_admission::calls::{
    CallAsk, CallCandidate, CallChoice, CallRefusal, CallRefused, CallTimes,
};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const IDS: [&str; 7] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6"];
const PLACES: u32 = 6;
const USUAL: Duration = Duration::from_millis(50);
const TIME_LEFT: Duration = Duration::from_millis(800);
const ONCE: CallAsk = CallAsk { time_left: TIME_LEFT, may_repeat: false, rank: 1 };
const REPEATABLE: CallAsk = CallAsk { may_repeat: true, ..ONCE };

/// Seven endpoints, all at home and idle.
fn idle() -> Vec<CallCandidate<'static>> {
    let of = |endpoint| CallCandidate { endpoint, is_home: true, in_flight: 0, places: PLACES };
    IDS.map(of).to_vec()
}

/// What a VM has seen that had three answers of a usual time from each endpoint.
fn usual_times(now: Instant) -> CallTimes {
    let mut times = CallTimes::default();
    for id in IDS {
        (0..3).for_each(|_| times.on_answer(id, USUAL, now));
    }
    times
}

/// Numbers from 0 to 1 that look drawn by chance and are the same each time.
fn draws() -> impl FnMut() -> f64 {
    let mut state = 1_u64;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / f64::from(1_u32 << 31)
    }
}

fn refused(choice: CallChoice) -> Option<CallRefused> {
    match choice {
        CallChoice::Refuse(refused) => Some(refused),
        CallChoice::Send(_) => None,
    }
}

/// How many of so many calls, one each 20 ms, go to each endpoint; each is answered after its time.
fn sent_to(times: &mut CallTimes, calls: u32, from: Instant, took: [Duration; 7]) -> [u32; 7] {
    let mut sent = [0; 7];
    let mut draws = draws();
    for number in 0..calls {
        let now = from + Duration::from_millis(20) * number;
        if let CallChoice::Send(at) = times.choose(&idle(), ONCE, now, &mut draws) {
            sent[at] += 1;
            times.on_answer(IDS[at], took[at], now);
        }
    }
    sent
}

#[test]
fn first_sends_are_even_over_endpoints_of_which_nothing_is_known() {
    let mut times = CallTimes::default();

    let sent = sent_to(&mut times, 700, Instant::now(), [USUAL; 7]);

    assert!(sent.iter().all(|count| (70..130).contains(count)), "{sent:?}");
}

#[test]
fn an_endpoint_ten_times_slower_gets_few_calls_and_is_looked_at_again() {
    let now = Instant::now();
    let mut times = usual_times(now);
    let mut took = [USUAL; 7];
    took[3] = USUAL * 10;

    let slow = sent_to(&mut times, 700, now, took);
    let later = sent_to(&mut times, 700, now + Duration::from_secs(60), [USUAL; 7]);

    assert!(slow[3] < 15, "{slow:?}");
    assert!(later[3] > 50, "{later:?}");
}

#[test]
fn a_call_that_runs_once_is_not_sent_where_it_cannot_end_in_its_time() {
    let now = Instant::now();
    let mut times = CallTimes::default();
    times.on_answer(IDS[0], Duration::from_millis(600), now);
    let only = &idle()[..1];

    let once = times.choose(only, ONCE, now, draws());
    let repeatable = times.choose(only, REPEATABLE, now, draws());

    assert_eq!(refused(once).map(|refused| refused.reason), Some(CallRefusal::TooSlow));
    assert_eq!(repeatable, CallChoice::Send(0));
}

#[test]
fn a_call_is_not_queued_behind_more_than_can_end_before_it() {
    let now = Instant::now();
    let mut times = usual_times(now);
    let mut candidates = idle();
    candidates.truncate(1);
    candidates[0].in_flight = PLACES * 20;

    let choice = times.choose(&candidates, ONCE, now, draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusal::TooSlow));
}

#[test]
fn endpoints_that_were_too_slow_are_looked_at_by_one_call_a_second() {
    let now = Instant::now();
    let mut times = CallTimes::default();
    times.on_answer(IDS[0], TIME_LEFT * 2, now);
    let mut looks = 0;

    for number in 0..50 {
        let at = now + Duration::from_millis(100) * number;
        let choice = times.choose(&idle()[..1], ONCE, at, draws());
        looks += u32::from(choice == CallChoice::Send(0));
    }

    assert!((4..=5).contains(&looks), "{looks} in 5 s");
}

#[test]
fn when_all_are_full_callers_are_refused_at_once_and_come_back_apart_while_there_is_time() {
    let now = Instant::now();
    let mut times = usual_times(now);
    IDS.iter().for_each(|id| times.on_full(id, now));
    let mut draws = draws();

    let told: Vec<CallRefused> =
        (0..20).filter_map(|_| refused(times.choose(&idle(), ONCE, now, &mut draws))).collect();

    let mut come_back: Vec<Duration> = told.iter().map(|refused| refused.come_back).collect();
    come_back.sort();
    come_back.dedup();
    assert!(told.iter().all(|refused| refused.reason == CallRefusal::Full), "{told:?}");
    assert_eq!(come_back.len(), 20);
    assert!(come_back[0] >= USUAL && come_back[19] <= Duration::from_millis(150), "{come_back:?}");
    assert!(refused(times.choose(&idle(), ONCE, now + come_back[0], &mut draws)).is_none());
}

#[test]
fn a_burst_goes_on_to_endpoints_that_did_not_refuse() {
    let now = Instant::now();
    let mut times = usual_times(now);
    let mut taken = [0; 7];
    let mut refusals = 0;
    let mut draws = draws();

    // More calls than there are places come at once from many VMs, of which this one sees the refusals.
    for _ in 0..60 {
        match times.choose(&idle(), ONCE, now, &mut draws) {
            CallChoice::Send(at) if taken[at] < PLACES => taken[at] += 1,
            CallChoice::Send(at) => {
                refusals += 1;
                times.on_full(IDS[at], now);
            }
            CallChoice::Refuse(_) => {}
        }
    }

    assert_eq!(taken, [PLACES; 7], "all places are used");
    assert_eq!(refusals, 7, "each endpoint refuses once");
}

#[test]
fn the_last_free_endpoint_is_kept_for_the_most_urgent_while_they_call() {
    let now = Instant::now();
    let mut times = usual_times(now);
    IDS[1..].iter().for_each(|id| times.on_full(id, now));
    let urgent = CallAsk { rank: 0, ..ONCE };

    let before = times.choose(&idle(), ONCE, now, draws());
    let first = times.choose(&idle(), urgent, now, draws());
    let less_urgent = times.choose(&idle(), ONCE, now, draws());
    let again = times.choose(&idle(), urgent, now, draws());

    assert_eq!([before, first, again], [CallChoice::Send(0); 3]);
    assert_eq!(refused(less_urgent).map(|r| r.reason), Some(CallRefusal::KeptForUrgent));
}

#[test]
fn while_nobody_is_full_ranks_are_served_alike() {
    let now = Instant::now();
    let mut times = usual_times(now);
    times.choose(&idle(), CallAsk { rank: 0, ..ONCE }, now, draws());

    let least_urgent = times.choose(&idle()[..1], CallAsk { rank: 255, ..ONCE }, now, draws());

    assert_eq!(least_urgent, CallChoice::Send(0));
}

#[test]
fn a_call_that_was_given_up_early_makes_no_endpoint_quicker() {
    let now = Instant::now();
    let mut times = CallTimes::default();
    times.on_answer(IDS[0], TIME_LEFT * 2, now);
    (0..10).for_each(|_| times.on_unanswered(IDS[0], USUAL, now));

    let choice = times.choose(&idle()[..1], ONCE, now, draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusal::TooSlow));
}

#[test]
fn an_endpoint_that_fails_at_once_is_not_taken_for_a_quick_one() {
    let now = Instant::now();
    let mut times = CallTimes::default();
    IDS[1..].iter().for_each(|id| times.on_answer(id, USUAL, now));
    (0..10).for_each(|_| times.on_unanswered(IDS[0], Duration::from_millis(1), now));
    let mut draws = draws();

    let to_first =
        (0..700).filter(|_| times.choose(&idle(), ONCE, now, &mut draws) == CallChoice::Send(0));

    let count = to_first.count();
    assert!(count < 130, "{count} of 700");
}

#[test]
fn an_endpoint_that_does_not_answer_is_left_as_one_that_is_slow() {
    let now = Instant::now();
    let mut times = CallTimes::default();
    IDS[1..].iter().for_each(|id| times.on_answer(id, USUAL, now));
    times.on_unanswered(IDS[0], TIME_LEFT, now);
    let mut draws = draws();

    let chosen = (0..100).map(|_| times.choose(&idle(), ONCE, now, &mut draws));

    assert!(chosen.into_iter().all(|choice| choice != CallChoice::Send(0)));
}

#[test]
fn without_endpoints_callers_are_told_so() {
    let choice = CallTimes::default().choose(&[], ONCE, Instant::now(), draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusal::NoEndpoint));
}

#[test]
fn no_call_goes_to_an_endpoint_that_is_full_and_none_is_refused_for_nothing() {
    for_fixed_seeds(1_000, 1024, |u| {
        let start = Instant::now();
        let mut now = start;
        let mut times = CallTimes::default();
        let mut full_until = [start; 7];
        let mut answered = false;
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let at = u.choose_index(7)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    times.on_full(IDS[at], now);
                    // The shortest time for which one is taken for full.
                    full_until[at] = now + Duration::from_millis(20);
                }
                1 => {
                    times.on_answer(
                        IDS[at],
                        Duration::from_millis(u.int_in_range(0..=2_000)?),
                        now,
                    );
                    answered = true;
                }
                _ => {
                    let ask = CallAsk {
                        time_left: Duration::from_millis(u.int_in_range(0..=1_500)?),
                        may_repeat: u.arbitrary()?,
                        rank: u.arbitrary()?,
                    };
                    match times.choose(&idle(), ask, now, draws()) {
                        CallChoice::Send(at) => assert!(full_until[at] <= now, "{at} is full"),
                        CallChoice::Refuse(refused) => {
                            assert!(refused.come_back <= Duration::from_secs(1), "{refused:?}");
                            let was_seen = answered || full_until.iter().any(|at| *at > start);
                            assert!(was_seen, "{refused:?} by nothing that was seen");
                        }
                    }
                }
            }
        }
        Ok(())
    });
}
