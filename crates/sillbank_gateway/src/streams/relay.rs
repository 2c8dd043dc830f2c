//! Relays a stream's events, and resumes the stream elsewhere when its endpoint is lost.

use super::StreamGuard;
use super::attempt::{Upstream, UpstreamReply};
use super::loss::{Loss, Silence, SilenceTimer, detect_loss, move_request};
use super::open::open_stream;
use crate::crashes::{BreakCause, check_abandoned_send, check_broken_send, crashed_at_close};
use crate::decisions::{FailedSend, Outcome};
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::sending::ends_with_connection;
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use http_body_util::BodyExt;
use hyper::StatusCode;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Bytes buffered for a slow caller above which reading from the endpoint stops.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Relays events from endpoints to one caller.
pub(super) struct StreamRelay<W: Wire, S: MetadataStore> {
    pub(super) gateway: Rc<Gateway<W, S>>,
    pub(super) job: Rc<Job>,
    pub(super) rules: StreamRules,
    pub(super) outbox: Outbox,
    /// Memory budget taken by an incomplete event.
    pub(super) partial_event_memory: Option<MemoryReservation>,
    /// Number of the last event that was sent to the caller.
    pub(super) last_number: Option<EventNumber>,
    pub(super) events: u64,
}

/// How the part of a stream that one endpoint sent ended.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint closed the connection, which ends a stream without other framing.
    Closed,
    /// The stream broke: the endpoint at fault if it is not the first one, and the reason.
    Broken(Option<EndpointId>, String),
    /// This VM's link to the endpoint was lost, or the VM that passed the connection on; the reason.
    LinkLost(String),
}

/// What broke a stream.
enum Fault {
    /// The endpoint of the path that is named, else the first one.
    Endpoint(Option<EndpointId>),
    /// The link to the first endpoint; all endpoints may be used again.
    Link,
}

impl Fault {
    fn endpoint(&self) -> Option<&str> {
        match self {
            Self::Endpoint(at_fault) => at_fault.as_deref(),
            Self::Link => None,
        }
    }
}

/// Result of a check of a silent stream.
enum LossCheck {
    /// No engine was found lost.
    NoLoss,
    /// An engine is lost; the stream was moved, or may continue where it is.
    Recoverable,
    /// An engine is lost and the stream cannot continue.
    Fatal(Loss),
}

impl<W: Wire, S: MetadataStore> StreamRelay<W, S> {
    pub(super) async fn run(mut self, upstream: Upstream, mut guard: StreamGuard<W, S>) {
        let outbox = self.outbox.clone();
        let deadline = self.job.deadline;
        let caller_gone = async {
            std::future::poll_fn(|context| outbox.poll_reader_closed(context)).await;
            match outbox.reader_cut_off() {
                true => (Outcome::Aborted, "the caller read nothing for too long".to_owned()),
                false => (Outcome::CallerLeft, "the caller left".to_owned()),
            }
        };
        let past_deadline = async {
            smol::Timer::at(deadline).await;
            (Outcome::Aborted, "the deadline passed".to_owned())
        };
        let relay = self.relay(upstream);
        let end =
            futures_lite::future::or(relay, futures_lite::future::or(caller_gone, past_deadline))
                .await;
        let (outcome, reason) = end;
        if outcome == Outcome::Answered {
            self.outbox.close();
        } else {
            self.outbox.abort();
        }
        guard.end(outcome, StatusCode::OK.as_u16(), self.events, &reason);
    }

    async fn relay(&mut self, mut upstream: Upstream) -> (Outcome, String) {
        loop {
            let (fault, reason) = match self.relay_segment(&mut upstream).await {
                SegmentEnd::Complete => {
                    self.gateway.on_request_survived(&self.job);
                    let Upstream { connection, endpoint, head, .. } = upstream;
                    self.gateway.keep_connection(&endpoint, connection, &head);
                    return (Outcome::Answered, String::new());
                }
                SegmentEnd::Closed => return (Outcome::Answered, String::new()),
                SegmentEnd::Broken(at_fault, reason) => (Fault::Endpoint(at_fault), reason),
                SegmentEnd::LinkLost(reason) => (Fault::Link, reason),
            };
            self.gateway.decisions.send_failed(
                &self.job,
                &FailedSend {
                    endpoint: &upstream.endpoint,
                    at_fault: fault.endpoint(),
                    run: self.job.run.get().state(),
                    reason: &reason,
                    after: upstream.sent_at.elapsed(),
                },
            );
            let avoid = self.find_engines_to_avoid(fault, &upstream).await;
            drop(upstream);
            match self.resume(avoid).await {
                Ok(resumed) => upstream = resumed,
                Err(not_resumed) => {
                    self.gateway.decisions.not_resumed(&self.job, &not_resumed);
                    return (Outcome::Aborted, reason);
                }
            }
        }
    }

