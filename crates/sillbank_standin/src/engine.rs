//! The model engine: one layer range, continuous batching, a KV cache and a ledger of what ran.

use crate::kinds::{self, KindCost};
use argh::FromArgs;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_model::KvDigest;
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{
    EngineLoad, EngineRequest, MAX_LINE_BYTES, Refusal, STEPS_PATH, Step, StepOutcome, StepReply,
};
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A model engine that holds some layers.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct EngineArguments {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// accelerator kind: k1 (quickest) to k5
    #[argh(option, default = "String::from(\"k2\")")]
    kind: String,
    /// first layer held
    #[argh(option, default = "0")]
    first_layer: u16,
    /// one past the last layer held
    #[argh(option, default = "8")]
    end_layer: u16,
    /// number of layers of the whole model
    #[argh(option, default = "24")]
    model_layers: u16,
    /// factor on every cost; 0 answers at once
    #[argh(option, default = "1.0")]
    cost_factor: f64,
    /// whether to keep a ledger
    #[argh(switch)]
    no_ledger: bool,
}

/// Faults on command.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Layer that is not run.
    skip_layer: Option<u16>,
    /// Layer that is run twice.
    repeat_layer: Option<u16>,
    /// Factor on every cost.
    slow_factor: Option<f64>,
    /// How many next replies are lost after the step ran.
    lose_replies: u32,
    /// How many next replies are sent twice.
    double_replies: u32,
    /// Forget every KV cache now.
    forget: bool,
    /// Take no new request.
    leaving: bool,
}

/// What ran: an unbroken run of positions for one attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LedgerEntry {
    uid: String,
    attempt: Attempt,
    start: Position,
    end: Position,
    layers: Vec<u16>,
}

struct Held {
    attempt: Attempt,
    layers: LayerRange,
    built: Position,
    kv: KvDigest,
    last: Option<(Position, StepOutcome)>,
    /// Place in the ledger of the last entry, if it can grow.
    ledger: Option<usize>,
    used: Instant,
}

struct Waiting {
    step: Step,
    arrived: Instant,
    reply_to: Outbox,
}

struct Engine {
    cost: KindCost,
    layers: LayerRange,
    model_layers: u16,
    cost_factor: f64,
    keep_ledger: bool,
    held: HashMap<RequestUid, Held>,
    held_tokens: u64,
    queue: Vec<Waiting>,
    ledger: Vec<LedgerEntry>,
    faults: Faults,
    steps_run: u64,
    tokens_run: u64,
    wake: Sender<()>,
}

/// A request whose KV cache was not used for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: EngineArguments,
) -> std::io::Result<()> {
    let cost = kinds::kind(&arguments.kind)
        .ok_or_else(|| std::io::Error::other("the kind is not known; use k1 to k5"))?;
    let (wake, woken) = smol::channel::bounded(1);
    let engine = Rc::new(RefCell::new(Engine {
        cost,
        layers: LayerRange { first: arguments.first_layer, end: arguments.end_layer },
        model_layers: arguments.model_layers,
        cost_factor: arguments.cost_factor,
        keep_ledger: !arguments.no_ledger,
        held: HashMap::new(),
        held_tokens: 0,
        queue: Vec::new(),
        ledger: Vec::new(),
        faults: Faults::default(),
        steps_run: 0,
        tokens_run: 0,
        wake,
    }));
    executor.spawn(run_batches(engine.clone(), woken)).detach();
    let handler = Rc::new(EngineHandler { engine, executor: executor.clone() });
    crate::serve_at(&executor, &arguments.listen, handler).await
}

async fn run_batches(engine: Rc<RefCell<Engine>>, woken: Receiver<()>) {
    loop {
        let batch = engine.borrow_mut().take_batch();
        if batch.is_empty() {
            if woken.recv().await.is_err() {
                return;
            }
            continue;
        }
        let started = Instant::now();
        let time = engine.borrow().batch_time(&batch);
        if time.is_zero() {
            smol::future::yield_now().await;
        } else {
            smol::Timer::after(time).await;
        }
        engine.borrow_mut().finish_batch(batch, started, time);
    }
}

impl Engine {
    fn take_batch(&mut self) -> Vec<Waiting> {
        self.queue.sort_by_key(|waiting| std::cmp::Reverse(waiting.step.priority));
        let count = self.queue.len().min(self.cost.max_batch);
        self.queue.drain(..count).collect()
    }

    fn batch_time(&self, batch: &[Waiting]) -> Duration {
        let size = |w: &Waiting| w.step.inputs.len();
        let decodes = batch.iter().filter(|w| size(w) == 1).count() as f64;
        let prefill: usize = batch.iter().map(size).filter(|n| *n > 1).sum();
        let us = self.cost.fixed_us
            + self.cost.per_sequence_us * decodes
            + self.cost.prefill_us_per_token * prefill as f64;
        let scale = self.layers.len() as f64 / 8.0;
        let slow = self.faults.slow_factor.unwrap_or(1.0);
        Duration::from_nanos((us * scale * slow * self.cost_factor * 1000.0) as u64)
    }

