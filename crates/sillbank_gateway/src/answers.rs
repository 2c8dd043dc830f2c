//! Final answers of the gateway's own, chosen by what is known of the work.

use crate::decisions::Outcome;
use crate::wire::Wire;
use hyper::Response;
use hyper::header::RETRY_AFTER;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::failures::failure_reply;
use sillbank_net::prelude::*;
use std::time::Duration;

/// When to come back if a VM does not know enough to serve: about when it has asked again.
pub const COME_BACK_UNINFORMED: Duration = Duration::from_millis(500);
/// When to come back if no endpoint can be used: about when an ejection ends.
pub const COME_BACK_NO_ENDPOINT: Duration = Duration::from_millis(700);

/// When to come back if the VM is at a limit of its own: its figures are of about a second.
pub const COME_BACK_AT_LIMIT: Duration = Duration::from_millis(1_000);

/// A failure as a reply with the platform's form of `Retry-After`.
pub fn reply_of<W: Wire>(failure: &Failure) -> Response<ReplyBody> {
    let mut reply = failure_reply(failure);
    if let Some(after) = failure.retry_after {
        reply.headers_mut().insert(RETRY_AFTER, W::retry_after(after));
    }
    reply
}

/// Gives a request up: a refusal with a time to come back if it is proved that it was not run,
/// else a failure that promises nothing.
pub fn give_up(run: RunLog, refusal: FailureKind, reason: &str) -> Failure {
    match run.not_run_evidence() {
        Some(_) => Failure::before_work(refusal, reason).retry_after(COME_BACK_NO_ENDPOINT),
        None => Failure::new(FailureKind::ServiceLost, run.state(), reason),
    }
}

/// Lets a caller who is told when to come back do so no sooner than after `least`: before that it would be refused again.
pub fn not_before(failure: Failure, least: Option<Duration>) -> Failure {
    match (failure.retry_after, least) {
        (Some(after), Some(least)) => failure.retry_after(after.max(least)),
        _ => failure,
    }
}

/// Ends a request whose time is over.
pub fn out_of_time(run: RunLog) -> Failure {
    let reason = "its time was over before an answer came";
    match run.not_run_evidence() {
        Some(_) => give_up(run, FailureKind::NoChain, reason),
        None => Failure::new(FailureKind::DeadlineExceeded, run.state(), reason),
    }
}

/// Whether a status promises that a request was not run and will not be.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// How a failure counts.
pub fn outcome_of(failure: &Failure) -> Outcome {
    match failure.run {
        RunState::NotRun => Outcome::Refused,
        RunState::Unknown | RunState::Ran => Outcome::Failed,
    }
}
