//! Endpoints as this VM observes them: work in flight and health.

use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_routing::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// First ejection after a failure. Long enough for a crashed process to restart, short enough to
/// lose little when only a connection failed.
const BASE_EJECTION: Duration = Duration::from_millis(1_000);
/// Longest ejection; each consecutive failure doubles it.
const MAX_EJECTION: Duration = Duration::from_millis(8_000);
/// Time over which a recovered endpoint gets its full share of work again.
const SLOW_START: Duration = Duration::from_millis(1_500);
/// Weight of a new result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Share of failed answers above which an endpoint is ejected. Healthy ones fail up to 0.14 of
/// their requests on the known deployments.
const EJECTION_FAILURE_SHARE: f64 = 0.4;

const LIMITS: HealthLimits = HealthLimits {
    base_ejection: BASE_EJECTION,
    max_ejection: MAX_EJECTION,
    slow_start: SLOW_START,
};

/// How long an engine that refused its part of a path is avoided where there is another. Its entry
/// shows what it holds now after about this time.
const REFUSAL_AVOIDANCE: Duration = Duration::from_millis(600);
/// Cost of a path through an engine that refused its part, in milliseconds of predicted time: more
/// than any healthy path, less than passing activations to another hall.
const REFUSAL_COST_MS: f64 = 500.0;
/// Cost of an engine that fails all requests, in milliseconds of predicted time; proportionally
/// less for fewer failures.
const FAILURE_COST_MS: f64 = 300.0;

/// Evidence of an endpoint's health: how an exchange with it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It answered correctly.
    Good,
    /// It failed or its answer was lost, but it is reachable.
    Failed,
    /// It refused a part of a path, as it does not hold the layers or has no room.
    RefusedPart,
    /// It is unreachable, does not answer, or stalls others that wait for it.
    Unreachable,
}

/// Number that this VM assigns to an incarnation of an endpoint. It is unique over all endpoints.
type IncarnationNumber = u64;

#[derive(Debug, Clone)]
struct EndpointState {
    incarnation: IncarnationNumber,
    /// When this VM learnt that the endpoint had restarted; `None` if it never did.
    restarted_at: Option<Instant>,
    in_flight: u32,
    health: Health,
    failure_share: f64,
    is_on_trial: bool,
    ejected_at: Option<Instant>,
    avoided_until: Option<Instant>,
    answered_at: Option<Instant>,
    sends: SendLog,
    /// KV cache of requests that were moved there and that it has not processed yet.
    reserved_kv: f64,
}

impl EndpointState {
    fn new(incarnation: IncarnationNumber, now: Instant) -> Self {
        Self {
            incarnation,
            restarted_at: None,
            in_flight: 0,
            health: Health::new(now),
            failure_share: 0.0,
            is_on_trial: false,
            ejected_at: None,
            avoided_until: None,
            answered_at: None,
            sends: SendLog::default(),
            reserved_kv: 0.0,
        }
    }
}

/// A part of a request at one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPart {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// KV cache that the part will take, in tokens times layers; 0 at an endpoint that is no
    /// engine.
    pub kv: f64,
}

/// Health and work in flight of each endpoint.
#[derive(Debug, Default)]
pub struct EndpointTracker {
    states: RefCell<HashMap<EndpointId, EndpointState>>,
    /// Number assigned last.
    last_incarnation: Cell<IncarnationNumber>,
}

/// KV cache reserved for a request that is moved to some engines, until dropped. Engines report it
/// only when they have processed the request's tokens again.
#[derive(Debug)]
pub struct Reservation {
    tracker: Rc<EndpointTracker>,
    parts: Vec<(RequestPart, IncarnationNumber)>,
    /// Requests of all VMs that it stands for.
    requests: f64,
}

impl Reservation {
    /// The engines have processed the request: it is in flight there now.
    pub fn into_in_flight(self, now: Instant) -> InFlightGuard {
        let parts = self.parts.iter().map(|(part, _)| part.clone()).collect();
        self.tracker.start(parts, now)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut states = self.tracker.states.borrow_mut();
        for (part, incarnation) in &self.parts {
            if let Some(state) =
                states.get_mut(&part.endpoint).filter(|state| state.incarnation == *incarnation)
            {
                state.reserved_kv -= part.kv * self.requests;
            }
        }
    }
}

