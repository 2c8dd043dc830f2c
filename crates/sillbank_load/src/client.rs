//! A caller: sends a request as client libraries do, resumes an interrupted answer, and records
//! the result with its times.

use crate::mix::{RequestKind, RequestSpec};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use sillbank_core::prelude::*;
use sillbank_net::client::{request, request_to};
use sillbank_net::prelude::*;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum tries of one request, including resumptions.
const MAX_TRIES: u32 = 8;

/// Time that a caller waits past its deadline for the failure that reports it.
const DEADLINE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Failure code after which a caller resumes the answer.
const ENDPOINTS_LOST: &str = "SB0009";

/// A request with its result, as its caller saw it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request.
    pub spec: RequestSpec,
    /// Time of the first try.
    pub sent_at: Instant,
    /// Time when the request ended.
    pub ended_at: Instant,
    /// Arrival time of each token.
    pub token_times: Vec<Instant>,
    /// Text of the answer received so far.
    pub text: String,
    /// Outcome for the caller.
    pub outcome: Outcome,
    /// Number of tries, including resumptions.
    pub tries: u32,
    /// Time from a try to its refusal, for the first refusal.
    pub refused_after: Option<Duration>,
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// The request failed.
    Failed {
        /// Code of the failure.
        code: String,
        /// Whether the request ran, as far as the failure tells.
        run: RunState,
    },
}

/// Number of tokens received so far, shared with an observer.
pub type Progress = Rc<Cell<usize>>;

/// Outcome of one try.
enum TryOutcome {
    Complete,
    /// Interrupted, handed over or refused for now: retry after a pause and resume the answer.
    Retry(Duration, Option<Outcome>),
    Failed(String, RunState),
}

/// Sends requests to random entries of a fleet, as a load balancer would.
#[derive(Clone)]
pub struct Caller {
    executor: Rc<LocalExecutor<'static>>,
    http: HttpClient,
    entries: Rc<Vec<SocketAddr>>,
    rng: Rc<RefCell<fastrand::Rng>>,
    deadline: Duration,
    max_tries: u32,
}

impl Caller {
    /// Creates a caller. The seed determines the entry of each try.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        entries: Vec<SocketAddr>,
        seed: u64,
        deadline: Duration,
    ) -> Self {
        Self {
            http: HttpClient::new(executor.clone(), 16 << 20),
            executor,
            entries: Rc::new(entries),
            rng: Rc::new(RefCell::new(fastrand::Rng::with_seed(seed))),
            deadline,
            max_tries: MAX_TRIES,
        }
    }

    /// Returns the same caller with another deadline and number of tries.
    pub fn with_limits(&self, deadline: Duration, max_tries: u32) -> Self {
        Self { deadline, max_tries, ..self.clone() }
    }

    /// Sends a request, with retries and resumptions, until it ends.
    pub async fn execute(&self, spec: RequestSpec) -> RequestRecord {
        self.execute_with_progress(spec, None, Progress::default()).await
    }

    /// Like [`execute`](Self::execute), with the entry of the first try, if given, and the number
    /// of received tokens in `progress`.
    pub async fn execute_with_progress(
        &self,
        spec: RequestSpec,
        first_entry: Option<usize>,
        progress: Progress,
    ) -> RequestRecord {
        let sent_at = Instant::now();
        let mut record = RequestRecord {
            spec,
            sent_at,
            ended_at: sent_at,
            token_times: Vec::new(),
            text: String::new(),
            outcome: Outcome::Failed { code: "tries".to_owned(), run: RunState::Unknown },
            tries: 0,
            refused_after: None,
        };
        while record.tries < self.max_tries {
            record.tries += 1;
            let random = self.rng.borrow_mut().usize(..self.entries.len());
            let entry = self.entries[first_entry.filter(|_| record.tries == 1).unwrap_or(random)];
            let tried_at = Instant::now();
            let tried_outcome = match record.spec.kind.clone() {
                RequestKind::Generate { .. } => {
                    self.try_generate(entry, &mut record, &progress).await
                }
                RequestKind::Call { service, path, is_idempotent } => {
                    self.try_call(entry, &record, &service, &path, is_idempotent).await
                }
            };
            match tried_outcome {
                TryOutcome::Complete => record.outcome = Outcome::Complete,
                TryOutcome::Failed(code, run) => record.outcome = Outcome::Failed { code, run },
                TryOutcome::Retry(after, outcome) => {
                    if matches!(outcome, Some(Outcome::Failed { run: RunState::NotRun, .. })) {
                        record.refused_after.get_or_insert(tried_at.elapsed());
                    }
                    record.outcome = outcome.unwrap_or(record.outcome);
                    if record.tries < self.max_tries {
                        Timer::after(after).await;
                    }
                    continue;
                }
            }
            break;
        }
        record.ended_at = Instant::now();
        record
    }

    async fn try_generate(
        &self,
        entry: SocketAddr,
        record: &mut RequestRecord,
        progress: &Progress,
    ) -> TryOutcome {
        let soon = retry_soon();
        let Ok(mut sender) = sillbank_net::client::connect(&self.executor, entry).await else {
            return soon;
        };
        let deadline = Timer::after(self.deadline + DEADLINE_GRACE_PERIOD);
        let exchange = async {
            match sender.send_request(self.generate_request(record)).await {
                Ok(response) if response.status().is_success() => {
                    read_events(response, record, progress).await
                }
                Ok(response) => read_failure(response).await,
                Err(_) => soon,
            }
        };
        let timeout = async {
            deadline.await;
            TryOutcome::Failed("caller_deadline".to_owned(), RunState::Unknown)
        };
        futures_lite::future::or(exchange, timeout).await
    }

    fn generate_request(&self, record: &RequestRecord) -> Request<ReplyBody> {
        let RequestKind::Generate { pipeline, prompt, max_tokens, priority } = &record.spec.kind
        else {
            return Request::new(ReplyBody::Full(Full::default()));
        };
        let body = serde_json::json!({
            "model": pipeline,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "priority": priority,
            "stream": true,
        });
        let mut call = request(Method::POST, "/v1/chat/completions", Bytes::from(body.to_string()));
        self.add_headers(&mut call, record);
        if !record.token_times.is_empty() {
            let delivered = record.token_times.len().to_string();
            if let Ok(value) = delivered.parse() {
                call.headers_mut().insert("last-event-id", value);
            }
        }
        call.map(|body| ReplyBody::Full(Full::new(body)))
    }

    async fn try_call(
        &self,
        entry: SocketAddr,
        record: &RequestRecord,
        service: &str,
        path: &str,
        is_idempotent: bool,
    ) -> TryOutcome {
        let path = format!("/v1/services/{service}/{path}");
        let request = request_to(Method::POST, &path, Bytes::from_static(b"{}"));
        let mut request = match request {
            Ok(request) => request,
            Err(error) => return TryOutcome::Failed(error.to_string(), RunState::NotRun),
        };
        self.add_headers(&mut request, record);
        if !is_idempotent {
            let flag = hyper::header::HeaderValue::from_static("true");
            request.headers_mut().insert("x-not-repeatable", flag);
        }
        match self.http.call(entry, request, self.deadline + DEADLINE_GRACE_PERIOD).await {
            Ok(reply) if reply.status.is_success() => TryOutcome::Complete,
            Ok(reply) => match parse_failure(&reply.body) {
                (code, run @ RunState::NotRun, Some(after)) => {
                    TryOutcome::Retry(after, Some(Outcome::Failed { code, run }))
                }
                (code, run, _) => TryOutcome::Failed(code, run),
            },
            Err(CallError::NotSent { .. }) => retry_soon(),
            Err(CallError::Lost { .. }) if is_idempotent => retry_soon(),
            Err(CallError::Lost { .. }) => TryOutcome::Failed("lost".to_owned(), RunState::Unknown),
        }
    }

    fn add_headers(&self, request: &mut Request<Bytes>, record: &RequestRecord) {
        let headers = request.headers_mut();
        if let Ok(value) = format!("Bearer {}", record.spec.key).parse() {
            headers.insert("authorization", value);
        }
        if let Ok(value) = record.spec.request_id.parse() {
            headers.insert("x-request-id", value);
        }
        if let Ok(value) = self.deadline.as_millis().to_string().parse() {
            headers.insert("x-deadline-ms", value);
        }
    }
}

