//! Calls to engines other than callers' requests: reports, orders and moves.

use crate::connection_pool::PooledConnection;
use crate::gateway::Gateway;
use crate::links::RelayError;
use crate::reply_times::MAX_TIMEOUT;
use crate::wire::Wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use sillbank_links::prelude::*;
use sillbank_net::prelude::*;
use sillbank_net::running_timer::running_timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Largest reply that is read over a relayed connection.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Error of a call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineCallError {
    /// No VM has connected on behalf of this one.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// The call failed, or took too long.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl EngineCallError {
    /// Whether it says nothing of the engine: no other VM tried to reach it.
    pub fn proves_nothing(&self) -> bool {
        matches!(self, Self::Relay(error) if !error.is_of_endpoint())
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Calls an engine directly, or through another VM while the link to it is lost. The timeout is longer than `usual_timeout`
    /// while most endpoints answer late.
    ///
    /// # Errors
    /// [`EngineCallError`].
    pub async fn call_engine(
        &self,
        engine: &str,
        address: SocketAddr,
        request: Request<Bytes>,
        usual_timeout: Duration,
    ) -> Result<CallReply, EngineCallError> {
        let timeout = self.reply_timeout(usual_timeout);
        self.call_engine_within(engine, address, request, timeout).await
    }

    /// As [`Self::call_engine`], with a timeout that does not change.
    ///
    /// # Errors
    /// [`EngineCallError`].
    pub async fn call_engine_within(
        &self,
        engine: &str,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<CallReply, EngineCallError> {
        if self.transit_to(engine) == Transit::Relayed {
            return self.call_engine_relayed(engine, address, request, timeout).await;
        }
        let reply = self.call_engine_directly(engine, address, request, timeout).await;
        if reply.is_err() {
            self.links.on_trouble(engine);
        }
        Ok(reply?)
    }

    /// Calls an engine through another VM.
    ///
    /// # Errors
    /// [`EngineCallError`].
    pub async fn call_engine_relayed(
        &self,
        engine: &str,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<CallReply, EngineCallError> {
        let is_sent = Cell::new(false);
        let late = async {
            running_timer(timeout, MAX_TIMEOUT).await;
            let reason = format!("it took longer than {} ms", timeout.as_millis());
            Err(EngineCallError::Call(match is_sent.get() {
                true => CallError::Lost { address, reason, cause: LossCause::Late },
                false => CallError::NotSent { address, reason },
            }))
        };
        let call = async {
            let now = Instant::now();
            let connection = match self.connection_pool.take_relayed(engine, address, now) {
                Some(connection) => connection,
                None => self.connect_through(engine, address).await?,
            };
            is_sent.set(true);
            let reply = self.exchange_once(engine, connection, request).await;
            reply.map_err(|reason| {
                EngineCallError::Call(CallError::Lost { address, reason, cause: LossCause::Broken })
            })
        };
        futures_lite::future::or(call, late).await
    }

    /// Sends one request over a connection, reads the whole reply and keeps the connection.
    ///
    /// # Errors
    /// Why there is no reply.
    pub(super) async fn exchange_once(
        &self,
        endpoint: &str,
        mut connection: PooledConnection,
        request: Request<Bytes>,
    ) -> Result<CallReply, String> {
        let request = request.map(|body| ReplyBody::Full(Full::new(body)));
        let reply = connection.inner.sender.try_send_request(request).await;
        let reply = reply.map_err(|error| error.error().to_string())?;
        let (head, body) = reply.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|error| format!("the reply broke off: {error}"))?.to_bytes();
        self.keep_connection(endpoint, connection, &head.headers);
        Ok(CallReply { status: head.status, headers: head.headers, body })
    }
}
