//! Sends a stream's request once and waits for the head of the reply.

use super::continuation::{Acceptance, Continuation, Continuer};
use super::loss::{ActiveRoute, Loss, Move, PendingMoves};
use super::target::Target;
use super::watch::{Check, Finding, SilenceWatch};
use crate::connection_pool::PooledConnection;
use crate::crashes::BrokenSend;
use crate::endpoints::{Evidence, InFlightGuard, RequestPart};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::{Job, engine_shares};
use crate::retries::SendFailureKind;
use crate::sending::{Destination, SendOutcome, SendRoute, buffer_reply, send};
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use sillbank_quarantine::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

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
    pub(super) in_flight: InFlightGuard,
    /// Moves of the request, until it goes on there.
    pub(super) moves: PendingMoves,
    /// A check that was in progress when the head of the reply arrived.
    pub(super) check: Option<Check>,
    /// When the request was sent or last moved.
    pub(super) sent_at: Instant,
    /// When the request was sent.
    pub(super) opened_at: Instant,
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

    /// The body, and the route that is checked while no data arrives.
    pub(super) fn split(&mut self) -> (&mut Incoming, UpstreamRoute<'_>) {
        let route = UpstreamRoute {
            endpoint: &self.endpoint,
            address: self.address,
            path: self.path.as_ref(),
            connection: &self.connection,
            since: self.sent_at,
            last_data_at: self.last_data_at.unwrap_or(self.opened_at),
        };
        (&mut self.body, route)
    }

    /// The stream takes another path from now on.
    pub(super) fn on_moved(&mut self, moved: Move) {
        self.path = Some(self.moves.add(moved));
        self.sent_at = Instant::now();
    }

    /// Records that an event arrived, so that all engines of the path have processed the request.
    /// Returns true once, when the request has run here past the suspicion window.
    pub(super) fn on_event(&mut self, now: Instant) -> bool {
        self.moves.complete(&mut self.in_flight, now);
        let first = *self.first_event_at.get_or_insert(now);
        let has_passed = now.saturating_duration_since(first) >= SUSPICION_WINDOW;
        has_passed && !std::mem::replace(&mut self.has_passed_suspicion_window, true)
    }
}

/// The route of a stream that an endpoint is sending.
pub(super) struct UpstreamRoute<'a> {
    endpoint: &'a EndpointId,
    address: SocketAddr,
    path: Option<&'a LayerPath>,
    connection: &'a PooledConnection,
    since: Instant,
    last_data_at: Instant,
}

impl UpstreamRoute<'_> {
    pub(super) fn to_active(&self) -> ActiveRoute {
        ActiveRoute {
            endpoint: self.endpoint.clone(),
            address: self.address,
            path: self.path.cloned(),
            transit: Some(self.connection.transit()),
            hop: self.connection.hop.as_ref().map(|hop| hop.vm),
            since: self.since,
            last_data_at: self.last_data_at,
        }
    }
}

/// Reply of an endpoint: an open stream with its status, or the endpoint's own failure.
pub(super) enum UpstreamReply {
    Stream(Box<Upstream>, StatusCode),
    Failure(Response<ReplyBody>),
}

