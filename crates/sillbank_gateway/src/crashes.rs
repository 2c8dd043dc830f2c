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
use sillbank_quarantine::prelude::*;
use smol::lock::Mutex;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of a connection check. A crashed endpoint refuses within a millisecond; the
/// next send of a request that lost its endpoint waits for the check.
const CONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which an endpoint is checked again that neither refuses connections nor answers.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a request was given up on an open connection from which an answer shows that the
/// endpoint has not crashed: before, the request may still be about to crash it.
const ABANDONED_RUN_TIME: Duration = Duration::from_millis(100);

/// Time after which an endpoint that neither refuses connections nor answers is not checked any
/// more. Its machine may have lost power, which a request does not cause.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);

/// Interval at which a request that waits for the end of checks looks for it.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A send whose connection broke before the answer was complete.
#[derive(Debug, Clone)]
pub struct BrokenSend {
    /// Endpoint, or the first one of a path.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Name of the incarnation that the request was sent to. It may have restarted when the
    /// connection is found broken.
    pub incarnation: String,
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

    /// Whether a crash of the endpoint would count against the request.
    pub fn may_be_cause(&self) -> bool {
        self.ran_for().is_none_or(|ran| ran < SUSPICION_WINDOW)
    }
}

type PendingCounts = Rc<RefCell<HashMap<Fingerprint, HashMap<EndpointId, usize>>>>;

/// Checks of broken sends that have not shown yet whether the endpoint crashed.
#[derive(Debug, Default)]
pub struct PendingChecks {
    /// Endpoints whose crash would count against each request, with the number of checks.
    counts: PendingCounts,
}

/// A check that has not ended; ends when dropped.
#[derive(Debug)]
struct PendingCheck {
    counts: PendingCounts,
    suspect: Option<(Fingerprint, EndpointId)>,
}

impl PendingChecks {
    fn begin(&self, suspect: Option<(Fingerprint, EndpointId)>) -> PendingCheck {
        if let Some((fingerprint, endpoint)) = suspect.clone() {
            let mut counts = self.counts.borrow_mut();
            *counts.entry(fingerprint).or_default().entry(endpoint).or_default() += 1;
        }
        PendingCheck { counts: self.counts.clone(), suspect }
    }

    /// Endpoints that are checked. Copies of a request that lose one endpoint count once.
    fn count(&self, fingerprint: Fingerprint) -> usize {
        self.counts.borrow().get(&fingerprint).map_or(0, HashMap::len)
    }
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        let Some((fingerprint, endpoint)) = self.suspect.take() else { return };
        let mut counts = self.counts.borrow_mut();
        let Some(of_request) = counts.get_mut(&fingerprint) else { return };
        if let Some(count) = of_request.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                of_request.remove(&endpoint);
            }
        }
        if of_request.is_empty() {
            counts.remove(&fingerprint);
        }
    }
}

/// Crashes of an endpoint that this VM found.
#[derive(Debug, Clone, Copy)]
struct Crashes {
    last_found_at: Instant,
    count: u32,
}

/// Checks of one depth of an endpoint.
type CheckKey = (EndpointId, Depth);

/// Endpoints that this VM found to have crashed.
#[derive(Debug, Default)]
pub struct CrashedEndpoints {
    crashes: RefCell<HashMap<EndpointId, Crashes>>,
    /// Shared by all requests that lose an endpoint at the same moment.
    latest_checks: RefCell<HashMap<CheckKey, LatestCheck>>,
    /// Allows one check of an endpoint and depth at a time: no request waits for a thorough one.
    check_locks: RefCell<HashMap<CheckKey, Rc<Mutex<()>>>>,
}

impl CrashedEndpoints {
    fn crashed_since(&self, endpoint: &str, since: Instant) -> bool {
        self.crashes.borrow().get(endpoint).is_some_and(|found| found.last_found_at >= since)
    }

    fn record(&self, endpoint: &str, now: Instant) {
        let mut crashes = self.crashes.borrow_mut();
        let count = crashes.get(endpoint).map_or(0, |found| found.count) + 1;
        crashes.insert(endpoint.to_owned(), Crashes { last_found_at: now, count });
    }

    /// What a check of this depth, made at `not_before` or later, has shown.
    fn latest_cause(
        &self,
        endpoint: &str,
        depth: Depth,
        not_before: Instant,
    ) -> Option<BreakCause> {
        let latest_checks = self.latest_checks.borrow();
        let latest = latest_checks.get(&(endpoint.to_owned(), depth))?;
        (latest.started_at >= not_before).then_some(latest.cause)
    }

    fn check_lock(&self, endpoint: &str, depth: Depth) -> Rc<Mutex<()>> {
        self.check_locks.borrow_mut().entry((endpoint.to_owned(), depth)).or_default().clone()
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.crashes.borrow_mut().retain(|id, _| is_known(id));
        self.latest_checks.borrow_mut().retain(|(id, _), _| is_known(id));
        self.check_locks
            .borrow_mut()
            .retain(|(id, _), check_lock| Rc::strong_count(check_lock) > 1 || is_known(id));
    }
}

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
}

/// How thoroughly an endpoint is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Depth {
    /// Whether it refuses connections, which shows at once.
    Connect,
    /// If it does not, whether it answers a call as well.
    Answer,
}

/// The latest check of an endpoint.
#[derive(Debug, Clone, Copy)]
struct LatestCheck {
    started_at: Instant,
    cause: BreakCause,
}

