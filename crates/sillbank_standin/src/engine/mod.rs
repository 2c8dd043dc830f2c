//! Test double of a model engine: one layer range, continuous batching, a KV cache and a ledger of what ran.

mod http;

use argh::FromArgs;
use bytes::BytesMut;
use http::EngineHandler;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_model::engine::EngineCore;
use sillbank_model::kinds::{KindCost, find_kind};
use sillbank_net::prelude::*;
use sillbank_protocol::engine::{
    EngineLoad, EngineRequest, EngineState, LoadOrder, Refusal, Step, StepOutcome, StepReply,
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
    /// accelerator kind: k1 (fastest) to k5
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
    /// factor on all costs; 0 replies immediately
    #[argh(option, default = "1.0")]
    cost_factor: f64,
    /// time that loading layers takes, in milliseconds
    #[argh(option, default = "300")]
    load_ms: u64,
    /// accept orders without checking their fence
    #[argh(switch)]
    no_fence_check: bool,
    /// keep no ledger
    #[argh(switch)]
    no_ledger: bool,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Layer to skip.
    skip_layer: Option<u16>,
    /// Layer to run twice.
    repeat_layer: Option<u16>,
    /// Factor on all costs.
    slow_factor: Option<f64>,
    /// Number of next replies to lose after the step has run.
    lose_replies: u32,
    /// Number of next replies to send twice.
    double_replies: u32,
    /// Evict every KV cache now.
    forget: bool,
    /// Accept no new requests.
    leaving: bool,
}

/// A step in the queue, and where its reply goes.
struct QueuedStep {
    step: Step,
    queued_at: Instant,
    reply_to: Outbox,
}

/// State of one engine.
struct Engine {
    cost: KindCost,
    layers: LayerRange,
    cost_factor: f64,
    core: EngineCore,
    last_used: HashMap<RequestUid, Instant>,
    queue: Vec<QueuedStep>,
    /// Steps that remained in the queue when the last batch was formed.
    left_in_queue: u32,
    faults: Faults,
    steps_run: u64,
    tokens_run: u64,
    wake: Sender<()>,
    load_time: Duration,
    checks_fences: bool,
    fence: u64,
    /// Fences of the accepted orders, in order of arrival.
    orders: Vec<u64>,
    loading: Option<(LayerRange, Instant)>,
}

/// Maximum prefill positions in one batch, unless a single step has more.
const MAX_BATCH_PREFILL_POSITIONS: usize = 2048;
/// A KV cache that is not used for this long is evicted.
const KV_CACHE_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts the engine.
pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: EngineArguments,
) -> std::io::Result<()> {
    let cost = find_kind(&arguments.kind)
        .ok_or_else(|| std::io::Error::other("the kind is not known; use k1 to k5"))?;
    let (wake, woken) = smol::channel::bounded(1);
    let layers = LayerRange { first: arguments.first_layer, end: arguments.end_layer };
    let kv_tokens = u64::from(cost.kv_tokens);
    let mut core = EngineCore::new(layers, arguments.model_layers, kv_tokens);
    core.keep_ledger = !arguments.no_ledger;
    let engine = Rc::new(RefCell::new(Engine {
        cost,
        layers,
        cost_factor: arguments.cost_factor,
        core,
        last_used: HashMap::new(),
        queue: Vec::new(),
        left_in_queue: 0,
        faults: Faults::default(),
        steps_run: 0,
        tokens_run: 0,
        wake,
        load_time: Duration::from_millis(arguments.load_ms),
        checks_fences: !arguments.no_fence_check,
        fence: 0,
        orders: Vec::new(),
        loading: None,
    }));
    executor.spawn(run_batches(engine.clone(), woken)).detach();
    let handler = Rc::new(EngineHandler { engine, executor: executor.clone() });
    crate::serve_at(&executor, &arguments.listen, handler).await
}

