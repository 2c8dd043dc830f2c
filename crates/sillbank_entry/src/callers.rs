//! HTTP interface for callers.

use crate::chat::{ChatRequest, complete_answer};
use crate::execution::{ExecutionRequest, execute};
use crate::in_flight::Progress;
use crate::mailbox::Mailbox;
use crate::request_input::{authenticate, number_header, read_body, request_id, request_timeout};
use crate::sink::{ReplyHead, Sink};
use crate::state::Entry;
use crate::trace::TraceContext;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rustix::net::sockopt::set_socket_send_buffer_size;
use sillbank_admission::{AdmissionRequest, RefusalReason};
use sillbank_core::prelude::*;
use sillbank_generation::Plan;
use sillbank_net::failures::failure_reply;
use sillbank_net::prelude::*;
use sillbank_routing::prelude::*;
use sillbank_settings::prelude::*;
use smol::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retry-after time of a refusal because the VM is not ready or stopping, or no chain of endpoints is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Size of a caller connection's send buffer in the kernel, in addition to `stream_buffer_bytes`. The kernel uses up to
/// twice as much memory.
///
/// Without a limit Linux buffers up to 4 MB for each caller (`ss -tm`): an answer of 3.5 MB (17,700 tokens) to a caller
/// that read nothing was at times sent in full; otherwise its engines worked for 16,000 tokens before the caller was
/// found to have stalled. With this limit a caller with a latency of 1 ms can still get 128 MB/s, one with 100 ms
/// 1.3 MB/s (6,500 tokens/s).
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Serves the callers' HTTP interface.
pub(crate) struct CallersPlugin {
    /// Listener of the callers' address.
    pub(crate) listener: TcpListener,
    /// Limits on their connections and requests.
    pub(crate) limits: ServerLimits,
}

impl Plugin<Entry> for CallersPlugin {
    fn build(self, app: &App<Entry>) {
        let handler = Rc::new(CallerHandler { entry: app.state() });
        limit_send_buffers(&self.listener);
        app.spawn(serve(app.executor(), self.listener, self.limits, handler));
    }
}

/// Limits the send buffers of caller connections, which inherit the option from their listener.
fn limit_send_buffers(listener: &TcpListener) {
    if let Err(error) = set_socket_send_buffer_size(listener, SEND_BUFFER_BYTES) {
        tracing::warn!(
            "entry: The send buffers of callers could not be limited, stalled callers are detected late: {error}."
        );
    }
}

/// Handles callers' requests.
struct CallerHandler {
    entry: Rc<Entry>,
}

/// Data of every request besides its body.
pub(crate) struct CallerContext {
    pub(crate) organisation: OrganisationId,
    pub(crate) request_id: String,
    pub(crate) trace: TraceContext,
    pub(crate) headers: HeaderMap,
    pub(crate) received_at: Instant,
}

