//! Opens a stream: sends its request until an endpoint accepts it.

use super::attempt::{AttemptResult, ExchangeEnd, UpstreamReply, send_once};
use super::target::{NoTarget, choose_target};
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

/// How long a started stream without a usable endpoint looks for one. Callers give a stream up after
/// two seconds without an event.
const RESUME_WAIT: Duration = Duration::from_millis(1_000);

/// Sends a stream's request until an endpoint accepts it. Endpoints in `avoid` are not used.
pub(super) async fn open_stream<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    resume_after: Option<EventNumber>,
    mut avoid: Vec<EndpointId>,
) -> Result<UpstreamReply, Failure> {
    let mut attempts = SendAttempts::default();
    let first_avoid = avoid.clone();
    // A started stream that finds no endpoint waits for a while: this VM may have lost its links, and
    // finds that out within this time.
    let wait_until = resume_after.map(|_| Instant::now() + RESUME_WAIT);
    let may_wait = || wait_until.is_some_and(|until| Instant::now() < until);
    // A request that was sent before passed admission control then, even if none of its events
    // arrived.
    let is_first_send =
        resume_after.is_none() && job.sends.get() == 0 && job.link_losses.get() == 0;
    if is_first_send && let Err(reason) = check_admission(gateway, job) {
        return Err(refuse(gateway, job, reason));
    }
    loop {
        if let Some(hold) = gateway.hold_before_send(job) {
            return Err(gateway.held_failure(job, &hold));
        }
        let target = choose_target(gateway, job, resume_after, &avoid);
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
            Err(NoTarget::Isolated(remaining)) if job.run.get().not_run_evidence().is_none() => {
                smol::Timer::after(remaining.min(ENGINE_POLL_INTERVAL)).await;
                continue;
            }
            Err(NoTarget::Isolated(remaining)) => {
                let failure = refuse(gateway, job, NoTarget::Isolated(remaining).text());
                return Err(with_min_retry_after(failure, Some(remaining)));
            }
            Err(NoTarget::NoPath) if may_wait() => {
                smol::Timer::after(ENGINE_POLL_INTERVAL).await;
                avoid.clone_from(&first_avoid);
                continue;
            }
            Err(reason) => {
                return Err(refuse(gateway, job, reason.text()));
            }
        };
        attempts.record_send(job);
        gateway.count_against_limit(&target.endpoint);
        let sent_at = Instant::now();
        let stamp = gateway.platform.stamp(sent_at);
        let (address, incarnation) = (target.address, gateway.incarnation_name(&target.endpoint));
        gateway.decisions.sent(job, &target.endpoint, target.path.as_ref(), resume_after, stamp);
        let mut failed = match send_once(gateway, job, target, resume_after).await {
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
        let may_retry = attempts.may_retry(gateway, job, failed.kind);
        if !may_retry && failed.kind == SendFailureKind::NotSent && may_wait() {
            smol::Timer::after(ENGINE_POLL_INTERVAL).await;
            attempts = SendAttempts::default();
            avoid.clone_from(&first_avoid);
            continue;
        }
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
/// know all endpoints yet cannot detect a shortage, so it uses a fixed short delay: with the delays
/// used in a shortage its callers were told to retry after 2, 30 and 30 s.
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
