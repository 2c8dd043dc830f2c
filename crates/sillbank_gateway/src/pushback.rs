//! Hears what endpoints ask of VMs in their answers.

use crate::gateway::Gateway;
use crate::wire::Wire;
use sillbank_pushback::prelude::*;
use std::time::Instant;

impl<W: Wire, S> Gateway<W, S> {
    /// An endpoint answered a request that was sent at a moment. One that has started again since asked for
    /// its life before.
    pub fn on_pushback(&self, endpoint: &str, pushback: Pushback, sent_at: Instant) {
        if self.book.renewed_since(endpoint, sent_at) {
            return;
        }
        let event = self.pushback.borrow_mut().on_answer(endpoint, pushback);
        if let Some(event) = event {
            self.on_pushback_event(endpoint, &event);
        }
    }

    fn on_pushback_event(&self, endpoint: &str, event: &PushbackEvent) {
        match event {
            PushbackEvent::Limited(limit_per_s) => {
                tracing::info!(endpoint, limit_per_s, "pushback: An endpoint names a limit.");
            }
            PushbackEvent::Unlimited => {
                tracing::info!(endpoint, "pushback: An endpoint names no limit any more.");
            }
            PushbackEvent::Unreadable => {
                let reason = "it is no rate";
                tracing::warn!(endpoint, reason, "pushback: A limit cannot be read.");
            }
        }
        self.metrics.limited_endpoints.set(self.pushback.borrow().limited() as i64);
    }
}
