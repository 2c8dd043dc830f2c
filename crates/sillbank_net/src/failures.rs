//! HTTP representation of failures.

use crate::body::{ReplyBody, reply};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use sillbank_core::prelude::*;

/// Serializes a failure as JSON.
pub fn failure_json(failure: &Failure) -> String {
    let retry_after_ms = failure.retry_after.map(|after| after.as_millis() as u64);
    serde_json::json!({
        "error": {
            "code": failure.kind.code(),
            "kind": failure.kind,
            "run": failure.run,
            "message": failure.reason,
            "remedy": failure.kind.remedy(),
            "retry_after_ms": retry_after_ms,
        }
    })
    .to_string()
}

/// Creates the reply for a failure.
pub fn failure_reply(failure: &Failure) -> Response<ReplyBody> {
    let status = StatusCode::from_u16(failure.kind.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = reply(status, "application/json", failure_json(failure).into());
    if let Some(after) = failure.retry_after {
        let seconds = after.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
