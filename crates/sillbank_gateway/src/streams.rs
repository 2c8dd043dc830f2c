//! Streams: begun on a path, relayed event by event, taken up elsewhere when the path breaks.

use crate::answers::{give_up, out_of_time, outcome_of, reply_of};
use crate::channels::Channel;
use crate::decisions::{Outcome, SendEnd};
use crate::doctor::{Diagnosis, diagnose};
use crate::endpoints::{Evidence, InFlight};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::{Job, endpoints_of};
use crate::metrics::KindLabel;
use crate::paths::{choose_mended_path, choose_path};
use crate::sending::{Destination, Sent, caller_head, read_whole, send};
use crate::store::MetadataStore;
use crate::tries::{Left, Tries};
use crate::wire::{EventNumber, OrderEnd, Wire};
use http_body_util::BodyExt;
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

/// Silence after which a stream's first endpoint is asked what it waits for. Events come every few
/// tens of milliseconds; callers give a stream up after two seconds.
const DOUBT: Duration = Duration::from_millis(450);
/// How long an engine may take to move a request to another path.
const MOVE_LIMIT: Duration = Duration::from_millis(400);
/// Bytes that may wait for a slow caller before the endpoint is made to wait too.
const MAX_WAITING_BYTES: usize = 64 << 10;
/// Longest body of a failure that is passed on.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A stream that an endpoint sends.
struct Upstream {
    body: Incoming,
    head: HeaderMap,
    channel: Channel,
    path: Option<LayerPath>,
    endpoint: EndpointId,
    address: SocketAddr,
    splitter: EventSplitter,
    _in_flight: InFlight,
    sent_at: Instant,
}

/// A stream that was begun, with the head for the caller, or an endpoint's own failure.
enum Begun {
    Stream(Box<Upstream>, StatusCode),
    Failure(Response<ReplyBody>),
}

/// Answers a stream's request.
pub async fn answer<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    rules: StreamRules,
) -> Response<ReplyBody> {
    let mut watch = StreamWatch::new(gateway, job);
    let late = async {
        smol::Timer::at(job.deadline).await;
        Err(out_of_time(job.run.get()))
    };
    match futures_lite::future::or(begin(gateway, job, None, Vec::new()), late).await {
        Ok(Begun::Stream(upstream, status)) => {
            gateway.on_first_answer(job);
            let (outbox, body) = Outbox::new();
            let mut reply = Response::new(ReplyBody::Stream(body));
            *reply.status_mut() = status;
            *reply.headers_mut() = upstream.head.clone();
            let pump = Pump {
                gateway: gateway.clone(),
                job: job.clone(),
                rules,
                outbox,
                last: job.head.resume_after,
                events: 0,
            };
            gateway.executor.spawn(pump.run(*upstream, watch)).detach();
            caller_head(reply)
        }
        Ok(Begun::Failure(reply)) => {
            watch.end(Outcome::Answered, reply.status().as_u16(), 0, "the endpoint's own failure");
            reply
        }
        Err(failure) => {
            let status = failure.kind.http_status();
            watch.end(outcome_of(&failure), status, 0, &failure.reason);
            reply_of::<W>(&failure)
        }
    }
}

/// Logs how a stream ended; if nothing else ended it, its caller left.
struct StreamWatch<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    ended: bool,
}

impl<W: Wire, S: MetadataStore> StreamWatch<W, S> {
    fn new(gateway: &Rc<Gateway<W, S>>, job: &Rc<Job>) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        Self { gateway: gateway.clone(), job: job.clone(), ended: false }
    }

    fn end(&mut self, outcome: Outcome, status: u16, events: u64, reason: &str) {
        self.ended = true;
        self.gateway.on_end(&self.job, outcome, status, events, reason);
    }
}

impl<W: Wire, S: MetadataStore> Drop for StreamWatch<W, S> {
    fn drop(&mut self) {
        self.gateway.in_progress.set(self.gateway.in_progress.get() - 1);
        if !self.ended {
            self.end(Outcome::CallerLeft, 0, 0, "the caller left");
        }
    }
}

