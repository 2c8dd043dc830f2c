//! Calls to the platform's object API.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use prometheus_client::metrics::counter::Counter;
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::{Listing, Object, Version};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for an ordinary call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of the heads of a request and its reply, about.
const HEAD_BYTES: u64 = 300;
/// Time for reading everything.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// Where settings stand among all objects.
pub(crate) const SETTINGS_PREFIX: &str = "settings/";

/// Why the platform gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// There was no answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// It refused.
    #[error("the platform answered {0}; the call is made again later")]
    Status(StatusCode),
    /// The answer is not readable.
    #[error("the platform's answer is not readable ({0}); check its version")]
    Malformed(#[from] serde_json::Error),
}

/// What the platform answered to a conditional write.
#[derive(Debug)]
pub(crate) enum WriteAnswer {
    /// It is written; this is the new state.
    Written(Object),
    /// The condition did not hold; this is what is there.
    Changed(Option<Object>),
}

/// Makes calls to the platform.
#[derive(Debug, Clone)]
pub(crate) struct PlatformClient {
    http: HttpClient,
    address: SocketAddr,
    /// Bytes to and from the platform, heads estimated.
    pub(crate) bytes: Counter,
}

impl PlatformClient {
    pub(crate) fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address, bytes: Counter::default() }
    }

    /// Every settings object.
    pub(crate) async fn list(&self) -> Result<Listing, PlatformError> {
        self.get(&format!("/list?prefix={SETTINGS_PREFIX}"), LIST_TIMEOUT).await
    }

    /// Every object with a prefix.
    pub(crate) async fn list_prefix(&self, prefix: &str) -> Result<Listing, PlatformError> {
        self.get(&format!("/list?prefix={prefix}"), CALL_TIMEOUT).await
    }

    /// What changed in settings after a version; waits for a change, at most `wait`.
    pub(crate) async fn watch(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={SETTINGS_PREFIX}&after={after}&wait_ms={wait_ms}");
        self.get(&path, wait + CALL_TIMEOUT).await
    }

    /// Reads one object, a deleted one too.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let call = request(Method::GET, &format!("/objects/{key}"), Bytes::new());
        let reply = self.http.call(self.address, call, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.json()?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Writes one object if it is still as expected: at a version, or absent.
    pub(crate) async fn write(
        &self,
        key: &str,
        expected: Option<Version>,
        value: Option<&str>,
    ) -> Result<WriteAnswer, PlatformError> {
        let method = if value.is_some() { Method::PUT } else { Method::DELETE };
        let body = Bytes::copy_from_slice(value.unwrap_or_default().as_bytes());
        let mut call = request(method, &format!("/objects/{key}"), body);
        match expected {
            Some(version) => call.headers_mut().insert("if-match", HeaderValue::from(version)),
            None => call.headers_mut().insert("if-none-match", HeaderValue::from_static("*")),
        };
        let reply = self.http.call(self.address, call, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(WriteAnswer::Written(reply.json()?)),
            StatusCode::PRECONDITION_FAILED => Ok(WriteAnswer::Changed(reply.json()?)),
            status => Err(PlatformError::Status(status)),
        }
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Listing, PlatformError> {
        let call = request(Method::GET, path, Bytes::new());
        let reply = self.http.call(self.address, call, timeout).await?;
        self.bytes.inc_by(HEAD_BYTES + reply.body.len() as u64);
        if reply.status != StatusCode::OK {
            return Err(PlatformError::Status(reply.status));
        }
        let mut listing: Listing = reply.json()?;
        listing.objects = listing.objects.into_iter().map(without_prefix).collect();
        Ok(listing)
    }
}

/// Takes the prefix off a key: inside sillbank a settings object goes by its own name.
pub(crate) fn without_prefix(mut object: Object) -> Object {
    if let Some(key) = object.key.strip_prefix(SETTINGS_PREFIX) {
        object.key = key.to_owned();
    }
    object
}
