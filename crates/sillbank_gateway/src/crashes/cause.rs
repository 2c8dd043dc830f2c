//! Why the connection of a send broke, by one check of its endpoint.

use super::BrokenSend;
use crate::gateway::Gateway;
use crate::links::RelayError;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_links::prelude::*;
use sillbank_net::liveness::{ConnectResult, try_connect};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limit of a connection check. A crashed endpoint refuses within a millisecond; the
/// next send of a request that lost its endpoint waits for the check.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// What broke the connection under a request, as far as the endpoint shows at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakCause {
    /// The endpoint has crashed.
    Crash,
    /// This VM has lost its link: it is refused, and no other VM confirms that the endpoint refuses.
    Link,
    /// The connection alone broke: the endpoint answers.
    Connection,
    /// Not known: the endpoint accepts connections, or is leaving.
    Unknown,
    /// Not known: the endpoint neither accepts nor refuses connections.
    Silent,
    /// Not known: it is not reached directly, and no other VM reaches it or tells that it refuses.
    Unreached,
}

/// How thoroughly an endpoint is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Depth {
    /// Whether it refuses connections, which shows at once.
    Connect,
    /// If it does not, whether it answers a call as well.
    Answer,
}

impl<W: Wire, S> Gateway<W, S> {
    /// Why connections to an endpoint break: a VM that has lost its links may be refused by endpoints
    /// that run, so that another VM has to confirm a refusal.
    async fn find_cause(&self, endpoint: &str, address: SocketAddr) -> BreakCause {
        let is_direct = self.transit_to(endpoint) == Transit::Direct;
        if is_direct {
            match try_connect(address, CONNECT_CHECK_TIMEOUT).await {
                ConnectResult::Accepted => return BreakCause::Unknown,
                ConnectResult::Silent => return BreakCause::Silent,
                ConnectResult::Refused => {}
            }
        }
        if !self.settings.borrow().mechanisms.relay {
            return BreakCause::Crash;
        }
        match self.connect_through(endpoint, address).await {
            Ok(_) if is_direct => {
                self.links.on_trouble(endpoint);
                BreakCause::Link
            }
            Ok(_) => BreakCause::Unknown,
            Err(error) if error.endpoint_refuses() => BreakCause::Crash,
            // No other VM is known, so what this one sees has to do.
            Err(RelayError::NoVm) if is_direct => BreakCause::Crash,
            Err(_) if is_direct => BreakCause::Link,
            Err(_) => BreakCause::Unreached,
        }
    }
}

/// Why the connection of a send broke, by a check that is made at `not_before` or later. An endpoint
/// that was found crashed, or has restarted, since the request was sent is not asked again.
pub(super) async fn cause_of<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    send: &BrokenSend,
    depth: Depth,
    not_before: Instant,
) -> BreakCause {
    let (crashed, endpoint) = (&gateway.crashed_endpoints, send.endpoint.as_str());
    let check_lock = crashed.check_lock(endpoint, depth);
    let _guard = check_lock.lock().await;
    let has_restarted = || gateway.endpoint_tracker.restarted_since(endpoint, send.sent_at);
    if crashed.crashed_since(endpoint, send.sent_at) || has_restarted() {
        return BreakCause::Crash;
    }
    if let Some(cause) = crashed.latest_cause(endpoint, depth, not_before) {
        return cause;
    }
    let started_at = Instant::now();
    let mut cause = gateway.find_cause(endpoint, send.address).await;
    let is_unknown = matches!(cause, BreakCause::Unknown | BreakCause::Silent);
    if is_unknown && depth == Depth::Answer {
        cause = match gateway.endpoint_answers(endpoint).await {
            _ if has_restarted() => BreakCause::Crash,
            true => BreakCause::Connection,
            false => cause,
        };
    }
    if cause == BreakCause::Crash && !crashed.crashed_since(endpoint, send.sent_at) {
        crashed.record(endpoint, Instant::now());
        gateway.metrics.ended_endpoints.inc();
    }
    crashed.record_check(endpoint, depth, started_at, cause);
    cause
}
