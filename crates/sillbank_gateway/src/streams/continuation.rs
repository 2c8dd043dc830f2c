//! Carries out what `sillbank_failover` decides: tries other endpoints for a stream while its own is
//! silent or after it was lost.

use super::attempt::{Upstream, UpstreamReply};
use super::loss::Loss;
use super::open::{OpenRequest, SendPurpose, open_stream};
use super::target::{NoTarget, PathChoice, choose_target};
use crate::crashes::{BrokenSend, check_abandoned_send};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::sending::ends_with_connection;
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use http_body_util::BodyExt;
use sillbank_core::prelude::*;
use sillbank_failover::prelude::*;
use smol::Task;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time from the head of a reply within which its first event has to arrive. An endpoint that works
/// may be silent for about a second.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a stream that is doubted is offered only to engines that have room for it.
const MAX_ROOM_SEARCH: Duration = Duration::from_millis(450);

/// What shows that another endpoint has taken the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// The head of its reply: the present endpoint has sent none.
    Head,
    /// Its next event, unless the present endpoint is lost.
    Event,
}

/// How the search for another endpoint ended.
pub(super) enum Continuation {
    /// Another endpoint has taken the stream.
    Elsewhere(UpstreamReply),
    /// The connection to the present endpoint is to be closed.
    Release(Loss),
    /// The stream is lost.
    GiveUp(Refusal),
}

/// Tries other endpoints for one stream.
pub(super) struct Continuer<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    acceptance: Acceptance,
    failover: Failover,
    /// Endpoints that are never tried.
    excluded: Vec<EndpointId>,
    /// Endpoints that are not tried because of the present doubt or loss.
    avoid: Vec<EndpointId>,
    /// The present endpoint while its connection is open and usable.
    present: Option<EndpointId>,
    /// The last evidence against the present endpoint.
    loss: Option<Loss>,
    /// When the present endpoint was doubted.
    doubted_at: Option<Instant>,
    /// Whether the send to the present endpoint was taken back because its link seemed lost.
    is_uncounted: bool,
    /// The last refusal that was logged since the doubt.
    logged_refusal: Option<Refusal>,
    opening: Option<Task<Result<UpstreamReply, Failure>>>,
    accepted: Option<Accepted>,
}

/// A reply whose first event has not arrived.
struct Accepted {
    reply: UpstreamReply,
    at: Instant,
}

