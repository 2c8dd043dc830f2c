//! Handles plain calls: one answer, buffered whole before it goes to the caller.

use crate::answers::{
    deadline_failure, failure_outcome, failure_response, final_failure, with_min_retry_after,
};
use crate::connection_pool::PooledConnection;
use crate::crashes::{
    BreakCause, BrokenSend, check_abandoned_send, check_broken_send, crashed_at_close,
};
use crate::decisions::{FailedSend, Outcome};
use crate::endpoints::{Evidence, RequestPart};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::retries::{SendAttempts, SendFailureKind};
use crate::sending::{
    BufferedReply, Destination, SendOutcome, SendRoute, buffer_reply, ends_with_connection,
    health_evidence, send,
};
use crate::store::MetadataStore;
use crate::wire::Wire;
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
use std::time::{Duration, Instant};

/// Largest answer to a call that is buffered.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Timeout of one try of a call that may be retried while another endpoint is available, as a
/// multiple of the route's objective. On the known deployments 99 % of calls are answered within
/// it.
const TRY_TIMEOUT_OBJECTIVES: f64 = 1.5;

/// How often a call that may be sent again checks whether its link is lost.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often it checks whether the VM that passes its connection on answers.
const HOP_CHECK_INTERVAL: Duration = Duration::from_millis(400);

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
    let ended = futures_lite::future::or(run(gateway, job), late).await;
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
        attempts.record_send(job);
        gateway.count_against_limit(&choice.endpoint);
        let sent_at = Instant::now();
        let incarnation = gateway.incarnation_name(&choice.endpoint);
        let broken_send = || BrokenSend {
            endpoint: choice.endpoint.clone(),
            address: choice.address,
            incarnation: incarnation.clone(),
            sent_at,
            broke_at: Instant::now(),
            first_event_at: None,
        };
        let (failure_kind, reason) = match try_once(gateway, job, &choice).await {
            TryOutcome::Success(whole) | TryOutcome::Failed(whole)
                if ends_with_connection(&whole.head)
                    && crashed_at_close(gateway, &broken_send()).await =>
            {
                check_broken_send(gateway, job, broken_send()).await;
                let reason = "the endpoint crashed when it closed the connection".to_owned();
                (SendFailureKind::MayHaveRun, reason)
            }
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
            TryOutcome::Late(reason) => {
                check_abandoned_send(gateway, job, broken_send());
                (SendFailureKind::MayHaveRun, reason)
            }
            TryOutcome::LinkLost(reason) => (SendFailureKind::LinkLost, reason),
            TryOutcome::Lost(reason) => {
                match check_broken_send(gateway, job, broken_send()).await {
                    BreakCause::Link => (SendFailureKind::LinkLost, reason),
                    BreakCause::Crash | BreakCause::Connection | BreakCause::Unknown => {
                        (SendFailureKind::MayHaveRun, reason)
                    }
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
        if failure_kind != SendFailureKind::LinkLost {
            tried.push(choice.endpoint);
        }
        gateway.await_crash_checks(job).await;
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
    /// No answer within the try timeout.
    Late(String),
    /// The connection broke without an answer, or the answer is invalid.
    Lost(String),
    /// The link to the endpoint was lost, or the VM that passed the connection on.
    LinkLost(String),
}

async fn try_once<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    choice: &Choice,
) -> TryOutcome {
    let now = Instant::now();
    gateway.decisions.sent(job, &choice.endpoint, None, None, gateway.platform.stamp(now));
    let _in_flight = gateway
        .endpoint_tracker
        .start(vec![RequestPart { endpoint: choice.endpoint.clone(), kv: 0.0 }], now);
    let route = SendRoute::default();
    let exchange = exchange(gateway, job, choice, &route);
    if !job.is_idempotent() || !job.may_send_again(now) {
        return exchange.await;
    }
    let link_loss = async {
        wait_for_link_loss(gateway, choice, &route).await;
        TryOutcome::LinkLost("the link to the endpoint is lost".to_owned())
    };
    let exchange = futures_lite::future::or(exchange, link_loss);
    if !choice.has_alternative {
        return exchange.await;
    }
    let try_timeout = job.route.objective.mul_f64(TRY_TIMEOUT_OBJECTIVES);
    let timeout = async {
        smol::Timer::after(try_timeout).await;
        gateway.on_evidence(&choice.endpoint, Evidence::Failed, now, "no answer in time");
        gateway.on_send_trouble(&choice.endpoint, route.transit());
        TryOutcome::Late(format!("no answer within {} ms", try_timeout.as_millis()))
    };
    futures_lite::future::or(exchange, timeout).await
}

/// Waits until the link under a call is lost, or the VM that passes its connection on.
async fn wait_for_link_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    choice: &Choice,
    route: &SendRoute,
) {
    let mut hop_check_due = Instant::now() + HOP_CHECK_INTERVAL;
    loop {
        smol::Timer::after(LINK_POLL_INTERVAL).await;
        if gateway.has_lost_link(&choice.endpoint, route.transit()) {
            return;
        }
        let Some(vm) = route.hop().filter(|_| hop_check_due <= Instant::now()) else {
            continue;
        };
        if gateway.hop_is_lost(vm, &choice.endpoint, choice.address).await {
            return;
        }
        hop_check_due = Instant::now() + HOP_CHECK_INTERVAL;
    }
}