/// Work in flight at some endpoints; ends when dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    tracker: Rc<EndpointTracker>,
    /// Parts of the request, with the incarnations that they were sent to.
    parts: Vec<(RequestPart, IncarnationNumber)>,
}

impl InFlightGuard {
    /// Takes over the work of another guard.
    pub fn absorb(&mut self, mut other: Self) {
        self.parts.append(&mut other.parts);
    }

    /// Ends the work at an endpoint.
    pub fn end_at(&mut self, endpoint: &str) {
        let (ended, kept) = std::mem::take(&mut self.parts)
            .into_iter()
            .partition(|(part, _)| part.endpoint == endpoint);
        self.parts = kept;
        drop(Self { tracker: self.tracker.clone(), parts: ended });
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut states = self.tracker.states.borrow_mut();
        for (part, incarnation) in &self.parts {
            if let Some(state) =
                states.get_mut(&part.endpoint).filter(|state| state.incarnation == *incarnation)
            {
                state.in_flight = state.in_flight.saturating_sub(1);
                state.sends.on_end(now, part.kv);
            }
        }
    }
}

impl EndpointTracker {
    /// Records work that is sent to endpoints, until the guard is dropped.
    pub fn start(self: &Rc<Self>, parts: Vec<RequestPart>, now: Instant) -> InFlightGuard {
        let start = |part: RequestPart| {
            let incarnation = self.with(&part.endpoint, now, |state| {
                state.in_flight += 1;
                state.is_on_trial |= state.health.state() == HealthState::Ejected;
                state.sends.on_send(now, part.kv);
                state.incarnation
            });
            (part, incarnation)
        };
        InFlightGuard { tracker: self.clone(), parts: parts.into_iter().map(start).collect() }
    }

    /// Reserves KV cache for a request that is to be moved to some engines, and for those that other
    /// VMs move there in the same moment: `requests` with this one.
    pub fn reserve(
        self: &Rc<Self>,
        parts: Vec<RequestPart>,
        requests: f64,
        now: Instant,
    ) -> Reservation {
        let reserve = |part: RequestPart| {
            let incarnation = self.with(&part.endpoint, now, |state| {
                state.reserved_kv += part.kv * requests;
                state.incarnation
            });
            (part, incarnation)
        };
        Reservation {
            tracker: self.clone(),
            parts: parts.into_iter().map(reserve).collect(),
            requests,
        }
    }

    /// KV cache reserved at an engine, in tokens times layers.
    pub fn reserved_kv(&self, endpoint: &str) -> f64 {
        self.states.borrow().get(endpoint).map_or(0.0, |state| state.reserved_kv)
    }

    /// Resets an endpoint that has restarted, as nothing observed applies to its new incarnation.
    pub fn on_restart(&self, endpoint: &str, now: Instant) {
        let renewed = EndpointState {
            restarted_at: Some(now),
            ..EndpointState::new(self.next_incarnation(), now)
        };
        self.states.borrow_mut().insert(endpoint.to_owned(), renewed);
    }

    fn next_incarnation(&self) -> IncarnationNumber {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    /// Whether an endpoint was found to have restarted at `since` or later. Work sent before is
    /// lost there.
    pub fn restarted_since(&self, endpoint: &str, since: Instant) -> bool {
        let states = self.states.borrow();
        states.get(endpoint).and_then(|state| state.restarted_at).is_some_and(|at| at >= since)
    }

    /// What this VM sent to an engine since `moment`, minus what has ended.
    pub fn sent_since(&self, endpoint: &str, moment: Instant) -> UnreportedLoad {
        let states = self.states.borrow();
        states.get(endpoint).map_or_else(UnreportedLoad::default, |state| state.sends.since(moment))
    }

    /// Requests of this VM in flight at an endpoint.
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.states.borrow().get(endpoint).map_or(0, |state| state.in_flight)
    }

    /// Whether an endpoint may get work: it is healthy, or due for a trial request.
    pub fn accepts_work(&self, endpoint: &str, now: Instant) -> bool {
        self.states.borrow().get(endpoint).is_none_or(|state| match state.health.state() {
            HealthState::Active | HealthState::Returning => true,
            HealthState::Ejected => !state.is_on_trial && state.health.probe_due(now, &LIMITS),
            HealthState::Leaving => false,
        })
    }

    /// Whether an engine may be part of a path. An ejected engine gets no trial request of a
    /// caller, unlike plain endpoints; it is polled for a report first.
    pub fn may_join_path(&self, endpoint: &str) -> bool {
        !self.is_ejected(endpoint)
    }

