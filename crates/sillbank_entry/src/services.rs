//! Calls to plain services.

use crate::callers::{Admitted, CallerContext, Forecast};
use crate::claims::CLAIM_TIMEOUT;
use crate::reading::deadline;
use crate::state::Entry;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Response, StatusCode};
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::body::reply;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use sillbank_protocol::once::{ClaimAnswer, ClaimState};
use sillbank_settings::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// When to come back after a failure that may pass.
const COME_BACK: Duration = Duration::from_secs(1);
/// Header in which a service says that it ran nothing.
const RUN_STATE_HEADER: &str = "x-run-state";

/// Passes a call on to a service and its answer back.
pub(crate) async fn call(
    entry: &Rc<Entry>,
    context: CallerContext,
    path: &str,
    body: Bytes,
) -> Result<Response<ReplyBody>, Failure> {
    let rest = path.trim_start_matches("/v1/services/");
    let (name, inner) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, policy) = find(entry, &context, name)?;
    let time = deadline(&context.headers, policy.deadline_ms)?;
    let organisation = &context.organisation;
    let forecast = Forecast { predicted: None, backlog: 0.0, deadline: time };
    let _admitted = Admitted::new(entry, organisation, 0, policy.queue_tokens, forecast)?;
    let _in_flight = entry.stop.count_call();
    let deadline = context.arrived + time;
    let marked = context.headers.get("x-not-repeatable").is_some_and(|v| v == "true");
    let call = ServiceCall {
        repeatable: service.repeatable && !marked,
        addresses: shuffled(entry, &service),
        inner: format!("/{inner}"),
        body,
        deadline,
        max_tries: policy.max_losses as usize + 1,
    };
    let span = context.trace.span(&context.request_id, &context.organisation);
    let started = Instant::now();
    // A call with no id of the caller's own cannot come a second time.
    let own_id = context.headers.contains_key("x-request-id");
    let answer = match call.repeatable || !own_id {
        true => send(entry, &context, &call, &mut RunLog::default()).await,
        false => send_once(entry, &context, &call).await,
    };
    tracing::debug!(parent: &span, "entry: Service {name} took {} us.", started.elapsed().as_micros());
    answer
}

struct ServiceCall {
    repeatable: bool,
    addresses: Vec<SocketAddr>,
    inner: String,
    body: Bytes,
    deadline: Instant,
    max_tries: usize,
}

fn find(
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

fn shuffled(entry: &Entry, service: &ServiceObject) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> =
        service.addresses.iter().filter_map(|address| address.parse().ok()).collect();
    entry.rng.borrow_mut().shuffle(&mut addresses);
    addresses
}

/// Sends a call whose key is claimed first; a call that was not run frees its key.
async fn send_once(
    entry: &Entry,
    context: &CallerContext,
    call: &ServiceCall,
) -> Result<Response<ReplyBody>, Failure> {
    let (organisation, key) = (&context.organisation, &context.request_id);
    let (answer, asked_at) = entry.claims.claim(organisation, key).await;
    let claim = granted(answer)?;
    let mut log = RunLog::default();
    let answer = match asked_at.elapsed() < CLAIM_TIMEOUT {
        true => send(entry, context, call, &mut log).await,
        false => Err(Failure::before_work(FailureKind::ServiceLost, "The claim came too late.")
            .retry_after(COME_BACK)),
    };
    entry.claims.ended(organisation, key, claim, log.state());
    answer
}

fn granted(answer: ClaimAnswer) -> Result<u64, Failure> {
    match answer {
        ClaimAnswer::Granted(claim) => Ok(claim),
        ClaimAnswer::Taken(end) => {
            let run = match end {
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
            Err(failure.retry_after(COME_BACK))
        }
    }
}

/// Gives the caller a key for a call not to be repeated.
pub(crate) async fn mint_key(entry: &Entry) -> Result<Response<ReplyBody>, Failure> {
    match entry.claims.mint().await {
        Some(key) => Ok(json_reply(StatusCode::OK, &serde_json::json!({ "key": key }))),
        None => {
            let reason = "Control cannot be reached.";
            let failure = Failure::before_work(FailureKind::ClaimUnavailable, reason);
            Err(failure.retry_after(COME_BACK))
        }
    }
}

/// Tries one address after another. A call that may have run is only sent again if it may be
/// repeated.
async fn send(
    entry: &Entry,
    context: &CallerContext,
    call: &ServiceCall,
    log: &mut RunLog,
) -> Result<Response<ReplyBody>, Failure> {
    let mut reason = "The service has no address.".to_owned();
    for address in call.addresses.iter().cycle().take(call.max_tries) {
        let left = call.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let reason = "The deadline passed before the service answered.";
            return Err(Failure::new(FailureKind::DeadlineExceeded, log.state(), reason));
        }
        match entry.http.call(*address, service_request(context, call), left).await {
            Ok(answer) if said_not_run(&answer) => {
                log.record_sent();
                log.record_refused();
                reason = format!("{address} refused the call without running it.");
            }
            Ok(answer) => {
                log.record_sent();
                log.record_ran();
                return Ok(pass_on(context, &answer));
            }
            Err(CallError::NotSent { reason: why, .. }) => reason = why,
            Err(CallError::Lost { reason: why, .. }) => {
                log.record_sent();
                reason = why;
                if !call.repeatable {
                    break;
                }
            }
        }
    }
    let failure = Failure::new(FailureKind::ServiceLost, log.state(), reason);
    Err(failure.retry_after(COME_BACK))
}

fn service_request(context: &CallerContext, call: &ServiceCall) -> hyper::Request<Bytes> {
    let mut request = request(Method::POST, &call.inner, call.body.clone());
    let headers = request.headers_mut();
    headers.insert("traceparent", context.trace.header());
    let id = RequestUid::derive(&context.organisation, &context.request_id);
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert("x-request-id", id);
    }
    request
}

fn said_not_run(answer: &CallReply) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.headers.get(RUN_STATE_HEADER).is_some_and(|value| value == "not_run")
}

fn pass_on(context: &CallerContext, answer: &CallReply) -> Response<ReplyBody> {
    let mut reply = reply(answer.status, "application/json", answer.body.clone());
    if let Some(content_type) = answer.headers.get("content-type") {
        reply.headers_mut().insert("content-type", content_type.clone());
    }
    reply.headers_mut().insert("traceparent", context.trace.header());
    reply
}
