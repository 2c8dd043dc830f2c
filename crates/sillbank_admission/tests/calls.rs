//! Tests of endpoint selection for plain calls: sequences of calls and answers, without a network.

use sillbank_admission::calls::{
    CallBalancer, CallCandidate, CallDecision, CallRefusal, CallRefusalReason, CallRequest,
};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const IDS: [&str; 7] = ["e0", "e1", "e2", "e3", "e4", "e5", "e6"];
const SLOTS: u32 = 6;
const USUAL_ANSWER: Duration = Duration::from_millis(50);
const TIME_LEFT: Duration = Duration::from_millis(800);
const NON_IDEMPOTENT: CallRequest =
    CallRequest { time_left: TIME_LEFT, is_idempotent: false, rank: 1 };
const IDEMPOTENT: CallRequest = CallRequest { is_idempotent: true, ..NON_IDEMPOTENT };

/// Seven endpoints, all local and idle.
fn idle_candidates() -> Vec<CallCandidate<'static>> {
    let of = |endpoint| CallCandidate { endpoint, is_local: true, in_flight: 0, slots: SLOTS };
    IDS.map(of).to_vec()
}

/// A balancer that has recorded three answers in the usual time from each endpoint.
fn warmed_up_balancer(now: Instant) -> CallBalancer {
    let mut balancer = CallBalancer::default();
    for id in IDS {
        (0..3).for_each(|_| balancer.record_answer(id, USUAL_ANSWER, now));
    }
    balancer
}

/// Reproducible pseudo-random numbers from 0 to 1.
fn draws() -> impl FnMut() -> f64 {
    let mut state = 1_u64;
    move || {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / f64::from(1_u32 << 31)
    }
}

fn refused(decision: CallDecision) -> Option<CallRefusal> {
    match decision {
        CallDecision::Refuse(refused) => Some(refused),
        CallDecision::Send(_) => None,
    }
}

/// Number of calls that go to each endpoint, at one call each 20 ms; each endpoint answers in its time of `took`.
fn sent_to(
    balancer: &mut CallBalancer,
    calls: u32,
    from: Instant,
    took: [Duration; 7],
) -> [u32; 7] {
    let mut sent = [0; 7];
    let mut draws = draws();
    for number in 0..calls {
        let now = from + Duration::from_millis(20) * number;
        if let CallDecision::Send(at) =
            balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, &mut draws)
        {
            sent[at] += 1;
            balancer.record_answer(IDS[at], took[at], now);
        }
    }
    sent
}

/// Calls are spread evenly over endpoints without observations.
#[test]
fn calls_are_even_over_unknown_endpoints() {
    let mut balancer = CallBalancer::default();

    let sent = sent_to(&mut balancer, 700, Instant::now(), [USUAL_ANSWER; 7]);

    assert!(sent.iter().all(|count| (70..130).contains(count)), "{sent:?}");
}

/// An endpoint that is ten times slower gets few calls, and its share again after it has recovered.
#[test]
fn slow_endpoint_gets_few_calls_and_is_probed_again() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    let mut took = [USUAL_ANSWER; 7];
    took[3] = USUAL_ANSWER * 10;

    let slow = sent_to(&mut balancer, 700, now, took);
    let later = sent_to(&mut balancer, 700, now + Duration::from_secs(60), [USUAL_ANSWER; 7]);

    assert!(slow[3] < 15, "{slow:?}");
    assert!(later[3] > 50, "{later:?}");
}

/// A call that is not idempotent is refused when the endpoint may be too slow; an idempotent call is sent.
#[test]
fn non_idempotent_call_is_not_sent_to_a_too_slow_endpoint() {
    let now = Instant::now();
    let mut balancer = CallBalancer::default();
    balancer.record_answer(IDS[0], Duration::from_millis(600), now);
    let only = &idle_candidates()[..1];

    let non_idempotent = balancer.choose(only, NON_IDEMPOTENT, now, draws());
    let idempotent = balancer.choose(only, IDEMPOTENT, now, draws());

    assert_eq!(
        refused(non_idempotent).map(|refused| refused.reason),
        Some(CallRefusalReason::TooSlow)
    );
    assert_eq!(idempotent, CallDecision::Send(0));
}