    /// Finds out what broke the stream, and which endpoints it must not be resumed at.
    async fn find_engines_to_avoid(&self, fault: Fault, upstream: &Upstream) -> Vec<EndpointId> {
        let is_link = match fault {
            Fault::Link => true,
            Fault::Endpoint(Some(at_fault)) => {
                check_abandoned_send(&self.gateway, &self.job, upstream.broken_send());
                return vec![at_fault];
            }
            Fault::Endpoint(None) => {
                self.gateway.on_send_trouble(&self.job, &upstream.endpoint);
                let cause = check_broken_send(&self.gateway, &self.job, upstream.broken_send());
                cause.await == BreakCause::Link
            }
        };
        if is_link {
            self.job.record_link_loss();
            return Vec::new();
        }
        vec![upstream.endpoint.clone()]
    }

    /// Resumes the stream on another path, if that is allowed. The error is the reason why not.
    async fn resume(&self, avoid: Vec<EndpointId>) -> Result<Upstream, String> {
        self.gateway.await_crash_checks(&self.job).await;
        if self.gateway.hold_of(&self.job).is_some() {
            return Err("the request is quarantined".to_owned());
        }
        if !self.rules.resumable {
            return Err("the route's streams are not resumable".to_owned());
        }
        if !self.job.may_send_again(Instant::now()) {
            return Err("the route allows no further send, or no time is left".to_owned());
        }
        if !self.gateway.try_retry(&self.job.service.name) {
            return Err("the retry budget is used up".to_owned());
        }
        match open_stream(&self.gateway, &self.job, self.last_number, avoid).await {
            Ok(UpstreamReply::Stream(upstream, _)) => {
                self.gateway.metrics.resumes.inc();
                Ok(*upstream)
            }
            Ok(UpstreamReply::Failure(reply)) => {
                Err(format!("the endpoint failed with status {}", reply.status().as_u16()))
            }
            Err(failure) => Err(failure.reason),
        }
    }

