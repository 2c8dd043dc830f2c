//! Client of the platform's object API.

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use prometheus_client::metrics::counter::Counter;
use sillbank_net::client::{InvalidPath, request_to};
use sillbank_net::prelude::*;
use sillbank_protocol::platform::{Listing, Object, Version};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of calls other than full listings.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Estimated bytes of the headers of a request and its reply.
const ESTIMATED_HEADER_BYTES: u64 = 300;
/// Timeout of listing all settings objects.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// Key prefix of settings among all objects.
pub(crate) const SETTINGS_PREFIX: &str = "settings/";

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PlatformError {
    /// No reply was received.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The key of an object is no part of a path.
    #[error(transparent)]
    Path(#[from] InvalidPath),
    /// The reply has a failure status.
    #[error("the platform answered {0}; the call is made again later")]
    Status(StatusCode),
    /// The reply could not be parsed.
    #[error("the platform's answer is not readable ({0}); check its version")]
    Malformed(#[from] serde_json::Error),
}

/// Reply to a conditional write.
#[derive(Debug)]
pub(crate) enum WriteReply {
    /// The write was applied; this is the new object.
    Written(Object),
    /// The condition did not hold; this is the current object, if there is one.
    Changed(Option<Object>),
}

/// Client of the platform's object API.
#[derive(Debug, Clone)]
pub(crate) struct PlatformClient {
    http: HttpClient,
    address: SocketAddr,
    /// Bytes of listings and watches, with an estimate for the headers; reads and writes of single objects are not counted.
    pub(crate) bytes: Counter,
}

impl PlatformClient {
    pub(crate) fn new(http: HttpClient, address: SocketAddr) -> Self {
        Self { http, address, bytes: Counter::default() }
    }

    /// Lists all settings objects.
    pub(crate) async fn list(&self) -> Result<Listing, PlatformError> {
        self.get(&format!("/list?prefix={SETTINGS_PREFIX}"), LIST_TIMEOUT).await
    }

    /// Lists all objects with a prefix.
    pub(crate) async fn list_prefix(&self, prefix: &str) -> Result<Listing, PlatformError> {
        self.get(&format!("/list?prefix={prefix}"), CALL_TIMEOUT).await
    }

    /// Lists settings changed after a version; waits up to `wait` for a change.
    pub(crate) async fn watch(
        &self,
        after: Version,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={SETTINGS_PREFIX}&after={after}&wait_ms={wait_ms}");
        self.get(&path, wait + CALL_TIMEOUT).await
    }

    /// Reads one object; a deleted object is returned too.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let call = request_to(Method::GET, &format!("/objects/{key}"), Bytes::new())?;
        let reply = self.http.call(self.address, call, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.json()?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }

    /// Writes one object if it is at the expected version, or absent for `None`. `None` as value deletes it.
    pub(crate) async fn write(
        &self,
        key: &str,
        expected: Option<Version>,
        value: Option<&str>,
    ) -> Result<WriteReply, PlatformError> {
        let method = if value.is_some() { Method::PUT } else { Method::DELETE };
        let body = Bytes::copy_from_slice(value.unwrap_or_default().as_bytes());
        let mut call = request_to(method, &format!("/objects/{key}"), body)?;
        match expected {
            Some(version) => call.headers_mut().insert("if-match", HeaderValue::from(version)),
            None => call.headers_mut().insert("if-none-match", HeaderValue::from_static("*")),
        };
        let reply = self.http.call(self.address, call, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(WriteReply::Written(reply.json()?)),
            StatusCode::PRECONDITION_FAILED => Ok(WriteReply::Changed(reply.json()?)),
            status => Err(PlatformError::Status(status)),
        }
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Listing, PlatformError> {
        let call = request_to(Method::GET, path, Bytes::new())?;
        let reply = self.http.call(self.address, call, timeout).await?;
        self.bytes.inc_by(ESTIMATED_HEADER_BYTES + reply.body.len() as u64);
        if reply.status != StatusCode::OK {
            return Err(PlatformError::Status(reply.status));
        }
        let mut listing: Listing = reply.json()?;
        listing.objects = listing.objects.into_iter().map(without_prefix).collect();
        Ok(listing)
    }
}

/// Removes the settings prefix from a key: inside sillbank settings objects have keys without it.
pub(crate) fn without_prefix(mut object: Object) -> Object {
    if let Some(key) = object.key.strip_prefix(SETTINGS_PREFIX) {
        object.key = key.to_owned();
    }
    object
}
