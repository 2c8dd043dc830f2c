//! Selects the endpoint for a plain call so that it finishes in time, or refuses the call at once.
//!
//! An endpoint of a plain service processes a few calls concurrently, queues a few more and refuses the rest. It
//! serves all VMs of a fleet, and no VM knows what the others have sent. What a VM has observed itself is
//! sufficient: how long answers took, and which endpoints were full a moment ago. Calls are spread evenly at random
//! over endpoints that are about as good as the best. Slow or full endpoints are left out for as long as that is
//! likely to last. A call without a remaining endpoint is refused, so that its caller can retry while there is
//! time. While endpoints are full, the last one that is not is reserved for the most urgent callers.

use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new answer in the moving averages. A VM sees few answers of one endpoint, so about three decide.
const EWMA_GAIN: f64 = 0.3;
/// Deviations above the mean within which a call that is not idempotent is to end: about one in 20 ends later.
const NON_IDEMPOTENT_DEVIATIONS: f64 = 2.0;
/// Deviation assumed after the first answer, as a fraction of its time; usual for processing times.
const INITIAL_DEVIATION_RATIO: f64 = 0.5;
/// Time constant with which answer times of an endpoint lose weight; as they age, the endpoint is again considered
/// as good as the best. Probing a slow endpoint costs its callers one late call each ten seconds.
const ANSWER_DECAY: Duration = Duration::from_secs(10);
/// Time for which an endpoint that refused is considered full while no answer time is known.
const FULL_FOR_DEFAULT: Duration = Duration::from_millis(100);
/// Shortest and longest time for which such an endpoint is considered full: long enough for a call to end there, but
/// shorter than callers wait.
const FULL_FOR_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(500));
/// Time after which a call probes whether an endpoint is still too slow; callers tolerate a second of refusals
/// for a fault that is over.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the rank of a caller is remembered; as long as a call may take.
const RANK_RETENTION: Duration = Duration::from_secs(2);
/// Cost of an endpoint in another hall, in calls in flight: going there is better than a longer queue here.
const REMOTE_HALL_COST: f64 = 2.0;
/// Ratio to the fastest answer time up to which an endpoint is considered equally good; processing times vary as much.
const EQUAL_SLOWDOWN: f64 = 2.0;
/// Cost of each further multiple of the fastest answer time, in calls in flight; equals that of another hall.
const SLOWDOWN_COST: f64 = 2.0;
/// Free endpoints that are reserved for the most urgent callers while others are full.
const RESERVED_ENDPOINTS: usize = 1;

/// Observations of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Observations {
    /// Mean time to the whole answer and its mean deviation, in seconds; `None` before the first answer.
    answer: Option<(f64, f64)>,
    answered_at: Instant,
    /// When a call last probed whether the endpoint is still too slow.
    probed_at: Instant,
    full_until: Option<Instant>,
}

/// Balances the calls of one VM over the endpoints of a plain service.
#[derive(Debug, Default)]
pub struct CallBalancer {
    endpoints: HashMap<EndpointId, Observations>,
    /// When each rank was last seen.
    ranks: HashMap<u8, Instant>,
}

/// An endpoint to which a call may be sent.
#[derive(Debug, Clone, Copy)]
pub struct CallCandidate<'a> {
    /// Endpoint.
    pub endpoint: &'a str,
    /// Whether the endpoint is in the VM's own hall.
    pub is_local: bool,
    /// Calls of this VM in flight to the endpoint.
    pub in_flight: u32,
    /// Calls that the endpoint processes concurrently.
    pub slots: u32,
}

/// A call for which an endpoint is selected.
#[derive(Debug, Clone, Copy)]
pub struct CallRequest {
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Whether the call may be sent again after its answer was lost.
    pub is_idempotent: bool,
    /// Rank of the call; 0 goes first.
    pub rank: u8,
}

/// Decision about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDecision {
    /// Send the call to the candidate with this index.
    Send(usize),
    /// Refuse the call.
    Refuse(CallRefusal),
}

/// Refusal of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefusal {
    /// Reason for the refusal.
    pub reason: CallRefusalReason,
    /// Time after which an endpoint is likely to accept the call.
    pub retry_after: Duration,
}

/// Reason why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusalReason {
    /// There is no endpoint.
    NoEndpoint,
    /// All endpoints were full a moment ago.
    Full,
    /// No endpoint would answer in the time left.
    TooSlow,
    /// The last endpoint that is not full is reserved for more urgent callers.
    ReservedForUrgent,
    /// All endpoints asked for fewer requests.
    Withheld,
    /// An endpoint crashed while it processed the call, and the only remaining one is not put at risk.
    Isolated,
}