impl UpstreamReply {
    /// Endpoint that sends the stream; empty for a failure.
    pub(super) fn endpoint(&self) -> &str {
        match self {
            Self::Stream(upstream, _) => &upstream.endpoint,
            Self::Failure(_) => "",
        }
    }
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

/// How the exchange of one send ended.
enum SendEnd {
    /// The endpoint replied, or the connection failed.
    Sent(SendOutcome),
    /// Another endpoint replied first.
    Replaced(UpstreamReply),
    /// The request was given up there, as it cannot continue.
    Abandoned(Loss),
}

/// Sends a stream's request to a target once. While the reply is awaited, the request may be moved
/// around lost engines, and other endpoints than those in `tried` are looked for.
pub(super) async fn send_once<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    mut target: Target,
    resume_after: Option<EventNumber>,
    tried: &[EndpointId],
) -> AttemptResult {
    let sent_at = Instant::now();
    let shares = match (&target.path, &job.service.engine) {
        (Some(path), Some(figures)) => engine_shares(path, job.demand(figures)),
        _ => vec![RequestPart { endpoint: target.endpoint.clone(), kv: 0.0 }],
    };
    let in_flight = gateway.endpoint_tracker.start(shares, sent_at);
    let mut moves = PendingMoves::default();
    let endpoint = target.endpoint.clone();
    let incarnation = gateway.incarnation_name(&endpoint);
    let path = target.path.clone();
    let route = SendRoute::default();
    let to = Destination {
        endpoint: &endpoint,
        address: target.address,
        path: path.as_ref(),
        route: &route,
    };
    let mut continuer = Continuer::new(gateway, job, Acceptance::Head, tried);
    let mut watch = SilenceWatch::new(gateway, job);
    let watched = WatchedSend {
        target: &mut target,
        moves: &mut moves,
        route: &route,
        incarnation: &incarnation,
    };
    let replaced = watched.until_replaced(&mut watch, &mut continuer, resume_after);
    let sent = futures_lite::future::or(
        async { SendEnd::Sent(send(gateway, job, to, resume_after).await) },
        replaced,
    )
    .await;
    let outcome = match sent {
        SendEnd::Sent(outcome @ SendOutcome::Success(..)) => outcome,
        SendEnd::Sent(outcome) => match continuer.try_finish(resume_after).await {
            Some(reply) => return AttemptResult::Replied(reply),
            None => {
                continuer.restore_send();
                outcome
            }
        },
        SendEnd::Replaced(reply) => {
            gateway.decisions.continued(job, Some(&endpoint), reply.endpoint());
            return AttemptResult::Replied(reply);
        }
        SendEnd::Abandoned(loss) => {
            return AttemptResult::Failed(FailedAttempt {
                endpoint,
                at_fault: loss.engines.into_iter().next(),
                kind: SendFailureKind::MayHaveRun,
                exchange: ExchangeEnd::Abandoned,
                reason: loss.reason,
            });
        }
    };
    let failed = |at_fault, kind, reason| {
        AttemptResult::Failed(FailedAttempt {
            endpoint: endpoint.clone(),
            at_fault,
            kind,
            exchange: ExchangeEnd::Complete,
            reason,
        })
    };
    match outcome {
        SendOutcome::Success(reply, connection) => {
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
                in_flight,
                moves,
                check: watch.into_check(),
                sent_at,
                opened_at: sent_at,
                last_data_at: None,
                first_event_at: None,
                has_passed_suspicion_window: false,
            };
            AttemptResult::Replied(UpstreamReply::Stream(Box::new(upstream), status))
        }
        SendOutcome::Failure(reply, connection) => {
            gateway.on_evidence(&endpoint, Evidence::Failed, sent_at, "a stream failed to open");
            let status = reply.status();
            if job.is_idempotent() && job.may_send_again(Instant::now()) {
                let reason = format!("the endpoint failed with status {}", status.as_u16());
                return failed(None, SendFailureKind::MayHaveRun, reason);
            }
            match buffer_reply(reply, &connection, MAX_FAILURE_BYTES, &gateway.memory_budget).await
            {
                Ok(buffered) => {
                    gateway.keep_connection(&endpoint, connection, &buffered.head);
                    AttemptResult::Replied(UpstreamReply::Failure(buffered.reply))
                }
                Err(reason) => failed(None, SendFailureKind::MayHaveRun, reason),
            }
        }
        SendOutcome::NotRun(refusal) => {
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
        SendOutcome::NoLink(reason) => failed(None, SendFailureKind::NotSent, reason),
        SendOutcome::NotSent(reason) => {
            gateway.on_evidence(&endpoint, Evidence::Unreachable, sent_at, &reason);
            failed(None, SendFailureKind::NotSent, reason)
        }
        SendOutcome::HopLost(reason) => failed(None, SendFailureKind::LinkLost, reason),
        SendOutcome::Lost(reason) => {
            gateway.on_send_trouble(&endpoint, route.transit());
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

/// A send whose reply is awaited.
struct WatchedSend<'a> {
    target: &'a mut Target,
    moves: &'a mut PendingMoves,
    route: &'a SendRoute,
    incarnation: &'a str,
}

impl WatchedSend<'_> {
    /// Moves the request around lost engines and looks for another endpoint, until one has replied or
    /// the request cannot continue where it is.
    async fn until_replaced<W: Wire, S: MetadataStore>(
        self,
        watch: &mut SilenceWatch<W, S>,
        continuer: &mut Continuer<W, S>,
        resume_after: Option<EventNumber>,
    ) -> SendEnd {
        let sent_at = Instant::now();
        let mut since = sent_at;
        loop {
            let active_route = || ActiveRoute {
                endpoint: self.target.endpoint.clone(),
                address: self.target.address,
                path: self.target.path.clone(),
                transit: self.route.transit(),
                hop: self.route.hop(),
                since,
                last_data_at: sent_at,
            };
            let finding = async { Ok(watch.next(active_route).await) };
            let continued = async { Err(continuer.next(resume_after).await) };
            match futures_lite::future::or(continued, finding).await {
                Ok(Finding::Nothing) => {}
                Ok(Finding::Moved(moved)) => {
                    since = Instant::now();
                    self.target.path = Some(self.moves.add(moved));
                    continuer.on_moved();
                }
                Ok(Finding::Doubted(loss)) => {
                    let present = BrokenSend {
                        endpoint: self.target.endpoint.clone(),
                        address: self.target.address,
                        incarnation: self.incarnation.to_owned(),
                        sent_at,
                        broke_at: Instant::now(),
                        first_event_at: None,
                    };
                    continuer.on_doubt(present, loss);
                }
                Err(Continuation::Elsewhere(reply)) => return SendEnd::Replaced(reply),
                Err(Continuation::Release(loss)) => return SendEnd::Abandoned(loss),
                // Its connection has not ended.
                Err(Continuation::GiveUp(_)) => std::future::pending().await,
            }
        }
    }
}
