//! A caller: sends a request as client libraries would, resumes an answer that broke off, and
//! notes what it got and when.

use crate::mix::{Work, WorkKind};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use smol::{LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Tries at one request, resumptions included.
const MAX_TRIES: u32 = 8;

/// How much longer than its deadline a caller waits for the answer that says so.
const GRACE: Duration = Duration::from_secs(2);

/// Number of the failure after which the same answer can be asked for again.
const ENDPOINTS_LOST: &str = "SB0009";

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Got {
    /// The request.
    pub work: Work,
    /// When it was first sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// When each token came.
    pub token_times: Vec<Instant>,
    /// Text of the answer so far.
    pub text: String,
    /// How it ended.
    pub end: End,
    /// Tries it took, resumptions included.
    pub tries: u32,
    /// How quickly the first refusal came, if there was one.
    pub refused_after: Option<Duration>,
}

/// How a request ended for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Whole,
    /// A failure, and what it said of the work.
    Failed {
        /// Number of the failure.
        code: String,
        /// What was said of the work.
        run: RunState,
    },
}

/// Tokens an answer has so far, for who watches it.
pub type Progress = Rc<Cell<usize>>;

/// How one try ended.
enum Try {
    Whole,
    /// Broke off, handed over, or refused for now: come again with what is there.
    Again(Duration, Option<End>),
    Failed(String, RunState),
}

/// Sends requests to the entries of a fleet, as through a balancer.
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
    /// A caller of these entries. The seed decides which entry each try goes to.
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

    /// The same caller with another patience.
    pub fn with_patience(&self, deadline: Duration, max_tries: u32) -> Self {
        Self { deadline, max_tries, ..self.clone() }
    }

    /// Carries a request through to its end.
    pub async fn carry(&self, work: Work) -> Got {
        self.carry_watched(work, None, Progress::default()).await
    }

    /// Carries a request through to its end, beginning at a stated entry, and tells how many
    /// tokens have come.
    pub async fn carry_watched(
        &self,
        work: Work,
        first_entry: Option<usize>,
        progress: Progress,
    ) -> Got {
        let sent_at = Instant::now();
        let mut got = Got {
            work,
            sent_at,
            ended_at: sent_at,
            token_times: Vec::new(),
            text: String::new(),
            end: End::Failed { code: "tries".to_owned(), run: RunState::Unknown },
            tries: 0,
            refused_after: None,
        };
        while got.tries < self.max_tries {
            got.tries += 1;
            let drawn = self.rng.borrow_mut().usize(..self.entries.len());
            let entry = self.entries[first_entry.filter(|_| got.tries == 1).unwrap_or(drawn)];
            let tried_at = Instant::now();
            let tried = match got.work.kind.clone() {
                WorkKind::Generate { .. } => self.try_generate(entry, &mut got, &progress).await,
                WorkKind::Call { service, path, repeatable } => {
                    self.try_call(entry, &got, &service, &path, repeatable).await
                }
            };
            match tried {
                Try::Whole => got.end = End::Whole,
                Try::Failed(code, run) => got.end = End::Failed { code, run },
                Try::Again(after, end) => {
                    if matches!(end, Some(End::Failed { run: RunState::NotRun, .. })) {
                        got.refused_after.get_or_insert(tried_at.elapsed());
                    }
                    got.end = end.unwrap_or(got.end);
                    if got.tries < self.max_tries {
                        Timer::after(after).await;
                    }
                    continue;
                }
            }
            break;
        }
        got.ended_at = Instant::now();
        got
    }

    async fn try_generate(&self, entry: SocketAddr, got: &mut Got, progress: &Progress) -> Try {
        let soon = again_soon();
        let Ok(mut sender) = sillbank_net::client::connect(&self.executor, entry).await else {
            return soon;
        };
        let deadline = Timer::after(self.deadline + GRACE);
        let exchange = async {
            match sender.send_request(self.generate_request(got)).await {
                Ok(response) if response.status().is_success() => {
                    read_events(response, got, progress).await
                }
                Ok(response) => read_failure(response).await,
                Err(_) => soon,
            }
        };
        let late = async {
            deadline.await;
            Try::Failed("caller_deadline".to_owned(), RunState::Unknown)
        };
        futures_lite::future::or(exchange, late).await
    }

    fn generate_request(&self, got: &Got) -> Request<ReplyBody> {
        let WorkKind::Generate { pipeline, prompt, max_tokens, priority } = &got.work.kind else {
            return Request::new(ReplyBody::Full(Full::default()));
        };
        let body = serde_json::json!({
            "model": pipeline,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "priority": priority,
            "stream": true,
        });
        let mut request = sillbank_net::client::request(
            Method::POST,
            "/v1/chat/completions",
            Bytes::from(body.to_string()),
        );
        self.add_headers(&mut request, got);
        if !got.token_times.is_empty() {
            let delivered = got.token_times.len().to_string();
            if let Ok(value) = delivered.parse() {
                request.headers_mut().insert("last-event-id", value);
            }
        }
        request.map(|body| ReplyBody::Full(Full::new(body)))
    }

    async fn try_call(
        &self,
        entry: SocketAddr,
        got: &Got,
        service: &str,
        path: &str,
        repeatable: bool,
    ) -> Try {
        let path = format!("/v1/services/{service}/{path}");
        let mut request =
            sillbank_net::client::request(Method::POST, &path, Bytes::from_static(b"{}"));
        self.add_headers(&mut request, got);
        if !repeatable {
            let flag = hyper::header::HeaderValue::from_static("true");
            request.headers_mut().insert("x-not-repeatable", flag);
        }
        match self.http.call(entry, request, self.deadline + GRACE).await {
            Ok(reply) if reply.status.is_success() => Try::Whole,
            Ok(reply) => match failure_of(&reply.body) {
                (code, run @ RunState::NotRun, Some(after)) => {
                    Try::Again(after, Some(End::Failed { code, run }))
                }
                (code, run, _) => Try::Failed(code, run),
            },
            Err(CallError::NotSent { .. }) => again_soon(),
            Err(CallError::Lost { .. }) if repeatable => again_soon(),
            Err(CallError::Lost { .. }) => Try::Failed("lost".to_owned(), RunState::Unknown),
        }
    }

    fn add_headers(&self, request: &mut Request<Bytes>, got: &Got) {
        let headers = request.headers_mut();
        if let Ok(value) = format!("Bearer {}", got.work.key).parse() {
            headers.insert("authorization", value);
        }
        if let Ok(value) = got.work.request_id.parse() {
            headers.insert("x-request-id", value);
        }
        if let Ok(value) = self.deadline.as_millis().to_string().parse() {
            headers.insert("x-deadline-ms", value);
        }
    }
}

