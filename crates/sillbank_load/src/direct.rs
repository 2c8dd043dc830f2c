//! A client that calls the engines directly, without sillbank: the baseline of the hop benchmark.

use bytes::{BufMut, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{EngineRequest, STEPS_PATH, Step, StepOutcome, StepReply};
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

type PendingReplies = Rc<RefCell<HashMap<RequestUid, Sender<StepReply>>>>;

/// A connection to one engine, with the requests that wait for its replies.
pub struct DirectEngine {
    outbox: Outbox,
    pending: PendingReplies,
    layers: LayerRange,
}

impl DirectEngine {
    /// Connects to an engine that holds the layers.
    ///
    /// # Errors
    /// If the connection or the stream of steps cannot be opened.
    pub async fn connect(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        layers: LayerRange,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let mut sender = sillbank_net::client::connect(executor, address).await?;
        let (outbox, body) = Outbox::new();
        let request = Request::builder()
            .method(Method::POST)
            .uri(STEPS_PATH)
            .header("host", "engine")
            .body(ReplyBody::Stream(body))?;
        let reply = sender.send_request(request).await?;
        let pending = PendingReplies::default();
        executor.spawn(read_replies(reply.into_body(), pending.clone())).detach();
        Ok(Self { outbox, pending, layers })
    }

    async fn step(
        &self,
        step: Step,
        replies: &(Sender<StepReply>, Receiver<StepReply>),
    ) -> StepReply {
        self.pending.borrow_mut().insert(step.uid, replies.0.clone());
        self.outbox.write_with(|buffer| {
            serde_json::to_writer(buffer.writer(), &EngineRequest::Step(step)).ok();
            buffer.put_u8(b'\n');
        });
        replies.1.recv().await.expect("this function holds the sender")
    }
}

async fn read_replies(mut body: Incoming, pending: PendingReplies) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            if let Ok(reply) = serde_json::from_slice::<StepReply>(&line[..end])
                && let Some(sender) = pending.borrow_mut().remove(&reply.uid)
            {
                sender.try_send(reply).ok();
            }
        }
    }
}

/// Generates one answer through a chain; returns the arrival time of each token.
///
/// Ends early if an engine refuses a step.
pub async fn generate(
    chain: &[DirectEngine],
    uid: RequestUid,
    prompt: &[TokenId],
    max_tokens: u32,
) -> Vec<Instant> {
    let replies = smol::channel::bounded(1);
    let mut times = Vec::new();
    let mut inputs: Vec<u64> = prompt.iter().map(|token| u64::from(*token)).collect();
    let mut start = 0;
    while times.len() < max_tokens as usize {
        let count = inputs.len() as u32;
        let mut token = None;
        for engine in chain {
            let step = Step {
                uid,
                attempt: 1,
                start,
                layers: engine.layers,
                seed: uid.seed(),
                priority: 4,
                inputs: std::mem::take(&mut inputs),
            };
            let reply = engine.step(step, &replies).await;
            let StepOutcome::Done { outputs, token: sampled } = reply.outcome else {
                return times;
            };
            inputs = outputs;
            token = sampled;
        }
        times.push(Instant::now());
        start += count;
        inputs = vec![u64::from(token.unwrap_or(0))];
    }
    for engine in chain {
        engine.outbox.write_with(|buffer| {
            serde_json::to_writer(buffer.writer(), &EngineRequest::Cancel { uid, attempt: 1 }).ok();
            buffer.put_u8(b'\n');
        });
    }
    times
}
