//! Pool of connections to endpoints.

use hyper::header::{CONNECTION, HeaderMap};
use sillbank_core::prelude::*;
use sillbank_links::prelude::*;
use sillbank_net::liveness::ENDPOINT_SILENCE;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle time of a connection if the endpoint names none; below the idle timeouts of common HTTP
/// servers.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(8);
/// Longest idle time of a connection. An endpoint may name one that is too large for a clock.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Time before the endpoint's idle timeout at which a connection is no longer used, so that a
/// request does not cross its closing.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Timeout of opening a connection. Halls are a fraction of a millisecond apart, and a lost first
/// packet is retransmitted after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle connections per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// Maximum idle connections per endpoint when one that another VM passes on is returned: it takes one of the few that the
/// VM passes on.
const MAX_IDLE_RELAYED_PER_ENDPOINT: usize = 8;

/// The VM that passes a connection on.
#[derive(Debug, Clone)]
pub struct Hop {
    /// Its address for other VMs.
    pub vm: SocketAddr,
    /// Number of the connection, in the logs of both VMs.
    pub number: u64,
    /// Whether the VM was lost.
    pub is_lost: Rc<Cell<bool>>,
}

/// A connection to one endpoint that carries one request at a time.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub inner: Connection,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// Address it is connected to.
    pub address: SocketAddr,
    /// When it was opened.
    pub opened_at: Instant,
    /// The VM that passes it on; `None` if it is direct.
    pub hop: Option<Hop>,
    idle_until: Instant,
}

impl PooledConnection {
    fn new(inner: Connection, address: SocketAddr, hop: Option<Hop>) -> Self {
        let now = Instant::now();
        Self { inner, reused: false, address, opened_at: now, hop, idle_until: now }
    }

    /// Whether it goes through another VM.
    pub fn is_relayed(&self) -> bool {
        self.hop.is_some()
    }

    /// How it was opened.
    pub fn transit(&self) -> Transit {
        if self.is_relayed() { Transit::Relayed } else { Transit::Direct }
    }

    /// Whether it goes through another VM that was lost.
    pub fn hop_is_lost(&self) -> bool {
        self.hop.as_ref().is_some_and(|hop| hop.is_lost.get())
    }
}

/// Idle connections, by endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    executor: Rc<LocalExecutor<'static>>,
    idle: RefCell<HashMap<EndpointId, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor, idle: RefCell::default() }
    }

    /// Takes the most recently used connection to an endpoint that is still usable. An endpoint
    /// that restarts may have another address; connections to the previous address are closed.
    pub fn take(
        &self,
        endpoint: &str,
        address: SocketAddr,
        now: Instant,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        while let Some(connection) = connections.pop() {
            if connection.address == address && is_usable(&connection, now) {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a usable connection that another VM passes on.
    pub fn take_relayed(
        &self,
        endpoint: &str,
        address: SocketAddr,
        now: Instant,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(endpoint)?;
        let is_wanted = |connection: &PooledConnection| {
            connection.is_relayed() && connection.address == address && is_usable(connection, now)
        };
        let at = connections.iter().rposition(is_wanted)?;
        Some(connections.remove(at))
    }

    /// Opens a new direct connection.
    ///
    /// # Errors
    /// The connection error, or `TimedOut` after [`CONNECT_TIMEOUT`].
    pub async fn open(&self, address: SocketAddr) -> std::io::Result<PooledConnection> {
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        let open = Connection::open(&self.executor, address, ENDPOINT_SILENCE);
        let inner = futures_lite::future::or(open, timeout).await?;
        Ok(PooledConnection::new(inner, address, None))
    }

    /// Starts HTTP on a stream to an endpoint that another VM passes on.
    ///
    /// # Errors
    /// If the handshake fails.
    pub async fn start_relayed<S>(
        &self,
        address: SocketAddr,
        stream: S,
        hop: Hop,
    ) -> std::io::Result<PooledConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let inner = Connection::over(&self.executor, address, stream).await?;
        Ok(PooledConnection::new(inner, address, Some(hop)))
    }

    /// Returns a connection to the pool after a complete reply, unless the reply's head closes it.
    pub fn put_back(
        &self,
        endpoint: &str,
        mut connection: PooledConnection,
        reply: &HeaderMap,
        now: Instant,
    ) {
        let Some(idle_time) = idle_time(reply) else {
            return;
        };
        connection.idle_until = now + idle_time;
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(endpoint.to_owned()).or_default();
        let limit = match connection.transit() {
            Transit::Direct => MAX_IDLE_PER_ENDPOINT,
            Transit::Relayed => MAX_IDLE_RELAYED_PER_ENDPOINT,
        };
        if connections.len() < limit && !connection.inner.sender.is_closed() {
            connections.push(connection);
        }
    }

    /// Closes connections whose idle time is over or that the endpoint closed.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| is_usable(connection, now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: &str) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes the idle direct connections to an endpoint.
    pub fn close_idle_direct(&self, endpoint: &str) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(endpoint) {
            connections.retain(PooledConnection::is_relayed);
        }
    }

    /// Closes the idle connections that a VM passes on.
    pub fn close_through(&self, vm: SocketAddr) {
        for connections in self.idle.borrow_mut().values_mut() {
            let is_through = |connection: &PooledConnection| {
                connection.hop.as_ref().is_some_and(|hop| hop.vm == vm)
            };
            connections.retain(|connection| !is_through(connection));
        }
    }

    /// Closes the idle connections to an endpoint that other VMs pass on.
    pub fn close_relayed(&self, endpoint: &str) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(endpoint) {
            connections.retain(|connection| !connection.is_relayed());
        }
    }
}

fn is_usable(connection: &PooledConnection, now: Instant) -> bool {
    now < connection.idle_until && connection.inner.sender.is_ready()
}

/// How long a connection may stay idle after a reply; `None` if the reply closes it.
fn idle_time(reply: &HeaderMap) -> Option<Duration> {
    let has_close = |value: &hyper::header::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if reply.get_all(CONNECTION).iter().any(has_close) {
        return None;
    }
    let stated = reply.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|text| {
        let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let stated = stated.map_or(DEFAULT_IDLE_TIME, |stated| stated.min(MAX_IDLE_TIME));
    let idle_time = stated.checked_sub(IDLE_MARGIN)?;
    (!idle_time.is_zero()).then_some(idle_time)
}
