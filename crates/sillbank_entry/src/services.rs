//! Forwards calls to plain services.

use crate::callers::{AdmissionGuard, CallerContext, Forecast};
use crate::claims::CLAIM_TIMEOUT;
use crate::request_input::request_timeout;
use crate::state::Entry;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Response, StatusCode};
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::body::reply;
use sillbank_net::client::request_to;
use sillbank_net::prelude::*;
use sillbank_protocol::once::{ClaimAnswer, ClaimState};
use sillbank_settings::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retry-after time of transient failures.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Header by which a service states that it did not run the call.
const RUN_STATE_HEADER: &str = "x-run-state";

/// Forwards a call to a service and returns its reply.
pub(crate) async fn call(
    entry: &Rc<Entry>,
    context: CallerContext,
    path: &str,
    body: Bytes,
) -> Result<Response<ReplyBody>, Failure> {
    let target = path.trim_start_matches("/v1/services/");
    let (name, inner) = target.split_once('/').unwrap_or((target, ""));
    let (service, policy) = find_service(entry, &context, name)?;
    let time_limit = request_timeout(&context.headers, policy.deadline_ms)?;
    let organisation = &context.organisation;
    let forecast = Forecast { predicted: None, backlog: 0.0, deadline: time_limit };
    let _admitted = AdmissionGuard::new(entry, organisation, 0, policy.queue_tokens, forecast)?;
    let _in_flight = entry.stop.count_call();
    let deadline = context.received_at + time_limit;
    let marked_non_repeatable =
        context.headers.get("x-not-repeatable").is_some_and(|v| v == "true");
    let call = ServiceCall {
        is_idempotent: service.repeatable && !marked_non_repeatable,
        addresses: shuffled_addresses(entry, &service),
        inner: format!("/{inner}"),
        body,
        deadline,
        max_attempts: policy.max_losses as usize + 1,
    };
    let span = context.trace.span(&context.request_id, &context.organisation);
    let started = Instant::now();
    // Without an id from the caller the call cannot be recognised as a repeat, so there is nothing to claim.
    let has_caller_id = context.headers.contains_key("x-request-id");
    let answer = match call.is_idempotent || !has_caller_id {
        true => send(entry, &context, &call, &mut RunLog::default()).await,
        false => send_claimed(entry, &context, &call).await,
    };
    tracing::debug!(parent: &span, "entry: Service {name} took {} us.", started.elapsed().as_micros());
    answer
}

/// A call as it is sent to a service.
struct ServiceCall {
    is_idempotent: bool,
    addresses: Vec<SocketAddr>,
    inner: String,
    body: Bytes,
    deadline: Instant,
    max_attempts: usize,
}

/// The service and its policy, if the organisation may call it.
fn find_service(
    entry: &Entry,
    context: &CallerContext,
    name: &str,
) -> Result<(ServiceObject, Policy), Failure> {
    let tree = entry.tree.borrow();
    let found = tree.service(name).filter(|s| tree.may_call(&context.organisation, &s.parent));
    let Some(service) = found else {
        let reason = format!("There is no service '{name}' for this organisation.");
        return Err(Failure::before_work(FailureKind::UnknownTarget, reason));
    };
    Ok((service.clone(), tree.effective(&format!("service/{name}")).policy))
}

/// The service's addresses in random order.
fn shuffled_addresses(entry: &Entry, service: &ServiceObject) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> =
        service.addresses.iter().filter_map(|address| address.parse().ok()).collect();
    entry.rng.borrow_mut().shuffle(&mut addresses);
    addresses
}

/// Claims the call's key, sends the call and reports how it ended; a call that was not run frees its key.
async fn send_claimed(
    entry: &Entry,
    context: &CallerContext,
    call: &ServiceCall,
) -> Result<Response<ReplyBody>, Failure> {
    let (organisation, key) = (&context.organisation, &context.request_id);
    let (answer, requested_at) = entry.claims.claim(organisation, key).await;
    let claim = granted_claim(answer)?;
    let mut log = RunLog::default();
    let answer = match requested_at.elapsed() < CLAIM_TIMEOUT {
        true => send(entry, context, call, &mut log).await,
        false => Err(Failure::before_work(FailureKind::ServiceLost, "The claim came too late.")
            .retry_after(RETRY_AFTER)),
    };
    entry.claims.report_run_state(organisation, key, claim, log.state());
    answer
}