/// Sends a stream's request until an endpoint takes it. `avoid` are endpoints not to be used.
async fn begin<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    resume_after: Option<EventNumber>,
    mut avoid: Vec<EndpointId>,
) -> Result<Begun, Failure> {
    let mut tries = Tries::default();
    loop {
        let Some(target) = choose_target(gateway, job, &avoid) else {
            return Err(give_up(job.run.get(), FailureKind::NoChain, "no path covers the model"));
        };
        tries.begin(job);
        let sent_at = Instant::now();
        let stamp = gateway.knowledge.stamp(sent_at);
        gateway.decisions.sent(job, &target.endpoint, target.path.as_ref(), resume_after, stamp);
        let end = match send_once(gateway, job, target, resume_after).await {
            SendOnce::Begun(begun) => return Ok(begun),
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
            return Err(give_up(job.run.get(), FailureKind::NoChain, &end.reason));
        }
    }
}

/// Where a stream's request goes.
struct Target {
    endpoint: EndpointId,
    address: SocketAddr,
    path: Option<LayerPath>,
}

fn choose_target<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    avoid: &[EndpointId],
) -> Option<Target> {
    let now = Instant::now();
    let home = gateway.settings().hall.clone();
    let Some(figures) = &job.service.engine else {
        return gateway.knowledge.endpoints(|directory| {
            let usable = directory.usable_of(&job.service.name);
            let fits =
                usable.filter(|r| !avoid.contains(&r.id) && gateway.book.takes_work(&r.id, now));
            let best = fits.min_by_key(|r| (gateway.book.in_flight(&r.id), r.hall != home))?;
            Some(Target { endpoint: best.id.clone(), address: best.address, path: None })
        });
    };
    let path = choose_path(gateway.views(now), &job.service, figures, &home, avoid)?;
    let first = path.first();
    Some(Target { endpoint: first.endpoint.clone(), address: first.address, path: Some(path) })
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
    let members = match &target.path {
        Some(path) => endpoints_of(path),
        None => vec![target.endpoint.clone()],
    };
    let in_flight = gateway.book.begin(members, sent_at);
    let endpoint = target.endpoint.clone();
    let sent_path = target.path.clone();
    let to = Destination { endpoint: &endpoint, address: target.address, path: sent_path.as_ref() };
    let lost = doubt(gateway, job, &mut target);
    let sent =
        futures_lite::future::or(async { Ok(send(gateway, job, to, resume_after).await) }, async {
            Err(lost.await)
        })
        .await;
    let ended = |at_fault, left, reason| {
        SendOnce::Ended(SendFailed { endpoint: endpoint.clone(), at_fault, left, reason })
    };
    match sent {
        Err((at_fault, reason)) => ended(Some(at_fault), Left::MayHaveRun, reason),
        Ok(Sent::Success(reply, channel)) => {
            gateway.on_evidence(&endpoint, Evidence::Good, "a stream");
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
            gateway.on_evidence(&endpoint, Evidence::Failed, "a stream");
            let status = reply.status();
            if job.may_repeat() && job.may_send_again(Instant::now()) {
                let reason = format!("the endpoint failed with status {}", status.as_u16());
                return ended(None, Left::MayHaveRun, reason);
            }
            match read_whole(reply, MAX_FAILURE_BYTES).await {
                Ok((reply, head)) => {
                    gateway.channels.give_back(&endpoint, channel, &head, Instant::now());
                    SendOnce::Begun(Begun::Failure(reply))
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
            if refusal.misdirected || at_fault.is_some() {
                gateway.on_evidence(blamed, Evidence::LacksPart, &reason);
            }
            ended(at_fault, Left::NotRun, reason)
        }
        Ok(Sent::NotSent(reason)) => {
            gateway.on_evidence(&endpoint, Evidence::Unreachable, &reason);
            ended(None, Left::NotSent, reason)
        }
        Ok(Sent::Lost(reason)) => {
            gateway.on_evidence(&endpoint, Evidence::Failed, &reason);
            ended(None, Left::MayHaveRun, reason)
        }
    }
}

/// Waits until an endpoint of the target is found to be lost and cannot be replaced; answers which,
/// and why.
async fn doubt<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    target: &mut Target,
) -> (EndpointId, String) {
    let mut sent_at = Instant::now();
    loop {
        smol::Timer::after(DOUBT).await;
        let found = look_for_loss(
            gateway,
            job,
            &target.endpoint,
            target.address,
            target.path.as_ref(),
            sent_at,
        )
        .await;
        let Some((lost, reason)) = found else {
            continue;
        };
        match move_request(gateway, job, target.address, target.path.as_ref(), &lost).await {
            Some(path) => {
                target.path = Some(path);
                sent_at = Instant::now();
            }
            None => return (lost, reason),
        }
    }
}

/// Asks whether an endpoint of a path is lost; one that others found lost already counts.
async fn look_for_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    first: &str,
    address: SocketAddr,
    path: Option<&LayerPath>,
    sent_at: Instant,
) -> Option<(EndpointId, String)> {
    if let Some(path) = path {
        let is_lost = |part: &&PathPart| gateway.book.ejected_since(&part.endpoint, sent_at);
        let lost = path.parts().iter().find(is_lost);
        if let Some(part) = lost {
            return Some((part.endpoint.clone(), "a part of the path is left alone".to_owned()));
        }
    }
    match diagnose(gateway, address, &job.head.request_id).await {
        Diagnosis::Working => None,
        Diagnosis::Silent(reason) => {
            gateway.on_evidence(first, Evidence::Unreachable, &reason);
            Some((first.to_owned(), reason))
        }
        Diagnosis::WaitsFor(address) => {
            let part = path.and_then(|path| path.at(address))?;
            let reason = "the first endpoint waits for it".to_owned();
            gateway.on_evidence(&part.endpoint, Evidence::Unreachable, &reason);
            Some((part.endpoint.clone(), reason))
        }
    }
}

