//! Streaming connection to a model engine, shared by all requests of this VM.

use crate::mailbox::Mailbox;
use crate::state::Entry;
use bytes::{BufMut, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use sillbank_core::prelude::*;
use sillbank_generation::{AwaitedStep, AwaitedSteps, Event, StageIndex};
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{
    EngineRequest, MAX_LINE_BYTES, Refusal, STEPS_PATH, Step, StepOutcome, StepReply,
};
use sillbank_routing::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum and maximum backoff before a connection is opened again.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// The connection to one endpoint.
pub(crate) struct EngineLink {
    outbox: Outbox,
    open: Cell<bool>,
    /// Steps that were sent and not answered.
    pub(crate) awaited: RefCell<AwaitedSteps<Mailbox>>,
    /// When data was last received from the endpoint.
    pub(crate) last_received_at: Cell<Instant>,
}

impl EngineLink {
    /// Whether steps can be sent.
    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Closes the connection after what is already buffered is sent.
    pub(crate) fn close(&self) {
        self.outbox.close();
    }

    /// Sends a step; its reply, or the loss of the endpoint, is delivered to the mailbox.
    pub(crate) fn send(&self, stage: StageIndex, step: Step, mailbox: &Mailbox) {
        self.awaited.borrow_mut().on_sent(stage, &step, mailbox.clone(), Instant::now());
        self.write(&EngineRequest::Step(step));
    }

    /// Tells the engine that this VM has ended the request.
    pub(crate) fn cancel(&self, uid: RequestUid, attempt: Attempt) {
        self.stop_awaiting(execution_id(uid, attempt));
        self.write(&EngineRequest::Cancel { uid, attempt });
    }

    /// Stops waiting for a request's reply without telling the engine.
    pub(crate) fn stop_awaiting(&self, id: ExecutionId) {
        self.awaited.borrow_mut().take(id);
    }

    /// Positions of prefill steps that await a reply.
    pub(crate) fn prefill_positions(&self) -> u32 {
        self.awaited.borrow().prefill_positions()
    }

    /// Reports the loss of the endpoint to every request that waits for it. Returns their number.
    pub(crate) fn report_lost(&self) -> usize {
        let lost = self.awaited.borrow_mut().take_all();
        for step in &lost {
            step.waiter.push(Event::StageLost(step.stage));
        }
        lost.len()
    }

    fn write(&self, request: &EngineRequest) {
        self.outbox.write_with(|buffer: &mut BytesMut| {
            if serde_json::to_writer(buffer.writer(), request).is_ok() {
                buffer.put_u8(b'\n');
            }
        });
    }
}

/// Keeps a connection to an endpoint open until the endpoint is removed from the settings.
pub(crate) async fn maintain(entry: Rc<Entry>, slot: EndpointSlot) {
    let address: SocketAddr = match entry.table.borrow().get(slot).spec.address.parse() {
        Ok(address) => address,
        Err(_) => return,
    };
    let mut backoff = RECONNECT_BACKOFF.0;
    while entry.table.borrow().get(slot).present {
        match open(&entry, address).await {
            Ok((link, replies)) => {
                backoff = RECONNECT_BACKOFF.0;
                run_link(&entry, slot, &link, replies).await;
            }
            Err(error) => {
                tracing::debug!("entry: The connection to endpoint {address} failed: {error}.")
            }
        }
        smol::Timer::after(backoff).await;
        backoff = (backoff * 2).min(RECONNECT_BACKOFF.1);
    }
    entry.links.borrow_mut().remove(&slot);
}

/// Opens the connection and its stream of steps.
async fn open(
    entry: &Entry,
    address: SocketAddr,
) -> Result<(Rc<EngineLink>, Incoming), Box<dyn std::error::Error>> {
    let mut sender = sillbank_net::client::connect(&entry.executor, address).await?;
    let (outbox, body) = Outbox::new();
    let request = Request::builder()
        .method(Method::POST)
        .uri(STEPS_PATH)
        .header("host", "engine")
        .header("content-type", "application/x-ndjson")
        .body(ReplyBody::Stream(body))?;
    let reply = sender.send_request(request).await?;
    if !reply.status().is_success() {
        return Err(format!("the engine answered {}", reply.status()).into());
    }
    let link = EngineLink {
        outbox,
        open: Cell::new(true),
        awaited: RefCell::default(),
        last_received_at: Cell::new(Instant::now()),
    };
    Ok((Rc::new(link), reply.into_body()))
}

/// Registers a connection and reads replies until it closes.
async fn run_link(entry: &Rc<Entry>, slot: EndpointSlot, link: &Rc<EngineLink>, replies: Incoming) {
    entry.links.borrow_mut().insert(slot, link.clone());
    entry.table.borrow_mut().get_mut(slot).connected = true;
    read_replies(entry, slot, link, replies).await;
    link.open.set(false);
    link.outbox.close();
    let now = Instant::now();
    let id = {
        let mut table = entry.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        endpoint.connected = false;
        endpoint.health.on_event(now, HealthEvent::Failure);
        endpoint.spec.id.clone()
    };
    let lost = link.report_lost();
    tracing::warn!("entry: The connection to endpoint {id} closed with {lost} steps unanswered.");
}

/// Reads newline-delimited replies; ends the connection if a line exceeds [`MAX_LINE_BYTES`].
async fn read_replies(entry: &Entry, slot: EndpointSlot, link: &EngineLink, mut body: Incoming) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let now = Instant::now();
        link.last_received_at.set(now);
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        let mut line_start = 0;
        while let Some(length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            handle_reply(entry, slot, link, &buffer[line_start..line_start + length], now);
            line_start += length + 1;
        }
        drop(buffer.split_to(line_start));
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}

