//! Opens a stream: sends its request until an endpoint accepts it.

use super::attempt::{AttemptResult, ExchangeEnd, UpstreamReply, send_once};
use super::continuation::{Acceptance, Continuation, Continuer};
use super::target::{NoTarget, PathChoice, choose_target};
use crate::answers::{RETRY_AFTER_NOT_READY, final_failure, with_min_retry_after};
use crate::crashes::{BreakCause, BrokenSend, check_abandoned_send, check_broken_send};
use crate::decisions::FailedSend;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::load::AdmissionRequest;
use crate::retries::{SendAttempts, SendFailureKind};
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use sillbank_core::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a stream that waits for a usable engine looks for one.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a stream's request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendPurpose {
    /// It is new.
    Start,
    /// Its endpoint may be lost or may go on.
    Replace,
    /// Its endpoint is lost.
    Resume,
}

/// What is sent, and where it is not.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The last event that the caller has.
    pub(super) resume_after: Option<EventNumber>,
    pub(super) purpose: SendPurpose,
    pub(super) path_choice: PathChoice,
    /// Endpoints that are not used.
    pub(super) avoid: Vec<EndpointId>,
}

impl OpenRequest {
    /// The first send of a request.
    fn start() -> Self {
        Self {
            resume_after: None,
            purpose: SendPurpose::Start,
            path_choice: PathChoice::WithRoom,
            avoid: Vec::new(),
        }
    }
}

/// Sends a new stream's request until an endpoint accepts it. Once it may have run, it cannot be
/// refused any more, so that it waits for an endpoint if it may run again.
pub(super) async fn start_stream<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Result<UpstreamReply, Failure> {
    let failure = match open_stream(gateway, job, OpenRequest::start()).await {
        Err(failure) if failure.run != RunState::NotRun => failure,
        opened => return opened,
    };
    let mut continuer = Continuer::new(gateway, job, Acceptance::Head, &[]);
    continuer.on_lost(&[]);
    match continuer.next(None).await {
        Continuation::Elsewhere(reply) => Ok(reply),
        Continuation::GiveUp(_) | Continuation::Release(_) => Err(failure),
    }
}