/// Moves a request to a path on which others run the lost part; answers the path if that was taken.
async fn move_request<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    first: SocketAddr,
    path: Option<&LayerPath>,
    lost: &str,
) -> Option<LayerPath> {
    let (path, figures) = (path?, job.service.engine.as_ref()?);
    let home = gateway.settings().hall.clone();
    let views = gateway.views(Instant::now());
    let mended = choose_mended_path(views, &job.service, figures, &home, path, lost)?;
    let call = W::move_call(&job.head.request_id, &mended);
    let ended = gateway.engine_calls.call(first, call, MOVE_LIMIT).await;
    let end = match &ended {
        Ok(reply) => W::read_order_end(reply.status),
        Err(_) => OrderEnd::Refused,
    };
    let is_moved = matches!(end, OrderEnd::Begun | OrderEnd::Done);
    gateway.metrics.moves.get_or_create(&KindLabel { kind: end.name() }).inc();
    gateway.decisions.moved(job, lost, &mended, end, gateway.knowledge.stamp(Instant::now()));
    is_moved.then_some(mended)
}

/// Moves events from endpoints to one caller.
struct Pump<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    rules: StreamRules,
    outbox: Outbox,
    /// Number of the last event that went to the caller.
    last: Option<EventNumber>,
    events: u64,
}

/// How one endpoint's part of a stream ended.
enum PartEnd {
    /// It was whole.
    Whole,
    /// It broke; the endpoint at fault if another than the first, and why.
    Broken(Option<EndpointId>, String),
}

impl<W: Wire, S: MetadataStore> Pump<W, S> {
    async fn run(mut self, upstream: Upstream, mut watch: StreamWatch<W, S>) {
        let outbox = self.outbox.clone();
        let deadline = self.job.deadline;
        let gone = async {
            std::future::poll_fn(|context| outbox.poll_gone(context)).await;
            (Outcome::CallerLeft, "the caller left".to_owned())
        };
        let late = async {
            smol::Timer::at(deadline).await;
            (Outcome::BrokenOff, "its time was over".to_owned())
        };
        let relay = self.relay(upstream);
        let ending = futures_lite::future::or(relay, futures_lite::future::or(gone, late)).await;
        let (outcome, reason) = ending;
        if outcome == Outcome::Answered {
            self.outbox.close();
        } else {
            self.outbox.break_off();
        }
        watch.end(outcome, StatusCode::OK.as_u16(), self.events, &reason);
    }