/// A call is refused when the queue of the endpoint is too long for its deadline.
#[test]
fn call_is_not_sent_to_a_queue_that_is_too_long() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    let mut candidates = idle_candidates();
    candidates.truncate(1);
    candidates[0].in_flight = SLOTS * 20;

    let choice = balancer.choose(&candidates, NON_IDEMPOTENT, now, draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusalReason::TooSlow));
}

/// Endpoints that were too slow are probed by one call per second.
#[test]
fn too_slow_endpoints_are_probed_once_per_second() {
    let now = Instant::now();
    let mut balancer = CallBalancer::default();
    balancer.record_answer(IDS[0], TIME_LEFT * 2, now);
    let mut probes = 0;

    for number in 0..50 {
        let at = now + Duration::from_millis(100) * number;
        let choice = balancer.choose(&idle_candidates()[..1], NON_IDEMPOTENT, at, draws());
        probes += u32::from(choice == CallDecision::Send(0));
    }

    assert!((4..=5).contains(&probes), "{probes} in 5 s");
}

/// When all endpoints are full, callers are refused at once and told different times to retry after, soon enough for
/// their deadlines.
#[test]
fn callers_refused_by_full_endpoints_get_spread_retry_times() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    IDS.iter().for_each(|id| balancer.record_full(id, now));
    let mut draws = draws();

    let refusals: Vec<CallRefusal> = (0..20)
        .filter_map(|_| {
            refused(balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, &mut draws))
        })
        .collect();

    let mut retry_after: Vec<Duration> =
        refusals.iter().map(|refused| refused.retry_after).collect();
    retry_after.sort();
    retry_after.dedup();
    assert!(
        refusals.iter().all(|refused| refused.reason == CallRefusalReason::Full),
        "{refusals:?}"
    );
    assert_eq!(retry_after.len(), 20);
    assert!(
        retry_after[0] >= USUAL_ANSWER && retry_after[19] <= Duration::from_millis(150),
        "{retry_after:?}"
    );
    assert!(
        refused(balancer.choose(
            &idle_candidates(),
            NON_IDEMPOTENT,
            now + retry_after[0],
            &mut draws
        ))
        .is_none()
    );
}

/// In a burst, calls move on to endpoints that have not refused, until all slots are used.
#[test]
fn burst_uses_the_slots_of_all_endpoints() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    let mut used = [0; 7];
    let mut refusals = 0;
    let mut draws = draws();

    // More calls than slots arrive at once; this VM sees the refusals.
    for _ in 0..60 {
        match balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, &mut draws) {
            CallDecision::Send(at) if used[at] < SLOTS => used[at] += 1,
            CallDecision::Send(at) => {
                refusals += 1;
                balancer.record_full(IDS[at], now);
            }
            CallDecision::Refuse(_) => {}
        }
    }

    assert_eq!(used, [SLOTS; 7], "all slots are used");
    assert_eq!(refusals, 7, "each endpoint refuses once");
}

/// The last free endpoint is reserved for the most urgent callers while these send calls.
#[test]
fn last_free_endpoint_is_reserved_for_urgent_callers() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    IDS[1..].iter().for_each(|id| balancer.record_full(id, now));
    let urgent = CallRequest { rank: 0, ..NON_IDEMPOTENT };

    let before = balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, draws());
    let first = balancer.choose(&idle_candidates(), urgent, now, draws());
    let less_urgent = balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, draws());
    let again = balancer.choose(&idle_candidates(), urgent, now, draws());

    assert_eq!([before, first, again], [CallDecision::Send(0); 3]);
    assert_eq!(refused(less_urgent).map(|r| r.reason), Some(CallRefusalReason::ReservedForUrgent));
}

