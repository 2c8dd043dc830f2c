//! Keeps what endpoints ask of VMs in their answers: hears it, withholds requests, tells other VMs.
//!
//! Whoever chooses an endpoint asks here first; [`crate::limit_parts`] divides limits among VMs.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_pushback::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often what time alone changes is looked at, and how often a leader takes its own parts: well within their term.
const LOOK: Duration = Duration::from_millis(250);

impl<W: Wire, S> Gateway<W, S> {
    fn keeps_pushback(&self) -> bool {
        self.settings.borrow().mechanisms.pushback
    }

    /// An endpoint answered a request that was sent at a moment. One that has started again since asked for
    /// its life before.
    pub fn on_pushback(&self, endpoint: &str, pushback: Pushback, sent_at: Instant) {
        let asks_nothing = pushback == Pushback::default() && self.pushback.borrow().is_empty();
        if asks_nothing || !self.keeps_pushback() || self.book.renewed_since(endpoint, sent_at) {
            return;
        }
        let life = self.knowledge.endpoints(|directory| directory.newest_life(endpoint));
        let (draw, now) = (self.chance.next_f64(), Instant::now());
        let events = self.pushback.borrow_mut().on_answer(endpoint, life, pushback, draw, now);
        if !events.is_empty() {
            let events: Vec<_> =
                events.into_iter().map(|event| (endpoint.to_owned(), event)).collect();
            self.on_pushback_events(&events, "the endpoint");
            self.take_own_parts(now);
        }
    }

    /// Another VM told what endpoints said of their limits. What an older life said holds no more.
    pub fn on_told_limits(&self, limits: &[LimitNews], from: &'static str) {
        if limits.is_empty() || !self.keeps_pushback() {
            return;
        }
        let is_current = |told: &&LimitNews| {
            self.knowledge.endpoints(|directory| {
                let newest_life = directory.newest_life(&told.endpoint);
                directory.get(&told.endpoint).is_some()
                    && crate::lives::may_be_current(told.born_ms, newest_life)
            })
        };
        let limits: Vec<LimitNews> = limits.iter().filter(is_current).cloned().collect();
        let (draw, now) = (|| self.chance.next_f64(), Instant::now());
        let events = self.pushback.borrow_mut().on_told(&limits, draw, now);
        self.on_pushback_events(&events, from);
    }

    /// A request is sent to an endpoint.
    pub fn count_against_limit(&self, endpoint: &str) {
        self.pushback.borrow_mut().on_sent(endpoint, Instant::now());
    }

    /// Logs and counts the endpoints that a request was not sent to as they asked for it; answers after what time the
    /// first of them takes requests again, if that is known.
    pub fn note_withheld(&self, job: &Job) -> Option<Duration> {
        if self.pushback.borrow().is_empty() {
            return None;
        }
        let all = self.pushback.borrow_mut().take_withheld();
        for withheld in &all {
            let kind = KindLabel { kind: withheld.reason.name() };
            self.metrics.withheld.get_or_create(&kind).inc();
            self.decisions.withheld(job, withheld);
        }
        all.iter().filter_map(|withheld| withheld.reason.ends_in()).min()
    }

    /// Brings the gauges of what endpoints ask up to date.
    fn show_pushback(&self) {
        let pushback = self.pushback.borrow();
        let set = |kind: &'static str, endpoints: usize| {
            self.metrics.pushback.get_or_create(&KindLabel { kind }).set(endpoints as i64);
        };
        set("limit", pushback.limited());
        set("rest", pushback.resting());
        set("leaving", pushback.leaving());
    }

    fn on_pushback_events(&self, events: &[(EndpointId, PushbackEvent)], from: &'static str) {
        for (endpoint, event) in events {
            match event {
                PushbackEvent::Limited(limit_per_s) => tracing::info!(
                    endpoint,
                    limit_per_s,
                    from,
                    "pushback: An endpoint names a limit."
                ),
                PushbackEvent::Unlimited => {
                    tracing::info!(
                        endpoint,
                        from,
                        "pushback: An endpoint names no limit any more."
                    );
                }
                PushbackEvent::Rests(rest) => {
                    let rest_ms = rest.as_millis() as u64;
                    tracing::info!(endpoint, rest_ms, "pushback: An endpoint asks for rest.");
                }
                PushbackEvent::Leaves => {
                    tracing::info!(endpoint, "pushback: An endpoint says that it leaves.");
                }
                PushbackEvent::Unreadable(what) => {
                    let reason = "its value is no such number; it is passed over";
                    tracing::warn!(endpoint, what, reason, "pushback: A wish cannot be read.");
                }
                PushbackEvent::Lapsed => {
                    let reason = "no VM has heard it for long";
                    tracing::info!(endpoint, reason, "pushback: A limit has lapsed.");
                }
            }
        }
        if !events.is_empty() {
            self.show_pushback();
            self.hall.wake_askers();
        }
    }
}

/// Lets time pass for what endpoints asked, for as long as the program runs.
pub async fn pass_time<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut looked_at = Instant::now();
    loop {
        smol::Timer::after(LOOK).await;
        if gateway.knowledge.was_suspended_since(looked_at) {
            gateway.pushback.borrow_mut().on_suspended();
        }
        let now = Instant::now();
        looked_at = now;
        gateway.keep_divider(now);
        if gateway.pushback.borrow().is_empty() {
            continue;
        }
        let lapsed = gateway.pushback.borrow_mut().on_time(now);
        gateway.on_pushback_events(&lapsed, "time");
        gateway.show_pushback();
        gateway.take_own_parts(now);
    }
}
