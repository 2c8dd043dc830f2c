//! Begins a stream: sends its request until an endpoint takes it.

use super::loss::{ActiveRoute, Loss, SilenceTimer, look_for_loss, move_request};
use crate::answers::{COME_BACK_UNINFORMED, give_up};
use crate::channels::Channel;
use crate::decisions::SendEnd;
use crate::endpoints::{Evidence, InFlight, Share};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::{Job, path_ask, shares_of};
use crate::load::LoadAsk;
use crate::paths::{choose_any_path, choose_path};
use crate::sending::{Destination, Sent, read_whole, send};
use crate::store::MetadataStore;
use crate::tries::{Left, Tries};
use crate::wire::{EventNumber, Wire};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest body of a failure that is passed on.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A stream that an endpoint sends.
pub(super) struct Upstream {
    pub(super) body: Incoming,
    pub(super) head: HeaderMap,
    pub(super) channel: Channel,
    pub(super) path: Option<LayerPath>,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) splitter: EventSplitter,
    pub(super) _in_flight: InFlight,
    pub(super) sent_at: Instant,
}

impl Upstream {
    pub(super) fn active_route(&self) -> ActiveRoute<'_> {
        ActiveRoute {
            endpoint: &self.endpoint,
            address: self.address,
            path: self.path.as_ref(),
            since: self.sent_at,
        }
    }
}

/// A stream that was begun, with the head for the caller, or an endpoint's own failure.
pub(super) enum Begun {
    Stream(Box<Upstream>, StatusCode),
    Failure(Response<ReplyBody>),
}

/// Sends a stream's request until an endpoint takes it. `avoid` are endpoints not to be used.
pub(super) async fn begin<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    resume_after: Option<EventNumber>,
    mut avoid: Vec<EndpointId>,
) -> Result<Begun, Failure> {
    let mut tries = Tries::default();
    // One that was sent before was let in then, also if no event of it had come.
    let is_new = resume_after.is_none() && job.sends.get() == 0;
    if is_new && let Err(closed) = ask_ladder(gateway, job) {
        return Err(refuse(gateway, job, closed));
    }
    loop {
        let target = match choose_target(gateway, job, resume_after, &avoid) {
            Ok(target) => target,
            Err(reason) => {
                return Err(refuse(gateway, job, reason.text()));
            }
        };
        tries.begin(job);
        let sent_at = Instant::now();
        let stamp = gateway.knowledge.stamp(sent_at);
        gateway.decisions.sent(job, &target.endpoint, target.path.as_ref(), resume_after, stamp);
        let end = match send_once(gateway, job, target, resume_after).await {
            SendOnce::Begun(begun) => {
                gateway.on_let_in(job);
                return Ok(begun);
            }
            SendOnce::Ended(end) => end,
        };
        gateway.decisions.send_failed(
            job,
            &SendEnd {
                endpoint: &end.endpoint,
                at_fault: end.at_fault.as_deref(),
                run: job.run.get().state(),
                reason: &end.reason,
                after: sent_at.elapsed(),
            },
        );
        avoid.push(end.at_fault.unwrap_or(end.endpoint));
        let goes_on = tries.goes_on(gateway, job, end.left);
        if !goes_on {
            return Err(refuse(gateway, job, &end.reason));
        }
    }
}

/// Asks whether there is room for a request of its rank; answers why not.
fn ask_ladder<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
) -> Result<(), &'static str> {
    let Some(figures) = &job.service.engine else {
        return Ok(());
    };
    if !gateway.settings().mechanisms.ladder {
        return Ok(());
    }
    let ask = LoadAsk {
        service: &job.service,
        figures,
        route: &job.route,
        urgency: job.urgency(),
        left: job.head.time_left,
        draw: gateway.chance.fraction(),
    };
    let admitted = gateway.load.admit(gateway.views(Instant::now()), ask);
    let metrics = &gateway.metrics.ladder;
    metrics.on_asked(&job.service.name, ask.urgency, admitted);
    if let Some(believed) = gateway.load.believed(&job.service.name) {
        metrics.show(&job.service.name, believed);
    }
    admitted.map_err(|closed| match closed.is_late {
        true => "no room for its rank, and it comes too late to be in time",
        false => "no room for its rank",
    })
}

/// Gives a request up; one that was not run is told when there may be room. A VM that does not know all
/// endpoints yet knows of no shortage: spaced out as after one, its callers came back after 2, 30, 30 s.
fn refuse<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, job: &Job, reason: &str) -> Failure {
    let failure = give_up(job.run.get(), FailureKind::NoChain, reason);
    match failure.retry_after {
        Some(_) if !gateway.knowledge.knows_endpoints() => {
            failure.retry_after(COME_BACK_UNINFORMED)
        }
        Some(_) if gateway.settings().mechanisms.return_times => {
            failure.retry_after(gateway.come_back(job))
        }
        _ => failure,
    }
}

/// Where a stream's request goes.
struct Target {
    endpoint: EndpointId,
    address: SocketAddr,
    path: Option<LayerPath>,
}

/// Why a request cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoTarget {
    /// Some layers are held by no engine that can be used.
    NoPath,
    /// There is a path, but some of its engines have no room.
    NoRoom,
}

impl NoTarget {
    fn text(self) -> &'static str {
        match self {
            Self::NoPath => "no path covers the model",
            Self::NoRoom => "no path has room",
        }
    }
}

