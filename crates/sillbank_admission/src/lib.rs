//! Which requests are let in.
//!
//! A request is let in if it can still end in time. When that is in doubt, room goes to the
//! organisations that use less than their share of the tokens in work; the others are refused at
//! once and told when to come back. Nothing waits here: what is let in goes to engines, which
//! queue by priority. [`calls`] says where calls of plain services go, [`budget`] how often requests are
//! sent again, [`returns`] when refused callers come back.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

pub mod budget;
pub mod calls;
pub mod evidence;
pub mod ladder;
pub mod level;
pub mod patience;
pub mod returns;

use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the deadline that a predicted finish may use while there is no doubt.
const SAFE_PART: f64 = 0.7;
/// Share of the deadline beyond which nobody is let in.
const LAST_PART: f64 = 0.8;
/// Steps that may wait for each one in a batch while there is no doubt: beyond full batches more
/// requests make answers late and bring no token more.
const SAFE_BACKLOG: f64 = 0.25;
/// Backlog beyond which nobody is let in.
const LAST_BACKLOG: f64 = 0.75;
/// Shortest and longest time to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// What is asked of admission.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Organisation that calls.
    pub organisation: &'a str,
    /// Its weight.
    pub weight: f64,
    /// Tokens of work: prompt and longest answer.
    pub work_tokens: u64,
    /// When the request is predicted to end, from now, if that can be told.
    pub predicted: Option<Duration>,
    /// Time it has.
    pub deadline: Duration,
    /// Steps that wait for each one in a batch, at the fullest engine of its chain.
    pub backlog: f64,
    /// Most tokens in work on this VM.
    pub limit_tokens: u64,
    /// Most requests of the organisation in flight on this VM.
    pub limit_requests: u64,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It could not end in time, or only at the cost of organisations below their share.
    NoTime,
    /// The VM has as many tokens in work as it may.
    TooManyTokens,
    /// The organisation has as many requests in flight as it may.
    TooManyRequests,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When coming back makes sense.
    pub come_back: Duration,
}

#[derive(Debug, Default, Clone, Copy)]
struct InWork {
    requests: u64,
    tokens: u64,
    weight: f64,
}

/// What is in work on this VM, by organisation.
#[derive(Debug, Default)]
pub struct Admission {
    organisations: HashMap<OrganisationId, InWork>,
    tokens: u64,
    requests: u64,
}

impl Admission {
    /// Lets a request in and counts it, or refuses it.
    ///
    /// # Errors
    /// [`Refused`] with the reason and when to come back.
    pub fn admit(&mut self, ask: &Ask<'_>) -> Result<(), Refused> {
        let own = self.organisations.get(ask.organisation).copied().unwrap_or_default();
        let predicted = ask.predicted.unwrap_or_default();
        let refuse = |reason| Refused { reason, come_back: come_back(predicted, ask) };
        if own.requests >= ask.limit_requests {
            return Err(refuse(Reason::TooManyRequests));
        }
        if self.tokens > 0 && self.tokens + ask.work_tokens > ask.limit_tokens {
            return Err(refuse(Reason::TooManyTokens));
        }
        let part = predicted.as_secs_f64() / ask.deadline.as_secs_f64().max(1e-3);
        let safe = part <= SAFE_PART && ask.backlog <= SAFE_BACKLOG;
        let last = part <= LAST_PART && ask.backlog <= LAST_BACKLOG;
        if !(safe || last && self.is_below_share(ask, own)) {
            return Err(refuse(Reason::NoTime));
        }
        self.count_in(ask);
        Ok(())
    }

    /// A request that was let in has ended.
    pub fn end(&mut self, organisation: &str, work_tokens: u64) {
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

    /// Tokens of all requests in work.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Requests in work.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Tokens an organisation has in work.
    pub fn tokens_of(&self, organisation: &str) -> u64 {
        self.organisations.get(organisation).map_or(0, |own| own.tokens)
    }

    /// Whether the organisation would use less than its share of the tokens in work, among those
    /// that have work here, itself included.
    fn is_below_share(&self, ask: &Ask<'_>, own: InWork) -> bool {
        let others: f64 = self
            .organisations
            .iter()
            .filter(|(name, _)| name.as_str() != ask.organisation)
            .map(|(_, in_work)| in_work.weight)
            .sum();
        let share = ask.weight / (ask.weight + others);
        let after = (own.tokens + ask.work_tokens) as f64;
        after <= share * (self.tokens + ask.work_tokens) as f64
    }

    fn count_in(&mut self, ask: &Ask<'_>) {
        self.tokens += ask.work_tokens;
        self.requests += 1;
        let own = self.organisations.entry(ask.organisation.to_owned()).or_default();
        own.tokens += ask.work_tokens;
        own.requests += 1;
        own.weight = ask.weight;
    }
}

/// By then as much work should have ended as the request is too much or too late for now:
/// requests in work end evenly over the predicted time of one.
fn come_back(predicted: Duration, ask: &Ask<'_>) -> Duration {
    let late = predicted.saturating_sub(ask.deadline.mul_f64(SAFE_PART));
    let over = predicted.mul_f64((ask.backlog - SAFE_BACKLOG).clamp(0.0, 1.0));
    late.max(over).clamp(COME_BACK.0, COME_BACK.1)
}
