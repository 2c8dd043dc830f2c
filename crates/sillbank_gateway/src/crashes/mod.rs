//! Tells an endpoint that crashed while it ran a request from a connection that broke.
//!
//! A broken connection alone proves little: networks reset connections, and endpoints lose replies.
//! An endpoint that has crashed refuses new connections, or has restarted. One that was leaving
//! exits as planned, even with unfinished requests, and does not count as crashed.

//!
//! - `pending`: checks that have not ended, and requests that wait for them.
//! - `found`: crashes that were found, and results that checks of one endpoint share.
//! - `cause`: why a connection broke, by one check of the endpoint.

mod cause;
mod found;
mod pending;

pub use cause::BreakCause;
pub use found::CrashedEndpoints;
pub use pending::PendingChecks;

use crate::gateway::Gateway;
use crate::job::Job;
use crate::probes::silence_means_loss;
use crate::store::MetadataStore;
use crate::wire::Wire;
use cause::{Depth, cause_of};
use pending::PendingCheck;
use sillbank_core::prelude::*;
use sillbank_net::liveness::{ConnectResult, try_connect};
use sillbank_quarantine::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which an endpoint is checked again that neither refuses connections nor answers.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a request was given up on an open connection from which an answer shows that the
/// endpoint has not crashed: before, the request may still be about to crash it.
const ABANDONED_RUN_TIME: Duration = Duration::from_millis(100);

/// Time after which an endpoint that neither refuses connections nor answers is not checked any
/// more. Its machine may have lost power, which a request does not cause.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);

/// Time limit of a connection to an endpoint that was silent before. A packet that opens a connection and is lost is sent again
/// after a second.
const SILENT_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

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

/// Whether an endpoint may have ended when it closed the connection of an answer which only the close ends. A process that
/// ends closes a connection just as the end of such an answer does, also one that is leaving and ends as planned. So the
/// answer is whole only if the endpoint still accepts connections. Where the packet that opens one is lost, that takes as
/// long as it takes to send it again.
pub async fn may_have_ended_at_close<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    send: &BrokenSend,
) -> bool {
    match cause_of(gateway, send, Depth::Connect, send.broke_at).await {
        BreakCause::Crash | BreakCause::Link | BreakCause::Unreached => true,
        BreakCause::Connection | BreakCause::Unknown => false,
        BreakCause::Silent => {
            try_connect(send.address, SILENT_CHECK_TIMEOUT).await != ConnectResult::Accepted
        }
    }
}

/// Whether an end of the endpoint would be a crash: one that is leaving may end as planned.
fn may_crash<W: Wire, S>(gateway: &Gateway<W, S>, send: &BrokenSend) -> bool {
    let standing = gateway.platform.endpoints(|all| all.get(&send.endpoint).map(|e| e.standing));
    silence_means_loss(standing)
}

/// Begins the check of a send; `None` if the endpoint may end as planned.
fn begin_check<W: Wire, S>(
    gateway: &Gateway<W, S>,
    job: &Job,
    send: &BrokenSend,
) -> Option<PendingCheck> {
    if !may_crash(gateway, send) {
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