async fn exchange<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    choice: &Choice,
    route: &SendRoute,
) -> TryOutcome {
    let to = Destination { endpoint: &choice.endpoint, address: choice.address, path: None, route };
    let timer =
        gateway.call_tracker.start_timer(&job.service.name, &choice.endpoint, Instant::now());
    let sent_at = Instant::now();
    let sent = send(gateway, job, to, None).await;
    if let Some(evidence) = health_evidence(&sent) {
        gateway.on_evidence(&choice.endpoint, evidence, sent_at, "a call");
    }
    match sent {
        SendOutcome::Success(reply, connection) => {
            match whole_answer(gateway, choice, reply, connection).await {
                Ok(whole) => {
                    timer.record_answer();
                    TryOutcome::Success(whole)
                }
                Err(lost) => lost,
            }
        }
        SendOutcome::Failure(reply, connection) => {
            match whole_answer(gateway, choice, reply, connection).await {
                Ok(whole) => TryOutcome::Failed(whole),
                Err(lost) => lost,
            }
        }
        SendOutcome::NotRun(refusal) => {
            let reason = format!("the endpoint refused with status {}", refusal.status);
            if !refusal.misdirected {
                timer.record_full();
                return TryOutcome::NotRun(reason);
            }
            timer.discard();
            let endpoint = &choice.endpoint;
            gateway.on_evidence(endpoint, Evidence::Unreachable, sent_at, "misdirected");
            TryOutcome::Misdirected(reason)
        }
        SendOutcome::NotSent(reason) | SendOutcome::NoLink(reason) => {
            timer.discard();
            TryOutcome::NotSent(reason)
        }
        SendOutcome::Lost(reason) => {
            gateway.on_send_trouble(&choice.endpoint, route.transit());
            TryOutcome::Lost(reason)
        }
        SendOutcome::HopLost(reason) => TryOutcome::LinkLost(reason),
    }
}

/// Reads a whole answer and returns its connection to the pool. The error is how the try ended.
async fn whole_answer<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    choice: &Choice,
    reply: Response<Incoming>,
    connection: PooledConnection,
) -> Result<BufferedReply, TryOutcome> {
    let whole = buffer_reply(reply, MAX_ANSWER_BYTES, &gateway.memory_budget).await;
    let whole = whole.map_err(|reason| match connection.hop_is_lost() {
        true => TryOutcome::LinkLost(reason),
        false => TryOutcome::Lost(reason),
    })?;
    gateway.keep_connection(&choice.endpoint, connection, &whole.head);
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
