//! HTTP/1.1 client with connection reuse.

use crate::body::ReplyBody;
use crate::liveness::{VM_SILENCE, enable_keepalive};
use crate::reply_bounds::{Bounded, ReplyBounds};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Size of the read buffer of a connection, which also limits the length of response heads.
const MAX_READ_BYTES: usize = 64 << 10;

/// Why a request that may have been received has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The connection broke.
    Broken,
    /// The answer did not come in time.
    Late,
    /// The answer is longer than the client accepts.
    TooLong,
}

/// Error of a call. The variant tells whether the work may have run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing of the request was sent.
    #[error("nothing was sent to {address}: {reason}; check that it runs and can be reached")]
    NotSent {
        /// Who was called.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The request may have been received.
    #[error("no answer from {address}: {reason}; read back before sending it again")]
    Lost {
        /// Who was called.
        address: SocketAddr,
        /// What happened.
        reason: String,
        /// Why there is no answer.
        cause: LossCause,
    },
}

/// A text is not the path of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{path}' is not a path ({reason}); escape its names")]
pub struct InvalidPath {
    /// Prefix of the text.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Number of characters of an invalid path that an error holds.
const MAX_SHOWN_PATH_CHARS: usize = 200;

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallReply {
    /// Deserializes the body from JSON.
    ///
    /// # Errors
    /// Returns an error if the body is not valid JSON for `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// HTTP client that pools idle connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    executor: Rc<LocalExecutor<'static>>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<SendRequest<ReplyBody>>>>>,
    max_reply_bytes: usize,
}

impl HttpClient {
    /// Creates a client that accepts replies of up to `max_reply_bytes`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, max_reply_bytes: usize) -> Self {
        Self { executor, idle: Rc::default(), max_reply_bytes }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request with a complete body and waits for the complete answer.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] if nothing was sent, otherwise [`CallError::Lost`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let deadline = smol::Timer::after(timeout);
        let sent = std::cell::Cell::new(false);
        let work = self.exchange(address, request, &sent);
        let late = async {
            deadline.await;
            let reason = format!("it took longer than {} ms", timeout.as_millis());
            Err(match sent.get() {
                true => CallError::Lost { address, reason, cause: LossCause::Late },
                false => CallError::NotSent { address, reason },
            })
        };
        work.or(late).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        sent: &std::cell::Cell<bool>,
    ) -> Result<CallReply, CallError> {
        let mut request = request.map(|body| ReplyBody::Full(Full::new(body)));
        loop {
            let (mut sender, reused) = self.idle_or_new_sender(address).await?;
            sent.set(true);
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let reply = self.buffer_reply(address, response).await?;
                    self.put_back(address, sender);
                    return Ok(reply);
                }
                Err(mut error) => match error.take_message() {
                    // The peer had closed the idle connection, so nothing was sent.
                    Some(unsent) if reused => {
                        sent.set(false);
                        request = unsent;
                    }
                    Some(_) => {
                        let reason = error.error().to_string();
                        return Err(CallError::NotSent { address, reason });
                    }
                    None => {
                        let reason = error.error().to_string();
                        return Err(CallError::Lost { address, reason, cause: LossCause::Broken });
                    }
                },
            }
        }
    }

    async fn buffer_reply(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
    ) -> Result<CallReply, CallError> {
        let (head, body) = response.into_parts();
        let collected = Limited::new(body, self.max_reply_bytes).collect().await;
        let body = collected.map_err(|error| match error.is::<LengthLimitError>() {
            true => {
                let reason = format!("it is longer than {} bytes", self.max_reply_bytes);
                CallError::Lost { address, reason, cause: LossCause::TooLong }
            }
            false => {
                let reason = error.to_string();
                CallError::Lost { address, reason, cause: LossCause::Broken }
            }
        });
        let body = body?.to_bytes();
        Ok(CallReply { status: head.status, headers: head.headers, body })
    }

    async fn idle_or_new_sender(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<ReplyBody>, bool), CallError> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            match idle {
                Some(sender) if sender.is_closed() || !sender.is_ready() => {}
                Some(sender) => return Ok((sender, true)),
                None => break,
            }
        }
        let sender = connect(&self.executor, address)
            .await
            .map_err(|e| CallError::NotSent { address, reason: e.to_string() })?;
        Ok((sender, false))
    }

    fn put_back(&self, address: SocketAddr, sender: SendRequest<ReplyBody>) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            connections.push(sender);
        }
    }
}

/// Connection that is closed when it is dropped, even during an exchange.
#[derive(Debug)]
pub struct Connection {
    /// Sender of requests.
    pub sender: SendRequest<ReplyBody>,
    /// Bounds of the replies; off until a reply is started.
    pub bounds: ReplyBounds,
    /// Task that drives the connection.
    driver: Task<()>,
}

impl Connection {
    /// Opens a connection that ends when its peer is silent for longer than `max_silence`.
    ///
    /// # Errors
    /// Returns an error if the connection or the handshake fails.
    pub async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        max_silence: Duration,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(
                "net: TCP_NODELAY cannot be set on a connection to {address}: {error}."
            );
        }
        if let Err(error) = enable_keepalive(&stream, max_silence) {
            tracing::debug!("net: Keepalive cannot be set on a connection to {address}: {error}.");
        }
        Self::over(executor, address, stream).await
    }

    /// Starts HTTP on an open stream that leads to `address`.
    ///
    /// # Errors
    /// Returns an error if the handshake fails.
    pub async fn over<S>(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        stream: S,
    ) -> std::io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let bounds = ReplyBounds::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(FuturesIo::new(Bounded::new(stream, bounds.clone())))
            .await
            .map_err(std::io::Error::other)?;
        let drive = async move {
            if let Err(error) = connection.await {
                tracing::debug!("net: A connection to {address} ended: {error}.");
            }
        };
        Ok(Self { sender, bounds, driver: executor.spawn(drive) })
    }
}

/// Opens a connection that stays open as long as its sender is used.
///
/// # Errors
/// Returns an error if the connection or the handshake fails.
pub async fn connect(
    executor: &LocalExecutor<'static>,
    address: SocketAddr,
) -> std::io::Result<SendRequest<ReplyBody>> {
    let connection = Connection::open(executor, address, VM_SILENCE).await?;
    connection.driver.detach();
    Ok(connection.sender)
}

/// Creates a request to a constant path with a JSON body, which may be empty.
///
/// # Panics
/// If the text is not a path.
pub fn request(method: Method, path: &'static str, body: Bytes) -> Request<Bytes> {
    request_to_uri(method, Uri::from_static(path), body)
}

/// Creates a request to a computed path with a JSON body, which may be empty. Names in the path have to be escaped.
///
/// # Errors
/// If the text is not a path.
pub fn request_to(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, InvalidPath> {
    match path.parse() {
        Ok(uri) => Ok(request_to_uri(method, uri, body)),
        Err(error) => Err(InvalidPath {
            path: path.chars().take(MAX_SHOWN_PATH_CHARS).collect(),
            reason: error.to_string(),
        }),
    }
}

fn request_to_uri(method: Method, uri: Uri, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    headers.insert("host", hyper::header::HeaderValue::from_static("sillbank"));
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    request
}