impl<W: Wire, S: MetadataStore> Continuer<W, S> {
    /// Creates the search for a stream whose endpoint works so far. Endpoints in `excluded` are never
    /// tried.
    pub(super) fn new(
        gateway: &Rc<Gateway<W, S>>,
        job: &Rc<Job>,
        acceptance: Acceptance,
        excluded: &[EndpointId],
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            job: job.clone(),
            acceptance,
            failover: Failover::default(),
            excluded: excluded.to_vec(),
            avoid: Vec::new(),
            present: None,
            loss: None,
            doubted_at: None,
            is_uncounted: false,
            logged_refusal: None,
            opening: None,
            accepted: None,
        }
    }

    /// The present endpoint sent an event.
    pub(super) fn on_event(&mut self, silent_for: Duration) {
        if self.failover.on_sent() {
            self.gateway.decisions.went_on(&self.job, silent_for);
            self.count("went_on");
            self.opening = None;
            self.accepted = None;
            self.restore_send();
            self.end_doubt();
        }
    }

    /// The present endpoint accepted another path.
    pub(super) fn on_moved(&mut self) {
        self.failover.on_moved(Instant::now());
    }

    /// There is evidence against the endpoint that holds the stream.
    pub(super) fn on_doubt(&mut self, present: BrokenSend, loss: Loss) {
        let now = Instant::now();
        let is_first = self.failover.on_doubt(now);
        let is_new_link_loss = loss.is_link && !self.is_uncounted;
        if !is_first && !is_new_link_loss {
            self.avoid_also(&loss.engines);
            if let Some(known) = &mut self.loss
                && known.is_unexplained()
            {
                *known = loss;
            }
            return;
        }
        self.gateway.decisions.doubted(&self.job, &present.endpoint, &loss.engines, &loss.reason);
        self.count("doubted");
        self.doubted_at.get_or_insert(now);
        self.avoid_also(&loss.engines);
        if loss.is_link {
            // The endpoint may be used again, through another VM.
            self.present = None;
            self.is_uncounted = self.job.record_link_loss();
        } else {
            self.present = Some(present.endpoint.clone());
            // If the request has crashed it, that is to be known before the request is sent again.
            check_abandoned_send(&self.gateway, &self.job, present);
        }
        self.loss = Some(loss);
    }

    /// The connection to the endpoint has ended. Endpoints in `avoid` are not tried.
    pub(super) fn on_lost(&mut self, avoid: &[EndpointId]) {
        self.present = None;
        self.avoid_also(avoid);
        self.failover.on_lost();
    }

    /// Counts the send to the present endpoint again: its link may have worked, or its end is
    /// recorded otherwise.
    pub(super) fn restore_send(&mut self) {
        if std::mem::take(&mut self.is_uncounted) {
            self.job.count_send();
        }
    }

    fn end_doubt(&mut self) {
        self.present = None;
        self.loss = None;
        self.doubted_at = None;
        self.is_uncounted = false;
        self.logged_refusal = None;
        self.avoid.clear();
    }

    fn avoid_also(&mut self, more: &[EndpointId]) {
        for endpoint in more {
            if !self.avoid.contains(endpoint) {
                self.avoid.push(endpoint.clone());
            }
        }
    }

    /// Waits until another endpoint has taken the stream, or the present one is to be given up. The
    /// future may be dropped at any time.
    pub(super) async fn next(&mut self, resume_after: Option<EventNumber>) -> Continuation {
        loop {
            if let Some(reply) = self.try_finish(resume_after).await {
                self.failover.on_replaced();
                self.end_doubt();
                self.count("continued");
                return Continuation::Elsewhere(reply);
            }
            match self.failover.next(Instant::now()) {
                Step::Wait(None) => std::future::pending().await,
                Step::Wait(Some(at)) => drop(smol::Timer::at(at).await),
                Step::Open => self.open(resume_after),
                Step::Release => {
                    // Nothing is awaited between the check that allows it and the next send.
                    let loss = self.loss.clone().unwrap_or_else(Loss::unexplained);
                    return Continuation::Release(loss);
                }
                Step::GiveUp(refusal) => return Continuation::GiveUp(refusal),
            }
        }
    }

    /// Waits for the end of a try that is in progress. Returns `None` if there is none, or if it was
    /// refused.
    pub(super) async fn try_finish(
        &mut self,
        resume_after: Option<EventNumber>,
    ) -> Option<UpstreamReply> {
        if let Some(opening) = &mut self.opening {
            let opened = opening.await;
            self.opening = None;
            match opened {
                Ok(reply @ UpstreamReply::Stream(..)) => {
                    self.accepted = Some(Accepted { reply, at: Instant::now() });
                }
                Ok(UpstreamReply::Failure(reply)) => {
                    let detail = format!("it failed with status {}", reply.status().as_u16());
                    self.on_refused(Refusal::Failed, &detail);
                }
                Err(failure) => self.on_refused(Refusal::Failed, &failure.reason),
            }
        }
        let needs_event =
            self.acceptance == Acceptance::Event && self.failover.state() != AnswerState::Lost;
        let accepted = self.accepted.as_mut()?;
        if needs_event && let Err((refusal, detail)) = accepted.first_event(resume_after).await {
            if let UpstreamReply::Stream(upstream, _) = &accepted.reply {
                let send = upstream.broken_send();
                check_abandoned_send(&self.gateway, &self.job, send);
            }
            let endpoint = accepted.reply.endpoint().to_owned();
            self.accepted = None;
            self.avoid_also(&[endpoint]);
            self.on_refused(refusal, &detail);
            return None;
        }
        self.accepted.take().map(|accepted| accepted.reply)
    }

    fn open(&mut self, resume_after: Option<EventNumber>) {
        if let Err(refusal) = self.check_before_send() {
            self.on_refused(refusal, "");
            return;
        }
        self.failover.on_opening();
        let (purpose, path_choice) = (self.purpose(), self.path_choice());
        let request = OpenRequest { resume_after, purpose, path_choice, avoid: self.avoid_all() };
        let (gateway, job) = (self.gateway.clone(), self.job.clone());
        let executor = gateway.executor.clone();
        let open = async move {
            gateway.await_crash_checks(&job).await;
            // Boxed, as opening a stream may in turn continue it elsewhere.
            Box::pin(open_stream(&gateway, &job, request)).await
        };
        self.opening = Some(executor.spawn(open));
    }

    /// Whether the request may be sent to another endpoint now; if so, the retry is taken from the
    /// budget.
    fn check_before_send(&self) -> Result<(), Refusal> {
        let (gateway, job) = (&self.gateway, &self.job);
        if !job.is_idempotent() {
            return Err(Refusal::NotRepeatable);
        }
        if gateway.hold_of(job).is_some() {
            return Err(Refusal::Quarantined);
        }
        if !job.may_send_again(Instant::now()) {
            return Err(Refusal::SendsUsedUp);
        }
        self.check_target()?;
        match gateway.try_retry(&job.service.name) {
            true => Ok(()),
            false => Err(Refusal::BudgetUsedUp),
        }
    }

    fn check_target(&self) -> Result<(), Refusal> {
        let path_choice = self.path_choice();
        let chosen = choose_target(&self.gateway, &self.job, path_choice, &self.avoid_all());
        self.gateway.record_withheld(&self.job);
        let refusal = match chosen {
            Ok(_) => return Ok(()),
            // It may become usable while the request waits for it.
            Err(NoTarget::Isolated(_)) if self.failover.state() == AnswerState::Lost => {
                return Ok(());
            }
            Err(NoTarget::NoPath) => Refusal::NoPath,
            Err(NoTarget::NoRoom | NoTarget::Withheld | NoTarget::Isolated(_)) => Refusal::NoRoom,
        };
        Err(if self.may_be_taken_here() { Refusal::OnlyHere } else { refusal })
    }

    /// Whether the present endpoint would be sent the request over a path around the engines in doubt
    /// if it did not hold it.
    fn may_be_taken_here(&self) -> bool {
        let (gateway, job) = (&self.gateway, &self.job);
        let is_explained = self.loss.as_ref().is_some_and(|loss| !loss.is_unexplained());
        let starts_here = || {
            let avoid = self.avoided().cloned().collect::<Vec<_>>();
            choose_target(gateway, job, self.path_choice(), &avoid).is_ok()
        };
        self.present.is_some()
            && is_explained
            && starts_here()
            && !gateway.pending_checks_could_quarantine(job)
            && gateway.allows_retry(&job.service.name)
    }

    fn purpose(&self) -> SendPurpose {
        match self.failover.state() {
            AnswerState::Lost => SendPurpose::Resume,
            _ => SendPurpose::Replace,
        }
    }

    /// Engines without room are tried for a stream that is lost, or nearly so: most doubted endpoints
    /// go on within a second.
    fn path_choice(&self) -> PathChoice {
        let is_long = |at: Instant| at.elapsed() >= MAX_ROOM_SEARCH;
        let is_link = self.loss.as_ref().is_some_and(|loss| loss.is_link);
        let is_lost = self.failover.state() == AnswerState::Lost;
        match is_lost || is_link || self.doubted_at.is_some_and(is_long) {
            true => PathChoice::Any,
            false => PathChoice::WithRoom,
        }
    }

    fn avoided(&self) -> impl Iterator<Item = &EndpointId> {
        self.excluded.iter().chain(&self.avoid)
    }

    fn avoid_all(&self) -> Vec<EndpointId> {
        self.avoided().chain(&self.present).cloned().collect()
    }

    fn on_refused(&mut self, refusal: Refusal, detail: &str) {
        let (now, random) = (Instant::now(), self.gateway.rng.next_f64());
        self.failover.on_refused(refusal, now, random);
        if self.failover.state() == AnswerState::Lost {
            // By now its own health tells whether an endpoint may be used.
            self.avoid.clear();
        }
        self.count("refused");
        // Tries are frequent, and a refusal that repeats itself says nothing new.
        if self.logged_refusal.replace(refusal) != Some(refusal) || !detail.is_empty() {
            let state = self.failover.state();
            self.gateway.decisions.not_continued(&self.job, state, refusal, detail);
        }
    }

    fn count(&self, kind: &'static str) {
        self.gateway.metrics.doubted_streams.get_or_create(&KindLabel { kind }).inc();
    }
}

