//! Failures returned to callers, each with a code, a reason and a remedy.

use crate::run::RunState;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind of failure. Each kind has a code and a page in `docs/errors/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The request body is invalid.
    MalformedBody,
    /// The body exceeds its size limit.
    TooLarge,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The organisation has no pipeline or service of this name.
    UnknownTarget,
    /// The path or method is unknown.
    UnknownRoute,
    /// No chain of endpoints covers all layers of the model.
    NoChain,
    /// There is not enough capacity to complete the request in time.
    Overloaded,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// Endpoints were lost more often than the retry budget allows.
    EndpointsLost,
    /// A service did not answer, or its answer was lost on the way.
    ServiceLost,
    /// The idempotency key of an at-most-once call was used before.
    AlreadyClaimed,
    /// It cannot be determined whether the key of an at-most-once call was used before.
    ClaimUnknown,
    /// The key of an at-most-once call cannot be checked now; the call was not run.
    ClaimUnavailable,
    /// The VM is stopping.
    Stopping,
    /// The VM has no settings yet.
    NotReady,
    /// The caller stopped reading the answer.
    CallerStalled,
    /// The request was not received completely within its time limit.
    RequestTimeout,
    /// The caller resumed the request at another VM, which continues it.
    TakenOver,
    /// The VM has reached one of its own resource limits and accepts no more requests for now.
    VmAtLimit,
    /// Endpoints crashed repeatedly while running this request, so it is quarantined.
    Quarantined,
    /// The head of the request exceeds its size limit.
    HeadTooLarge,
}

impl FailureKind {
    /// All kinds.
    pub const ALL: [Self; 21] = [
        Self::MalformedBody,
        Self::TooLarge,
        Self::UnknownKey,
        Self::UnknownTarget,
        Self::UnknownRoute,
        Self::NoChain,
        Self::Overloaded,
        Self::DeadlineExceeded,
        Self::EndpointsLost,
        Self::ServiceLost,
        Self::AlreadyClaimed,
        Self::ClaimUnknown,
        Self::Stopping,
        Self::NotReady,
        Self::CallerStalled,
        Self::RequestTimeout,
        Self::TakenOver,
        Self::ClaimUnavailable,
        Self::VmAtLimit,
        Self::Quarantined,
        Self::HeadTooLarge,
    ];

    /// Code of the failure, which names its page in `docs/errors/`.
    pub fn code(self) -> &'static str {
        match self {
            Self::MalformedBody => "SB0001",
            Self::TooLarge => "SB0002",
            Self::UnknownKey => "SB0003",
            Self::UnknownTarget => "SB0004",
            Self::UnknownRoute => "SB0005",
            Self::NoChain => "SB0006",
            Self::Overloaded => "SB0007",
            Self::DeadlineExceeded => "SB0008",
            Self::EndpointsLost => "SB0009",
            Self::ServiceLost => "SB0010",
            Self::AlreadyClaimed => "SB0011",
            Self::ClaimUnknown => "SB0012",
            Self::Stopping => "SB0013",
            Self::NotReady => "SB0014",
            Self::CallerStalled => "SB0015",
            Self::RequestTimeout => "SB0016",
            Self::TakenOver => "SB0017",
            Self::ClaimUnavailable => "SB0018",
            Self::VmAtLimit => "SB0019",
            Self::Quarantined => "SB0020",
            Self::HeadTooLarge => "SB0021",
        }
    }

    /// HTTP status of the response.
    pub fn http_status(self) -> u16 {
        match self {
            Self::MalformedBody => 400,
            Self::TooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::UnknownKey => 401,
            Self::UnknownTarget | Self::UnknownRoute => 404,
            Self::AlreadyClaimed | Self::ClaimUnknown | Self::TakenOver => 409,
            Self::Overloaded => 429,
            Self::CallerStalled | Self::RequestTimeout => 408,
            Self::DeadlineExceeded => 504,
            Self::EndpointsLost | Self::ServiceLost => 502,
            Self::NoChain
            | Self::Stopping
            | Self::NotReady
            | Self::ClaimUnavailable
            | Self::VmAtLimit
            | Self::Quarantined => 503,
        }
    }

    /// What the caller can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::MalformedBody => "Correct the body as the reason says and send it again.",
            Self::TooLarge => "Send a shorter body.",
            Self::HeadTooLarge => "Send shorter or fewer headers, or a shorter path.",
            Self::UnknownKey => "Send 'Authorization: Bearer KEY' with a key of your organisation.",
            Self::UnknownTarget => "Check the name, or ask the operator to place it under you.",
            Self::UnknownRoute => "Use POST /v1/chat/completions or /v1/services/NAME/PATH.",
            Self::NoChain => "Come back after Retry-After; tell the operator if it lasts.",
            Self::Overloaded => "Come back after Retry-After.",
            Self::DeadlineExceeded => "Allow more time with X-Deadline-Ms, or ask for less.",
            Self::EndpointsLost => "Send the request again with its X-Request-Id.",
            Self::ServiceLost => "Send it again only if 'run' is 'not_run'; else check first.",
            Self::AlreadyClaimed => "Do not send it again; use a new key for a new call.",
            Self::ClaimUnknown => "Check whether it happened; then use a new key if it did not.",
            Self::Stopping => "Send it again; the balancer will choose another VM.",
            Self::NotReady => "Come back after Retry-After.",
            Self::CallerStalled => "Read the answer as it comes; resume with Last-Event-ID.",
            Self::RequestTimeout => "Send the whole request without a pause.",
            Self::ClaimUnavailable => "Come back after Retry-After with the same key.",
            Self::VmAtLimit => "Come back after Retry-After; the balancer may choose another VM.",
            Self::Quarantined => "Change the request, or come back after Retry-After.",
            Self::TakenOver => "Read the answer on the newer connection.",
        }
    }
}

/// A failure as returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {reason} {}", kind.code(), kind.remedy())]
pub struct Failure {
    /// Kind, which determines code, status and remedy.
    pub kind: FailureKind,
    /// Whether the work was run, as far as is known.
    pub run: RunState,
    /// What happened, in one sentence.
    pub reason: String,
    /// After what time a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure that occurred before any work was sent from this process.
    pub fn before_work(kind: FailureKind, reason: impl Into<String>) -> Self {
        Self::new(kind, RunState::NotRun, reason)
    }

    /// Creates a failure with the given run state.
    pub fn new(kind: FailureKind, run: RunState, reason: impl Into<String>) -> Self {
        Self { kind, run, reason: reason.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
