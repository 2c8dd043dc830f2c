//! Relays a stream's events, and continues the stream elsewhere when its endpoint is lost or another
//! one has the next event first.

use super::StreamGuard;
use super::attempt::{Upstream, UpstreamReply};
use super::continuation::{Acceptance, Continuation, Continuer};
use super::running::{EndpointState, RunningStream};
use super::watch::{Finding, SilenceWatch};
use crate::crashes::{BreakCause, check_broken_send, may_have_ended_at_close};
use crate::decisions::{FailedSend, Outcome};
use crate::events::{EventSplitter, SseEvent};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::sending::{MEMORY_POLL_INTERVAL, ends_with_connection};
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Frame;
use sillbank_core::prelude::*;
use sillbank_failover::prelude::*;
use sillbank_net::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Bytes buffered for a slow caller above which reading from the endpoint stops.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Bytes of events without a number, such as comments, between two events of a stream whose events are numbered.
const MAX_UNNUMBERED_BYTES: usize = 64 << 10;

/// Relays events from endpoints to one caller.
pub(super) struct StreamRelay<W: Wire, S: MetadataStore> {
    pub(super) gateway: Rc<Gateway<W, S>>,
    pub(super) job: Rc<Job>,
    pub(super) outbox: Outbox,
    /// Entry among the running streams, until the answer is written.
    pub(super) running: RunningStream,
    /// Memory budget taken by an incomplete event.
    pub(super) partial_event_memory: Option<MemoryReservation>,
    /// Number of the last event that was sent to the caller.
    pub(super) last_number: Option<EventNumber>,
    pub(super) events: u64,
    /// Bytes of events since the last one with a number.
    pub(super) unnumbered_bytes: usize,
}

/// How the part of a stream that one endpoint sent ended.
enum SegmentEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint closed the connection, which ends a stream without other framing.
    Closed,
    /// Another endpoint has the next event.
    Continued(Box<Upstream>),
    /// The stream broke.
    Broken(Fault, String),
}

/// What broke a stream.
enum Fault {
    /// The first endpoint.
    Endpoint,
    /// Another endpoint of the path, so that the connection to the first one was closed.
    Part(Option<EndpointId>),
    /// The link to the first endpoint, or the VM in between; all endpoints may be used again.
    Link,
}

impl Fault {
    fn endpoint(&self) -> Option<&str> {
        match self {
            Self::Part(at_fault) => at_fault.as_deref(),
            Self::Endpoint | Self::Link => None,
        }
    }
}

