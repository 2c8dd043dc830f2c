//! Handles plain calls: one answer, buffered whole before it goes to the caller.

mod attempt;
mod hedge;

use crate::answers::{
    deadline_failure, failure_outcome, failure_response, final_failure, with_min_retry_after,
};
use crate::connection_pool::PooledConnection;
use crate::crashes::{BreakCause, check_broken_send};
use crate::decisions::{FailedSend, Outcome};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::retries::{SendAttempts, SendFailureKind};
use crate::sending::{BufferedReply, buffer_reply};
use crate::store::MetadataStore;
use crate::wire::Wire;
use attempt::Attempt;
use futures_lite::FutureExt;
use hyper::Response;
use hyper::body::Incoming;
use sillbank_admission::calls::{
    CallBalancer, CallCandidate, CallDecision, CallRefusal, CallRefusalReason, CallRequest,
};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Largest answer to a call that is buffered.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Handles one call and returns the reply for its caller.
pub async fn answer<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Response<ReplyBody> {
    let guard = CallEndGuard { gateway, job, ended: std::cell::Cell::new(false) };
    let late = async {
        smol::Timer::at(job.deadline).await;
        Err(deadline_failure(job.run.get()))
    };
    let at_exit = async { Err(gateway.reply_at_exit(|| job.run.get()).await) };
    let ended = run(gateway, job).or(late).or(at_exit).await;
    guard.ended.set(true);
    match ended {
        Ok(reply) => {
            gateway.on_first_answer(job);
            gateway.on_end(job, Outcome::Answered, reply.status().as_u16(), 0, "");
            reply
        }
        Err(failure) => {
            let status = failure.kind.http_status();
            gateway.on_end(job, failure_outcome(&failure), status, 0, &failure.reason);
            failure_response::<W>(&failure)
        }
    }
}

/// Logs the end of a call whose caller disconnected, in which case the future is dropped.
struct CallEndGuard<'a, W: Wire, S: MetadataStore> {
    gateway: &'a Gateway<W, S>,
    job: &'a Job,
    ended: std::cell::Cell<bool>,
}

impl<W: Wire, S: MetadataStore> Drop for CallEndGuard<'_, W, S> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.gateway.on_end(self.job, Outcome::CallerLeft, 0, 0, "the caller left");
        }
    }
}

/// The endpoint chosen for a call.
struct Choice {
    endpoint: EndpointId,
    address: SocketAddr,
    /// Whether another endpoint is available.
    has_alternative: bool,
}

async fn run<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Result<Response<ReplyBody>, Failure> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut attempts = SendAttempts::default();
    let mut failed_reply: Option<BufferedReply> = None;
    loop {
        if let Some(hold) = gateway.hold_before_send(job) {
            let failure = || gateway.held_failure(job, &hold);
            return failed_reply.map(|whole| whole.reply).ok_or_else(failure);
        }
        let choice = choose_endpoint(gateway, job, &tried);
        let withheld_for = gateway.record_withheld(job);
        let choice = match choice {
            Ok(choice) => choice,
            Err(refusal) => {
                let min_retry_after =
                    withheld_for.filter(|_| refusal.reason == CallRefusalReason::Withheld);
                let failure =
                    || with_min_retry_after(refuse(gateway, job, refusal), min_retry_after);
                return failed_reply.map(|whole| whole.reply).ok_or_else(failure);
            }
        };
        let sent_at = Instant::now();
        let attempt = Attempt::start(gateway, job, &choice);
        let (failure_kind, reason) = match attempt.run_hedged(&tried).await {
            TryOutcome::Success(whole) => {
                gateway.on_request_survived(job);
                return Ok(whole.reply);
            }
            TryOutcome::Failed(whole) => {
                gateway.on_request_survived(job);
                let reason = format!("status {}", whole.reply.status().as_u16());
                failed_reply = Some(whole);
                (SendFailureKind::MayHaveRun, reason)
            }
            TryOutcome::NotRun(reason) => (SendFailureKind::NotRun, reason),
            TryOutcome::Misdirected(reason) => (SendFailureKind::Misdirected, reason),
            TryOutcome::NotSent(reason) => (SendFailureKind::NotSent, reason),
            TryOutcome::LinkLost(reason) => (SendFailureKind::LinkLost, reason),
            TryOutcome::LinkReleased(reason) => (SendFailureKind::LinkReleased, reason),
            TryOutcome::Lost(reason) => {
                match check_broken_send(gateway, job, attempt.broken_send()).await {
                    BreakCause::Link => (SendFailureKind::LinkLost, reason),
                    BreakCause::Unknown | BreakCause::Silent | BreakCause::Unreached
                        if attempt.has_confirmed_link_loss().await =>
                    {
                        (SendFailureKind::LinkLost, reason)
                    }
                    BreakCause::Crash
                    | BreakCause::Connection
                    | BreakCause::Unknown
                    | BreakCause::Silent
                    | BreakCause::Unreached => (SendFailureKind::MayHaveRun, reason),
                }
            }
        };
        gateway.decisions.send_failed(
            job,
            &FailedSend {
                endpoint: &choice.endpoint,
                at_fault: None,
                run: job.run.get().state(),
                reason: &reason,
                after: sent_at.elapsed(),
            },
        );
        if !matches!(failure_kind, SendFailureKind::LinkLost | SendFailureKind::LinkReleased) {
            tried.push(choice.endpoint);
        }
        gateway.await_crash_checks(job).await;
        attempts.record_failure(job, failure_kind);
        let may_retry = attempts.may_retry(gateway, job, failure_kind);
        if !may_retry {
            let failed_reply = failed_reply.map(|whole| whole.reply);
            return failed_reply
                .ok_or_else(|| final_failure(job.run.get(), FailureKind::NoChain, &reason));
        }
    }
}