/// Ranks make no difference while no endpoint is full.
#[test]
fn all_ranks_are_served_equally_without_full_endpoints() {
    let now = Instant::now();
    let mut balancer = warmed_up_balancer(now);
    balancer.choose(&idle_candidates(), CallRequest { rank: 0, ..NON_IDEMPOTENT }, now, draws());

    let least_urgent = balancer.choose(
        &idle_candidates()[..1],
        CallRequest { rank: 255, ..NON_IDEMPOTENT },
        now,
        draws(),
    );

    assert_eq!(least_urgent, CallDecision::Send(0));
}

/// Guards against short times of abandoned calls that make a slow endpoint look fast.
#[test]
fn abandoned_call_does_not_reduce_the_answer_time() {
    let now = Instant::now();
    let mut balancer = CallBalancer::default();
    balancer.record_answer(IDS[0], TIME_LEFT * 2, now);
    (0..10).for_each(|_| balancer.record_unanswered(IDS[0], USUAL_ANSWER, now));

    let choice = balancer.choose(&idle_candidates()[..1], NON_IDEMPOTENT, now, draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusalReason::TooSlow));
}

/// Guards against an endpoint that fails immediately and attracts calls as the fastest one.
#[test]
fn endpoint_that_fails_at_once_is_not_considered_fast() {
    let now = Instant::now();
    let mut balancer = CallBalancer::default();
    IDS[1..].iter().for_each(|id| balancer.record_answer(id, USUAL_ANSWER, now));
    (0..10).for_each(|_| balancer.record_unanswered(IDS[0], Duration::from_millis(1), now));
    let mut draws = draws();

    let to_first = (0..700).filter(|_| {
        balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, &mut draws)
            == CallDecision::Send(0)
    });

    let count = to_first.count();
    assert!(count < 130, "{count} of 700");
}

/// An endpoint that does not answer is avoided like a slow one.
#[test]
fn unanswered_call_counts_as_a_slow_answer() {
    let now = Instant::now();
    let mut balancer = CallBalancer::default();
    IDS[1..].iter().for_each(|id| balancer.record_answer(id, USUAL_ANSWER, now));
    balancer.record_unanswered(IDS[0], TIME_LEFT, now);
    let mut draws = draws();

    let decisions =
        (0..100).map(|_| balancer.choose(&idle_candidates(), NON_IDEMPOTENT, now, &mut draws));

    assert!(decisions.into_iter().all(|choice| choice != CallDecision::Send(0)));
}

/// A call without candidates is refused with its own reason.
#[test]
fn call_without_endpoints_is_refused() {
    let choice = CallBalancer::default().choose(&[], NON_IDEMPOTENT, Instant::now(), draws());

    assert_eq!(refused(choice).map(|refused| refused.reason), Some(CallRefusalReason::NoEndpoint));
}

/// For any sequence of events, no call is sent to a full endpoint and none is refused without an observation.
#[test]
fn calls_avoid_full_endpoints_and_are_not_refused_without_reason() {
    for_fixed_seeds(1_000, 1024, |u| {
        let start = Instant::now();
        let mut now = start;
        let mut balancer = CallBalancer::default();
        let mut full_until = [start; 7];
        let mut answered = false;
        while !u.is_empty() {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let at = u.choose_index(7)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    balancer.record_full(IDS[at], now);
                    // The shortest time for which an endpoint is considered full.
                    full_until[at] = now + Duration::from_millis(20);
                }
                1 => {
                    balancer.record_answer(
                        IDS[at],
                        Duration::from_millis(u.int_in_range(0..=2_000)?),
                        now,
                    );
                    answered = true;
                }
                _ => {
                    let request = CallRequest {
                        time_left: Duration::from_millis(u.int_in_range(0..=1_500)?),
                        is_idempotent: u.arbitrary()?,
                        rank: u.arbitrary()?,
                    };
                    match balancer.choose(&idle_candidates(), request, now, draws()) {
                        CallDecision::Send(at) => assert!(full_until[at] <= now, "{at} is full"),
                        CallDecision::Refuse(refused) => {
                            assert!(refused.retry_after <= Duration::from_secs(1), "{refused:?}");
                            let was_observed = answered || full_until.iter().any(|at| *at > start);
                            assert!(was_observed, "{refused:?} without any observation");
                        }
                    }
                }
            }
        }
        Ok(())
    });
}
