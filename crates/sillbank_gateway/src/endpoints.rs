//! What this VM has seen of endpoints itself: work in flight and health.

use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_routing::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First ejection after a failure. Long enough for a crashed process to start again, short enough
/// to lose little when only a connection failed.
const EJECT: Duration = Duration::from_millis(1_000);
/// Longest ejection; each failure in a row doubles it.
const EJECT_MAX: Duration = Duration::from_millis(8_000);
/// Time over which an endpoint that returned gets its full share again.
const SLOW_START: Duration = Duration::from_millis(1_500);
/// Weight of a new result in the failure share.
const FAILURE_GAIN: f64 = 0.15;
/// Share of failed answers above which an endpoint is left alone. Healthy ones fail up to 0.14 of
/// their requests on the sites known.
const FAILURE_LIMIT: f64 = 0.4;

const LIMITS: HealthLimits =
    HealthLimits { base_ejection: EJECT, max_ejection: EJECT_MAX, slow_start: SLOW_START };

/// How long an engine that refused its part of a path is avoided where there is another. About the
/// time in which its entry tells what it holds now.
const SHUN: Duration = Duration::from_millis(600);
/// Cost of a path through an engine that refused its part, in milliseconds of predicted time: more
/// than any healthy path, less than handing activations over to another hall.
const SHUN_COST_MS: f64 = 500.0;
/// Cost of an engine that fails all requests, in milliseconds of predicted time; in proportion for
/// one that fails some.
const FAILURE_COST_MS: f64 = 300.0;

/// How an exchange with an endpoint ended, as evidence of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It answered as it should.
    Good,
    /// It failed, or its answer was lost, but it can be reached.
    Failed,
    /// It refused a part of a path: it does not hold the layers or has no room for them.
    LacksPart,
    /// It cannot be reached, does not answer, or others wait for it in vain.
    Unreachable,
}

/// Number that this VM gives a life of an endpoint; no two lives have the same.
type LifeNumber = u64;

#[derive(Debug, Clone)]
struct Seen {
    life: LifeNumber,
    /// When this VM heard that the endpoint had started again; `None` if it never did.
    renewed_at: Option<Instant>,
    in_flight: u32,
    health: Health,
    failure_share: f64,
    on_trial: bool,
    ejected_at: Option<Instant>,
    shunned_until: Option<Instant>,
    answered_at: Option<Instant>,
    sends: SendLog,
}

impl Seen {
    fn new(life: LifeNumber, now: Instant) -> Self {
        Self {
            life,
            renewed_at: None,
            in_flight: 0,
            health: Health::new(now),
            failure_share: 0.0,
            on_trial: false,
            ejected_at: None,
            shunned_until: None,
            answered_at: None,
            sends: SendLog::default(),
        }
    }
}

/// A part of a request at one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// KV cache that it will take there, in tokens times layers; 0 at an endpoint that is no engine.
    pub kv: f64,
}

/// What this VM has seen of each endpoint.
#[derive(Debug, Default)]
pub struct EndpointBook {
    seen: RefCell<HashMap<EndpointId, Seen>>,
    /// The number that was given last.
    last_life: Cell<LifeNumber>,
}

/// Work in flight at some endpoints; ends when dropped.
#[derive(Debug)]
pub struct InFlight {
    book: Rc<EndpointBook>,
    /// Shares, and the lives of their endpoints that they were sent to.
    shares: Vec<(Share, LifeNumber)>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut seen = self.book.seen.borrow_mut();
        for (share, life) in &self.shares {
            if let Some(seen) = seen.get_mut(&share.endpoint).filter(|seen| seen.life == *life) {
                seen.in_flight = seen.in_flight.saturating_sub(1);
                seen.sends.on_end(now, share.kv);
            }
        }
    }
}

impl EndpointBook {
    /// Notes work that is sent to endpoints, until the answer is dropped.
    pub fn begin(self: &Rc<Self>, shares: Vec<Share>, now: Instant) -> InFlight {
        let begin = |share: Share| {
            let life = self.with(&share.endpoint, now, |seen| {
                seen.in_flight += 1;
                seen.on_trial |= seen.health.state() == HealthState::Ejected;
                seen.sends.on_send(now, share.kv);
                seen.life
            });
            (share, life)
        };
        InFlight { book: self.clone(), shares: shares.into_iter().map(begin).collect() }
    }

    /// An endpoint has started again: nothing that was seen of it says anything of its new life.
    pub fn on_new_life(&self, endpoint: &str, now: Instant) {
        let renewed = Seen { renewed_at: Some(now), ..Seen::new(self.next_life(), now) };
        self.seen.borrow_mut().insert(endpoint.to_owned(), renewed);
    }

    fn next_life(&self) -> LifeNumber {
        self.last_life.set(self.last_life.get() + 1);
        self.last_life.get()
    }

    /// Whether an endpoint was found to have started again at a moment or later. What was sent to it before
    /// is lost there.
    pub fn renewed_since(&self, endpoint: &str, since: Instant) -> bool {
        let seen = self.seen.borrow();
        seen.get(endpoint).and_then(|seen| seen.renewed_at).is_some_and(|at| at >= since)
    }