    fn finish_batch(&mut self, batch: Vec<Waiting>, started: Instant, time: Duration) {
        let size = batch.len() as u32;
        for waiting in batch {
            let outcome = self.run_step(&waiting.step);
            let load = EngineLoad {
                queued: self.queue.len() as u32,
                held: self.held.len() as u32,
                wait_us: started.duration_since(waiting.arrived).as_micros() as u32,
                run_us: time.as_micros() as u32,
                batch: size,
                kv_free_tokens: self.kv_free(),
            };
            let step = &waiting.step;
            let reply = StepReply {
                uid: step.uid,
                attempt: step.attempt,
                start: step.start,
                outcome,
                load,
            };
            self.send_reply(&waiting.reply_to, &reply);
        }
    }

    fn send_reply(&mut self, reply_to: &Outbox, reply: &StepReply) {
        if self.faults.lose_replies > 0 {
            self.faults.lose_replies -= 1;
            return;
        }
        write_line(reply_to, reply);
        if self.faults.double_replies > 0 {
            self.faults.double_replies -= 1;
            write_line(reply_to, reply);
        }
    }

    fn kv_free(&self) -> u32 {
        u64::from(self.cost.kv_tokens).saturating_sub(self.held_tokens) as u32
    }

    fn run_step(&mut self, step: &Step) -> StepOutcome {
        if let Err(refusal) = self.admit(step) {
            return StepOutcome::Refused(refusal);
        }
        if let Some(held) = self.held.get_mut(&step.uid) {
            let end = step.start + step.inputs.len() as u32;
            if let Some((start, outcome)) = &held.last {
                // The same step again: the same answer, and nothing runs.
                if *start == step.start && end == held.built {
                    held.attempt = step.attempt;
                    return outcome.clone();
                }
            }
        }
        match self.prepare(step) {
            Ok(()) => self.run_layers(step),
            Err(refusal) => StepOutcome::Refused(refusal),
        }
    }

    /// Refuses what no KV cache could make right.
    fn admit(&self, step: &Step) -> Result<(), Refusal> {
        if step.layers.first < self.layers.first || step.layers.end > self.layers.end {
            return Err(Refusal::WrongLayers);
        }
        match self.held.get(&step.uid) {
            Some(held) if step.attempt < held.attempt => {
                Err(Refusal::StaleAttempt { newest: held.attempt })
            }
            Some(_) => Ok(()),
            None if self.faults.leaving => Err(Refusal::Leaving),
            None if (self.kv_free() as usize) < step.inputs.len() => Err(Refusal::Full),
            None => Ok(()),
        }
    }

    /// Finds or makes the KV cache that the step goes on from.
    fn prepare(&mut self, step: &Step) -> Result<(), Refusal> {
        let (known_attempt, built, layers) = match self.held.get(&step.uid) {
            Some(held) => (held.attempt, held.built, held.layers),
            None => (0, 0, step.layers),
        };
        let same = layers == step.layers && step.start == built;
        let fresh = step.start == 0 && (step.attempt > known_attempt || built == 0);
        if !same && !fresh {
            return Err(Refusal::NotNext { built });
        }
        if fresh && !(same && built > 0) {
            self.forget(&step.uid);
            self.held.insert(
                step.uid,
                Held {
                    attempt: step.attempt,
                    layers: step.layers,
                    built: 0,
                    kv: KvDigest::new(step.layers),
                    last: None,
                    ledger: None,
                    used: Instant::now(),
                },
            );
        }
        Ok(())
    }

    fn run_layers(&mut self, step: &Step) -> StepOutcome {
        let order = self.layer_order(step.layers);
        let Some(held) = self.held.get_mut(&step.uid) else {
            return StepOutcome::Refused(Refusal::NotNext { built: 0 });
        };
        let run =
            |input: &u64| order.iter().fold(*input, |act, layer| held.kv.run_layer(act, *layer));
        let outputs: Vec<u64> = step.inputs.iter().map(run).collect();
        let last_stage = step.layers.end == self.model_layers;
        let token = outputs
            .last()
            .filter(|_| last_stage)
            .map(|activation| sillbank_model::sample(*activation, step.seed));
        let outcome = StepOutcome::Done { outputs, token };
        let end = step.start + step.inputs.len() as u32;
        held.attempt = step.attempt;
        held.built = end;
        held.last = Some((step.start, outcome.clone()));
        held.used = Instant::now();
        self.held_tokens += step.inputs.len() as u64;
        self.steps_run += 1;
        self.tokens_run += step.inputs.len() as u64;
        if self.keep_ledger {
            self.note(step, end, order);
        }
        outcome
    }