/// What a stream waits for.
enum Next {
    /// A frame of the endpoint, or its end.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// A check of a silent stream.
    Checked(Finding),
    /// Another endpoint, or the decision about the present one.
    Continuation(Continuation),
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
        drop(guard);
        if outcome == Outcome::Answered {
            self.running.set_state(EndpointState::Done);
            self.outbox.written().await;
        }
    }

    async fn relay(&mut self, mut upstream: Upstream) -> (Outcome, String) {
        let mut continuer = Continuer::new(&self.gateway, &self.job, Acceptance::Event, &[]);
        loop {
            let (fault, reason) = match self.relay_segment(&mut upstream, &mut continuer).await {
                SegmentEnd::Complete => {
                    self.gateway.on_request_survived(&self.job);
                    let Upstream { connection, endpoint, head, .. } = upstream;
                    self.gateway.keep_connection(&endpoint, connection, &head);
                    return (Outcome::Answered, String::new());
                }
                SegmentEnd::Closed => return (Outcome::Answered, String::new()),
                SegmentEnd::Continued(next) => {
                    self.on_continued(&next, Some(&upstream.endpoint));
                    upstream = *next;
                    continue;
                }
                SegmentEnd::Broken(fault, reason) => (fault, reason),
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
            self.running.set_state(EndpointState::Lost);
            continuer.restore_send();
            let avoid = self.find_engines_to_avoid(fault, &upstream).await;
            drop(upstream);
            continuer.on_lost(&avoid);
            upstream = match self.resume(&mut continuer).await {
                Ok(next) => next,
                Err(refusal) => {
                    self.gateway.decisions.not_resumed(&self.job, refusal.text());
                    return (Outcome::Aborted, reason);
                }
            };
        }
    }

    /// Waits for another endpoint after the present one was lost.
    async fn resume(&self, continuer: &mut Continuer<W, S>) -> Result<Upstream, Refusal> {
        loop {
            match continuer.next(self.last_number).await {
                Continuation::Elsewhere(UpstreamReply::Stream(next, _)) => {
                    self.on_continued(&next, None);
                    return Ok(*next);
                }
                Continuation::GiveUp(refusal) => return Err(refusal),
                // Neither is returned for a lost stream.
                Continuation::Elsewhere(UpstreamReply::Failure(_)) | Continuation::Release(_) => {}
            }
        }
    }

    fn on_continued(&self, next: &Upstream, from: Option<&str>) {
        self.gateway.metrics.resumes.inc();
        self.gateway.decisions.continued(&self.job, from, &next.endpoint);
    }

    /// Finds out what broke the stream, and which endpoints it must not be resumed at.
    async fn find_engines_to_avoid(&self, fault: Fault, upstream: &Upstream) -> Vec<EndpointId> {
        let is_link = match fault {
            Fault::Link => true,
            Fault::Part(at_fault) => return at_fault.into_iter().collect(),
            Fault::Endpoint => {
                let transit = Some(upstream.connection.transit());
                self.gateway.on_send_trouble(&upstream.endpoint, transit);
                let send = upstream.broken_send();
                let cause = check_broken_send(&self.gateway, &self.job, send.clone()).await;
                if cause == BreakCause::Crash && !send.may_be_cause() {
                    self.job.record_innocent_crash();
                }
                cause == BreakCause::Link
            }
        };
        if is_link {
            self.job.record_link_loss();
            return Vec::new();
        }
        vec![upstream.endpoint.clone()]
    }

    async fn relay_segment(
        &mut self,
        upstream: &mut Upstream,
        continuer: &mut Continuer<W, S>,
    ) -> SegmentEnd {
        let activity = upstream
            .path
            .as_ref()
            .map(|path| self.gateway.stream_activity.register(path, Instant::now()));
        self.running.on_endpoint(&upstream.endpoint);
        let mut watch =
            SilenceWatch::new(&self.gateway, &self.job).with_check(upstream.check.take());
        // Another endpoint's first event was read before it was chosen.
        if let Err(reason) = self.relay_data(upstream, &[], Instant::now()).await {
            return SegmentEnd::Broken(Fault::Endpoint, reason);
        }
        loop {
            match self.next(upstream, &mut watch, continuer).await {
                Next::Frame(frame) => {
                    let now = Instant::now();
                    let silent_for = watch.silent_for(now);
                    watch.on_data(now);
                    if let Some(activity) = &activity {
                        activity.on_event(now);
                    }
                    let events = self.events;
                    if let Some(end) = self.on_frame(upstream, frame, now).await {
                        return end;
                    }
                    if self.events > events {
                        self.running.set_state(EndpointState::AtWork);
                        continuer.on_event(silent_for);
                    }
                }
                Next::Checked(Finding::Nothing) => {}
                Next::Checked(Finding::Doubted(loss)) => {
                    self.running.set_state(EndpointState::Doubted);
                    continuer.on_doubt(upstream.broken_send(), loss);
                }
                Next::Checked(Finding::Moved(moved)) => {
                    upstream.on_moved(moved);
                    continuer.on_moved();
                    if let (Some(activity), Some(path)) = (&activity, &upstream.path) {
                        activity.on_moved(path);
                    }
                }
                Next::Continuation(Continuation::Elsewhere(UpstreamReply::Stream(next, _))) => {
                    return SegmentEnd::Continued(next);
                }
                Next::Continuation(Continuation::Release(loss)) => {
                    let fault = Fault::Part(loss.engines.into_iter().next());
                    return SegmentEnd::Broken(fault, loss.reason);
                }
                // Neither is returned while the connection is open.
                Next::Continuation(
                    Continuation::Elsewhere(UpstreamReply::Failure(_)) | Continuation::GiveUp(_),
                ) => {}
            }
            if self.outbox.buffered_bytes() > MAX_BUFFERED_BYTES {
                self.outbox.drained_to(MAX_BUFFERED_BYTES / 2).await;
                watch.on_suspended();
            }
        }
    }

    /// Waits for whatever comes first.
    async fn next(
        &self,
        upstream: &mut Upstream,
        watch: &mut SilenceWatch<W, S>,
        continuer: &mut Continuer<W, S>,
    ) -> Next {
        let (body, route) = upstream.split();
        let frame = async { Next::Frame(body.frame().await) };
        let checked = async { Next::Checked(watch.next(|| route.to_active()).await) };
        let continued = async { Next::Continuation(continuer.next(self.last_number).await) };
        futures_lite::future::or(frame, futures_lite::future::or(continued, checked)).await
    }

    /// Passes a frame on. Returns how the segment ended, if it did.
    async fn on_frame(
        &mut self,
        upstream: &mut Upstream,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        now: Instant,
    ) -> Option<SegmentEnd> {
        let broken = |reason| Some(SegmentEnd::Broken(Fault::Endpoint, reason));
        match frame {
            None if upstream.splitter.has_partial_event() => {
                broken("the stream ended within an event".to_owned())
            }
            None if !ends_with_connection(&upstream.head) => Some(SegmentEnd::Complete),
            None if may_have_ended_at_close(&self.gateway, &upstream.broken_send()).await => {
                broken("the endpoint may have ended when it closed the connection".to_owned())
            }
            None => Some(SegmentEnd::Closed),
            Some(Err(error)) if upstream.connection.hop_is_lost() => {
                let reason = format!("the VM in between was lost: {error}");
                Some(SegmentEnd::Broken(Fault::Link, reason))
            }
            Some(Err(error)) => broken(format!("the stream broke: {error}")),
            Some(Ok(frame)) => {
                let data = frame.data_ref()?;
                upstream.last_data_at = Some(now);
                upstream.connection.inner.bounds.on_progress();
                self.relay_data(upstream, data, now).await.err().and_then(broken)
            }
        }
    }

    /// Passes data of the endpoint on and records what its events show.
    async fn relay_data(
        &mut self,
        upstream: &mut Upstream,
        data: &[u8],
        now: Instant,
    ) -> Result<(), String> {
        let events = self.events;
        self.relay_bytes(&mut upstream.splitter, data).await?;
        if self.events > events {
            upstream.last_data_at = Some(now);
            if upstream.on_event(now) {
                self.gateway.on_request_survived(&self.job);
            }
        }
        Ok(())
    }

    /// Sends complete events to the caller; skips events that the caller already has.
    async fn relay_bytes(
        &mut self,
        splitter: &mut EventSplitter,
        data: &[u8],
    ) -> Result<(), String> {
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
            self.check_event(&event)?;
            self.last_number = event.number.or(self.last_number);
            self.events += 1;
            self.job.delivery.on_event(self.job.received_at, Instant::now());
            self.outbox.write(&event.bytes);
        }
        while !self.try_reserve_partial_event(splitter.buffered_bytes()) {
            // Nothing is read from the endpoint meanwhile.
            smol::Timer::after(MEMORY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Checks what an endpoint sends between two numbered events, which other blocks may not fill without end.
    ///
    /// # Errors
    /// Why the block is not passed on.
    fn check_event(&mut self, event: &SseEvent) -> Result<(), String> {
        if !event.is_event() {
            return Err(format!("a block of {} bytes is no event", event.bytes.len()));
        }
        // The rest of such a stream could not be told from what its caller has.
        let is_numbered = self.last_number.is_some() && self.job.is_idempotent();
        if is_numbered && event.number.is_none() && event.has_data() {
            return Err("an event without a number came in a numbered stream".to_owned());
        }
        self.unnumbered_bytes = match event.number {
            Some(_) => 0,
            None => self.unnumbered_bytes + event.bytes.len(),
        };
        if self.last_number.is_some() && self.unnumbered_bytes > MAX_UNNUMBERED_BYTES {
            return Err(format!("{} bytes came without a number", self.unnumbered_bytes));
        }
        Ok(())
    }

    /// Charges the bytes of an incomplete event to the VM's memory budget. Returns whether it has
    /// room for them.
    fn try_reserve_partial_event(&mut self, bytes: usize) -> bool {
        match &mut self.partial_event_memory {
            Some(memory) => memory.try_resize(bytes),
            None => {
                self.partial_event_memory = self.gateway.memory_budget.try_reserve(bytes);
                self.partial_event_memory.is_some()
            }
        }
    }
}
