//! Relays a stream's events, and takes the stream up elsewhere when its endpoint is lost.

use super::StreamWatch;
use super::attempt::{Begun, Upstream};
use super::begin::begin;
use super::loss::{Loss, Silence, SilenceTimer, look_for_loss, move_request};
use crate::decisions::{Outcome, SendEnd};
use crate::ends::on_broken_send;
use crate::events::EventSplitter;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use http_body_util::BodyExt;
use hyper::StatusCode;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Bytes that may wait for a slow caller before the endpoint is made to wait too.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// Moves events from endpoints to one caller.
pub(super) struct Pump<W: Wire, S: MetadataStore> {
    pub(super) gateway: Rc<Gateway<W, S>>,
    pub(super) job: Rc<Job>,
    pub(super) rules: StreamRules,
    pub(super) outbox: Outbox,
    /// What an event takes of the VM's memory whose end has not come.
    pub(super) held: Option<MemoryReservation>,
    /// Number of the last event that went to the caller.
    pub(super) last: Option<EventNumber>,
    pub(super) events: u64,
}

/// How one endpoint's part of a stream ended.
enum PartEnd {
    /// It was whole.
    Whole,
    /// It broke; the endpoint at fault if another than the first, and why.
    Broken(Option<EndpointId>, String),
}

/// What was found while a stream stood still.
enum Found {
    /// All that was asked works.
    Nothing,
    /// A loss; the stream was moved, or may go on where it is.
    Loss,
    /// A loss that the stream cannot go on with.
    End(Loss),
}

impl<W: Wire, S: MetadataStore> Pump<W, S> {
    pub(super) async fn run(mut self, upstream: Upstream, mut watch: StreamWatch<W, S>) {
        let outbox = self.outbox.clone();
        let deadline = self.job.deadline;
        let gone = async {
            std::future::poll_fn(|context| outbox.poll_reader_closed(context)).await;
            match outbox.reader_cut_off() {
                true => (Outcome::BrokenOff, "the caller read nothing for too long".to_owned()),
                false => (Outcome::CallerLeft, "the caller left".to_owned()),
            }
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
            self.outbox.abort();
        }
        watch.end(outcome, StatusCode::OK.as_u16(), self.events, &reason);
    }

    async fn relay(&mut self, mut upstream: Upstream) -> (Outcome, String) {
        loop {
            let (at_fault, reason) = match self.relay_part(&mut upstream).await {
                PartEnd::Whole => {
                    self.gateway.on_ran_well(&self.job);
                    let Upstream { channel, endpoint, head, .. } = upstream;
                    self.gateway.keep_channel(&endpoint, channel, &head);
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
            if at_fault.is_none() {
                on_broken_send(&self.gateway, &self.job, upstream.broken_send()).await;
            }
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
        let is_held_back = self.gateway.held_back(&self.job).is_some();
        if is_held_back || !self.rules.resumable || !self.gateway.may_send_again(&self.job) {
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
        let heard =
            upstream.path.as_ref().map(|path| self.gateway.heard.begin(path, Instant::now()));
        let mut timer = SilenceTimer::new(self.rules.gap_objective);
        let mut silence = smol::Timer::after(timer.wait());
        let mut heard_at = Instant::now();
        loop {
            let next = async { Some(upstream.body.frame().await) };
            let silent = async {
                (&mut silence).await;
                None
            };
            let Some(frame) = futures_lite::future::or(next, silent).await else {
                let silence_now = timer.on_silence();
                match self.move_around_loss(upstream, silence_now).await {
                    Found::Nothing if silence_now != Silence::Long => timer.on_false_alarm(),
                    Found::Nothing | Found::Loss => {}
                    Found::End(loss) => {
                        return PartEnd::Broken(loss.engines.into_iter().next(), loss.reason);
                    }
                }
                if let (Some(heard), Some(path)) = (&heard, &upstream.path) {
                    heard.on_moved(path);
                }
                silence.set_after(timer.wait());
                continue;
            };
            let now = Instant::now();
            timer.on_heard(now.saturating_duration_since(heard_at));
            heard_at = now;
            if let Some(heard) = &heard {
                heard.on_event(now);
            }
            silence.set_after(timer.wait());
            match frame {
                None if upstream.splitter.holds_part() => {
                    return PartEnd::Broken(None, "the stream ended within an event".to_owned());
                }
                None => return PartEnd::Whole,
                Some(Err(error)) => {
                    return PartEnd::Broken(None, format!("the stream broke: {error}"));
                }
                Some(Ok(frame)) => {
                    if upstream.passes_beginning(now) {
                        self.gateway.on_ran_well(&self.job);
                    }
                    if let Some(data) = frame.data_ref()
                        && let Err(reason) = self.relay_bytes(&mut upstream.splitter, data)
                    {
                        return PartEnd::Broken(None, reason);
                    }
                }
            }
            if self.outbox.buffered_bytes() > MAX_WAITING_BYTES {
                self.outbox.drained_to(MAX_WAITING_BYTES / 2).await;
                // The endpoint was not listened to; it did not pause.
                heard_at = Instant::now();
                silence.set_after(timer.wait());
            }
        }
    }

    /// Looks for lost engines and moves the stream around them.
    async fn move_around_loss(&self, upstream: &mut Upstream, silence: Silence) -> Found {
        let active_route = upstream.active_route();
        let Some(loss) = look_for_loss(&self.gateway, &self.job, active_route, silence).await
        else {
            return Found::Nothing;
        };
        match move_request(&self.gateway, &self.job, active_route, &loss).await {
            Some(path) => {
                self.job.delivery.on_moved();
                upstream.path = Some(path);
                upstream.sent_at = Instant::now();
                Found::Loss
            }
            None if loss.is_certain => Found::End(loss),
            None => Found::Loss,
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
            self.job.delivery.on_event(self.job.began, Instant::now());
            self.outbox.write(&event.bytes);
        }
        self.hold(splitter.held_bytes())
    }

    /// Counts an event whose end has not come.
    fn hold(&mut self, bytes: usize) -> Result<(), String> {
        let Some(held) = &mut self.held else {
            self.held = self.gateway.kept.try_reserve(bytes);
            return self.held.as_ref().map(|_| ()).ok_or_else(no_memory);
        };
        held.try_resize(bytes).then_some(()).ok_or_else(no_memory)
    }
}

fn no_memory() -> String {
    "an event's end did not come, and the VM keeps no more".to_owned()
}
