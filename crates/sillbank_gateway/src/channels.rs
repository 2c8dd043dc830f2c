//! Pool of connections to endpoints.

use hyper::header::{CONNECTION, HeaderMap};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle time of a connection if the endpoint names none; below the idle timeouts of common HTTP
/// servers.
const DEFAULT_REST: Duration = Duration::from_secs(8);
/// Time before the endpoint's idle timeout at which a connection is no longer used, so that a
/// request does not cross its closing.
const REST_MARGIN: Duration = Duration::from_millis(1_000);
/// Timeout of opening a connection. Halls are a fraction of a millisecond apart, and a lost first
/// packet is retransmitted after a second.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Maximum idle connections per endpoint.
const MAX_KEPT: usize = 64;

/// A connection to one endpoint that carries one request at a time.
#[derive(Debug)]
pub struct Channel {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// Address it is connected to.
    pub address: SocketAddr,
    /// When it was opened.
    pub opened_at: Instant,
    rest_until: Instant,
}

/// Idle connections, by endpoint.
#[derive(Debug)]
pub struct ChannelPool {
    executor: Rc<LocalExecutor<'static>>,
    resting: RefCell<HashMap<EndpointId, Vec<Channel>>>,
}

impl ChannelPool {
    /// Creates an empty pool.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor, resting: RefCell::default() }
    }

    /// Takes the most recently used connection to an endpoint that is still usable. An endpoint
    /// that restarts may have another address; connections to the previous address are closed.
    pub fn take(&self, endpoint: &str, address: SocketAddr, now: Instant) -> Option<Channel> {
        let mut resting = self.resting.borrow_mut();
        let kept = resting.get_mut(endpoint)?;
        while let Some(channel) = kept.pop() {
            if channel.address == address && is_usable(&channel, now) {
                return Some(channel);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// The connection error, or `TimedOut` after [`CONNECT_LIMIT`].
    pub async fn open(&self, address: SocketAddr) -> std::io::Result<Channel> {
        let late = async {
            smol::Timer::after(CONNECT_LIMIT).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        let open = Connection::open(&self.executor, address);
        let connection = futures_lite::future::or(open, late).await?;
        let now = Instant::now();
        Ok(Channel { connection, reused: false, address, opened_at: now, rest_until: now })
    }

    /// Returns a connection to the pool after a complete reply, unless the reply's head closes it.
    pub fn give_back(&self, endpoint: &str, mut channel: Channel, reply: &HeaderMap, now: Instant) {
        let Some(rest) = rest_time(reply) else {
            return;
        };
        channel.rest_until = now + rest;
        channel.reused = true;
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(endpoint.to_owned()).or_default();
        if kept.len() < MAX_KEPT && !channel.connection.sender.is_closed() {
            kept.push(channel);
        }
    }

    /// Closes connections whose idle time is over or that the endpoint closed.
    pub fn sweep(&self, now: Instant) {
        let mut resting = self.resting.borrow_mut();
        for kept in resting.values_mut() {
            kept.retain(|channel| is_usable(channel, now));
        }
        resting.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all idle connections to an endpoint.
    pub fn forget(&self, endpoint: &str) {
        self.resting.borrow_mut().remove(endpoint);
    }
}

fn is_usable(channel: &Channel, now: Instant) -> bool {
    now < channel.rest_until && channel.connection.sender.is_ready()
}

/// How long a connection may stay idle after a reply; `None` if the reply closes it.
fn rest_time(reply: &HeaderMap) -> Option<Duration> {
    let has_close = |value: &hyper::header::HeaderValue| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if reply.get_all(CONNECTION).iter().any(has_close) {
        return None;
    }
    let named = reply.get("keep-alive").and_then(|value| value.to_str().ok()).and_then(|text| {
        let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let rest = named.unwrap_or(DEFAULT_REST).checked_sub(REST_MARGIN)?;
    (!rest.is_zero()).then_some(rest)
}
