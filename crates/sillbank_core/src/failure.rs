//! The failures a caller may be given, each with a number, a reason and a remedy.

use crate::run::RunState;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind of failure. The number is the page in `docs/errors/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The body is not what the interface takes.
    MalformedBody,
    /// The body or a header is longer than allowed.
    TooLarge,
    /// The key is missing or not known.
    UnknownKey,
    /// The pipeline or service is not known to this organisation.
    UnknownTarget,
    /// The path or method is not known.
    UnknownRoute,
    /// No chain of endpoints covers the model.
    NoChain,
    /// There is no room to end the request in time.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// Endpoints were lost more often than the retry budget allows.
    EndpointsLost,
    /// A service did not answer, or its answer was lost.
    ServiceLost,
    /// The key of a call not to be repeated was used before.
    AlreadyClaimed,
    /// It cannot be known whether the key of a call not to be repeated was used before.
    ClaimUnknown,
    /// Whether the key is new cannot be asked now; the call was not run.
    ClaimUnavailable,
    /// The VM is stopping.
    Stopping,
    /// The VM has no settings yet.
    NotReady,
    /// The caller stopped reading.
    CallerStalled,
    /// A half-sent request reached its time limit.
    RequestTimeout,
    /// The caller came back to another VM, which goes on with the request.
    TakenOver,
    /// The VM is at a limit of its own and takes no more for now.
    VmAtLimit,
    /// Endpoints ended under this request again and again; it is held back.
    Quarantined,
}

impl FailureKind {
    /// Every kind, in order of its number.
    pub const ALL: [Self; 20] = [
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
    ];

    /// Number of the page that explains it.
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
        }
    }

    /// HTTP status that goes with it.
    pub fn http_status(self) -> u16 {
        match self {
            Self::MalformedBody => 400,
            Self::TooLarge => 413,
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
            Self::TooLarge => "Send a shorter body or shorter headers.",
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

/// A failure as a caller gets it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {reason} {}", kind.code(), kind.remedy())]
pub struct Failure {
    /// Kind, with number and remedy.
    pub kind: FailureKind,
    /// What is known of the work.
    pub run: RunState,
    /// One sentence on what happened.
    pub reason: String,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure found before any work left this process.
    pub fn before_work(kind: FailureKind, reason: impl Into<String>) -> Self {
        Self::new(kind, RunState::NotRun, reason)
    }

    /// A failure with a stated run state.
    pub fn new(kind: FailureKind, run: RunState, reason: impl Into<String>) -> Self {
        Self { kind, run, reason: reason.into(), retry_after: None }
    }

    /// The same failure with a time to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
