//! Tells an endpoint that crashed while it ran a request from a connection that broke.
//!
//! A broken connection alone proves little: networks reset connections, and endpoints lose replies.
//! An endpoint that has crashed refuses new connections, or has restarted. One that was leaving
//! exits as planned, even with unfinished requests, and does not count as crashed.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::links::RelayError;
use crate::probes::silence_means_loss;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_links::prelude::*;
use sillbank_net::liveness::refuses_connections;
use smol::lock::Mutex;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of a connection check. A crashed endpoint refuses within a millisecond; the
/// next send of a request that lost its endpoint waits for the check.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before the second check. A crashed endpoint is unreachable for longer; other VMs learn of
/// a first crash later.
const RECHECK_DELAY: Duration = Duration::from_millis(100);

/// A send whose connection broke before the answer was complete.
#[derive(Debug, Clone)]
pub struct BrokenSend {
    /// Endpoint, or the first one of a path.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the connection was found broken.
    pub broke_at: Instant,
    /// When the first event arrived.
    pub first_event_at: Option<Instant>,
}

impl BrokenSend {
    /// Time from the first event to the break; `None` if there was no event.
    pub fn ran_for(&self) -> Option<Duration> {
        self.first_event_at.map(|first| self.broke_at.saturating_duration_since(first))
    }
}

/// Endpoints that this VM found to have crashed.
#[derive(Debug, Default)]
pub struct CrashedEndpoints {
    crashed_at: RefCell<HashMap<EndpointId, Instant>>,
    /// Allows one check of an endpoint at a time: many requests lose it at the same moment.
    check_locks: RefCell<HashMap<EndpointId, Rc<Mutex<()>>>>,
}

impl CrashedEndpoints {
    fn crashed_since(&self, endpoint: &str, since: Instant) -> bool {
        self.crashed_at.borrow().get(endpoint).is_some_and(|at| *at >= since)
    }

    fn check_lock(&self, endpoint: &str) -> Rc<Mutex<()>> {
        self.check_locks.borrow_mut().entry(endpoint.to_owned()).or_default().clone()
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.crashed_at.borrow_mut().retain(|id, _| is_known(id));
        self.check_locks
            .borrow_mut()
            .retain(|id, check_lock| Rc::strong_count(check_lock) > 1 || is_known(id));
    }
}

/// What broke the connection under a request, as far as the endpoint shows at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakCause {
    /// The endpoint has crashed.
    Crash,
    /// This VM has lost its link: it is refused, and no other VM confirms that the endpoint refuses.
    Link,
    /// Not known: the endpoint accepts connections, or is leaving.
    Unknown,
}

/// Checks whether an endpoint has crashed under a request. One that still accepts connections is
/// checked a second time in the background: a process that ends may close its connections before
/// its listener.
pub async fn check_broken_send<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    send: BrokenSend,
) -> BreakCause {
    let standing = gateway.platform.endpoints(|all| all.get(&send.endpoint).map(|e| e.standing));
    if !silence_means_loss(standing) {
        return BreakCause::Unknown;
    }
    let cause = cause_of(gateway, &send).await;
    gateway.decisions.break_checked(job, &send, cause);
    match cause {
        BreakCause::Crash => gateway.on_endpoint_crash(job, &send),
        BreakCause::Link => return BreakCause::Link,
        BreakCause::Unknown => recheck(gateway, job, send),
    }
    BreakCause::Unknown
}

/// Checks an endpoint a second time in the background.
fn recheck<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    send: BrokenSend,
) {
    let (recheck_gateway, job) = (gateway.clone(), job.clone());
    let recheck = async move {
        smol::Timer::after(RECHECK_DELAY).await;
        let cause = cause_of(&recheck_gateway, &send).await;
        recheck_gateway.decisions.break_checked(&job, &send, cause);
        if cause == BreakCause::Crash {
            recheck_gateway.on_endpoint_crash(&job, &send);
        }
    };
    gateway.executor.spawn(recheck).detach();
}

impl<W: Wire, S> Gateway<W, S> {
    /// Why connections to an endpoint break: a VM that has lost its links may be refused by endpoints
    /// that run, so that another VM has to confirm a refusal.
    async fn find_cause(&self, endpoint: &str, address: SocketAddr) -> BreakCause {
        let is_direct = self.transit_to(endpoint) == Transit::Direct;
        if is_direct && !refuses_connections(address, CONNECT_CHECK_TIMEOUT).await {
            return BreakCause::Unknown;
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
            Err(_) => BreakCause::Unknown,
        }
    }
}

/// Why the connection of a send broke. An endpoint that was found crashed, or has restarted, since
/// the request was sent is not asked again.
async fn cause_of<W: Wire, S>(gateway: &Gateway<W, S>, send: &BrokenSend) -> BreakCause {
    let (crashed, endpoint) = (&gateway.crashed_endpoints, send.endpoint.as_str());
    let check_lock = crashed.check_lock(endpoint);
    let _guard = check_lock.lock().await;
    if crashed.crashed_since(endpoint, send.sent_at)
        || gateway.endpoint_tracker.restarted_since(endpoint, send.sent_at)
    {
        return BreakCause::Crash;
    }
    let cause = gateway.find_cause(endpoint, send.address).await;
    if cause == BreakCause::Crash {
        crashed.crashed_at.borrow_mut().insert(endpoint.to_owned(), Instant::now());
        gateway.metrics.ended_endpoints.inc();
    }
    cause
}
