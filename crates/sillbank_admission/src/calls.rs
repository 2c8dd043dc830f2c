//! Where a plain call is sent, so that it ends in its time; or that it is refused at once.
//!
//! An endpoint of a plain service works on a few calls at once, queues a few more and refuses the rest. It
//! serves all VMs of a fleet, and none of them knows what the others have sent. What a VM has seen itself
//! says enough: how long answers took, and who was full a moment ago. Calls begin at endpoints that are about
//! as good as the best, evenly by chance; those that are slow or full are left out for as long as that is
//! likely to hold; and a call for which none is left is refused, so that its caller may come back while there
//! is time. While endpoints are full, the last one that is not is kept for the most urgent callers.

use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new answer. A VM sees few of one endpoint, so that some three decide.
const GAIN: f64 = 0.3;
/// Deviations above the mean in which a call is to end that must not be sent again: about one in 20 ends later.
const SURE_DEVIATIONS: f64 = 2.0;
/// Deviation of the times of which one is known, as a part of it: usual for times of work.
const FIRST_DEVIATION: f64 = 0.5;
/// Age at which a third is left of what was seen of an endpoint's times; it is taken for like the best again as they
/// age. One call late each ten seconds is what a look at a slow endpoint costs its callers.
const SEEN_FOR: Duration = Duration::from_secs(10);
/// How long an endpoint that refused is taken for full while no answer's time is known.
const FULL_UNKNOWN: Duration = Duration::from_millis(100);
/// Shortest and longest time for which it is taken for full: long enough for a call to end there, and not as long as
/// callers wait.
const FULL: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// How long an endpoint that is too slow is left before a call looks whether it still is: a second of refusals is what
/// callers can bear for a fault that is over.
const LOOK_AFTER: Duration = Duration::from_secs(1);
/// How long a caller's rank is remembered: as long as a call may take.
const RANK_SEEN_FOR: Duration = Duration::from_secs(2);
/// Cost of going to another hall, in calls in flight: a little is better than queueing.
const OTHER_HALL_COST: f64 = 2.0;
/// How many times slower than the quickest an endpoint is taken for as good: times of work differ by as much.
const AS_GOOD: f64 = 2.0;
/// Cost of each time more that an endpoint is slower than that, in calls in flight: as bad as another hall.
const SLOWER_COST: f64 = 2.0;
/// Free endpoints that are kept for the most urgent callers while others are full.
const KEPT_FOR_URGENT: usize = 1;

/// What was seen of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Seen {
    /// Mean time to the whole answer, and its mean deviation, in seconds; `None` before the first.
    answer: Option<(f64, f64)>,
    answered_at: Instant,
    /// When a call was last sent there to look whether it is still too slow.
    looked_at: Instant,
    full_until: Option<Instant>,
}

/// What one VM has seen of the endpoints of a plain service, and who calls it.
#[derive(Debug, Default)]
pub struct CallTimes {
    seen: HashMap<EndpointId, Seen>,
    ranks: HashMap<u8, Instant>,
}

/// An endpoint to which a call may be sent.
#[derive(Debug, Clone, Copy)]
pub struct CallCandidate<'a> {
    /// Endpoint.
    pub endpoint: &'a str,
    /// Whether it is in the VM's own hall.
    pub is_home: bool,
    /// Calls of this VM in flight there.
    pub in_flight: u32,
    /// Calls that it works on at once.
    pub places: u32,
}

/// A call.
#[derive(Debug, Clone, Copy)]
pub struct CallAsk {
    /// Time that it has left.
    pub time_left: Duration,
    /// Whether it may be sent again after an answer was lost.
    pub may_repeat: bool,
    /// Its rank; 0 goes first.
    pub rank: u8,
}

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallChoice {
    /// To the candidate of this index.
    Send(usize),
    /// Nowhere: it is refused.
    Refuse(CallRefused),
}

/// Why a call is sent nowhere, and when coming back makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRefused {
    /// Why.
    pub reason: CallRefusal,
    /// When an endpoint is likely to take it.
    pub come_back: Duration,
}

/// Why a call is sent nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRefusal {
    /// There is no endpoint.
    NoEndpoint,
    /// All endpoints were full a moment ago.
    Full,
    /// None would answer in the time that is left.
    TooSlow,
    /// The last endpoint that is not full is kept for more urgent callers.
    KeptForUrgent,
    /// All endpoints asked for fewer requests.
    Withheld,
    /// An endpoint ended under the call, and the only one left is not risked for it.
    KeptApart,
}