async fn read_failure(response: Response<Incoming>) -> Try {
    let Ok(body) = response.into_body().collect().await else {
        return again_soon();
    };
    match failure_of(&body.to_bytes()) {
        (code, run @ RunState::NotRun, Some(after)) => {
            Try::Again(after, Some(End::Failed { code, run }))
        }
        (code, run, _) => Try::Failed(code, run),
    }
}

fn again_soon() -> Try {
    Try::Again(Duration::from_millis(20), None)
}

/// Code, run state and time to come back of a failure's body.
fn failure_of(body: &[u8]) -> (String, RunState, Option<Duration>) {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let code = error["code"].as_str().unwrap_or("unreadable").to_owned();
    let run = serde_json::from_value(error["run"].clone()).unwrap_or(RunState::Unknown);
    let after = error["retry_after_ms"].as_u64().map(Duration::from_millis);
    (code, run, after)
}

async fn read_events(response: Response<Incoming>, got: &mut Got, progress: &Progress) -> Try {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        let now = Instant::now();
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = buffer.split_to(end + 2);
            if let Some(ended) = take_event(&event[..end], got, now) {
                return ended;
            }
            progress.set(got.token_times.len());
        }
    }
    Try::Again(Duration::from_millis(5), None)
}

/// Takes one event; answers how the try ended, if it did.
fn take_event(event: &[u8], got: &mut Got, now: Instant) -> Option<Try> {
    let text = std::str::from_utf8(event).unwrap_or_default();
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ")?;
    if data == "[DONE]" {
        return Some(Try::Whole);
    }
    match field("event: ") {
        Some("resume") => return Some(Try::Again(Duration::ZERO, None)),
        Some("error") => {
            let (code, run, after) = failure_of(data.as_bytes());
            return Some(match code == ENDPOINTS_LOST {
                true => Try::Again(after.unwrap_or_default(), Some(End::Failed { code, run })),
                false => Try::Failed(code, run),
            });
        }
        _ => {}
    }
    let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
        got.text.push_str(content);
        got.token_times.push(now);
    }
    None
}