/// The number of a granted claim, or the failure to return.
fn granted_claim(answer: ClaimAnswer) -> Result<u64, Failure> {
    match answer {
        ClaimAnswer::Granted(claim) => Ok(claim),
        ClaimAnswer::Taken(state) => {
            let run = match state {
                ClaimState::Ran => RunState::Ran,
                ClaimState::Open | ClaimState::Unknown => RunState::Unknown,
            };
            let reason = "A call with this key came before; this one was not run.";
            Err(Failure::new(FailureKind::AlreadyClaimed, run, reason))
        }
        ClaimAnswer::Undetermined { wait_ms } => {
            let reason = "A call with this key may have come before a VM was lost; \
                          this one was not run.";
            let failure = Failure::new(FailureKind::ClaimUnknown, RunState::Unknown, reason);
            Err(match wait_ms {
                u64::MAX => failure,
                wait_ms => failure.retry_after(Duration::from_millis(wait_ms)),
            })
        }
        ClaimAnswer::NotHolder | ClaimAnswer::Unavailable => {
            let reason = "Whether the key is new cannot be asked now; the call was not run.";
            let failure = Failure::before_work(FailureKind::ClaimUnavailable, reason);
            Err(failure.retry_after(RETRY_AFTER))
        }
    }
}

/// Returns a new key for a call that must not run twice.
pub(crate) async fn mint_key(entry: &Entry) -> Result<Response<ReplyBody>, Failure> {
    match entry.claims.mint().await {
        Some(key) => Ok(json_reply(StatusCode::OK, &serde_json::json!({ "key": key }))),
        None => {
            let reason = "Control cannot be reached.";
            let failure = Failure::before_work(FailureKind::ClaimUnavailable, reason);
            Err(failure.retry_after(RETRY_AFTER))
        }
    }
}

/// Tries one address after another. A call that may have run is only sent again if it is
/// idempotent.
async fn send(
    entry: &Entry,
    context: &CallerContext,
    call: &ServiceCall,
    log: &mut RunLog,
) -> Result<Response<ReplyBody>, Failure> {
    let mut reason = "The service has no address.".to_owned();
    for address in call.addresses.iter().cycle().take(call.max_attempts) {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let reason = "The deadline passed before the service answered.";
            return Err(Failure::new(FailureKind::DeadlineExceeded, log.state(), reason));
        }
        match entry.http.call(*address, service_request(context, call)?, remaining).await {
            Ok(answer) if reports_not_run(&answer) => {
                log.record_sent();
                log.record_refused();
                reason = format!("{address} refused the call without running it.");
            }
            Ok(answer) => {
                log.record_sent();
                log.record_ran();
                return Ok(forward_reply(context, &answer));
            }
            Err(CallError::NotSent { reason: why, .. }) => reason = why,
            Err(CallError::Lost { reason: why, .. }) => {
                log.record_sent();
                reason = why;
                if !call.is_idempotent {
                    break;
                }
            }
        }
    }
    let failure = Failure::new(FailureKind::ServiceLost, log.state(), reason);
    Err(failure.retry_after(RETRY_AFTER))
}

/// The request to the service, with the derived request id and the trace.
fn service_request(
    context: &CallerContext,
    call: &ServiceCall,
) -> Result<hyper::Request<Bytes>, Failure> {
    let request = request_to(Method::POST, &call.inner, call.body.clone());
    let mut request = request
        .map_err(|error| Failure::before_work(FailureKind::UnknownRoute, error.to_string()))?;
    let headers = request.headers_mut();
    headers.insert("traceparent", context.trace.header());
    let id = RequestUid::derive(&context.organisation, &context.request_id);
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert("x-request-id", id);
    }
    Ok(request)
}

/// Whether the service states that it did not run the call.
fn reports_not_run(answer: &CallReply) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.headers.get(RUN_STATE_HEADER).is_some_and(|value| value == "not_run")
}

/// The caller's reply, made from the service's reply.
fn forward_reply(context: &CallerContext, answer: &CallReply) -> Response<ReplyBody> {
    let mut reply = reply(answer.status, "application/json", answer.body.clone());
    if let Some(content_type) = answer.headers.get("content-type") {
        reply.headers_mut().insert("content-type", content_type.clone());
    }
    reply.headers_mut().insert("traceparent", context.trace.header());
    reply
}
