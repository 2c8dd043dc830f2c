//! The one streamed exchange with a model engine, shared by all requests of this VM.

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

/// Pause before a lost connection is made again; grows to the second.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// The connection to one endpoint.
pub(crate) struct EngineLink {
    outbox: Outbox,
    open: Cell<bool>,
    pub(crate) awaited: RefCell<AwaitedSteps<Mailbox>>,
    pub(crate) heard_at: Cell<Instant>,
}

impl EngineLink {
    /// Whether steps can be sent.
    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Ends the connection after what is on its way.
    pub(crate) fn close(&self) {
        self.outbox.close();
    }

    /// Sends a step; the reply, or the loss of the endpoint, comes through the mailbox.
    pub(crate) fn send(&self, stage: StageIndex, step: Step, mailbox: &Mailbox) {
        self.awaited.borrow_mut().on_sent(stage, &step, mailbox.clone(), Instant::now());
        self.write(&EngineRequest::Step(step));
    }

    /// Tells the engine that a request has ended here.
    pub(crate) fn cancel(&self, uid: RequestUid, attempt: Attempt) {
        self.forget(execution_id(uid, attempt));
        self.write(&EngineRequest::Cancel { uid, attempt });
    }

    /// Stops waiting for a request's reply without telling the engine.
    pub(crate) fn forget(&self, id: ExecutionId) {
        self.awaited.borrow_mut().take(id);
    }

    /// Positions of prefills that are not answered.
    pub(crate) fn prefill_positions(&self) -> u32 {
        self.awaited.borrow().prefill_positions()
    }

    /// Reports the loss of the endpoint to every request that waits for it.
    pub(crate) fn lose_all(&self) -> usize {
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

/// Keeps a connection to an endpoint until the endpoint is taken out of the settings.
pub(crate) async fn keep(entry: Rc<Entry>, slot: EndpointSlot) {
    let address: SocketAddr = match entry.table.borrow().get(slot).spec.address.parse() {
        Ok(address) => address,
        Err(_) => return,
    };
    let mut pause = RECONNECT.0;
    while entry.table.borrow().get(slot).present {
        match open(&entry, address).await {
            Ok((link, replies)) => {
                pause = RECONNECT.0;
                run_link(&entry, slot, &link, replies).await;
            }
            Err(error) => tracing::debug!("entry: Endpoint {address} is not reached: {error}."),
        }
        smol::Timer::after(pause).await;
        pause = (pause * 2).min(RECONNECT.1);
    }
    entry.links.borrow_mut().remove(&slot);
}

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
        heard_at: Cell::new(Instant::now()),
    };
    Ok((Rc::new(link), reply.into_body()))
}

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
    let lost = link.lose_all();
    tracing::warn!("entry: Endpoint {id} closed its connection with {lost} steps awaited.");
}

async fn read_replies(entry: &Entry, slot: EndpointSlot, link: &EngineLink, mut body: Incoming) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let now = Instant::now();
        link.heard_at.set(now);
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        let mut at = 0;
        while let Some(length) = buffer[at..].iter().position(|byte| *byte == b'\n') {
            take_reply(entry, slot, link, &buffer[at..at + length], now);
            at += length + 1;
        }
        drop(buffer.split_to(at));
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}

fn take_reply(entry: &Entry, slot: EndpointSlot, link: &EngineLink, line: &[u8], now: Instant) {
    let reply: StepReply = match serde_json::from_slice(line) {
        Ok(reply) => reply,
        Err(error) => {
            tracing::warn!("entry: A reply was not read: {error}.");
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
    note_load(entry, slot, link, &reply, &awaited, now);
    if let StepOutcome::Refused(Refusal::WrongLayers | Refusal::Leaving) = reply.outcome {
        // Its own word: it gets no new work until a probe says otherwise.
        entry.table.borrow_mut().get_mut(slot).health.on_event(now, HealthEvent::Failure);
    }
    awaited.waiter.push(Event::Reply(awaited.stage, reply));
}

fn note_load(
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
