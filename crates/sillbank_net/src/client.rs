//! HTTP/1.1 calls over kept connections.

use crate::body::ReplyBody;
use crate::liveness::end_when_silent;
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections kept for one address.
const KEPT_CONNECTIONS: usize = 16;

/// Most bytes that are read from a connection ahead of whoever takes them; heads may not be longer.
const MAX_READ_BYTES: usize = 64 << 10;

/// Why a call has no answer. The kind says whether the work may have run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No byte of the request left.
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
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallReply {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Makes calls and keeps idle connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    executor: Rc<LocalExecutor<'static>>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<SendRequest<ReplyBody>>>>>,
    max_reply_bytes: usize,
}

impl HttpClient {
    /// A client that accepts replies of up to `max_reply_bytes`.
    pub fn new(executor: Rc<LocalExecutor<'static>>, max_reply_bytes: usize) -> Self {
        Self { executor, idle: Rc::default(), max_reply_bytes }
    }

    /// Sends a request with a whole body and waits for the whole answer.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if no byte left, else [`CallError::Lost`].
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
                true => CallError::Lost { address, reason },
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
        let mut request = request.map(|body| ReplyBody::Whole(Full::new(body)));
        loop {
            let (mut sender, reused) = self.sender(address).await?;
            sent.set(true);
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let reply = self.read_whole(address, response).await?;
                    self.keep(address, sender);
                    return Ok(reply);
                }
                Err(mut error) => match error.take_message() {
                    // A kept connection had been closed by the other side: nothing left.
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
                        return Err(CallError::Lost { address, reason });
                    }
                },
            }
        }
    }

    async fn read_whole(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
    ) -> Result<CallReply, CallError> {
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, self.max_reply_bytes).collect().await;
        let body =
            whole.map_err(|e| CallError::Lost { address, reason: e.to_string() })?.to_bytes();
        Ok(CallReply { status: head.status, headers: head.headers, body })
    }

    async fn sender(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<ReplyBody>, bool), CallError> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
            match kept {
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

    fn keep(&self, address: SocketAddr, sender: SendRequest<ReplyBody>) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT_CONNECTIONS && !sender.is_closed() {
            kept.push(sender);
        }
    }
}

/// A connection that is closed when it is dropped, also in the middle of an exchange.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<ReplyBody>,
    /// Moves the bytes.
    driver: Task<()>,
}

impl Connection {
    /// Opens one.
    ///
    /// # Errors
    /// What hindered it.
    pub async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!("net: A connection to {address} may wait for small packets: {error}.");
        }
        if let Err(error) = end_when_silent(&stream) {
            tracing::debug!("net: A connection to {address} may go silent unseen: {error}.");
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let drive = async move {
            if let Err(error) = connection.await {
                tracing::debug!("net: A connection to {address} ended: {error}.");
            }
        };
        Ok(Self { sender, driver: executor.spawn(drive) })
    }
}

/// Opens a connection that lives as long as it is used.
///
/// # Errors
/// What hindered the connection.
pub async fn connect(
    executor: &LocalExecutor<'static>,
    address: SocketAddr,
) -> std::io::Result<SendRequest<ReplyBody>> {
    let connection = Connection::open(executor, address).await?;
    connection.driver.detach();
    Ok(connection.sender)
}

/// A request with a JSON body, or none.
pub fn request(method: Method, path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    match path.parse() {
        Ok(target) => *request.uri_mut() = target,
        // It goes to the root, where it is refused: the caller hears of it.
        Err(error) => tracing::error!(path, %error, "net: A path cannot be sent."),
    }
    let headers = request.headers_mut();
    headers.insert("host", hyper::header::HeaderValue::from_static("sillbank"));
    headers.insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    request
}
