//! What this VM has seen of the endpoints of plain services, by service.

use sillbank_admission::calls::CallBalancer;
use sillbank_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Times of answers and refusals of plain services' endpoints.
#[derive(Debug, Default)]
pub struct CallBook {
    by_service: RefCell<HashMap<ServiceId, CallBalancer>>,
}

impl CallBook {
    /// Looks at, or changes, what was seen of a service's endpoints.
    pub fn with<T>(&self, service: &str, change: impl FnOnce(&mut CallBalancer) -> T) -> T {
        let mut by_service = self.by_service.borrow_mut();
        if let Some(times) = by_service.get_mut(service) {
            return change(times);
        }
        change(by_service.entry(service.to_owned()).or_default())
    }

    /// Watches a call that is sent to an endpoint; if nothing else is noted of it, its answer did not come while
    /// somebody waited for it.
    pub fn watch<'a>(&'a self, service: &'a str, endpoint: &'a str, now: Instant) -> CallWatch<'a> {
        CallWatch { book: self, service, endpoint, sent_at: now, is_noted: false }
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut by_service = self.by_service.borrow_mut();
        by_service.values_mut().for_each(|times| times.retain(&is_known));
    }
}

/// A call that was sent, until it is known what came of it.
#[derive(Debug)]
pub struct CallWatch<'a> {
    book: &'a CallBook,
    service: &'a str,
    endpoint: &'a str,
    sent_at: Instant,
    is_noted: bool,
}

impl CallWatch<'_> {
    /// A whole answer came.
    pub fn on_answer(mut self) {
        self.note(|times, endpoint, took, now| times.record_answer(endpoint, took, now));
    }

    /// The endpoint had no room for it.
    pub fn on_full(mut self) {
        self.note(|times, endpoint, _, now| times.record_full(endpoint, now));
    }

    /// It tells nothing of the endpoint's times: it did not arrive there.
    pub fn on_nothing(mut self) {
        self.is_noted = true;
    }

    fn note(&mut self, change: impl FnOnce(&mut CallBalancer, &str, Duration, Instant)) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.sent_at);
        self.book.with(self.service, |times| change(times, self.endpoint, took, now));
        self.is_noted = true;
    }
}

impl Drop for CallWatch<'_> {
    fn drop(&mut self) {
        if !self.is_noted {
            self.note(|times, endpoint, after, now| times.record_unanswered(endpoint, after, now));
        }
    }
}
