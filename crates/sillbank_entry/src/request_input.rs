//! Reads and checks callers' input: body, key, headers.

use crate::state::Entry;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, HeaderMap};
use sillbank_core::prelude::*;
use sillbank_settings::objects::hash_key;
use smol::Timer;
use std::time::Duration;

/// Maximum length of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Reads a complete body, within the limits on size and time.
pub(crate) async fn read_body(entry: &Entry, body: Incoming) -> Result<Bytes, Failure> {
    let limit = entry.settings.max_body_bytes;
    let too_large = || {
        let reason = format!("The body is longer than {limit} bytes.");
        Failure::before_work(FailureKind::TooLarge, reason)
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let complete = async {
        match Limited::new(body, limit).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
            Err(error) => {
                let reason = format!("The body ended early: {error}.");
                Err(Failure::before_work(FailureKind::MalformedBody, reason))
            }
        }
    };
    let timed_out = async {
        let timeout = entry.settings.body_timeout;
        Timer::after(timeout).await;
        let reason = format!("The body was not whole after {} ms.", timeout.as_millis());
        Err(Failure::before_work(FailureKind::RequestTimeout, reason))
    };
    futures_lite::future::or(complete, timed_out).await
}

/// The organisation of the bearer key. The failure for an unknown key reveals nothing else.
pub(crate) fn authenticate(entry: &Entry, headers: &HeaderMap) -> Result<OrganisationId, Failure> {
    let unknown = || Failure::before_work(FailureKind::UnknownKey, "The key is not known.");
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(unknown)?;
    let tree = entry.tree.borrow();
    tree.organisation_of_key(&hash_key(key)).map(str::to_owned).ok_or_else(unknown)
}

/// The caller's request id, or a random one.
pub(crate) fn request_id(entry: &Entry, headers: &HeaderMap) -> Result<String, Failure> {
    let Some(value) = headers.get("x-request-id") else {
        return Ok(format!("{:032x}", entry.rng.borrow_mut().u128(..)));
    };
    match value.to_str() {
        Ok(text) if (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) => Ok(text.to_owned()),
        _ => {
            let reason =
                format!("X-Request-Id is not 1 to {MAX_REQUEST_ID_BYTES} plain characters.");
            Err(Failure::before_work(FailureKind::MalformedBody, reason))
        }
    }
}

/// Reads a header that holds an unsigned integer.
pub(crate) fn number_header(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(|| {
        let reason = format!("The header {name} is not a whole number.");
        Failure::before_work(FailureKind::MalformedBody, reason)
    })
}

/// Time for the request: the caller's `x-deadline-ms`, at most the policy's deadline.
pub(crate) fn request_timeout(headers: &HeaderMap, policy_ms: u64) -> Result<Duration, Failure> {
    let requested = number_header(headers, "x-deadline-ms")?;
    Ok(Duration::from_millis(requested.map_or(policy_ms, |ms| ms.min(policy_ms))))
}
