//! Sends a stream's request once and waits for the head of the reply.

use super::loss::{ActiveRoute, Loss, Silence, SilenceTimer, detect_loss, move_request};
use super::target::Target;
use crate::connection_pool::PooledConnection;
use crate::crashes::BrokenSend;
use crate::endpoints::{Evidence, InFlightGuard, RequestPart};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::{Job, engine_shares};
use crate::retries::SendFailureKind;
use crate::sending::{Destination, SendOutcome, buffer_reply, send};
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use sillbank_quarantine::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of a failure reply's body that is relayed to the caller.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A stream that an endpoint is sending.
pub(super) struct Upstream {
    pub(super) body: Incoming,
    pub(super) head: HeaderMap,
    pub(super) connection: PooledConnection,
    pub(super) path: Option<LayerPath>,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    /// Name of the endpoint's incarnation that the request was sent to.
    pub(super) incarnation: String,
    pub(super) splitter: EventSplitter,
    pub(super) _in_flight: InFlightGuard,
    /// When the request was sent or last moved.
    pub(super) sent_at: Instant,
    /// When the last data arrived from this endpoint.
    pub(super) last_data_at: Option<Instant>,
    /// When the first event arrived from this endpoint.
    pub(super) first_event_at: Option<Instant>,
    /// Whether the request was found to have run here past the suspicion window.
    pub(super) has_passed_suspicion_window: bool,
}

impl Upstream {
    pub(super) fn broken_send(&self) -> BrokenSend {
        BrokenSend {
            endpoint: self.endpoint.clone(),
            address: self.address,
            incarnation: self.incarnation.clone(),
            sent_at: self.sent_at,
            broke_at: Instant::now(),
            first_event_at: self.first_event_at,
        }
    }

    /// Records that an event arrived. Returns true once, when the request has run here past the
    /// suspicion window.
    pub(super) fn passes_suspicion_window(&mut self, now: Instant) -> bool {
        let first = *self.first_event_at.get_or_insert(now);
        let has_passed = now.saturating_duration_since(first) >= SUSPICION_WINDOW;
        has_passed && !std::mem::replace(&mut self.has_passed_suspicion_window, true)
    }

    pub(super) fn active_route(&self) -> ActiveRoute<'_> {
        ActiveRoute {
            endpoint: &self.endpoint,
            address: self.address,
            path: self.path.as_ref(),
            since: self.sent_at,
            last_data_at: self.last_data_at,
        }
    }
}

/// Reply of an endpoint: an open stream with its status, or the endpoint's own failure.
pub(super) enum UpstreamReply {
    Stream(Box<Upstream>, StatusCode),
    Failure(Response<ReplyBody>),
}

/// How the exchange of a failed send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// The endpoint replied, or the request did not reach it.
    Complete,
    /// The connection to the first endpoint ended before a reply arrived.
    Broken,
    /// The connection was open when the request was given up there.
    Abandoned,
}

/// A send that opened no stream.
pub(super) struct FailedAttempt {
    pub(super) endpoint: EndpointId,
    pub(super) at_fault: Option<EndpointId>,
    pub(super) kind: SendFailureKind,
    pub(super) exchange: ExchangeEnd,
    pub(super) reason: String,
}

/// Result of one send of a stream's request.
pub(super) enum AttemptResult {
    Replied(UpstreamReply),
    Failed(FailedAttempt),
}