    async fn relay(&mut self, mut upstream: Upstream) -> (Outcome, String) {
        loop {
            let (at_fault, reason) = match self.relay_part(&mut upstream).await {
                PartEnd::Whole => {
                    let Upstream { channel, endpoint, head, .. } = upstream;
                    self.gateway.channels.give_back(&endpoint, channel, &head, Instant::now());
                    return (Outcome::Answered, String::new());
                }
                PartEnd::Broken(at_fault, reason) => (at_fault, reason),
            };
            self.gateway.decisions.send_failed(
                &self.job,
                &SendEnd {
                    endpoint: &upstream.endpoint,
                    at_fault: at_fault.as_deref(),
                    run: self.job.run.get().state(),
                    reason: &reason,
                    after: upstream.sent_at.elapsed(),
                },
            );
            let avoid = vec![at_fault.unwrap_or_else(|| upstream.endpoint.clone())];
            drop(upstream);
            match self.resume(avoid).await {
                Some(next) => upstream = next,
                None => return (Outcome::BrokenOff, reason),
            }
        }
    }

    /// Takes the stream up at another path, if that is allowed.
    async fn resume(&self, avoid: Vec<EndpointId>) -> Option<Upstream> {
        if !self.rules.resumable || !self.gateway.may_send_again(&self.job) {
            return None;
        }
        match begin(&self.gateway, &self.job, self.last, avoid).await {
            Ok(Begun::Stream(upstream, _)) => {
                self.gateway.metrics.resumes.inc();
                Some(*upstream)
            }
            Ok(Begun::Failure(_)) | Err(_) => None,
        }
    }

    async fn relay_part(&mut self, upstream: &mut Upstream) -> PartEnd {
        let mut silence = smol::Timer::after(DOUBT);
        loop {
            let next = async { Some(upstream.body.frame().await) };
            let silent = async {
                (&mut silence).await;
                None
            };
            let Some(frame) = futures_lite::future::or(next, silent).await else {
                let found = look_for_loss(
                    &self.gateway,
                    &self.job,
                    &upstream.endpoint,
                    upstream.address,
                    upstream.path.as_ref(),
                    upstream.sent_at,
                )
                .await;
                if let Some((lost, reason)) = found {
                    let (address, path) = (upstream.address, upstream.path.as_ref());
                    let moved = move_request(&self.gateway, &self.job, address, path, &lost).await;
                    let Some(path) = moved else {
                        return PartEnd::Broken(Some(lost), reason);
                    };
                    upstream.path = Some(path);
                    upstream.sent_at = Instant::now();
                }
                silence.set_after(DOUBT);
                continue;
            };
            match frame {
                None if upstream.splitter.holds_part() => {
                    return PartEnd::Broken(None, "the stream ended within an event".to_owned());
                }
                None => return PartEnd::Whole,
                Some(Err(error)) => {
                    return PartEnd::Broken(None, format!("the stream broke: {error}"));
                }
                Some(Ok(frame)) => {
                    silence.set_after(DOUBT);
                    if let Some(data) = frame.data_ref()
                        && let Err(reason) = self.relay_bytes(&mut upstream.splitter, data)
                    {
                        return PartEnd::Broken(None, reason);
                    }
                }
            }
            if self.outbox.waiting_bytes() > MAX_WAITING_BYTES {
                self.outbox.drained_to(MAX_WAITING_BYTES / 2).await;
                silence.set_after(DOUBT);
            }
        }
    }

    /// Hands whole events on; an event the caller has already is left out.
    fn relay_bytes(&mut self, splitter: &mut EventSplitter, data: &[u8]) -> Result<(), String> {
        splitter.push(data).map_err(|error| error.to_string())?;
        while let Some(event) = splitter.next_event() {
            if let (Some(last), Some(number)) = (self.last, event.number) {
                if number <= last {
                    continue;
                }
                if number > last + 1 {
                    return Err(format!("event {number} came after event {last}"));
                }
            }
            self.last = event.number.or(self.last);
            self.events += 1;
            self.outbox.write(&event.bytes);
        }
        Ok(())
    }
}
