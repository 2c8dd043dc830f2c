//! What is known of the endpoints that asked something of VMs.

use crate::word::{LimitWord, Pushback};
use sillbank_core::prelude::EndpointId;
use std::collections::BTreeMap;

/// A change of what is known, for logs.
#[derive(Debug, Clone, PartialEq)]
pub enum PushbackEvent {
    /// An endpoint names a limit, or another one than before, in requests a second.
    Limited(f64),
    /// An endpoint that named one takes what comes again.
    Unlimited,
    /// An endpoint named a limit that cannot be read.
    Unreadable,
}

/// What endpoints asked of VMs.
#[derive(Debug, Default)]
pub struct PushbackBook {
    /// Requests a second that endpoints take.
    limits: BTreeMap<EndpointId, f64>,
}

impl PushbackBook {
    /// An endpoint answered this VM; answers what is new.
    pub fn on_answer(&mut self, endpoint: &str, pushback: Pushback) -> Option<PushbackEvent> {
        match pushback.limit {
            LimitWord::Unreadable => Some(PushbackEvent::Unreadable),
            LimitWord::None => self.limits.remove(endpoint).map(|_| PushbackEvent::Unlimited),
            LimitWord::PerS(per_s) => {
                let before = self.limits.insert(endpoint.to_owned(), per_s);
                (before != Some(per_s)).then_some(PushbackEvent::Limited(per_s))
            }
        }
    }

    /// Endpoints that name a limit.
    pub fn limited(&self) -> usize {
        self.limits.len()
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_known(id));
    }
}