/// The target of a request. One that was begun goes on also where room is short: it has more to lose.
fn choose_target<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    resume_after: Option<EventNumber>,
    avoid: &[EndpointId],
) -> Result<Target, NoTarget> {
    let now = Instant::now();
    let home = gateway.settings().hall.clone();
    let Some(figures) = &job.service.engine else {
        return choose_endpoint(gateway, job, avoid, now).ok_or(NoTarget::NoPath);
    };
    let ask = path_ask(job, figures, &home, avoid);
    let views = gateway.views(now);
    if let Some(path) = choose_path(views, ask) {
        if views.mechanisms.forecasts {
            job.foretold.get_or_init(|| gateway.forecasts.foretell(views, ask, &path));
        }
        return Ok(Target::on(path));
    }
    match choose_any_path(views, ask) {
        Some(path) if resume_after.is_some() => Ok(Target::on(path)),
        Some(_) => Err(NoTarget::NoRoom),
        None => Err(NoTarget::NoPath),
    }
}

impl Target {
    fn on(path: LayerPath) -> Self {
        let first = path.first();
        Self { endpoint: first.endpoint.clone(), address: first.address, path: Some(path) }
    }
}

/// The endpoint of a service without layers that has the least in flight.
fn choose_endpoint<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    avoid: &[EndpointId],
    now: Instant,
) -> Option<Target> {
    let home = gateway.settings().hall.clone();
    gateway.knowledge.endpoints(|directory| {
        let usable = directory.usable_of(&job.service.name);
        let fits = usable.filter(|r| !avoid.contains(&r.id) && gateway.book.takes_work(&r.id, now));
        let best = fits.min_by_key(|r| (gateway.book.in_flight(&r.id), r.hall != home))?;
        Some(Target { endpoint: best.id.clone(), address: best.address, path: None })
    })
}

/// A send that began no stream.
struct SendFailed {
    endpoint: EndpointId,
    at_fault: Option<EndpointId>,
    left: Left,
    reason: String,
}

enum SendOnce {
    Begun(Begun),
    Ended(SendFailed),
}

async fn send_once<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    mut target: Target,
    resume_after: Option<EventNumber>,
) -> SendOnce {
    let sent_at = Instant::now();
    let shares = match (&target.path, &job.service.engine) {
        (Some(path), Some(figures)) => shares_of(path, job.demand(figures)),
        _ => vec![Share { endpoint: target.endpoint.clone(), kv: 0.0 }],
    };
    let in_flight = gateway.book.begin(shares, sent_at);
    let endpoint = target.endpoint.clone();
    let sent_path = target.path.clone();
    let to = Destination { endpoint: &endpoint, address: target.address, path: sent_path.as_ref() };
    let lost = watch_for_loss(gateway, job, &mut target);
    let sent =
        futures_lite::future::or(async { Ok(send(gateway, job, to, resume_after).await) }, async {
            Err(lost.await)
        })
        .await;
    let ended = |at_fault, left, reason| {
        SendOnce::Ended(SendFailed { endpoint: endpoint.clone(), at_fault, left, reason })
    };
    match sent {
        Err(loss) => {
            let at_fault = loss.engines.into_iter().next();
            ended(at_fault, Left::MayHaveRun, loss.reason)
        }
        Ok(Sent::Success(reply, channel)) => {
            gateway.on_evidence(&endpoint, Evidence::Good, sent_at, "a stream");
            let status = reply.status();
            let (head, body) = reply.into_parts();
            let upstream = Upstream {
                body,
                head: head.headers,
                channel,
                path: target.path,
                endpoint: target.endpoint,
                address: target.address,
                splitter: EventSplitter::default(),
                _in_flight: in_flight,
                sent_at,
            };
            SendOnce::Begun(Begun::Stream(Box::new(upstream), status))
        }
        Ok(Sent::Failure(reply, channel)) => {
            gateway.on_evidence(&endpoint, Evidence::Failed, sent_at, "a stream");
            let status = reply.status();
            if job.may_repeat() && job.may_send_again(Instant::now()) {
                let reason = format!("the endpoint failed with status {}", status.as_u16());
                return ended(None, Left::MayHaveRun, reason);
            }
            match read_whole(reply, MAX_FAILURE_BYTES, &gateway.kept).await {
                Ok(whole) => {
                    gateway.keep_channel(&endpoint, channel, &whole.head);
                    SendOnce::Begun(Begun::Failure(whole.reply))
                }
                Err(reason) => ended(None, Left::MayHaveRun, reason),
            }
        }
        Ok(Sent::NotRun(refusal)) => {
            let at_fault = refusal
                .at_fault
                .and_then(|address| Some(target.path.as_ref()?.at(address)?.endpoint.clone()));
            let reason = format!("refused with status {}", refusal.status);
            let blamed = at_fault.as_deref().unwrap_or(&endpoint);
            if !refusal.misdirected {
                gateway.load.on_sent(&job.service.name, false, Instant::now());
            }
            if refusal.misdirected || at_fault.is_some() {
                gateway.on_evidence(blamed, Evidence::LacksPart, sent_at, &reason);
            }
            ended(at_fault, Left::NotRun, reason)
        }
        Ok(Sent::NotSent(reason)) => {
            gateway.on_evidence(&endpoint, Evidence::Unreachable, sent_at, &reason);
            ended(None, Left::NotSent, reason)
        }
        Ok(Sent::Lost(reason)) => {
            gateway.on_evidence(&endpoint, Evidence::Failed, sent_at, &reason);
            ended(None, Left::MayHaveRun, reason)
        }
    }
}

/// Waits until endpoints of the target are found to be lost and cannot be replaced.
async fn watch_for_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    target: &mut Target,
) -> Loss {
    let mut since = Instant::now();
    let mut timer = SilenceTimer::new(gap_objective(job));
    loop {
        smol::Timer::after(timer.wait()).await;
        let active_route = ActiveRoute {
            endpoint: &target.endpoint,
            address: target.address,
            path: target.path.as_ref(),
            since,
        };
        let Some(loss) = look_for_loss(gateway, job, active_route, timer.on_silence()).await else {
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