impl CallerHandler {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<ReplyBody>, Failure> {
        if self.entry.stop.is_stopping() {
            let failure = Failure::before_work(FailureKind::Stopping, "The VM is stopping.");
            return Err(failure.retry_after(RETRY_AFTER));
        }
        if self.entry.in_force.get() == 0 {
            let failure = Failure::before_work(FailureKind::NotReady, "No settings have come yet.");
            return Err(failure.retry_after(RETRY_AFTER));
        }
        let (head, body) = request.into_parts();
        let context = self.context(&head.headers)?;
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => {
                let body = read_body(&self.entry, body).await?;
                self.generate(context, &body).await
            }
            (&Method::POST, path) if path.starts_with("/v1/services/") => {
                let body = read_body(&self.entry, body).await?;
                crate::services::call(&self.entry, context, path, body).await
            }
            (&Method::POST, "/v1/keys") => crate::services::mint_key(&self.entry).await,
            (method, path) => {
                let reason = format!("{method} {path} is not served here.");
                Err(Failure::before_work(FailureKind::UnknownRoute, reason))
            }
        }
    }

    fn context(&self, headers: &HeaderMap) -> Result<CallerContext, Failure> {
        let organisation = authenticate(&self.entry, headers)?;
        let request_id = request_id(&self.entry, headers)?;
        let trace = TraceContext::from_headers(headers, &mut self.entry.rng.borrow_mut());
        Ok(CallerContext {
            organisation,
            request_id,
            trace,
            headers: headers.clone(),
            received_at: Instant::now(),
        })
    }

    async fn generate(
        &self,
        context: CallerContext,
        body: &[u8],
    ) -> Result<Response<ReplyBody>, Failure> {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(|e| {
            Failure::before_work(FailureKind::MalformedBody, format!("The body is not read: {e}."))
        })?;
        let (policy, layers) = self.find_pipeline(&context, &chat.model)?;
        let request = self.plan(&context, &chat, &policy, layers).await?;
        let admitted = self.admit(&context, &request, &policy)?;
        let prompt_tokens = request.plan.prompt.len() as u32;
        let (outbox, outbox_body) = Outbox::new();
        let (head_sender, head) = smol::channel::bounded(1);
        let uid = request.plan.uid;
        let answer_id = format!("chatcmpl-{uid}");
        let span = context.trace.span(&context.request_id, &context.organisation);
        let sink = Sink::new(
            chat.stream,
            outbox,
            head_sender,
            answer_id.clone(),
            chat.model.clone(),
            span,
        );
        let id = execution_id(uid, request.plan.attempt);
        let progress = Progress::new(context.request_id.clone());
        self.entry.stop.generations.register(id, request.mailbox.clone(), progress.clone());
        let entry = self.entry.clone();
        let task = async move {
            execute(entry.clone(), request, progress, sink).await;
            entry.stop.generations.unregister(id);
            drop(admitted);
        };
        self.entry.executor.spawn(task).detach();
        let head = head.recv().await.unwrap_or_else(|_| {
            let reason = "The caller has gone.";
            Err(Failure::new(FailureKind::CallerStalled, RunState::Unknown, reason))
        })?;
        let mut reply = match head {
            ReplyHead::Stream => stream_reply(outbox_body),
            ReplyHead::Complete { text, tokens, reason } => {
                let answer =
                    complete_answer(&answer_id, &chat.model, text, prompt_tokens, tokens, reason);
                json_reply(StatusCode::OK, &answer)
            }
        };
        let headers = reply.headers_mut();
        headers.insert("traceparent", context.trace.header());
        if let Ok(id) = HeaderValue::from_str(&context.request_id) {
            headers.insert("x-request-id", id);
        }
        Ok(reply)
    }

    /// The pipeline's policy and number of layers, if the organisation may call it.
    fn find_pipeline(&self, context: &CallerContext, name: &str) -> Result<(Policy, u16), Failure> {
        let tree = self.entry.tree.borrow();
        let found = tree
            .pipeline(name)
            .filter(|pipeline| tree.may_call(&context.organisation, &pipeline.parent));
        let Some(pipeline) = found else {
            let reason = format!("There is no pipeline '{name}' for this organisation.");
            return Err(Failure::before_work(FailureKind::UnknownTarget, reason));
        };
        Ok((tree.effective(&format!("pipeline/{name}")).policy, pipeline.layers))
    }

    /// Admits a planned request; on refusal it releases the endpoints of its chain.
    fn admit(
        &self,
        context: &CallerContext,
        request: &ExecutionRequest,
        policy: &Policy,
    ) -> Result<AdmissionGuard, Failure> {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let known_tokens = request.plan.known.len() as u32;
        let tokens = request.plan.max_tokens.saturating_sub(known_tokens);
        let prompt = request.plan.prompt.len() as u32 + known_tokens;
        let forecast = {
            let table = self.entry.table.borrow();
            Forecast {
                predicted: table.predict(&request.chain, prompt, tokens),
                backlog: table.backlog(&request.chain),
                deadline: remaining,
            }
        };
        let admitted = AdmissionGuard::new(
            &self.entry,
            &context.organisation,
            u64::from(request.kv_tokens),
            policy.queue_tokens,
            forecast,
        );
        if admitted.is_err() {
            request.chain.iter().for_each(|link| self.entry.release_endpoint(link.endpoint));
        }
        admitted
    }

    async fn plan(
        &self,
        context: &CallerContext,
        chat: &ChatRequest,
        policy: &Policy,
        layers: u16,
    ) -> Result<ExecutionRequest, Failure> {
        let prompt = chat.prompt();
        if prompt.is_empty() {
            let reason = "The messages hold no word.";
            return Err(Failure::before_work(FailureKind::MalformedBody, reason));
        }
        let max_tokens = u64::from(chat.max_tokens.unwrap_or(256)).min(policy.max_answer_tokens);
        let deadline = request_timeout(&context.headers, policy.deadline_ms)?;
        if deadline.is_zero() {
            let reason = "The deadline had passed when the request came.";
            return Err(Failure::before_work(FailureKind::DeadlineExceeded, reason));
        }
        let delivered = number_header(&context.headers, "last-event-id")?.unwrap_or(0);
        let uid = RequestUid::derive(&context.organisation, &context.request_id);
        let kv_tokens = prompt.len() as u32 + max_tokens as u32;
        let mut known = match delivered {
            0 => Vec::new(),
            _ => crate::resume::known_tokens(&self.entry, &chat.model, uid, &prompt).await,
        };
        known.truncate(max_tokens as usize);
        let chain = self.entry.reserve_chain(&ChainRequest {
            pipeline: &chat.model,
            layers: LayerRange { first: 0, end: layers },
            kv_tokens,
            prefill_tokens: (prompt.len() + known.len()) as u32,
            tokens: max_tokens as u32 - known.len() as u32,
            excluded: None,
        });
        let Some(chain) = chain else {
            let reason = format!("No chain of endpoints covers pipeline '{}'.", chat.model);
            return Err(Failure::before_work(FailureKind::NoChain, reason).retry_after(RETRY_AFTER));
        };
        let plan = Plan {
            uid,
            attempt: self.first_attempt(),
            seed: chat.seed.unwrap_or_else(|| uid.seed()),
            priority: chat.priority.map_or(policy.priority as u8, |priority| priority.min(9)),
            prompt,
            known,
            delivered_tokens: delivered.min(u64::from(u32::MAX)) as u32,
            max_tokens: max_tokens as u32,
            end_token: sillbank_model::END_TOKEN,
            stages: chain.iter().map(|link| link.layers).collect(),
            max_losses: policy.max_losses as u32,
        };
        Ok(ExecutionRequest {
            plan,
            chain,
            pipeline: chat.model.clone(),
            kv_tokens,
            deadline: context.received_at + deadline,
            mailbox: Mailbox::default(),
        })
    }

    /// The first attempt number: wall-clock milliseconds in the high bits, random low bits. It is
    /// greater than the attempts of earlier VMs unless this VM's clock lags; in that case the
    /// engine's refusal names the number to exceed.
    fn first_attempt(&self) -> Attempt {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let millis = since_epoch.map_or(0, |time| time.as_millis() as u64);
        let random = self.entry.rng.borrow_mut().u64(..ATTEMPT_INCREMENT);
        millis << ATTEMPT_RANDOM_BITS | random
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        match self.answer(request).await {
            Ok(reply) => reply,
            Err(failure) => {
                self.entry.metrics.count_failure(&failure);
                let mut reply = failure_reply(&failure);
                if failure.kind == FailureKind::Stopping {
                    reply.headers_mut().insert("connection", HeaderValue::from_static("close"));
                }
                reply
            }
        }
    }
}