/// Runs one batch after another while steps are queued.
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
    /// Takes the next batch from the queue, by priority.
    fn take_batch(&mut self) -> Vec<QueuedStep> {
        self.queue.sort_by_key(|queued| std::cmp::Reverse(queued.step.priority));
        let count = self.batch_size();
        let batch = self.queue.drain(..count).collect();
        self.left_in_queue = self.queue.len() as u32;
        batch
    }

    /// Number of queued steps for the next batch, which is limited in steps and in prefill positions.
    fn batch_size(&self) -> usize {
        let mut prefill = 0;
        let queued = self.queue.iter().take(self.cost.max_batch);
        let batch = queued.take_while(|queued| {
            let positions = queued.step.inputs.len();
            let fits = positions == 1
                || prefill == 0
                || prefill + positions <= MAX_BATCH_PREFILL_POSITIONS;
            prefill += if positions > 1 { positions } else { 0 };
            fits
        });
        batch.count()
    }

    /// Simulated run time of a batch. Costs are defined for 8 layers and scale with the number of layers.
    fn batch_time(&self, batch: &[QueuedStep]) -> Duration {
        let size = |queued: &QueuedStep| queued.step.inputs.len();
        let decodes = batch.iter().filter(|queued| size(queued) == 1).count() as f64;
        let prefill: usize = batch.iter().map(size).filter(|n| *n > 1).sum();
        let us = self.cost.fixed_us
            + self.cost.per_sequence_us * decodes
            + self.cost.prefill_us_per_token * prefill as f64;
        let scale = self.layers.len() as f64 / 8.0;
        let slow = self.faults.slow_factor.unwrap_or(1.0);
        Duration::from_nanos((us * scale * slow * self.cost_factor * 1000.0) as u64)
    }

    /// Runs the steps of a batch and sends their replies.
    fn finish_batch(&mut self, batch: Vec<QueuedStep>, started: Instant, time: Duration) {
        let size = batch.len() as u32;
        for queued in batch {
            let outcome = self.run_step(&queued.step);
            let load = EngineLoad {
                queued: self.left_in_queue,
                held: self.core.request_count() as u32,
                wait_us: started.duration_since(queued.queued_at).as_micros() as u32,
                run_us: time.as_micros() as u32,
                batch: size,
                kv_free_tokens: self.kv_free(),
            };
            let step = &queued.step;
            let reply = StepReply {
                uid: step.uid,
                attempt: step.attempt,
                start: step.start,
                outcome,
                load,
            };
            self.send_reply(&queued.reply_to, &reply);
        }
    }

    /// Sends a reply, unless a fault loses or doubles it.
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
        self.core.kv_free() as u32
    }

    /// Runs one step; refuses it while layers are being loaded.
    fn run_step(&mut self, step: &Step) -> StepOutcome {
        if self.state().loading {
            return StepOutcome::Refused(Refusal::WrongLayers);
        }
        let outcome = self.core.run_step(step);
        if let StepOutcome::Done { outputs, .. } = &outcome {
            self.steps_run += 1;
            self.tokens_run += outputs.len() as u64;
            self.last_used.insert(step.uid, Instant::now());
        }
        outcome
    }

    /// Accepts an order, unless its fence is older than one seen before.
    fn accept_order(&mut self, order: &LoadOrder) -> bool {
        if self.checks_fences && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.orders.push(order.fence);
        self.loading = Some((order.layers, Instant::now() + self.load_time));
        true
    }

    /// Completes loading if its time is over. Returns the current state.
    fn state(&mut self) -> EngineState {
        if let Some((layers, until)) = self.loading
            && Instant::now() >= until
        {
            self.loading = None;
            self.layers = layers;
            self.core.set_layers(layers);
        }
        EngineState {
            layers: self.layers,
            loading: self.loading.is_some(),
            leaving: self.core.leaving,
            fence: self.fence,
        }
    }

    /// Evicts KV caches that have not been used for [`KV_CACHE_IDLE_TIMEOUT`].
    fn evict_idle(&mut self) {
        let core = &mut self.core;
        self.last_used.retain(|uid, used_at| {
            let keep = used_at.elapsed() < KV_CACHE_IDLE_TIMEOUT;
            if !keep {
                core.evict(uid);
            }
            keep
        });
    }

    /// Handles one line of a connection: a step or a cancellation.
    fn handle_line(&mut self, line: &[u8], reply_to: &Outbox) {
        match serde_json::from_slice(line) {
            Ok(EngineRequest::Step(step)) => {
                let queued =
                    QueuedStep { step, queued_at: Instant::now(), reply_to: reply_to.clone() };
                self.queue.push(queued);
                self.wake.try_send(()).ok();
            }
            Ok(EngineRequest::Cancel { uid, attempt }) => {
                self.core.cancel(uid, attempt);
                self.last_used.remove(&uid);
            }
            Err(error) => tracing::warn!("standin: A line could not be parsed: {error}."),
        }
    }
}

/// Writes a reply as one line of JSON.
fn write_line(outbox: &Outbox, reply: &StepReply) {
    outbox.write_with(|buffer: &mut BytesMut| {
        use bytes::BufMut;
        if serde_json::to_writer(buffer.writer(), reply).is_ok() {
            buffer.put_u8(b'\n');
        }
    });
}
