//! Client of a control process's administration interface.

use crate::CommandError;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use sillbank_net::client::request_to;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Object;
use sillbank_settings::objects::is_path_key;
use smol::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a call. The control process may have to read a write back several times.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A client of one control process.
pub(crate) struct ControlClient {
    http: HttpClient,
    address: SocketAddr,
    key: String,
}

/// The path of a request about a key, or a prefix of keys, that follows `start`.
///
/// # Errors
/// If the key has characters that end a path or stand for others there: the request would be about another object.
pub(crate) fn path_of(start: &str, key: &str) -> Result<String, CommandError> {
    match is_path_key(key) {
        true => Ok(format!("{start}{key}")),
        false => Err(CommandError::Other(format!(
            "'{key}' is not a key; use letters, digits, '-', '_', '.', '~' and '/'."
        ))),
    }
}

impl ControlClient {
    /// Creates a client. The address comes from the argument or `SILLBANK_CONTROL`, the key from
    /// `SILLBANK_KEY`.
    ///
    /// # Errors
    /// If no valid address is given.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        control: Option<String>,
    ) -> Result<Self, CommandError> {
        let text = control.or_else(|| std::env::var("SILLBANK_CONTROL").ok()).ok_or_else(|| {
            CommandError::Other("Name a control process with --control IP:PORT.".to_owned())
        })?;
        let address = text.parse().map_err(|_| {
            CommandError::Other(format!("'{text}' is not an address; write it as 127.0.0.1:9000."))
        })?;
        let key = std::env::var("SILLBANK_KEY").unwrap_or_default();
        Ok(Self { http: HttpClient::new(executor, 256 << 20), address, key })
    }

    /// Sends a GET request and parses the reply.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, CommandError> {
        self.send(request_to(Method::GET, path, Bytes::new())?).await
    }

    /// Returns an object, or `None` if it does not exist.
    pub(crate) async fn object(&self, key: &str) -> Result<Option<Object>, CommandError> {
        use sillbank_core::admin::AdminFailureKind;
        match self.get(&path_of("/v1/objects/", key)?).await {
            Ok(object) => Ok(Some(object)),
            Err(CommandError::Refused(f)) if f.kind == AdminFailureKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object, or deletes it if `value` is `None`. The object must still be at the
    /// `expected` version, or absent if that is `None`.
    pub(crate) async fn write(
        &self,
        key: &str,
        expected: Option<u64>,
        value: Option<&serde_json::Value>,
        why: &str,
    ) -> Result<Object, CommandError> {
        let method = if value.is_some() { Method::PUT } else { Method::DELETE };
        let body = value.map(ToString::to_string).unwrap_or_default();
        let mut call = request_to(method, &path_of("/v1/objects/", key)?, body.into())?;
        let headers = call.headers_mut();
        match expected {
            Some(version) => headers.insert("if-match", HeaderValue::from(version)),
            None => headers.insert("if-none-match", HeaderValue::from_static("*")),
        };
        if let Ok(why) = HeaderValue::from_str(why) {
            headers.insert("x-why", why);
        }
        self.send(call).await
    }

    /// Adds the key, sends the request and parses the reply.
    async fn send<T: serde::de::DeserializeOwned>(
        &self,
        mut call: Request<Bytes>,
    ) -> Result<T, CommandError> {
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", self.key)) {
            call.headers_mut().insert("authorization", value);
        }
        let reply = self.http.call(self.address, call, TIMEOUT).await?;
        let unreadable =
            |e: serde_json::Error| CommandError::Other(format!("Unreadable answer: {e}."));
        match reply.status.is_success() {
            true => reply.json().map_err(unreadable),
            false => Err(CommandError::Refused(reply.json().map_err(unreadable)?)),
        }
    }
}
