//! What a VM that was asked to stop still serves. [`DrainPlan`] decides.

use crate::answers::RETRY_AFTER_NOT_READY;
use crate::gateway::Gateway;
use crate::hall::{HallVms, LEADER_TIMEOUT};
use crate::job::{Job, path_request};
use crate::metrics::KindLabel;
use crate::paths::choose_fastest_path;
use crate::vm_limits::others_suffice;
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_drain::prelude::*;
use sillbank_engines::prelude::*;
use std::time::Instant;

impl<W: Wire, S> Gateway<W, S> {
    /// What is still in progress.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            requests: self.in_progress.get(),
            connections: self.stopper.token().awaited_connections(),
            passed_on: self.links.passed_on_in_use(Instant::now()),
        }
    }

    /// Refuses a request that this VM cannot finish before it exits.
    pub fn refuse_while_draining(&self, job: &Job) -> Option<Failure> {
        let plan = self.drain_plan.get()?;
        let refusal = self.drain_refusal(plan, job, Instant::now());
        let kind = if refusal.is_some() { "refused" } else { "taken" };
        self.metrics.while_stopping.get_or_create(&KindLabel { kind }).inc();
        refusal
    }

    fn drain_refusal(&self, plan: DrainPlan, job: &Job, now: Instant) -> Option<Failure> {
        if !self.settings().mechanisms.drain_forecasts {
            let is_refused = now >= plan.balancer_knows_at();
            return is_refused.then(|| self.stopping_failure("the VM is stopping"));
        }
        let (demand, time_left) = (self.drain_demand(job, now), job.time_left(now));
        let (others, by_service) = (self.other_vms(now), self.drain_experience.borrow());
        let none = Experience::default();
        let experience = by_service.get(&job.service.name).unwrap_or(&none);
        let others = match others_suffice(others.fit, others.vms) {
            true => Others::Suffice,
            false => Others::Few,
        };
        let admission = plan.admit(demand, experience, time_left, others, now);
        if admission.is_taken {
            job.admission.set(Some(admission));
            return None;
        }
        let left_ms = plan.exits_at().saturating_duration_since(now).as_millis();
        let reason = match admission.time {
            Some(time) => format!(
                "the VM stops in {left_ms} ms, and the request may take {} ms ({})",
                time.as_millis(),
                admission.certainty.name()
            ),
            None => format!("the VM stops in {left_ms} ms, and the request may take longer"),
        };
        Some(self.stopping_failure(&reason))
    }

    /// The VMs of the hall, and those others than this one that serve; none if they are not known.
    fn other_vms(&self, now: Instant) -> HallVms {
        let since_signal = self.drain_plan.get().map(|plan| plan.time_since_signal(now));
        let may_be_counted = since_signal.is_none_or(|time| time < LEADER_TIMEOUT);
        self.hall.fit_others(now, may_be_counted).unwrap_or_default()
    }

    /// The refusal of a request that was not run.
    pub fn stopping_failure(&self, reason: &str) -> Failure {
        let now = Instant::now();
        let retry_after = match self.drain_plan.get() {
            Some(plan) => plan.retry_after(self.other_vms(now).fit, self.rng.next_f64(), now),
            None => RETRY_AFTER_NOT_READY,
        };
        Failure::before_work(FailureKind::Stopping, reason).retry_after(retry_after)
    }

    /// The failure of a request that has no answer when this VM exits.
    fn unanswered_failure(&self, run: RunLog) -> Failure {
        let reason = "the VM stopped before an answer came";
        match run.not_run_evidence() {
            Some(_) => self.stopping_failure(reason),
            None => Failure::new(FailureKind::ServiceLost, run.state(), reason),
        }
    }

    /// Learns from a stream that was answered whole.
    pub fn record_drain_experience(&self, job: &Job) {
        let Some(first_event) = job.delivery.first() else {
            return;
        };
        if job.head.resume_after.is_some() {
            return;
        }
        let is_as_forecast = job.sends.get() == 1 && job.delivery.moves() == 0;
        let forecast = job.forecast().filter(|_| is_as_forecast);
        let mut by_service = self.drain_experience.borrow_mut();
        by_service.entry(job.service.name.clone()).or_default().record(&Answer {
            first_event,
            event_interval: job.delivery.mean_interval(),
            steady_interval: job.delivery.steady_interval(),
            total: job.received_at.elapsed(),
            events: job.delivery.events(),
            expected_events: job.service.engine.as_ref().and_then(|f| expected_events(job, f)),
            expected_interval: forecast.map(|forecast| forecast.uncorrected.event_interval),
        });
    }

    /// What a request may need, on the path that it would take now.
    fn drain_demand(&self, job: &Job, now: Instant) -> Demand {
        if let WorkKind::Call(_) = job.route.kind {
            return Demand::Call { objective: job.route.objective };
        }
        let (Some(figures), Some(tokens)) = (&job.service.engine, job.head.tokens) else {
            return Demand::Unbounded;
        };
        let settings = self.settings();
        let context = self.routing_context(now);
        let request = path_request(job, figures, &settings.hall, &[]);
        let forecast = choose_fastest_path(context, request)
            .and_then(|path| self.forecasts.predict(context, request, &path));
        let pace = forecast.map(|forecast| StreamPace {
            first_event: forecast.corrected.first_event,
            event_interval: forecast.uncorrected.event_interval,
        });
        Demand::Stream {
            pace: pace.or_else(|| self.running_streams.pace(&job.service.name)),
            expected_events: expected_events(job, figures),
            max_events: events_of(figures, tokens.max_output),
            received_events: received_events(job),
        }
    }

    /// Completes with a reply for a request without an answer, shortly before this VM exits.
    pub async fn reply_at_exit(&self, run: impl Fn() -> RunLog) -> Failure {
        self.stopper.token().final_stage().await;
        self.unanswered_failure(run())
    }
}

/// Number of events of a resumed stream that the caller has.
fn received_events(job: &Job) -> u32 {
    u32::try_from(job.head.resume_after.unwrap_or(0)).unwrap_or(u32::MAX)
}

/// Number of events that the caller of a stream expects, if it says so.
fn expected_events(job: &Job, figures: &EngineFigures) -> Option<u32> {
    let tokens = job.head.tokens?.expected_output?;
    Some(events_of(figures, tokens))
}