/// Passes a reply to the request that waits for it.
fn handle_reply(entry: &Entry, slot: EndpointSlot, link: &EngineLink, line: &[u8], now: Instant) {
    let reply: StepReply = match serde_json::from_slice(line) {
        Ok(reply) => reply,
        Err(error) => {
            tracing::warn!("entry: A reply could not be parsed: {error}.");
            return;
        }
    };
    let Some(awaited) = link.awaited.borrow_mut().on_reply(&reply) else {
        entry.metrics.stale_replies.inc();
        tracing::debug!(
            "entry: Endpoint {} answered a step of {} that is not awaited: attempt {}, position {}.",
            entry.table.borrow().get(slot).spec.id,
            reply.uid,
            reply.attempt,
            reply.start,
        );
        return;
    };
    record_load(entry, slot, link, &reply, &awaited, now);
    if let StepOutcome::Refused(Refusal::WrongLayers | Refusal::Leaving) = reply.outcome {
        // The endpoint itself reports this: it gets no new work until a probe succeeds.
        entry.table.borrow_mut().get_mut(slot).health.on_event(now, HealthEvent::Failure);
    }
    awaited.waiter.push(Event::Reply(awaited.stage, reply));
}

/// Records the load that a reply reports.
fn record_load(
    entry: &Entry,
    slot: EndpointSlot,
    link: &EngineLink,
    reply: &StepReply,
    step: &AwaitedStep<Mailbox>,
    now: Instant,
) {
    let mut table = entry.table.borrow_mut();
    let endpoint = table.get_mut(slot);
    let load = &reply.load;
    let elapsed = now.saturating_duration_since(step.sent_at);
    endpoint.cost.observe(elapsed, load, step.positions);
    endpoint.queued = load.queued;
    endpoint.held = load.held;
    endpoint.wait_us = load.wait_us;
    endpoint.kv_free_tokens = Some(load.kv_free_tokens);
    endpoint.added_since_report = 0;
    endpoint.prefill_outstanding = link.prefill_positions();
    endpoint.reported_at = Some(now);
    if elapsed > Duration::from_millis(1) {
        entry.metrics.step_seconds.observe(elapsed.as_secs_f64());
    }
}
