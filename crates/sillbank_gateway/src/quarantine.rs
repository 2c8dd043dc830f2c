//! Quarantine of requests, and of parts of prompts, that crash the endpoints that run them, shared by all VMs.
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
    /// that had just started there, and against the parts of its prompt.
    pub fn on_endpoint_crash(&self, job: &Job, send: &BrokenSend) {
        let is_suspected = send.may_be_cause();
        self.decisions.endpoint_crashed(job, send, is_suspected);
        if !is_suspected {
            return;
        }
        let crash = CrashEvidence {
            endpoint: &send.incarnation,
            sent_at: send.sent_at,
            ran_for: send.ran_for().unwrap_or_default(),
            at: send.broke_at,
        };
        let events = self.quarantine.borrow_mut().on_crash(job.traits(), crash);
        self.on_hold_events(&events);
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
        if !self.settings.borrow().mechanisms.quarantine {
            return;
        }
        let has_nothing_to_record =
            job.prompt_parts().is_empty() && self.quarantine.borrow().is_empty();
        if has_nothing_to_record {
            return;
        }
        let events = self.quarantine.borrow_mut().on_survived(job.traits(), Instant::now());
        self.on_hold_events(&events);
    }

    /// Why a request must not be sent, if it must not.
    pub fn hold_of(&self, job: &Job) -> Option<Hold> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.hold(job.traits(), Instant::now())
    }

    /// As [`Self::hold_of`], except for a trial that was not sent yet.
    pub fn hold_before_send(&self, job: &Job) -> Option<Hold> {
        let is_first_send = job.sends.get() == 0 && job.link_losses.get() == 0;
        if job.is_trial.get() && is_first_send {
            return None;
        }
        self.hold_of(job)
    }

    /// Time for which a request stays isolated: if it is the cause of crashes, it must not take the
    /// last endpoint from others.
    pub fn isolated_for(&self, job: &Job) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() || !self.settings.borrow().mechanisms.quarantine {
            return None;
        }
        quarantine.isolated_for(job.traits(), Instant::now())
    }

    /// Refuses a request that is held back when it arrives, unless it is let through as a trial.
    pub fn refuse_arrival(&self, job: &Job) -> Option<Failure> {
        self.hold_of(job)?;
        let turns = self.trial_turns();
        let verdict = self.quarantine.borrow_mut().admit(job.traits(), Instant::now(), turns);
        match verdict {
            Verdict::Admit => None,
            Verdict::Try => {
                job.is_trial.set(true);
                self.decisions.trial_began(job);
                None
            }
            Verdict::Hold(hold) => Some(self.held_failure(job, &hold)),
        }
    }

    /// The failure of a request that is held back. If it was not run, its caller may retry after the term.
    pub fn held_failure(&self, job: &Job, hold: &Hold) -> Failure {
        let (run, reason) = (job.run.get(), describe_hold(job, hold));
        if run.not_run_evidence().is_none() {
            return Failure::new(FailureKind::ServiceLost, run.state(), reason);
        }
        self.metrics.quarantine_refusals.inc();
        Failure::before_work(FailureKind::Quarantined, reason).retry_after(hold.retry_after)
    }

    /// Which VM may try again what was held back. A lease makes the leader the only one of its hall.
    fn trial_turns(&self) -> TrialTurns {
        let halls = self.platform.halls();
        let leads = self.hall.acting_fence.get().is_some();
        let position = halls.iter().position(|hall| *hall == self.settings.borrow().hall);
        let own = position.filter(|_| leads).map(|position| position as u32);
        TrialTurns { halls: halls.len() as u32, own }
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

    /// Applies crashes under requests reported by another VM.
    pub fn on_reported_suspects(&self, suspects: &[SuspectUpdate], source: UpdateSource) {
        if suspects.is_empty() {
            return;
        }
        let now = Instant::now();
        let events = self.quarantine.borrow_mut().on_request_updates(suspects, source, now);
        self.on_hold_events(&events);
    }

    /// Applies crashes and good runs of parts of prompts reported by another VM.
    pub fn on_reported_parts(&self, parts: &[PartUpdate], source: UpdateSource) {
        if parts.is_empty() {
            return;
        }
        let now = Instant::now();
        let events = self.quarantine.borrow_mut().on_part_updates(parts, source, now);
        self.on_hold_events(&events);
    }

    /// Logs and counts changes, and wakes followers for urgent ones.
    pub(crate) fn on_hold_events(&self, events: &[HoldEvent]) {
        events.iter().for_each(log_event);
        let quarantine = self.quarantine.borrow();
        let (quarantined, suspected) = quarantine.request_counts();
        self.metrics.quarantined.set(quarantined as i64);
        self.metrics.suspects.set(suspected as i64);
        let (held_parts, suspected_parts) = quarantine.part_counts();
        self.metrics.held_parts.set(held_parts as i64);
        self.metrics.suspected_parts.set(suspected_parts as i64);
        let urgent = quarantine.newest_urgent();
        let announced = self.quarantine_announced.replace(urgent);
        if urgent.0 > announced.0 || urgent.1 > announced.1 {
            self.hall.wake_followers();
        }
    }
}

fn log_event(event: &HoldEvent) {
    match event {
        HoldEvent::Request(QuarantineEvent::Quarantined { fingerprint, endpoints, term }) => {
            tracing::warn!(
                fingerprint = describe_fingerprint(*fingerprint),
                endpoints = endpoints.join(","),
                term_s = term.as_secs(),
                "quarantine: A request is quarantined, as endpoints crashed while running it."
            );
        }
        HoldEvent::Request(QuarantineEvent::Released { fingerprint }) => tracing::info!(
            fingerprint = describe_fingerprint(*fingerprint),
            "quarantine: The quarantine of a request has ended."
        ),
        HoldEvent::Part(PartEvent::Held { key, endpoints, is_for_all, term }) => tracing::warn!(
            part = %key,
            endpoints = endpoints.join(","),
            is_for_all,
            term_s = term.as_secs(),
            "quarantine: Requests with a part of a prompt are held back, as endpoints crashed while running it."
        ),
        HoldEvent::Part(PartEvent::Released { key }) => tracing::info!(
            part = %key,
            "quarantine: A part of a prompt is no longer taken for the cause of crashes."
        ),
    }
}

/// What a request is held back for, the crashes that count and the age of the last one.
fn describe_hold(job: &Job, hold: &Hold) -> String {
    let Hold { cause, crashes, last_crash_age, .. } = hold;
    let age_s = last_crash_age.as_secs_f64();
    match cause {
        HoldCause::Request => {
            let fingerprint = describe_fingerprint(job.fingerprint());
            format!(
                "{crashes} endpoints ended under this request ({fingerprint}), the last {age_s:.1} s ago"
            )
        }
        HoldCause::Part(part) => format!(
            "{crashes} endpoints ended under requests with part {part:x} of the prompt, the last {age_s:.1} s ago"
        ),
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
        gateway.on_hold_events(&events);
    }
}
