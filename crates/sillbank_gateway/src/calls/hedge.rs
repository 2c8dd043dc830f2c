//! Tries a call at another endpoint while its own is silent. The first one is not given up: it may
//! still answer, and the other may refuse. Only if the route allows no further send, and a check
//! confirms that the link to the first one is lost, its connection is closed and the send taken back.

use super::attempt::Attempt;
use super::{Choice, TryOutcome, choose_endpoint};
use crate::crashes::{BreakCause, check_abandoned_send, check_broken_send};
use crate::endpoints::Evidence;
use crate::job::MIN_TIME_LEFT;
use crate::store::MetadataStore;
use crate::wire::Wire;
use futures_lite::future::or;
use sillbank_core::prelude::*;
use sillbank_failover::prelude::*;
use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::time::{Duration, Instant};

/// Time after which a call that may run again is also tried at another endpoint, as a multiple of the
/// route's objective. On the known deployments 99 % of calls are answered within it.
const TRY_TIMEOUT_OBJECTIVES: f64 = 1.5;
/// How often a call that may be sent again checks whether its link is lost.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between checks that are to confirm the loss of a link.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often it checks whether the VM that passes its connection on answers.
const HOP_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Progress of a call at its first endpoint and at others.
#[derive(Debug, Default)]
struct Progress {
    first_has_ended: Cell<bool>,
    is_doubted: Cell<bool>,
    /// Whether another endpoint has the call.
    is_hedged: Cell<bool>,
    /// The endpoint that was tried last, other than the first.
    other: RefCell<Option<EndpointId>>,
}

impl<W: Wire, S: MetadataStore> Attempt<W, S> {
    /// Sends the call, and sends it to other endpoints than those in `tried` while this one is silent.
    /// Returns the first answer or, if there is none, how this send ended.
    pub(super) async fn run_hedged(&self, tried: &[EndpointId]) -> TryOutcome {
        if !self.job.is_idempotent() {
            return self.exchange().await;
        }
        let progress = Progress::default();
        let mut hedge = pin!(self.hedge(tried, &progress));
        let first = async { (self.exchange().await, true) };
        let other = async { (hedge.as_mut().await, false) };
        match or(first, other).await {
            (TryOutcome::Success(whole), is_first) => {
                self.log_answer(&progress, is_first);
                TryOutcome::Success(whole)
            }
            (outcome, true) if progress.is_hedged.get() => {
                progress.first_has_ended.set(true);
                match hedge.await {
                    TryOutcome::Success(whole) => {
                        self.log_answer(&progress, false);
                        TryOutcome::Success(whole)
                    }
                    _ => outcome,
                }
            }
            (outcome, _) => outcome,
        }
    }

    /// Logs which endpoint answered a call whose first one was doubted.
    fn log_answer(&self, progress: &Progress, is_first: bool) {
        let decisions = &self.gateway.decisions;
        match &*progress.other.borrow() {
            Some(other) if !is_first => decisions.continued(&self.job, Some(&self.endpoint), other),
            _ if progress.is_doubted.get() => {
                decisions.went_on(&self.job, self.sent_at.elapsed());
            }
            _ => {}
        }
    }

    /// Waits until the endpoint is doubted, and then for the answer of another one. Without an answer
    /// it ends only after the first endpoint's send.
    async fn hedge(&self, tried: &[EndpointId], progress: &Progress) -> TryOutcome {
        let mut avoid = tried.to_vec();
        avoid.extend(self.doubted().await);
        progress.is_doubted.set(true);
        let mut failover = Failover::default();
        failover.on_doubt(Instant::now());
        loop {
            match failover.next(Instant::now()) {
                Step::Open => {}
                Step::Wait(Some(at)) => {
                    smol::Timer::at(at).await;
                    continue;
                }
                Step::Wait(None) | Step::Release | Step::GiveUp(_) => std::future::pending().await,
            }
            let refusal = match self.choose_other(&avoid) {
                Err(refusal @ Refusal::SendsUsedUp) => {
                    self.gateway.decisions.not_continued(&self.job, failover.state(), refusal, "");
                    return self.wait_for_release(tried).await;
                }
                Err(refusal) => refusal,
                Ok(choice) => {
                    failover.on_opening();
                    progress.is_hedged.set(true);
                    progress.other.replace(Some(choice.endpoint.clone()));
                    let outcome = self.try_other(&choice).await;
                    progress.is_hedged.set(false);
                    let is_answered = matches!(outcome, TryOutcome::Success(_));
                    if is_answered || progress.first_has_ended.get() {
                        return outcome;
                    }
                    avoid.push(choice.endpoint);
                    Refusal::Failed
                }
            };
            let random = self.gateway.rng.next_f64();
            failover.on_refused(refusal, Instant::now(), random);
            self.gateway.decisions.not_continued(&self.job, failover.state(), refusal, "");
        }
    }

