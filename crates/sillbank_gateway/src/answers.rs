//! Failures that the gateway answers itself, chosen by what is known of the request's execution.

use crate::decisions::Outcome;
use crate::wire::Wire;
use hyper::Response;
use hyper::header::RETRY_AFTER;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::failures::failure_reply;
use sillbank_net::prelude::*;
use std::time::Duration;

/// `Retry-After` of a VM that does not know enough to serve; it has asked the store or its leader
/// again by then.
pub const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(500);
/// `Retry-After` while no endpoint can be used: about the time until an ejection ends.
pub const RETRY_AFTER_NO_ENDPOINT: Duration = Duration::from_millis(700);

/// `Retry-After` of a VM at one of its limits, whose usage is averaged over about a second.
pub const RETRY_AFTER_AT_LIMIT: Duration = Duration::from_millis(1_000);

/// Builds the reply for a failure, with `Retry-After` in the platform's form.
pub fn failure_response<W: Wire>(failure: &Failure) -> Response<ReplyBody> {
    let mut reply = failure_reply(failure);
    if let Some(after) = failure.retry_after {
        reply.headers_mut().insert(RETRY_AFTER, W::retry_after(after));
    }
    reply
}

/// The final failure of a request: a refusal with `Retry-After` if it is proved that the request
/// was not run, otherwise a failure that guarantees nothing.
pub fn final_failure(run: RunLog, refusal: FailureKind, reason: &str) -> Failure {
    match run.not_run_evidence() {
        Some(_) => Failure::before_work(refusal, reason).retry_after(RETRY_AFTER_NO_ENDPOINT),
        None => Failure::new(FailureKind::ServiceLost, run.state(), reason),
    }
}

/// Raises a failure's `Retry-After` to at least `min_retry_after`, as the request would be refused
/// again before.
pub fn with_min_retry_after(failure: Failure, min_retry_after: Option<Duration>) -> Failure {
    match (failure.retry_after, min_retry_after) {
        (Some(retry_after), Some(min_retry_after)) => {
            failure.retry_after(retry_after.max(min_retry_after))
        }
        _ => failure,
    }
}

/// The failure of a request whose deadline has passed.
pub fn deadline_failure(run: RunLog) -> Failure {
    let reason = "its time was over before an answer came";
    match run.not_run_evidence() {
        Some(_) => final_failure(run, FailureKind::NoChain, reason),
        None => Failure::new(FailureKind::DeadlineExceeded, run.state(), reason),
    }
}

/// Whether a status guarantees that the request was not run and will not be.
pub fn guarantees_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// The outcome under which a failure is counted.
pub fn failure_outcome(failure: &Failure) -> Outcome {
    match failure.run {
        RunState::NotRun => Outcome::Refused,
        RunState::Unknown | RunState::Ran => Outcome::Failed,
    }
}