/// Checks whether an endpoint has crashed under a request whose connection broke. Returns what the
/// endpoint shows at once; while that is not conclusive, checks go on in the background.
pub async fn check_broken_send<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    send: BrokenSend,
) -> BreakCause {
    let Some(pending) = begin_check(gateway, job, &send) else {
        return BreakCause::Unknown;
    };
    let cause = check_once(gateway, job, &send, Depth::Connect, send.broke_at).await;
    if cause != BreakCause::Crash {
        let conclusive_at = send.broke_at;
        let checks = keep_checking(gateway.clone(), job.clone(), send, pending, conclusive_at);
        gateway.executor.spawn(checks).detach();
    }
    cause
}

/// Checks in the background whether an endpoint has crashed under a request that was given up there
/// while its connection was open.
pub fn check_abandoned_send<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    send: BrokenSend,
) {
    let Some(pending) = begin_check(gateway, job, &send) else { return };
    let (gateway, job) = (gateway.clone(), job.clone());
    let executor = gateway.executor.clone();
    let check = async move {
        let cause = check_once(&gateway, &job, &send, Depth::Connect, send.broke_at).await;
        if cause != BreakCause::Crash {
            let conclusive_at = send.broke_at + ABANDONED_RUN_TIME;
            keep_checking(gateway, job, send, pending, conclusive_at).await;
        }
    };
    executor.spawn(check).detach();
}

/// Begins the check of a send; `None` if the endpoint may end as planned.
fn begin_check<W: Wire, S>(
    gateway: &Gateway<W, S>,
    job: &Job,
    send: &BrokenSend,
) -> Option<PendingCheck> {
    let standing = gateway.platform.endpoints(|all| all.get(&send.endpoint).map(|e| e.standing));
    if !silence_means_loss(standing) {
        return None;
    }
    let suspect = || (job.fingerprint(), send.endpoint.clone());
    Some(gateway.pending_checks.begin(send.may_be_cause().then(suspect)))
}

async fn check_once<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    send: &BrokenSend,
    depth: Depth,
    not_before: Instant,
) -> BreakCause {
    let cause = cause_of(gateway, send, depth, not_before).await;
    gateway.decisions.break_checked(job, send, cause);
    if cause == BreakCause::Crash {
        gateway.on_endpoint_crash(job, send);
    }
    cause
}

/// Checks an endpoint that accepts connections until it refuses them or answers: a process that ends
/// may close its connections long before its listener. An answer counts from `conclusive_at`.
async fn keep_checking<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    send: BrokenSend,
    _pending: PendingCheck,
    conclusive_at: Instant,
) {
    while send.broke_at.elapsed() < MAX_CHECK_TIME {
        let started_at = Instant::now();
        match check_once(&gateway, &job, &send, Depth::Answer, started_at).await {
            BreakCause::Crash => return,
            BreakCause::Connection if started_at >= conclusive_at => return,
            _ => smol::Timer::after(RECHECK_INTERVAL).await,
        };
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Waits while unfinished checks could quarantine the request, so that it is sent to no further
    /// endpoint than the quarantine allows. Ends with the checks, after a second or little
    /// more, at the latest at the request's deadline. Requests that are further from quarantine do not wait.
    pub async fn await_crash_checks(&self, job: &Job) {
        if !self.settings.borrow().mechanisms.quarantine {
            return;
        }
        while Instant::now() < job.deadline && self.pending_checks_could_quarantine(job) {
            smol::Timer::after(CHECK_POLL_INTERVAL).await;
        }
    }

    /// Name of the incarnation that answered a request sent at `sent_at`, when `known` was the newest one. If that had been found
    /// crashed before, the endpoint has restarted since, and neither its entry nor a report says so yet.
    pub fn answering_incarnation(&self, endpoint: &str, known: String, sent_at: Instant) -> String {
        let crashes = self.crashed_endpoints.crashes.borrow().get(endpoint).copied();
        let is_unannounced = |crashes: &Crashes| {
            crashes.last_found_at <= sent_at
                && !self.endpoint_tracker.restarted_since(endpoint, crashes.last_found_at)
        };
        match crashes.filter(is_unannounced) {
            Some(crashes) => format!("{known}+{}", crashes.count),
            None => known,
        }
    }

    fn pending_checks_could_quarantine(&self, job: &Job) -> bool {
        let pending = self.pending_checks.count(job.fingerprint());
        pending > 0
            && self.quarantined_for(job).is_none()
            && self.quarantine.borrow().crash_count(job.fingerprint()) + pending
                >= CRASHES_TO_QUARANTINE
    }

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

/// Why the connection of a send broke, by a check that is made at `not_before` or later. An endpoint
/// that was found crashed, or has restarted, since the request was sent is not asked again.
async fn cause_of<W: Wire, S: MetadataStore>(
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
    if cause == BreakCause::Unknown && depth == Depth::Answer {
        cause = match gateway.endpoint_answers(endpoint).await {
            _ if has_restarted() => BreakCause::Crash,
            true => BreakCause::Connection,
            false => BreakCause::Unknown,
        };
    }
    if cause == BreakCause::Crash && !crashed.crashed_since(endpoint, send.sent_at) {
        crashed.record(endpoint, Instant::now());
        gateway.metrics.ended_endpoints.inc();
    }
    let latest = LatestCheck { started_at, cause };
    crashed.latest_checks.borrow_mut().insert((endpoint.to_owned(), depth), latest);
    cause
}