    /// Waits until the endpoint, or the link to it, is doubted. Returns the endpoint if it is not to
    /// be tried again.
    async fn doubted(&self) -> Option<EndpointId> {
        let (gateway, job) = (&self.gateway, &self.job);
        let link_loss = async { Some(self.wait_for_link_loss().await) };
        let silence = async {
            if !self.has_alternative {
                std::future::pending::<()>().await;
            }
            smol::Timer::after(job.route.objective.mul_f64(TRY_TIMEOUT_OBJECTIVES)).await;
            None
        };
        if let Some(loss) = or(link_loss, silence).await {
            gateway.decisions.doubted(job, &self.endpoint, &[], loss);
            return None;
        }
        let reason = "no answer in time";
        gateway.on_evidence(&self.endpoint, Evidence::Failed, self.sent_at, reason);
        gateway.on_send_trouble(&self.endpoint, self.route.transit());
        gateway.decisions.doubted(job, &self.endpoint, &[], reason);
        check_abandoned_send(gateway, job, self.broken_send());
        Some(self.endpoint.clone())
    }

    /// Waits until the link under the call is confirmed to be lost, and the call may be sent again once
    /// its connection is closed.
    async fn wait_for_release(&self, tried: &[EndpointId]) -> TryOutcome {
        loop {
            let reason = self.wait_for_link_loss().await;
            // An endpoint behind a VM that does not answer may run the call: it is not cut off.
            if self.has_confirmed_link_loss().await && self.may_replace_lost_send(tried) {
                return TryOutcome::LinkReleased(reason.to_owned());
            }
            smol::Timer::after(LINK_CHECK_INTERVAL).await;
        }
    }

    /// Whether the call may be sent again after a send that is taken back; if so, the retry is taken
    /// from the budget.
    fn may_replace_lost_send(&self, tried: &[EndpointId]) -> bool {
        let (gateway, job) = (&self.gateway, &self.job);
        job.has_free_link_loss()
            && job.time_left(Instant::now()) >= MIN_TIME_LEFT
            && gateway.hold_of(job).is_none()
            && choose_endpoint(gateway, job, tried).is_ok()
            && gateway.try_retry(&job.service.name)
    }

    /// Chooses another endpoint and takes the retry from the budget.
    fn choose_other(&self, avoid: &[EndpointId]) -> Result<Choice, Refusal> {
        let (gateway, job) = (&self.gateway, &self.job);
        if gateway.hold_of(job).is_some() {
            return Err(Refusal::Quarantined);
        }
        if !job.may_send_again(Instant::now()) {
            return Err(Refusal::SendsUsedUp);
        }
        let choice = choose_endpoint(gateway, job, avoid);
        gateway.record_withheld(job);
        let choice = choice.map_err(|_| Refusal::NoRoom)?;
        match gateway.try_retry(&job.service.name) {
            true => Ok(choice),
            false => Err(Refusal::BudgetUsedUp),
        }
    }

    async fn try_other(&self, choice: &Choice) -> TryOutcome {
        let (gateway, job) = (&self.gateway, &self.job);
        gateway.await_crash_checks(job).await;
        let other = Self::start(gateway, job, choice);
        let outcome = other.exchange().await;
        match &outcome {
            TryOutcome::Success(_) | TryOutcome::Failed(_) | TryOutcome::LinkReleased(_) => {}
            TryOutcome::LinkLost(_) => {
                job.record_link_loss();
            }
            TryOutcome::NotRun(_) | TryOutcome::Misdirected(_) | TryOutcome::NotSent(_) => {
                job.uncount_send();
            }
            TryOutcome::Lost(_) => {
                let cause = check_broken_send(gateway, job, other.broken_send()).await;
                if cause == BreakCause::Link {
                    job.record_link_loss();
                }
            }
        }
        outcome
    }

    /// Waits until the link under the call seems lost, or the VM that passes its connection on. Returns
    /// which.
    async fn wait_for_link_loss(&self) -> &'static str {
        let mut hop_check_due = Instant::now() + HOP_CHECK_INTERVAL;
        loop {
            smol::Timer::after(LINK_POLL_INTERVAL).await;
            if self.gateway.has_lost_link(&self.endpoint, self.route.transit()) {
                return "the connection is direct, and the hall counts as lost";
            }
            let Some(vm) = self.route.hop().filter(|_| hop_check_due <= Instant::now()) else {
                continue;
            };
            if self.gateway.hop_is_lost(vm, &self.endpoint, self.address).await {
                return "the VM in between does not answer";
            }
            hop_check_due = Instant::now() + HOP_CHECK_INTERVAL;
        }
    }
}