    /// Cost of using an engine by its observed health, in milliseconds of predicted time.
    pub fn use_cost_ms(&self, endpoint: &str, now: Instant) -> f64 {
        self.states.borrow().get(endpoint).map_or(0.0, |state| {
            let is_avoided = state.avoided_until.is_some_and(|until| now < until);
            let refusal_ms = if is_avoided { REFUSAL_COST_MS } else { 0.0 };
            state.failure_share * FAILURE_COST_MS + refusal_ms
        })
    }

    /// Whether an endpoint is ejected and was so at `since` or later.
    pub fn ejected_since(&self, endpoint: &str, since: Instant) -> bool {
        let states = self.states.borrow();
        states.get(endpoint).is_some_and(|state| {
            state.health.state() == HealthState::Ejected
                && state.ejected_at.is_some_and(|at| at >= since)
        })
    }

    /// Records that an endpoint answered a call other than a request.
    pub fn on_answer(&self, endpoint: &str, now: Instant) {
        self.with(endpoint, now, |state| state.answered_at = Some(now));
    }

    /// Whether an endpoint answered such a call at `since` or later.
    pub fn answered_since(&self, endpoint: &str, since: Instant) -> bool {
        let states = self.states.borrow();
        states.get(endpoint).and_then(|state| state.answered_at).is_some_and(|at| at >= since)
    }

    /// Ejected endpoints that are due for a probe.
    pub fn due_for_probe(&self, now: Instant) -> Vec<EndpointId> {
        let states = self.states.borrow();
        let due = states.iter().filter(|(_, state)| state.health.probe_due(now, &LIMITS));
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Ends an ejection and forgets failures, as the endpoint did not cause them.
    pub fn forgive(&self, endpoint: &str, now: Instant) {
        if let Some(state) = self.states.borrow_mut().get_mut(endpoint) {
            state.health = Health::new(now);
            state.failure_share = 0.0;
            state.is_on_trial = false;
            state.ejected_at = None;
        }
    }

    /// Number of ejected endpoints.
    pub fn ejected_count(&self) -> usize {
        let states = self.states.borrow();
        states.values().filter(|state| state.health.state() == HealthState::Ejected).count()
    }

    /// Whether an endpoint is ejected.
    pub fn is_ejected(&self, endpoint: &str) -> bool {
        let states = self.states.borrow();
        states.get(endpoint).is_some_and(|state| state.health.state() == HealthState::Ejected)
    }

    /// Applies evidence. Returns whether the endpoint's health state changed.
    pub fn on_evidence(&self, endpoint: &str, evidence: Evidence, now: Instant) -> bool {
        self.with(endpoint, now, |state| {
            let before = state.health.state();
            state.is_on_trial = false;
            match evidence {
                Evidence::Good => {
                    state.failure_share -= FAILURE_WEIGHT * state.failure_share;
                    state.health.on_event(now, HealthEvent::ProbeOk);
                }
                Evidence::Failed => {
                    state.failure_share += FAILURE_WEIGHT * (1.0 - state.failure_share);
                    if state.failure_share > EJECTION_FAILURE_SHARE {
                        state.failure_share = EJECTION_FAILURE_SHARE / 2.0;
                        state.health.on_event(now, HealthEvent::Failure);
                    }
                }
                Evidence::RefusedPart => state.avoided_until = Some(now + REFUSAL_AVOIDANCE),
                Evidence::Unreachable => state.health.on_event(now, HealthEvent::Failure),
            }
            state.health.on_tick(now, &LIMITS);
            let is_ejected = state.health.state() == HealthState::Ejected;
            state.ejected_at = is_ejected.then(|| state.ejected_at.unwrap_or(now));
            before != state.health.state()
        })
    }

    /// Drops endpoints that are no longer listed and have no work in flight.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.states.borrow_mut().retain(|id, state| state.in_flight > 0 || is_known(id));
    }

    fn with<T>(
        &self,
        endpoint: &str,
        now: Instant,
        change: impl FnOnce(&mut EndpointState) -> T,
    ) -> T {
        let mut states = self.states.borrow_mut();
        if !states.contains_key(endpoint) {
            states.insert(endpoint.to_owned(), EndpointState::new(self.next_incarnation(), now));
        }
        match states.get_mut(endpoint) {
            Some(state) => change(state),
            None => unreachable!("it was just inserted"),
        }
    }
}