impl CallRefusalReason {
    /// Name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Full => "full",
            Self::TooSlow => "too_slow",
            Self::ReservedForUrgent => "kept_for_urgent",
            Self::Withheld => "withheld",
            Self::Isolated => "kept_apart",
        }
    }

    /// Description for logs and callers.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no endpoint of the service can be used",
            Self::Full => "all endpoints of the service are full",
            Self::TooSlow => "no endpoint of the service answers in the time that is left",
            Self::ReservedForUrgent => {
                "the service's last free endpoint is kept for more urgent calls"
            }
            Self::Isolated => "an endpoint ended under it, and the only one left is not risked",
            Self::Withheld => "the endpoints of the service asked for fewer requests",
        }
    }
}

impl CallBalancer {
    /// Records an answer and the time it took.
    pub fn record_answer(&mut self, endpoint: &str, took: Duration, now: Instant) {
        let took_s = took.as_secs_f64();
        let observed = self.observations_mut(endpoint, now);
        observed.answer = Some(match observed.answer {
            None => (took_s, took_s * INITIAL_DEVIATION_RATIO),
            Some((mean, deviation)) => {
                // Old averages have little weight compared with the new answer.
                let gain = 1.0 - (1.0 - EWMA_GAIN) * weight(observed.answered_at, now);
                let error = took_s - mean;
                (mean + gain * error, deviation + gain * (error.abs() - deviation))
            }
        });
        observed.answered_at = now;
    }

    /// Records the duration of a call that failed, was given up, or lost its answer. An answer would have taken longer
    /// than that, so the time counts only if it is above the mean: an endpoint that fails at once is not a fast one.
    pub fn record_unanswered(&mut self, endpoint: &str, after: Duration, now: Instant) {
        let own = self.endpoints.get(endpoint).and_then(|observed| observed.answer);
        let all = self.endpoints.values().filter_map(|observed| observed.answer);
        let known = own.or_else(|| all.min_by(|a, b| a.0.total_cmp(&b.0)));
        if known.is_some_and(|(mean_s, _)| after.as_secs_f64() > mean_s) {
            self.record_answer(endpoint, after, now);
        }
    }

    /// Records that an endpoint refused a call because it was full. After the mean time of an answer, each of its slots
    /// has probably become free once.
    pub fn record_full(&mut self, endpoint: &str, now: Instant) {
        let observed = self.observations_mut(endpoint, now);
        let mean = observed.answer.map(|(mean, _)| Duration::from_secs_f64(mean));
        let full_for = mean.unwrap_or(FULL_FOR_DEFAULT).clamp(FULL_FOR_RANGE.0, FULL_FOR_RANGE.1);
        observed.full_until = Some(now + full_for);
    }

    /// Removes endpoints that are no longer listed.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, _| is_known(id));
    }

    /// Selects a candidate for a call that has just arrived, or refuses the call. `draw` returns a random number from
    /// 0 to 1.
    pub fn choose(
        &mut self,
        candidates: &[CallCandidate<'_>],
        request: CallRequest,
        now: Instant,
        mut draw: impl FnMut() -> f64,
    ) -> CallDecision {
        let estimates = self.estimates(candidates, now);
        let fastest_s = fastest_answer_s(&estimates);
        let free: Vec<usize> =
            (0..candidates.len()).filter(|index| estimates[*index].full_for.is_zero()).collect();
        let in_time: Vec<usize> = free
            .iter()
            .copied()
            .filter(|index| estimates[*index].accepts(request, fastest_s))
            .collect();
        let some_full = free.len() < candidates.len();
        let is_outranked = self.is_outranked(request.rank, now);
        let refusal = match (candidates.is_empty(), free.is_empty(), in_time.len()) {
            (true, _, _) => Some(CallRefusalReason::NoEndpoint),
            (_, true, _) => Some(CallRefusalReason::Full),
            (_, _, 0) => Some(CallRefusalReason::TooSlow),
            (_, _, left) if some_full && is_outranked && left <= RESERVED_ENDPOINTS => {
                Some(CallRefusalReason::ReservedForUrgent)
            }
            _ => None,
        };
        if let Some(reason) = refusal {
            let retry_after = retry_after(&estimates, fastest_s, draw());
            return CallDecision::Refuse(CallRefusal { reason, retry_after });
        }
        let cost = |index: usize| estimates[index].cost(fastest_s);
        let costs = in_time.into_iter().map(|index| (cost(index) + draw(), index));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, best)) = best else {
            unreachable!("without a candidate in time the call is refused above");
        };
        if estimates[best].is_too_slow(request, fastest_s) {
            self.observations_mut(candidates[best].endpoint, now).probed_at = now;
        }
        CallDecision::Send(best)
    }

    /// Whether a more urgent caller than this one was seen recently. Records the rank of this one.
    fn is_outranked(&mut self, rank: u8, now: Instant) -> bool {
        self.ranks.retain(|_, at| now.saturating_duration_since(*at) < RANK_RETENTION);
        self.ranks.insert(rank, now);
        self.ranks.keys().any(|other| *other < rank)
    }

    fn estimates<'a>(&self, candidates: &[CallCandidate<'a>], now: Instant) -> Vec<Estimate<'a>> {
        let of = |candidate: &CallCandidate<'a>| {
            let observed = self.endpoints.get(candidate.endpoint);
            let answer =
                observed.and_then(|observed| Some((observed.answer?, observed.answered_at)));
            let full_until = observed.and_then(|observed| observed.full_until);
            Estimate {
                candidate: *candidate,
                answer: answer.map(|((mean_s, deviation_s), at)| AnswerTime {
                    mean_s,
                    deviation_s,
                    weight: weight(at, now),
                }),
                may_probe: observed.is_some_and(|observed| {
                    let last = observed.answered_at.max(observed.probed_at);
                    now.saturating_duration_since(last) >= PROBE_INTERVAL
                }),
                full_for: full_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now)),
            }
        };
        candidates.iter().map(of).collect()
    }

    fn observations_mut(&mut self, endpoint: &str, now: Instant) -> &mut Observations {
        let new = Observations { answer: None, answered_at: now, probed_at: now, full_until: None };
        self.endpoints.entry(endpoint.to_owned()).or_insert(new)
    }
}