async fn read_failure(response: Response<Incoming>) -> TryOutcome {
    let Ok(body) = response.into_body().collect().await else {
        return retry_soon();
    };
    match parse_failure(&body.to_bytes()) {
        (code, run @ RunState::NotRun, Some(after)) => {
            TryOutcome::Retry(after, Some(Outcome::Failed { code, run }))
        }
        (code, run, _) => TryOutcome::Failed(code, run),
    }
}

fn retry_soon() -> TryOutcome {
    TryOutcome::Retry(Duration::from_millis(20), None)
}

/// Parses the code, run state and retry-after time from the body of a failure.
fn parse_failure(body: &[u8]) -> (String, RunState, Option<Duration>) {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let code = error["code"].as_str().unwrap_or("unreadable").to_owned();
    let run = serde_json::from_value(error["run"].clone()).unwrap_or(RunState::Unknown);
    let after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    (code, run, after)
}

async fn read_events(
    response: Response<Incoming>,
    record: &mut RequestRecord,
    progress: &Progress,
) -> TryOutcome {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        let now = Instant::now();
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = buffer.split_to(end + 2);
            if let Some(ended) = apply_event(&event[..end], record, now) {
                return ended;
            }
            progress.set(record.token_times.len());
        }
    }
    TryOutcome::Retry(Duration::from_millis(5), None)
}

/// Applies one event to the record; returns the outcome of the try if the event ends it.
fn apply_event(event: &[u8], record: &mut RequestRecord, now: Instant) -> Option<TryOutcome> {
    let text = std::str::from_utf8(event).unwrap_or_default();
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ")?;
    if data == "[DONE]" {
        return Some(TryOutcome::Complete);
    }
    match field("event: ") {
        Some("resume") => return Some(TryOutcome::Retry(Duration::ZERO, None)),
        Some("error") => {
            let (code, run, after) = parse_failure(data.as_bytes());
            return Some(match code == ENDPOINTS_LOST {
                true => TryOutcome::Retry(
                    after.unwrap_or_default(),
                    Some(Outcome::Failed { code, run }),
                ),
                false => TryOutcome::Failed(code, run),
            });
        }
        _ => {}
    }
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
        record.text.push_str(content);
        record.token_times.push(now);
    }
    None
}