/// Builds the failure of a call that cannot be sent: a refusal, or a plain failure if it may have
/// run.
fn refuse<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    refusal: CallRefusal,
) -> Failure {
    let kind = KindLabel { kind: refusal.reason.name() };
    gateway.metrics.calls_refused.get_or_create(&kind).inc();
    let failure = final_failure(job.run.get(), FailureKind::NoChain, refusal.reason.text());
    match failure.retry_after {
        Some(_) if refusal.reason != CallRefusalReason::NoEndpoint => {
            failure.retry_after(refusal.retry_after)
        }
        _ => failure,
    }
}

/// Outcome of one send.
enum TryOutcome {
    /// The whole answer.
    Success(BufferedReply),
    /// A failure reported by the endpoint itself.
    Failed(BufferedReply),
    /// The endpoint proved that it did not run the call.
    NotRun(String),
    /// The endpoint that answered is not the intended one.
    Misdirected(String),
    /// The call did not reach the endpoint.
    NotSent(String),
    /// The connection broke without an answer, or the answer is invalid.
    Lost(String),
    /// The link to the endpoint was lost, or the VM that passed the connection on.
    LinkLost(String),
    /// The link to the endpoint is lost, so that this VM closes the connection. The retry is taken from
    /// the budget.
    LinkReleased(String),
}

/// Reads a whole answer and returns its connection to the pool. The error is how the try ended.
async fn whole_answer<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    endpoint: &str,
    reply: Response<Incoming>,
    connection: PooledConnection,
) -> Result<BufferedReply, TryOutcome> {
    let whole = buffer_reply(reply, &connection, MAX_ANSWER_BYTES, &gateway.memory_budget).await;
    let whole = whole.map_err(|reason| match connection.hop_is_lost() {
        true => TryOutcome::LinkLost(reason),
        false => TryOutcome::Lost(reason),
    })?;
    gateway.keep_connection(endpoint, connection, &whole.head);
    Ok(whole)
}

/// Chooses an endpoint that was not tried yet and can answer in time, preferably in the local hall.
fn choose_endpoint<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    tried: &[EndpointId],
) -> Result<Choice, CallRefusal> {
    let now = Instant::now();
    let settings = gateway.settings();
    let draw = || gateway.rng.next_f64();
    let context = gateway.routing_context(now);
    gateway.platform.endpoints(|directory| {
        let usable = directory.usable_of(&job.service.name);
        let mut records: Vec<_> = usable.filter(|record| !tried.contains(&record.id)).collect();
        let accepts_work =
            |record: &&EndpointRecord| gateway.endpoint_tracker.accepts_work(&record.id, now);
        // If all endpoints are ejected, the least bad one is better than none.
        if records.iter().any(accepts_work) {
            records.retain(accepts_work);
        }
        if let [only] = records.as_slice()
            && !tried.contains(&only.id)
            && let Some(retry_after) = gateway.isolated_for(job)
            && directory.usable_of(&job.service.name).filter(|r| accepts_work(r)).count() == 1
        {
            return Err(CallRefusal { reason: CallRefusalReason::Isolated, retry_after });
        }
        let had_records = !records.is_empty();
        records.retain(|record| context.may_send(&record.id));
        if had_records && records.is_empty() {
            let (reason, retry_after) = (CallRefusalReason::Withheld, gateway.retry_after(job));
            return Err(CallRefusal { reason, retry_after });
        }
        let candidates = records.iter().map(|record| CallCandidate {
            endpoint: &record.id,
            is_local: record.hall == settings.hall,
            in_flight: gateway.endpoint_tracker.in_flight(&record.id),
            slots: record.slots,
        });
        let candidates: Vec<CallCandidate<'_>> = candidates.collect();
        let request = CallRequest {
            time_left: job.time_left(now),
            is_idempotent: job.is_idempotent(),
            rank: job.rank(),
        };
        let choice = match settings.mechanisms.calls_in_time {
            true => gateway.call_tracker.with(&job.service.name, |balancer| {
                balancer.choose(&candidates, request, now, draw)
            }),
            // By requests in flight alone.
            false => CallBalancer::default().choose(&candidates, request, now, draw),
        };
        match choice {
            CallDecision::Refuse(refusal) => Err(refusal),
            CallDecision::Send(at) => Ok(Choice {
                endpoint: records[at].id.clone(),
                address: records[at].address,
                has_alternative: records.len() > 1,
            }),
        }
    })
}