    /// What this VM sent to an engine since a moment, less what was given back.
    pub fn sent_since(&self, endpoint: &str, moment: Instant) -> Unseen {
        let seen = self.seen.borrow();
        seen.get(endpoint).map_or_else(Unseen::default, |seen| seen.sends.since(moment))
    }

    /// Requests of this VM that are in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.seen.borrow().get(endpoint).map_or(0, |seen| seen.in_flight)
    }

    /// Whether an endpoint may be given work: it is healthy, or due for a trial.
    pub fn takes_work(&self, endpoint: &str, now: Instant) -> bool {
        self.seen.borrow().get(endpoint).is_none_or(|seen| match seen.health.state() {
            HealthState::Active | HealthState::Returning => true,
            HealthState::Ejected => !seen.on_trial && seen.health.probe_due(now, &LIMITS),
            HealthState::Leaving => false,
        })
    }

    /// Whether an engine may be part of a path. Unlike plain endpoints, engines are not tried
    /// with requests of callers: they are asked for a report first.
    pub fn may_run_part(&self, endpoint: &str) -> bool {
        !self.is_ejected(endpoint)
    }

    /// Cost of using an engine, in milliseconds of predicted time, by what was seen of it.
    pub fn use_cost_ms(&self, endpoint: &str, now: Instant) -> f64 {
        self.seen.borrow().get(endpoint).map_or(0.0, |seen| {
            let is_shunned = seen.shunned_until.is_some_and(|until| now < until);
            let shun = if is_shunned { SHUN_COST_MS } else { 0.0 };
            seen.failure_share * FAILURE_COST_MS + shun
        })
    }

    /// Whether an endpoint is left alone since a moment or later.
    pub fn ejected_since(&self, endpoint: &str, since: Instant) -> bool {
        let seen = self.seen.borrow();
        seen.get(endpoint).is_some_and(|seen| {
            seen.health.state() == HealthState::Ejected
                && seen.ejected_at.is_some_and(|at| at >= since)
        })
    }

    /// Notes that an endpoint answered a call beside requests.
    pub fn on_answer(&self, endpoint: &str, now: Instant) {
        self.with(endpoint, now, |seen| seen.answered_at = Some(now));
    }

    /// Whether an endpoint answered such a call at a moment or later.
    pub fn answered_since(&self, endpoint: &str, since: Instant) -> bool {
        let seen = self.seen.borrow();
        seen.get(endpoint).and_then(|seen| seen.answered_at).is_some_and(|at| at >= since)
    }

    /// Endpoints that have been left alone for long enough to be asked again.
    pub fn due_for_probe(&self, now: Instant) -> Vec<EndpointId> {
        let seen = self.seen.borrow();
        let due = seen.iter().filter(|(_, seen)| seen.health.probe_due(now, &LIMITS));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Whether an endpoint is left alone at the moment.
    pub fn is_ejected(&self, endpoint: &str) -> bool {
        let seen = self.seen.borrow();
        seen.get(endpoint).is_some_and(|seen| seen.health.state() == HealthState::Ejected)
    }

    /// Takes evidence; answers whether the endpoint's standing changed.
    pub fn on_evidence(&self, endpoint: &str, evidence: Evidence, now: Instant) -> bool {
        self.with(endpoint, now, |seen| {
            let before = seen.health.state();
            seen.on_trial = false;
            match evidence {
                Evidence::Good => {
                    seen.failure_share -= FAILURE_GAIN * seen.failure_share;
                    seen.health.on_event(now, HealthEvent::ProbeOk);
                }
                Evidence::Failed => {
                    seen.failure_share += FAILURE_GAIN * (1.0 - seen.failure_share);
                    if seen.failure_share > FAILURE_LIMIT {
                        seen.failure_share = FAILURE_LIMIT / 2.0;
                        seen.health.on_event(now, HealthEvent::Failure);
                    }
                }
                Evidence::LacksPart => seen.shunned_until = Some(now + SHUN),
                Evidence::Unreachable => seen.health.on_event(now, HealthEvent::Failure),
            }
            seen.health.on_tick(now, &LIMITS);
            let is_ejected = seen.health.state() == HealthState::Ejected;
            seen.ejected_at = is_ejected.then(|| seen.ejected_at.unwrap_or(now));
            before != seen.health.state()
        })
    }

    /// Forgets endpoints that are not listed any more and have no work in flight.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.seen.borrow_mut().retain(|id, seen| seen.in_flight > 0 || is_known(id));
    }

    fn with<T>(&self, endpoint: &str, now: Instant, change: impl FnOnce(&mut Seen) -> T) -> T {
        let mut all = self.seen.borrow_mut();
        if !all.contains_key(endpoint) {
            all.insert(endpoint.to_owned(), Seen::new(self.next_life(), now));
        }
        match all.get_mut(endpoint) {
            Some(seen) => change(seen),
            None => unreachable!("it was just inserted"),
        }
    }
}