    /// The layers in the order they run: as they should, unless told to misbehave.
    fn layer_order(&self, layers: LayerRange) -> Vec<u16> {
        let times = |layer: u16| match () {
            () if self.faults.skip_layer == Some(layer) => 0,
            () if self.faults.repeat_layer == Some(layer) => 2,
            () => 1,
        };
        (layers.first..layers.end).flat_map(|l| std::iter::repeat_n(l, times(l))).collect()
    }

    fn note(&mut self, step: &Step, end: Position, layers: Vec<u16>) {
        let Some(held) = self.held.get_mut(&step.uid) else {
            return;
        };
        let last = held.ledger.and_then(|place| self.ledger.get_mut(place));
        if let Some(entry) = last
            && (entry.attempt, entry.end) == (step.attempt, step.start)
            && entry.layers == layers
        {
            entry.end = end;
            return;
        }
        held.ledger = Some(self.ledger.len());
        self.ledger.push(LedgerEntry {
            uid: step.uid.to_string(),
            attempt: step.attempt,
            start: step.start,
            end,
            layers,
        });
    }

    fn forget(&mut self, uid: &RequestUid) {
        if let Some(held) = self.held.remove(uid) {
            self.held_tokens -= u64::from(held.built);
        }
    }

    fn forget_old(&mut self) {
        let old = |held: &Held| held.used.elapsed() > FORGET_AFTER;
        let uids: Vec<_> = self.held.iter().filter(|(_, h)| old(h)).map(|(u, _)| *u).collect();
        uids.iter().for_each(|uid| self.forget(uid));
    }

    fn take_line(&mut self, line: &[u8], reply_to: &Outbox) {
        match serde_json::from_slice(line) {
            Ok(EngineRequest::Step(step)) => {
                let waiting = Waiting { step, arrived: Instant::now(), reply_to: reply_to.clone() };
                self.queue.push(waiting);
                self.wake.try_send(()).ok();
            }
            Ok(EngineRequest::Cancel { uid, attempt }) => {
                if self.held.get(&uid).is_some_and(|held| held.attempt <= attempt) {
                    self.forget(&uid);
                }
            }
            Err(error) => tracing::warn!("standin: A line was not read: {error}."),
        }
    }
}

fn write_line(outbox: &Outbox, reply: &StepReply) {
    outbox.write_with(|buffer: &mut BytesMut| {
        use bytes::BufMut;
        if serde_json::to_writer(buffer.writer(), reply).is_ok() {
            buffer.put_u8(b'\n');
        }
    });
}

struct EngineHandler {
    engine: Rc<RefCell<Engine>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, STEPS_PATH) => self.start_steps(request),
            (&Method::GET, "/v1/load") => json_reply(StatusCode::OK, &self.load()),
            (&Method::GET, "/admin/ledger") => {
                json_reply(StatusCode::OK, &self.engine.borrow().ledger)
            }
            (&Method::GET, "/admin/counts") => {
                let engine = self.engine.borrow();
                let counts = serde_json::json!({
                    "steps": engine.steps_run, "tokens": engine.tokens_run,
                    "held": engine.held.len(), "held_tokens": engine.held_tokens,
                });
                json_reply(StatusCode::OK, &counts)
            }
            (&Method::POST, "/admin/faults") => {
                let body = crate::read_body(request.into_body()).await;
                self.set_faults(&body)
            }
            _ => text_reply(StatusCode::NOT_FOUND, "unknown path"),
        }
    }
}

impl EngineHandler {
    fn load(&self) -> EngineLoad {
        let mut engine = self.engine.borrow_mut();
        engine.forget_old();
        EngineLoad {
            queued: engine.queue.len() as u32,
            held: engine.held.len() as u32,
            kv_free_tokens: engine.kv_free(),
            ..EngineLoad::default()
        }
    }

    fn set_faults(&self, body: &[u8]) -> Response<ReplyBody> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                let mut engine = self.engine.borrow_mut();
                if faults.forget {
                    engine.held.clear();
                    engine.held_tokens = 0;
                }
                engine.faults = faults;
                text_reply(StatusCode::OK, "ok")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn start_steps(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (outbox, body) = Outbox::new();
        let engine = self.engine.clone();
        let read = read_steps(engine, request.into_body(), outbox);
        self.executor.spawn(read).detach();
        Response::new(ReplyBody::Stream(body))
    }
}

async fn read_steps(engine: Rc<RefCell<Engine>>, mut body: Incoming, outbox: Outbox) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            engine.borrow_mut().take_line(&line[..end], &outbox);
        }
        if buffer.len() > MAX_LINE_BYTES {
            break;
        }
    }
    outbox.close();
}