impl CallRefusal {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Full => "full",
            Self::TooSlow => "too_slow",
            Self::KeptForUrgent => "kept_for_urgent",
            Self::Withheld => "withheld",
            Self::KeptApart => "kept_apart",
        }
    }

    /// For logs and callers.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no endpoint of the service can be used",
            Self::Full => "all endpoints of the service are full",
            Self::TooSlow => "no endpoint of the service answers in the time that is left",
            Self::KeptForUrgent => "the service's last free endpoint is kept for more urgent calls",
            Self::KeptApart => "an endpoint ended under it, and the only one left is not risked",
            Self::Withheld => "the endpoints of the service asked for fewer requests",
        }
    }
}

impl CallTimes {
    /// A call was answered after so long.
    pub fn on_answer(&mut self, endpoint: &str, took: Duration, now: Instant) {
        let took_s = took.as_secs_f64();
        let seen = self.seen_mut(endpoint, now);
        seen.answer = Some(match seen.answer {
            None => (took_s, took_s * FIRST_DEVIATION),
            Some((mean, deviation)) => {
                // What is long ago weighs little beside what is new.
                let gain = 1.0 - (1.0 - GAIN) * weight(seen.answered_at, now);
                let off = took_s - mean;
                (mean + gain * off, deviation + gain * (off.abs() - deviation))
            }
        });
        seen.answered_at = now;
    }

    /// A call failed, was given up, or its answer was lost, after so long: an answer would have taken longer than that. So
    /// it counts only if that is longer than answers take; an endpoint that fails at once is not a quick one.
    pub fn on_unanswered(&mut self, endpoint: &str, after: Duration, now: Instant) {
        let own = self.seen.get(endpoint).and_then(|seen| seen.answer);
        let all = self.seen.values().filter_map(|seen| seen.answer);
        let known = own.or_else(|| all.min_by(|a, b| a.0.total_cmp(&b.0)));
        if known.is_some_and(|(mean_s, _)| after.as_secs_f64() > mean_s) {
            self.on_answer(endpoint, after, now);
        }
    }

    /// An endpoint refused a call for want of room. By the time of a usual answer all of its places are likely to have
    /// been given back once.
    pub fn on_full(&mut self, endpoint: &str, now: Instant) {
        let seen = self.seen_mut(endpoint, now);
        let usual = seen.answer.map(|(mean, _)| Duration::from_secs_f64(mean));
        let full_for = usual.unwrap_or(FULL_UNKNOWN).clamp(FULL.0, FULL.1);
        seen.full_until = Some(now + full_for);
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.seen.retain(|id, _| is_known(id));
    }

    /// Where a call is sent that has come now; `chance` draws from 0 to 1.
    pub fn choose(
        &mut self,
        candidates: &[CallCandidate<'_>],
        ask: CallAsk,
        now: Instant,
        mut chance: impl FnMut() -> f64,
    ) -> CallChoice {
        let outlooks = self.outlooks(candidates, now);
        let usual_s = usual_answer_s(&outlooks);
        let free: Vec<usize> =
            (0..candidates.len()).filter(|at| outlooks[*at].full_for.is_zero()).collect();
        let in_time: Vec<usize> =
            free.iter().copied().filter(|at| outlooks[*at].ends_in_time(ask, usual_s)).collect();
        let is_short = free.len() < candidates.len();
        let gives_way = self.is_outranked(ask.rank, now);
        let refusal = match (candidates.is_empty(), free.is_empty(), in_time.len()) {
            (true, _, _) => Some(CallRefusal::NoEndpoint),
            (_, true, _) => Some(CallRefusal::Full),
            (_, _, 0) => Some(CallRefusal::TooSlow),
            (_, _, left) if is_short && gives_way && left <= KEPT_FOR_URGENT => {
                Some(CallRefusal::KeptForUrgent)
            }
            _ => None,
        };
        if let Some(reason) = refusal {
            let come_back = come_back(&outlooks, usual_s, chance());
            return CallChoice::Refuse(CallRefused { reason, come_back });
        }
        let cost = |at: usize| outlooks[at].cost(usual_s);
        let costs = in_time.into_iter().map(|at| (cost(at) + chance(), at));
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, best)) = best else {
            unreachable!("some are in time, or it was refused");
        };
        if outlooks[best].is_too_slow(ask, usual_s) {
            self.seen_mut(candidates[best].endpoint, now).looked_at = now;
        }
        CallChoice::Send(best)
    }

    /// Whether a more urgent caller than this one called lately. Notes this one.
    fn is_outranked(&mut self, rank: u8, now: Instant) -> bool {
        self.ranks.retain(|_, at| now.saturating_duration_since(*at) < RANK_SEEN_FOR);
        self.ranks.insert(rank, now);
        self.ranks.keys().any(|other| *other < rank)
    }

    fn outlooks<'a>(&self, candidates: &[CallCandidate<'a>], now: Instant) -> Vec<Outlook<'a>> {
        let of = |candidate: &CallCandidate<'a>| {
            let seen = self.seen.get(candidate.endpoint);
            let answer = seen.and_then(|seen| Some((seen.answer?, seen.answered_at)));
            let full_until = seen.and_then(|seen| seen.full_until);
            Outlook {
                candidate: *candidate,
                answer: answer.map(|((mean_s, deviation_s), at)| Answer {
                    mean_s,
                    deviation_s,
                    weight: weight(at, now),
                }),
                may_look: seen.is_some_and(|seen| {
                    let last = seen.answered_at.max(seen.looked_at);
                    now.saturating_duration_since(last) >= LOOK_AFTER
                }),
                full_for: full_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now)),
            }
        };
        candidates.iter().map(of).collect()
    }

    fn seen_mut(&mut self, endpoint: &str, now: Instant) -> &mut Seen {
        let new = Seen { answer: None, answered_at: now, looked_at: now, full_until: None };
        self.seen.entry(endpoint.to_owned()).or_insert(new)
    }
}

