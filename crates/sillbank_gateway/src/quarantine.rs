//! Holds back requests that end the endpoints that run them, with what all VMs know of them.
//!
//! Each VM decides by itself, by the ends that it saw and those that it was told of. VMs tell their leader with each
//! ask, leaders tell the VMs of their hall and each other with each answer; the store keeps what is one end short
//! of being held back, so that it outlasts all VMs and passes between halls that do not reach each other.

use crate::crashes::BrokenSend;
use crate::decisions::describe_fingerprint;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_quarantine::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often what time alone changes is looked at: part of the time in which VMs hear of a first end.
const LOOK: Duration = Duration::from_millis(200);

impl<W: Wire, S> Gateway<W, S> {
    /// An endpoint ended under a request. Its end is laid to those that were in their beginning there.
    pub fn on_ended_under(&self, job: &Job, send: &BrokenSend) {
        let is_beginning = send.ran_for().is_none_or(|ran| ran < SUSPICION_WINDOW);
        self.decisions.endpoint_crashed(job, send, is_beginning);
        if !is_beginning {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let (fingerprint, life) = (job.fingerprint(), self.life_name(&send.endpoint));
        let events = quarantine.on_crash(fingerprint, &life, send.sent_at, send.broke_at);
        drop(quarantine);
        self.on_quarantine_events(&events);
    }

    /// Names the life of an endpoint, where it tells when it began.
    fn life_name(&self, endpoint: &str) -> String {
        match self.knowledge.endpoints(|directory| directory.newest_incarnation(endpoint)) {
            Some(born_ms) => format!("{endpoint}@{born_ms}"),
            None => endpoint.to_owned(),
        }
    }

    /// A request ran to its end, or beyond its beginning.
    pub fn on_ran_well(&self, job: &Job) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        let events = quarantine.on_survived(job.fingerprint(), Instant::now());
        drop(quarantine);
        self.on_quarantine_events(&events);
    }

    /// How much longer a request is held back; `None` if it is not.
    pub fn held_back(&self, job: &Job) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.quarantined_for(job.fingerprint(), Instant::now())
    }

    /// How much longer a request is kept apart from others: if it is what ends endpoints, it would leave none for anybody.
    pub fn kept_apart_for(&self, job: &Job) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.isolated_for(job.fingerprint(), Instant::now())
    }

    /// Refuses a request that is held back: it was not run, and its caller may come back when the term is over.
    pub fn refuse_held_back(&self, job: &Job) -> Option<Failure> {
        let left = self.held_back(job)?;
        let ends = self.quarantine.borrow().crash_count(job.fingerprint());
        let fingerprint = describe_fingerprint(job.fingerprint());
        let reason = format!("{ends} endpoints ended under this request ({fingerprint})");
        self.metrics.quarantine_refusals.inc();
        Some(Failure::before_work(FailureKind::Quarantined, reason).retry_after(left))
    }

    /// A leader told of such requests, or the store was read.
    pub(crate) fn on_quarantine_known(&self) {
        if !self.quarantine_is_known.replace(true) {
            self.knowledge.wake();
        }
    }

    /// Takes what a VM tells of requests under which endpoints ended.
    pub fn on_told_suspects(&self, suspects: &[SuspectUpdate], teller: UpdateSource) {
        if suspects.is_empty() {
            return;
        }
        let events = self.quarantine.borrow_mut().on_updates(suspects, teller, Instant::now());
        self.on_quarantine_events(&events);
    }

    /// Logs and counts changes, and lets those that ask this VM hear of what is urgent.
    pub(crate) fn on_quarantine_events(&self, events: &[QuarantineEvent]) {
        for event in events {
            match event {
                QuarantineEvent::Quarantined { fingerprint, endpoints, term } => tracing::warn!(
                    fingerprint = describe_fingerprint(*fingerprint),
                    endpoints = endpoints.join(","),
                    term_s = term.as_secs(),
                    "quarantine: A request is held back, endpoints ended under it."
                ),
                QuarantineEvent::Released { fingerprint } => tracing::info!(
                    fingerprint = describe_fingerprint(*fingerprint),
                    "quarantine: A request is let in again."
                ),
            }
        }
        let quarantine = self.quarantine.borrow();
        let (held_back, suspected) = quarantine.counts();
        self.metrics.quarantined.set(held_back as i64);
        self.metrics.suspects.set(suspected as i64);
        if quarantine.newest_urgent() > self.quarantine_told.replace(quarantine.newest_urgent()) {
            self.hall.wake_askers();
        }
    }
}

/// Lets time pass for requests that are suspected or held back, for as long as the program runs.
pub async fn pass_time<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        smol::Timer::after(LOOK).await;
        if gateway.quarantine.borrow().is_empty() {
            continue;
        }
        let events = gateway.quarantine.borrow_mut().on_tick(Instant::now());
        gateway.on_quarantine_events(&events);
    }
}
