//! Quarantine of requests that crash the endpoints that run them, shared by all VMs.
//!
//! Each VM decides by itself, by the crashes that it witnessed and those reported to it. VMs report
//! to their leader with each feed request, leaders to the VMs of their hall and to each other with
//! each reply. The store keeps entries that are one crash short of quarantine, so that they outlast
//! all VMs and pass between halls that do not reach each other.

use crate::crashes::BrokenSend;
use crate::decisions::describe_fingerprint;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_quarantine::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which expiry is checked: a fraction of the time in which VMs hear of a first crash.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two log lines about parts of prompts that cannot be read.
pub(crate) const UNREADABLE_PARTS_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<W: Wire, S> Gateway<W, S> {
    /// Records that an endpoint crashed while it ran a request. The crash counts against a request
    /// that had just started there.
    pub fn on_endpoint_crash(&self, job: &Job, send: &BrokenSend) {
        let is_suspected = send.may_be_cause();
        self.decisions.endpoint_crashed(job, send, is_suspected);
        if !is_suspected {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let fingerprint = job.fingerprint();
        let events =
            quarantine.on_crash(fingerprint, &send.incarnation, send.sent_at, send.broke_at);
        drop(quarantine);
        self.on_quarantine_events(&events);
    }

    /// Name of an endpoint's newest incarnation, as far as its start is known.
    pub fn incarnation_name(&self, endpoint: &str) -> String {
        match self.platform.endpoints(|directory| directory.newest_incarnation(endpoint)) {
            Some(born_ms) => format!("{endpoint}@{born_ms}"),
            None => endpoint.to_owned(),
        }
    }

    /// Records that a request was completed, or ran for longer than the time in which crashes count
    /// against it.
    pub fn on_request_survived(&self, job: &Job) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let events = quarantine.on_survived(job.fingerprint(), Instant::now());
        drop(quarantine);
        self.on_quarantine_events(&events);
    }

    /// Time left of a request's quarantine; `None` if it is not quarantined.
    pub fn quarantined_for(&self, job: &Job) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.quarantined_for(job.fingerprint(), Instant::now())
    }

    /// Time for which a request stays isolated: if it is the cause of crashes, it must not take the
    /// last endpoint from others.
    pub fn isolated_for(&self, job: &Job) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.isolated_for(job.fingerprint(), Instant::now())
    }

    /// Refuses a quarantined request: it was not run, and its caller may retry after the
    /// quarantine.
    pub fn refuse_quarantined(&self, job: &Job) -> Option<Failure> {
        let left = self.quarantined_for(job)?;
        let crashes = self.quarantine.borrow().crash_count(job.fingerprint());
        let fingerprint = describe_fingerprint(job.fingerprint());
        let reason = format!("{crashes} endpoints ended under this request ({fingerprint})");
        self.metrics.quarantine_refusals.inc();
        Some(Failure::before_work(FailureKind::Quarantined, reason).retry_after(left))
    }

    /// Records that the quarantine list was received from a leader or read from the store.
    pub(crate) fn on_quarantine_loaded(&self) {
        if !self.quarantine_is_loaded.replace(true) {
            self.platform.wake();
        }
    }

    /// Counts a request whose list of prompt parts cannot be read, and logs some of them. It is served as if its prompt
    /// shared no part.
    pub fn on_unreadable_parts(&self, job: &Job, error: &UnreadableParts) {
        self.metrics.unreadable.get_or_create(&KindLabel { kind: "prompt_parts" }).inc();
        if !self.unreadable_parts_log.allows(Instant::now()) {
            return;
        }
        tracing::warn!(
            request = job.head.request_id,
            organisation = job.organisation.as_ref().map(|o| o.name.as_str()),
            %error,
            "quarantine: The prompt's parts cannot be read; the request is served as if it had none."
        );
    }

    /// Applies crashes reported by another VM.
    pub fn on_reported_suspects(&self, suspects: &[SuspectUpdate], source: UpdateSource) {
        if suspects.is_empty() {
            return;
        }
        let events = self.quarantine.borrow_mut().on_updates(suspects, source, Instant::now());
        self.on_quarantine_events(&events);
    }

    /// Logs and counts changes, and wakes followers for urgent ones.
    pub(crate) fn on_quarantine_events(&self, events: &[QuarantineEvent]) {
        for event in events {
            match event {
                QuarantineEvent::Quarantined { fingerprint, endpoints, term } => tracing::warn!(
                    fingerprint = describe_fingerprint(*fingerprint),
                    endpoints = endpoints.join(","),
                    term_s = term.as_secs(),
                    "quarantine: A request is quarantined, as endpoints crashed while running it."
                ),
                QuarantineEvent::Released { fingerprint } => tracing::info!(
                    fingerprint = describe_fingerprint(*fingerprint),
                    "quarantine: The quarantine of a request has ended."
                ),
            }
        }
        let quarantine = self.quarantine.borrow();
        let (quarantined, suspected) = quarantine.counts();
        self.metrics.quarantined.set(quarantined as i64);
        self.metrics.suspects.set(suspected as i64);
        if quarantine.newest_urgent()
            > self.quarantine_announced.replace(quarantine.newest_urgent())
        {
            self.hall.wake_followers();
        }
    }
}

/// Expires suspicion and quarantine while the program runs.
pub async fn run_expiry<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        if gateway.quarantine.borrow().is_empty() {
            continue;
        }
        let events = gateway.quarantine.borrow_mut().on_tick(Instant::now());
        gateway.on_quarantine_events(&events);
    }
}