/// What is left, from 1 to 0, of what was seen at a moment.
fn weight(at: Instant, now: Instant) -> f64 {
    (-now.saturating_duration_since(at).div_duration_f64(SEEN_FOR)).exp()
}

/// Times of an endpoint's answers.
#[derive(Debug, Clone, Copy)]
struct Answer {
    mean_s: f64,
    deviation_s: f64,
    /// From 1 to 0 as it ages.
    weight: f64,
}

/// What is to be expected of a candidate.
#[derive(Debug, Clone, Copy)]
struct Outlook<'a> {
    candidate: CallCandidate<'a>,
    answer: Option<Answer>,
    /// Whether nothing was heard of it lately.
    may_look: bool,
    /// How much longer it is taken for full.
    full_for: Duration,
}

impl Outlook<'_> {
    /// Mean time of an answer, in seconds: as seen, and the usual one in so far as that is long ago.
    fn mean_s(&self, usual_s: f64) -> f64 {
        self.answer.map_or(usual_s, |seen| usual_s + seen.weight * (seen.mean_s - usual_s))
    }

    /// Whether a call that is sent there now is likely to end in its time, or looks whether it would.
    fn ends_in_time(&self, ask: CallAsk, usual_s: f64) -> bool {
        self.may_look || !self.is_too_slow(ask, usual_s)
    }

    /// Whether a call that is sent there now is likely to be late. One that may be repeated can still turn elsewhere,
    /// so the mean decides.
    fn is_too_slow(&self, ask: CallAsk, usual_s: f64) -> bool {
        let deviations = if ask.may_repeat { 0.0 } else { SURE_DEVIATIONS };
        let deviation_s = self.answer.map_or(0.0, |seen| seen.weight * seen.deviation_s);
        let queued =
            (f64::from(self.candidate.in_flight) + 1.0) / f64::from(self.candidate.places.max(1));
        let answer_s = self.mean_s(usual_s) + deviations * deviation_s;
        answer_s * queued.max(1.0) > ask.time_left.as_secs_f64()
    }

    /// Cost, in calls in flight.
    fn cost(&self, usual_s: f64) -> f64 {
        let times_slower = if usual_s > 0.0 { self.mean_s(usual_s) / usual_s } else { 1.0 };
        let away = if self.candidate.is_home { 0.0 } else { OTHER_HALL_COST };
        let slow = (times_slower - AS_GOOD).max(0.0) * SLOWER_COST;
        f64::from(self.candidate.in_flight) + away + slow
    }
}

/// Usual time of an answer, in seconds: that of the quickest endpoint. 0 while nothing is known, so that nothing is
/// taken for slow.
fn usual_answer_s(outlooks: &[Outlook<'_>]) -> f64 {
    let means = outlooks.iter().filter_map(|outlook| Some(outlook.answer?.mean_s));
    means.min_by(f64::total_cmp).unwrap_or(0.0)
}

/// When a caller should come back: when the first endpoint is likely to have room, and up to a usual answer later, so
/// that callers refused together do not come together.
fn come_back(outlooks: &[Outlook<'_>], usual_s: f64, chance: f64) -> Duration {
    let soonest = outlooks.iter().map(|outlook| outlook.full_for).min().unwrap_or(FULL_UNKNOWN);
    let usual = Duration::from_secs_f64(usual_s).clamp(FULL.0, FULL.1);
    soonest.max(FULL.0) + usual.mul_f64(chance.clamp(0.0, 1.0))
}