/// Sends a stream's request until an endpoint accepts it.
pub(super) async fn open_stream<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    request: OpenRequest,
) -> Result<UpstreamReply, Failure> {
    let OpenRequest { resume_after, purpose, path_choice, mut avoid } = request;
    let mut attempts = SendAttempts::default();
    // A request that was sent before passed admission control then, even if none of its events
    // arrived.
    let is_first_send =
        purpose == SendPurpose::Start && job.sends.get() == 0 && job.link_losses.get() == 0;
    if is_first_send && let Err(reason) = check_admission(gateway, job) {
        return Err(refuse(gateway, job, reason));
    }
    loop {
        if let Some(hold) = gateway.hold_before_send(job) {
            return Err(gateway.held_failure(job, &hold));
        }
        let target = choose_target(gateway, job, path_choice, &avoid);
        let retry_after = gateway.record_withheld(job);
        let target = match target {
            Ok(target) => target,
            Err(NoTarget::Withheld) => {
                let failure = refuse(gateway, job, NoTarget::Withheld.text());
                return Err(with_min_retry_after(failure, retry_after));
            }
            // A stream that has started waits until another engine is usable: giving up would lose
            // it, and its request is less likely to be the cause of the endpoint's crash than to
            // have been there by chance.
            Err(NoTarget::Isolated(remaining))
                if purpose != SendPurpose::Replace
                    && job.run.get().not_run_evidence().is_none() =>
            {
                smol::Timer::after(remaining.min(ENGINE_POLL_INTERVAL)).await;
                continue;
            }
            Err(NoTarget::Isolated(remaining)) => {
                let failure = refuse(gateway, job, NoTarget::Isolated(remaining).text());
                return Err(with_min_retry_after(failure, Some(remaining)));
            }
            Err(reason) => {
                return Err(refuse(gateway, job, reason.text()));
            }
        };
        job.count_send();
        gateway.count_against_limit(&target.endpoint);
        let sent_at = Instant::now();
        let stamp = gateway.platform.stamp(sent_at);
        let (address, incarnation) = (target.address, gateway.incarnation_name(&target.endpoint));
        gateway.decisions.sent(job, &target.endpoint, target.path.as_ref(), resume_after, stamp);
        let mut failed = match send_once(gateway, job, target, resume_after, &avoid).await {
            AttemptResult::Replied(reply) => {
                gateway.on_admitted(job);
                return Ok(reply);
            }
            AttemptResult::Failed(failed) => failed,
        };
        gateway.decisions.send_failed(
            job,
            &FailedSend {
                endpoint: &failed.endpoint,
                at_fault: failed.at_fault.as_deref(),
                run: job.run.get().state(),
                reason: &failed.reason,
                after: sent_at.elapsed(),
            },
        );
        let (endpoint, broke_at) = (failed.endpoint.clone(), Instant::now());
        let send =
            BrokenSend { endpoint, address, incarnation, sent_at, broke_at, first_event_at: None };
        match failed.exchange {
            ExchangeEnd::Complete => {}
            ExchangeEnd::Abandoned => check_abandoned_send(gateway, job, send),
            ExchangeEnd::Broken => {
                if check_broken_send(gateway, job, send).await == BreakCause::Link {
                    failed.kind = SendFailureKind::LinkLost;
                }
            }
        }
        if failed.kind != SendFailureKind::LinkLost {
            avoid.push(failed.at_fault.unwrap_or(failed.endpoint));
        }
        gateway.await_crash_checks(job).await;
        attempts.record_failure(job, failed.kind);
        let has_no_target = matches!(
            choose_target(gateway, job, path_choice, &avoid),
            Err(NoTarget::NoPath | NoTarget::NoRoom | NoTarget::Withheld)
        );
        if has_no_target {
            // It is refused without a retry taken from the budget.
            continue;
        }
        let may_retry = attempts.may_retry(gateway, job, failed.kind);
        if !may_retry {
            return Err(match gateway.hold_of(job) {
                Some(hold) => gateway.held_failure(job, &hold),
                None => refuse(gateway, job, &failed.reason),
            });
        }
    }
}

/// Asks admission control whether there is room for the request's rank. The error is the reason for
/// refusal.
fn check_admission<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
) -> Result<(), &'static str> {
    let Some(figures) = &job.service.engine else {
        return Ok(());
    };
    if !gateway.settings().mechanisms.ladder {
        return Ok(());
    }
    let request = AdmissionRequest {
        service: &job.service,
        figures,
        route: &job.route,
        priority: job.priority(),
        time_left: job.head.time_left,
        draw: gateway.rng.next_f64(),
    };
    let admitted = gateway.load.admit(gateway.routing_context(Instant::now()), request);
    let metrics = &gateway.metrics.shedding;
    metrics.record_admission(&job.service.name, request.priority, admitted);
    if let Some(estimate) = gateway.load.estimate(&job.service.name) {
        metrics.set_estimate(&job.service.name, estimate);
    }
    admitted.map_err(|refusal| match refusal.is_late {
        true => "no room for its rank, and it comes too late to be in time",
        false => "no room for its rank",
    })
}

/// Builds the final failure. A request that was not run gets a `Retry-After`. A VM that does not
/// know all endpoints yet cannot detect a shortage, so it uses a fixed short delay.
fn refuse<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, job: &Job, reason: &str) -> Failure {
    let failure = final_failure(job.run.get(), FailureKind::NoChain, reason);
    match failure.retry_after {
        Some(_) if !gateway.platform.knows_endpoints() => {
            failure.retry_after(RETRY_AFTER_NOT_READY)
        }
        Some(_) if gateway.settings().mechanisms.return_times => {
            failure.retry_after(gateway.retry_after(job))
        }
        _ => failure,
    }
}
