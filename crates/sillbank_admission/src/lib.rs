//! Admission control: decides which requests a VM accepts.
//!
//! A request is admitted if it can still finish before its deadline. When that is uncertain,
//! capacity goes to organisations that use less than their fair share of the tokens in flight; other
//! requests are refused at once with a time to retry after. Nothing is queued here: admitted requests
//! go to engines, which queue by priority. [`calls`] selects endpoints for calls of plain services,
//! [`budget`] limits retries, [`retry_after`] schedules the retries of refused callers.
//!
//! This crate is pure: it uses no sockets, clock or threads.

#![forbid(unsafe_code)]

pub mod budget;
pub mod calls;
pub mod elapsed;
pub mod refusal_ratio;
pub mod retry_after;
pub mod share_controller;
pub mod shedding;

use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

/// Fraction of the deadline that a predicted finish may use for every request to be admitted.
const SAFE_DEADLINE_FRACTION: f64 = 0.7;
/// Fraction of the deadline above which no request is admitted.
const MAX_DEADLINE_FRACTION: f64 = 0.8;
/// Waiting steps per step in a batch up to which every request is admitted. Once batches are full,
/// further requests delay answers without increasing throughput.
const SAFE_BACKLOG: f64 = 0.25;
/// Backlog above which no request is admitted.
const MAX_BACKLOG: f64 = 0.75;
/// Shortest and longest time after which a refused caller is told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(10));

/// A request for which admission is decided.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Calling organisation.
    pub organisation: &'a str,
    /// Weight of the organisation.
    pub weight: f64,
    /// Tokens of work: the prompt plus the longest possible answer.
    pub work_tokens: u64,
    /// Predicted time until the request finishes, if known.
    pub predicted: Option<Duration>,
    /// Time within which the request must finish.
    pub deadline: Duration,
    /// Waiting steps per step in a batch, at the fullest engine of the request's chain.
    pub backlog: f64,
    /// Maximum tokens in flight on this VM.
    pub limit_tokens: u64,
    /// Maximum requests of the organisation in flight on this VM.
    pub limit_requests: u64,
}

/// Reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request cannot finish in time, or only at the cost of organisations below their share.
    DeadlineUnreachable,
    /// The VM is at its limit of tokens in flight.
    TooManyTokens,
    /// The organisation is at its limit of requests in flight.
    TooManyRequests,
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

#[derive(Debug, Default, Clone, Copy)]
struct InFlight {
    requests: u64,
    tokens: u64,
    weight: f64,
}

/// Admission control of one VM, with its requests in flight by organisation.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    organisations: HashMap<OrganisationId, InFlight>,
    tokens: u64,
    requests: u64,
}

impl AdmissionControl {
    /// Admits and counts a request, or refuses it.
    ///
    /// # Errors
    /// [`Refusal`] with the reason and the time to retry after.
    pub fn admit(&mut self, request: &AdmissionRequest<'_>) -> Result<(), Refusal> {
        let own = self.organisations.get(request.organisation).copied().unwrap_or_default();
        let predicted = request.predicted.unwrap_or_default();
        let refuse = |reason| Refusal { reason, retry_after: retry_after(predicted, request) };
        if own.requests >= request.limit_requests {
            return Err(refuse(RefusalReason::TooManyRequests));
        }
        if self.tokens > 0 && self.tokens + request.work_tokens > request.limit_tokens {
            return Err(refuse(RefusalReason::TooManyTokens));
        }
        let fraction = predicted.as_secs_f64() / request.deadline.as_secs_f64().max(1e-3);
        let is_safe = fraction <= SAFE_DEADLINE_FRACTION && request.backlog <= SAFE_BACKLOG;
        let is_possible = fraction <= MAX_DEADLINE_FRACTION && request.backlog <= MAX_BACKLOG;
        if !(is_safe || is_possible && self.is_below_fair_share(request, own)) {
            return Err(refuse(RefusalReason::DeadlineUnreachable));
        }
        self.record_admitted(request);
        Ok(())
    }

    /// Releases an admitted request that has ended.
    pub fn release(&mut self, organisation: &str, work_tokens: u64) {
        self.tokens = self.tokens.saturating_sub(work_tokens);
        self.requests = self.requests.saturating_sub(1);
        if let Some(own) = self.organisations.get_mut(organisation) {
            own.tokens = own.tokens.saturating_sub(work_tokens);
            own.requests = own.requests.saturating_sub(1);
            if own.requests == 0 {
                self.organisations.remove(organisation);
            }
        }
    }

    /// Tokens in flight.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Requests in flight.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Tokens in flight of an organisation.
    pub fn tokens_of(&self, organisation: &str) -> u64 {
        self.organisations.get(organisation).map_or(0, |own| own.tokens)
    }

    /// Whether the organisation, with this request, stays within its fair share of the tokens in
    /// flight. Shares are by weight among organisations with requests in flight and this one.
    fn is_below_fair_share(&self, request: &AdmissionRequest<'_>, own: InFlight) -> bool {
        let others: f64 = self
            .organisations
            .iter()
            .filter(|(name, _)| name.as_str() != request.organisation)
            .map(|(_, in_flight)| in_flight.weight)
            .sum();
        let share = request.weight / (request.weight + others);
        let after = (own.tokens + request.work_tokens) as f64;
        after <= share * (self.tokens + request.work_tokens) as f64
    }

    fn record_admitted(&mut self, request: &AdmissionRequest<'_>) {
        self.tokens += request.work_tokens;
        self.requests += 1;
        let own = self.organisations.entry(request.organisation.to_owned()).or_default();
        own.tokens += request.work_tokens;
        own.requests += 1;
        own.weight = request.weight;
    }
}

/// Time after which enough work should have ended to admit the request. Assumes that the requests in
/// flight end evenly over the predicted time of one request.
fn retry_after(predicted: Duration, request: &AdmissionRequest<'_>) -> Duration {
    let late = predicted.saturating_sub(request.deadline.mul_f64(SAFE_DEADLINE_FRACTION));
    let excess = predicted.mul_f64((request.backlog - SAFE_BACKLOG).clamp(0.0, 1.0));
    late.max(excess).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}
