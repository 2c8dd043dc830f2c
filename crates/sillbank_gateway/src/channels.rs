//! Connections to endpoints, kept between requests.

use hyper::header::{CONNECTION, HeaderMap};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection may rest if the endpoint does not say. Below the idle limits that HTTP
/// servers commonly have.
const DEFAULT_REST: Duration = Duration::from_secs(8);
/// Time before the end that the endpoint names at which a connection is given up, so that a request
/// does not cross its closing.
const REST_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a connection may take to come up. Halls are a fraction of a millisecond apart; a lost
/// first packet is sent again after a second.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Connections that are kept for one endpoint.
const MAX_KEPT: usize = 64;

/// A connection to one endpoint that carries one request at a time.
#[derive(Debug)]
pub struct Channel {
    /// The connection.
    pub connection: Connection,
    /// Whether it carried a request before.
    pub reused: bool,
    /// Where it leads.
    pub address: SocketAddr,
    /// When it was opened.
    pub opened_at: Instant,
    rest_until: Instant,
}

/// Connections that rest, by endpoint.
#[derive(Debug)]
pub struct ChannelPool {
    executor: Rc<LocalExecutor<'static>>,
    resting: RefCell<HashMap<EndpointId, Vec<Channel>>>,
}

impl ChannelPool {
    /// An empty pool.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { executor, resting: RefCell::default() }
    }

    /// The connection to an endpoint at an address that was used last and still stands. An endpoint that
    /// starts again may have another address; connections to the one before are closed.
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
    /// What hindered it, or that it took longer than [`CONNECT_LIMIT`].
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

    /// Keeps a connection after a whole answer, unless the answer's head says that it ends.
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

    /// Closes connections that have rested long enough or that the endpoint closed.
    pub fn sweep(&self, now: Instant) {
        let mut resting = self.resting.borrow_mut();
        for kept in resting.values_mut() {
            kept.retain(|channel| is_usable(channel, now));
        }
        resting.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all connections to an endpoint that rest.
    pub fn forget(&self, endpoint: &str) {
        self.resting.borrow_mut().remove(endpoint);
    }
}

fn is_usable(channel: &Channel, now: Instant) -> bool {
    now < channel.rest_until && channel.connection.sender.is_ready()
}

/// How long a connection may rest after a reply; `None` if it ends with the reply.
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