    async fn relay_segment(&mut self, upstream: &mut Upstream) -> SegmentEnd {
        let activity = upstream
            .path
            .as_ref()
            .map(|path| self.gateway.stream_activity.register(path, Instant::now()));
        let mut silence_timer = SilenceTimer::new(self.rules.gap_objective);
        let mut check_timer = smol::Timer::after(silence_timer.wait());
        let mut last_data_at = Instant::now();
        loop {
            let next = async { Some(upstream.body.frame().await) };
            let timeout = async {
                (&mut check_timer).await;
                None
            };
            let Some(frame) = futures_lite::future::or(next, timeout).await else {
                let silence = silence_timer.on_silence();
                if self
                    .gateway
                    .has_lost_link(&upstream.endpoint, Some(upstream.connection.transit()))
                {
                    let reason = "the link to the endpoint is lost".to_owned();
                    return SegmentEnd::LinkLost(reason);
                }
                if silence == Silence::Long && self.hop_is_lost(upstream).await {
                    let reason = "the VM in between does not answer".to_owned();
                    return SegmentEnd::LinkLost(reason);
                }
                match self.move_around_loss(upstream, silence).await {
                    LossCheck::NoLoss if silence != Silence::Long => silence_timer.on_false_alarm(),
                    LossCheck::NoLoss | LossCheck::Recoverable => {}
                    LossCheck::Fatal(loss) => {
                        return SegmentEnd::Broken(loss.engines.into_iter().next(), loss.reason);
                    }
                }
                if let (Some(activity), Some(path)) = (&activity, &upstream.path) {
                    activity.on_moved(path);
                }
                check_timer.set_after(silence_timer.wait());
                continue;
            };
            let now = Instant::now();
            silence_timer.on_data(now.saturating_duration_since(last_data_at));
            last_data_at = now;
            if let Some(activity) = &activity {
                activity.on_event(now);
            }
            check_timer.set_after(silence_timer.wait());
            match frame {
                None if upstream.splitter.has_partial_event() => {
                    return SegmentEnd::Broken(None, "the stream ended within an event".to_owned());
                }
                None if !ends_with_connection(&upstream.head) => return SegmentEnd::Complete,
                None if crashed_at_close(&self.gateway, &upstream.broken_send()).await => {
                    let reason = "the endpoint crashed when it closed the connection".to_owned();
                    return SegmentEnd::Broken(None, reason);
                }
                None => return SegmentEnd::Closed,
                Some(Err(error)) if upstream.connection.hop_is_lost() => {
                    return SegmentEnd::LinkLost(format!("the VM in between was lost: {error}"));
                }
                Some(Err(error)) => {
                    return SegmentEnd::Broken(None, format!("the stream broke: {error}"));
                }
                Some(Ok(frame)) => {
                    upstream.last_data_at = Some(now);
                    if upstream.passes_suspicion_window(now) {
                        self.gateway.on_request_survived(&self.job);
                    }
                    if let Some(data) = frame.data_ref()
                        && let Err(reason) = self.relay_bytes(&mut upstream.splitter, data)
                    {
                        return SegmentEnd::Broken(None, reason);
                    }
                }
            }
            if self.outbox.buffered_bytes() > MAX_BUFFERED_BYTES {
                self.outbox.drained_to(MAX_BUFFERED_BYTES / 2).await;
                // Reading from the endpoint was suspended, so this time is not a pause of the
                // endpoint.
                last_data_at = Instant::now();
                check_timer.set_after(silence_timer.wait());
            }
        }
    }

    async fn hop_is_lost(&self, upstream: &Upstream) -> bool {
        let Some(hop) = &upstream.connection.hop else { return false };
        self.gateway.hop_is_lost(hop.vm, &upstream.endpoint, upstream.address).await
    }

    /// Checks for lost engines and moves the stream around them.
    async fn move_around_loss(&self, upstream: &mut Upstream, silence: Silence) -> LossCheck {
        let active_route = upstream.active_route();
        let Some(loss) = detect_loss(&self.gateway, &self.job, active_route, silence).await else {
            return LossCheck::NoLoss;
        };
        match move_request(&self.gateway, &self.job, active_route, &loss).await {
            Some(path) => {
                self.job.delivery.on_moved();
                upstream.path = Some(path);
                upstream.sent_at = Instant::now();
                LossCheck::Recoverable
            }
            None if loss.is_certain => LossCheck::Fatal(loss),
            None => LossCheck::Recoverable,
        }
    }

    /// Sends complete events to the caller; skips events that the caller already has.
    fn relay_bytes(&mut self, splitter: &mut EventSplitter, data: &[u8]) -> Result<(), String> {
        splitter.push(data).map_err(|error| error.to_string())?;
        while let Some(event) = splitter.next_event() {
            if let (Some(last_number), Some(number)) = (self.last_number, event.number) {
                if number <= last_number {
                    continue;
                }
                if number > last_number + 1 {
                    return Err(format!("event {number} came after event {last_number}"));
                }
            }
            self.last_number = event.number.or(self.last_number);
            self.events += 1;
            self.job.delivery.on_event(self.job.received_at, Instant::now());
            self.outbox.write(&event.bytes);
        }
        self.reserve_partial_event(splitter.buffered_bytes())
    }

    /// Charges the bytes of an incomplete event to the VM's memory budget.
    fn reserve_partial_event(&mut self, bytes: usize) -> Result<(), String> {
        let Some(partial_event_memory) = &mut self.partial_event_memory else {
            self.partial_event_memory = self.gateway.memory_budget.try_reserve(bytes);
            return self.partial_event_memory.as_ref().map(|_| ()).ok_or_else(out_of_memory);
        };
        partial_event_memory.try_resize(bytes).then_some(()).ok_or_else(out_of_memory)
    }
}

fn out_of_memory() -> String {
    "no memory left to buffer an incomplete event".to_owned()
}