/// Sends a stream's request to a target once. While the reply is awaited, the request may be moved
/// around lost engines.
pub(super) async fn send_once<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    mut target: Target,
    resume_after: Option<EventNumber>,
) -> AttemptResult {
    let sent_at = Instant::now();
    let shares = match (&target.path, &job.service.engine) {
        (Some(path), Some(figures)) => engine_shares(path, job.demand(figures)),
        _ => vec![RequestPart { endpoint: target.endpoint.clone(), kv: 0.0 }],
    };
    let in_flight = gateway.endpoint_tracker.start(shares, sent_at);
    let endpoint = target.endpoint.clone();
    let incarnation = gateway.incarnation_name(&endpoint);
    let path = target.path.clone();
    let to = Destination { endpoint: &endpoint, address: target.address, path: path.as_ref() };
    let loss_detected = watch_for_loss(gateway, job, &mut target);
    let sent =
        futures_lite::future::or(async { Ok(send(gateway, job, to, resume_after).await) }, async {
            Err(loss_detected.await)
        })
        .await;
    let failed = |at_fault, kind, reason| {
        AttemptResult::Failed(FailedAttempt {
            endpoint: endpoint.clone(),
            at_fault,
            kind,
            exchange: ExchangeEnd::Complete,
            reason,
        })
    };
    let link_lost = |reason| {
        AttemptResult::Failed(FailedAttempt {
            endpoint: endpoint.clone(),
            at_fault: None,
            kind: SendFailureKind::LinkLost,
            exchange: ExchangeEnd::Complete,
            reason,
        })
    };
    match sent {
        Err(loss) if loss.engines.is_empty() => link_lost(loss.reason),
        Err(loss) => AttemptResult::Failed(FailedAttempt {
            endpoint,
            at_fault: loss.engines.into_iter().next(),
            kind: SendFailureKind::MayHaveRun,
            exchange: ExchangeEnd::Abandoned,
            reason: loss.reason,
        }),
        Ok(SendOutcome::Success(reply, connection)) => {
            gateway.on_evidence(&endpoint, Evidence::Good, sent_at, "a stream was opened");
            let status = reply.status();
            let (head, body) = reply.into_parts();
            let incarnation = gateway.answering_incarnation(&endpoint, incarnation, sent_at);
            let upstream = Upstream {
                body,
                head: head.headers,
                connection,
                path: target.path,
                endpoint: target.endpoint,
                address: target.address,
                incarnation,
                splitter: EventSplitter::default(),
                _in_flight: in_flight,
                sent_at,
                last_data_at: None,
                first_event_at: None,
                has_passed_suspicion_window: false,
            };
            AttemptResult::Replied(UpstreamReply::Stream(Box::new(upstream), status))
        }
        Ok(SendOutcome::Failure(reply, connection)) => {
            gateway.on_evidence(&endpoint, Evidence::Failed, sent_at, "a stream failed to open");
            let status = reply.status();
            if job.is_idempotent() && job.may_send_again(Instant::now()) {
                let reason = format!("the endpoint failed with status {}", status.as_u16());
                return failed(None, SendFailureKind::MayHaveRun, reason);
            }
            match buffer_reply(reply, MAX_FAILURE_BYTES, &gateway.memory_budget).await {
                Ok(buffered) => {
                    gateway.keep_connection(&endpoint, connection, &buffered.head);
                    AttemptResult::Replied(UpstreamReply::Failure(buffered.reply))
                }
                Err(reason) => failed(None, SendFailureKind::MayHaveRun, reason),
            }
        }
        Ok(SendOutcome::NotRun(refusal)) => {
            let at_fault = refusal
                .at_fault
                .and_then(|address| Some(target.path.as_ref()?.part_at(address)?.endpoint.clone()));
            let reason = format!("refused with status {}", refusal.status);
            let blamed = at_fault.as_deref().unwrap_or(&endpoint);
            if !refusal.misdirected {
                gateway.load.on_sent(&job.service.name, false, Instant::now());
            }
            if refusal.misdirected || at_fault.is_some() {
                gateway.on_evidence(blamed, Evidence::RefusedPart, sent_at, &reason);
            }
            let kind = if refusal.misdirected {
                SendFailureKind::Misdirected
            } else {
                SendFailureKind::NotRun
            };
            failed(at_fault, kind, reason)
        }
        Ok(SendOutcome::NoLink(reason)) => failed(None, SendFailureKind::NotSent, reason),
        Ok(SendOutcome::NotSent(reason)) => {
            gateway.on_evidence(&endpoint, Evidence::Unreachable, sent_at, &reason);
            failed(None, SendFailureKind::NotSent, reason)
        }
        Ok(SendOutcome::HopLost(reason)) => link_lost(reason),
        Ok(SendOutcome::Lost(reason)) => {
            gateway.on_send_trouble(job, &endpoint);
            gateway.on_evidence(&endpoint, Evidence::Failed, sent_at, &reason);
            let (at_fault, kind) = (None, SendFailureKind::MayHaveRun);
            AttemptResult::Failed(FailedAttempt {
                endpoint,
                at_fault,
                kind,
                exchange: ExchangeEnd::Broken,
                reason,
            })
        }
    }
}

/// Waits until engines of the target are lost and the request cannot be moved around them.
async fn watch_for_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    target: &mut Target,
) -> Loss {
    let mut since = Instant::now();
    let mut timer = SilenceTimer::new(gap_objective(job));
    loop {
        smol::Timer::after(timer.wait()).await;
        if gateway.has_lost_link(&target.endpoint, job.last_transit.get()) {
            return Loss::of_link();
        }
        let active_route = ActiveRoute {
            endpoint: &target.endpoint,
            address: target.address,
            path: target.path.as_ref(),
            since,
            last_data_at: None,
        };
        let silence = timer.on_silence();
        if silence == Silence::Long
            && let Some(vm) = job.last_hop.get()
            && gateway.hop_is_lost(vm, &target.endpoint, target.address).await
        {
            return Loss::of_link();
        }
        let Some(loss) = detect_loss(gateway, job, active_route, silence).await else {
            continue;
        };
        match move_request(gateway, job, active_route, &loss).await {
            Some(path) => {
                job.delivery.on_moved();
                target.path = Some(path);
                since = Instant::now();
            }
            None if loss.is_certain => return loss,
            None => {}
        }
    }
}

fn gap_objective(job: &Job) -> Option<Duration> {
    match job.route.kind {
        WorkKind::Stream(rules) => rules.gap_objective,
        WorkKind::Call(_) => None,
    }
}