/// Remaining weight, from 1 to 0, of an observation made at a moment.
fn weight(at: Instant, now: Instant) -> f64 {
    (-now.saturating_duration_since(at).div_duration_f64(ANSWER_DECAY)).exp()
}

/// Answer times of an endpoint.
#[derive(Debug, Clone, Copy)]
struct AnswerTime {
    mean_s: f64,
    deviation_s: f64,
    /// Falls from 1 to 0 with age.
    weight: f64,
}

/// Expected behaviour of a candidate.
#[derive(Debug, Clone, Copy)]
struct Estimate<'a> {
    candidate: CallCandidate<'a>,
    answer: Option<AnswerTime>,
    /// Whether the endpoint is known, but neither answered nor was probed recently.
    may_probe: bool,
    /// How much longer the endpoint is considered full.
    full_for: Duration,
}

impl Estimate<'_> {
    /// Mean answer time in seconds; approaches the fastest one as the observations age.
    fn mean_s(&self, fastest_s: f64) -> f64 {
        self.answer
            .map_or(fastest_s, |answer| fastest_s + answer.weight * (answer.mean_s - fastest_s))
    }

    /// Whether a call sent there now is likely to finish in time, or may probe whether it would.
    fn accepts(&self, request: CallRequest, fastest_s: f64) -> bool {
        self.may_probe || !self.is_too_slow(request, fastest_s)
    }

    /// Whether a call sent there now is likely to be late. For an idempotent call the mean decides, because it can
    /// still be sent elsewhere.
    fn is_too_slow(&self, request: CallRequest, fastest_s: f64) -> bool {
        let deviations = if request.is_idempotent { 0.0 } else { NON_IDEMPOTENT_DEVIATIONS };
        let deviation_s = self.answer.map_or(0.0, |answer| answer.weight * answer.deviation_s);
        let queued =
            (f64::from(self.candidate.in_flight) + 1.0) / f64::from(self.candidate.slots.max(1));
        let answer_s = self.mean_s(fastest_s) + deviations * deviation_s;
        answer_s * queued.max(1.0) > request.time_left.as_secs_f64()
    }

    /// Cost in calls in flight.
    fn cost(&self, fastest_s: f64) -> f64 {
        let slowdown = if fastest_s > 0.0 { self.mean_s(fastest_s) / fastest_s } else { 1.0 };
        let remote_cost = if self.candidate.is_local { 0.0 } else { REMOTE_HALL_COST };
        let slowdown_cost = (slowdown - EQUAL_SLOWDOWN).max(0.0) * SLOWDOWN_COST;
        f64::from(self.candidate.in_flight) + remote_cost + slowdown_cost
    }
}

/// Mean answer time of the fastest endpoint, in seconds. 0 while nothing is known, so that no endpoint is considered
/// slow.
fn fastest_answer_s(estimates: &[Estimate<'_>]) -> f64 {
    let means = estimates.iter().filter_map(|estimate| Some(estimate.answer?.mean_s));
    means.min_by(f64::total_cmp).unwrap_or(0.0)
}

/// Time after which a caller should retry: when the first endpoint is likely to be free, plus up to one answer time as
/// jitter, so that callers refused together do not retry together.
fn retry_after(estimates: &[Estimate<'_>], fastest_s: f64, draw: f64) -> Duration {
    let soonest =
        estimates.iter().map(|estimate| estimate.full_for).min().unwrap_or(FULL_FOR_DEFAULT);
    let jitter = Duration::from_secs_f64(fastest_s).clamp(FULL_FOR_RANGE.0, FULL_FOR_RANGE.1);
    soonest.max(FULL_FOR_RANGE.0) + jitter.mul_f64(draw.clamp(0.0, 1.0))
}