impl Accepted {
    /// Waits until the event after `resume_after` has arrived. It stays in the splitter.
    async fn first_event(
        &mut self,
        resume_after: Option<EventNumber>,
    ) -> Result<(), (Refusal, String)> {
        let UpstreamReply::Stream(upstream, _) = &mut self.reply else { return Ok(()) };
        let late = async {
            smol::Timer::at(self.at + FIRST_EVENT_TIMEOUT).await;
            Err((Refusal::Silent, String::new()))
        };
        futures_lite::future::or(read_event(upstream), late).await?;
        match (upstream.splitter.first_number(), resume_after) {
            (Some(number), Some(last)) if number > last + 1 => {
                Err((Refusal::Failed, format!("its first event is {number} after {last}")))
            }
            _ => Ok(()),
        }
    }
}

async fn read_event(upstream: &mut Upstream) -> Result<(), (Refusal, String)> {
    let failed = |detail: String| Err((Refusal::Failed, detail));
    while !upstream.splitter.has_complete_event() {
        match upstream.body.frame().await {
            // All events had been sent, if the reply says where it ends.
            None if upstream.splitter.has_partial_event()
                || ends_with_connection(&upstream.head) =>
            {
                return failed("its stream ended within an event, or without one".to_owned());
            }
            None => return Ok(()),
            Some(Err(error)) => return failed(format!("its stream broke: {error}")),
            Some(Ok(frame)) => {
                upstream.connection.inner.bounds.on_progress();
                let data = frame.data_ref().map_or(&[][..], |data| data);
                if let Err(error) = upstream.splitter.push(data) {
                    return failed(error.to_string());
                }
            }
        }
    }
    Ok(())
}