fn stream_reply(body: sillbank_net::body::OutboxBody) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::Stream(body));
    let headers = reply.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    reply
}

/// Input of admission control about one request.
pub(crate) struct Forecast {
    /// Predicted time until the request ends, if it can be predicted.
    pub(crate) predicted: Option<Duration>,
    /// Waiting steps for each step in a batch, at the most loaded engine of the chain.
    pub(crate) backlog: f64,
    /// Time left until the request's deadline.
    pub(crate) deadline: Duration,
}

/// An admitted request; dropping the guard releases its share of the VM's limits.
pub(crate) struct AdmissionGuard {
    entry: Rc<Entry>,
    organisation: OrganisationId,
    work_tokens: u64,
}

impl AdmissionGuard {
    /// Admits a request, or refuses it with a retry-after time.
    pub(crate) fn new(
        entry: &Rc<Entry>,
        organisation: &str,
        work_tokens: u64,
        limit_tokens: u64,
        forecast: Forecast,
    ) -> Result<Self, Failure> {
        let policy = entry.tree.borrow().effective(&format!("organisation/{organisation}")).policy;
        let request = AdmissionRequest {
            organisation,
            weight: policy.weight,
            work_tokens,
            predicted: forecast.predicted,
            deadline: forecast.deadline,
            backlog: forecast.backlog,
            limit_tokens,
            limit_requests: policy.max_in_flight,
        };
        entry.admission.borrow_mut().admit(&request).map_err(|refusal| {
            let reason = match refusal.reason {
                RefusalReason::DeadlineUnreachable => "It cannot end in time now.",
                RefusalReason::TooManyTokens => "The VM has as many tokens in work as it may.",
                RefusalReason::TooManyRequests => {
                    "The organisation has as many requests as it may."
                }
            };
            Failure::before_work(FailureKind::Overloaded, reason).retry_after(refusal.retry_after)
        })?;
        entry.metrics.in_flight.inc();
        Ok(Self { entry: entry.clone(), organisation: organisation.to_owned(), work_tokens })
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.entry.metrics.in_flight.dec();
        self.entry.admission.borrow_mut().release(&self.organisation, self.work_tokens);
    }
}
