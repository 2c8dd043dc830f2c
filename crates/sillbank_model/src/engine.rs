//! State of an engine that runs steps, without timing and sockets.
//!
//! - A step with a lower attempt than the request's newest is refused.
//! - A step that does not continue the request's KV cache is refused, unless it restarts the request
//!   under a higher attempt.
//! - A repetition of the last step returns the same result again, without running it.

use crate::{KvDigest, sample};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_protocol::engine::{Refusal, Step, StepOutcome, StreamState};
use std::collections::HashMap;

/// A ledger entry: consecutive positions that ran under one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The request, as hexadecimal text.
    pub uid: String,
    /// Attempt under which the positions ran.
    pub attempt: Attempt,
    /// First position.
    pub start: Position,
    /// One past the last position.
    pub end: Position,
    /// Layers in the order in which they ran.
    pub layers: Vec<u16>,
}

/// Injected faults of layers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LayerFaults {
    /// Layer that is not run.
    pub skip_layer: Option<u16>,
    /// Layer that is run twice.
    pub repeat_layer: Option<u16>,
}

/// A request whose KV cache the engine holds.
#[derive(Debug, Clone)]
struct HeldRequest {
    attempt: Attempt,
    layers: LayerRange,
    /// Number of positions in the KV cache.
    built: Position,
    kv: KvDigest,
    /// Inputs of layer 0; empty for other stages.
    tokens: Vec<u64>,
    /// Start and outcome of the last step.
    last_step: Option<(Position, StepOutcome)>,
    /// Index of its last entry in the ledger.
    ledger_index: Option<usize>,
}

/// The KV caches and the ledger of one engine.
#[derive(Debug, Clone)]
pub struct EngineCore {
    layers: LayerRange,
    model_layers: u16,
    kv_tokens: u64,
    requests: HashMap<RequestUid, HeldRequest>,
    used_tokens: u64,
    /// Record of what ran, if `keep_ledger` is set.
    pub ledger: Vec<LedgerEntry>,
    /// Whether to keep the ledger.
    pub keep_ledger: bool,
    /// Whether new requests are refused.
    pub leaving: bool,
    /// Injected faults.
    pub faults: LayerFaults,
}

impl EngineCore {
    /// Creates an engine that holds `layers` of a model of `model_layers` layers, with a KV cache of
    /// `kv_tokens` positions.
    pub fn new(layers: LayerRange, model_layers: u16, kv_tokens: u64) -> Self {
        Self {
            layers,
            model_layers,
            kv_tokens,
            requests: HashMap::new(),
            used_tokens: 0,
            ledger: Vec::new(),
            keep_ledger: true,
            leaving: false,
            faults: LayerFaults::default(),
        }
    }

    /// Number of requests in the KV cache.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Free positions of the KV cache.
    pub fn kv_free(&self) -> u64 {
        self.kv_tokens.saturating_sub(self.used_tokens)
    }

    /// Runs a step, or returns why it is refused.
    pub fn run_step(&mut self, step: &Step) -> StepOutcome {
        if let Err(refusal) = self.admit(step) {
            return StepOutcome::Refused(refusal);
        }
        if let Some(outcome) = self.repeated_outcome(step) {
            return outcome;
        }
        match self.prepare(step) {
            Ok(()) => self.run_layers(step),
            Err(refusal) => StepOutcome::Refused(refusal),
        }
    }

    /// The inputs of layer 0 of a request; `None` if the engine does not hold layer 0 of it.
    pub fn stream(&self, uid: &RequestUid) -> Option<StreamState> {
        let request = self.requests.get(uid).filter(|request| request.layers.first == 0)?;
        Some(StreamState { attempt: request.attempt, tokens: request.tokens.clone() })
    }

    /// Evicts a request, unless it runs under a higher attempt.
    pub fn cancel(&mut self, uid: RequestUid, attempt: Attempt) {
        if self.requests.get(&uid).is_some_and(|request| request.attempt <= attempt) {
            self.evict(&uid);
        }
    }

    /// Evicts a request from the KV cache.
    pub fn evict(&mut self, uid: &RequestUid) {
        if let Some(request) = self.requests.remove(uid) {
            self.used_tokens -= u64::from(request.built);
        }
    }

    /// Loads other layers, which evicts all requests.
    pub fn set_layers(&mut self, layers: LayerRange) {
        self.layers = layers;
        self.evict_all();
    }

    /// Evicts all requests, as a restart does.
    pub fn evict_all(&mut self) {
        self.requests.clear();
        self.used_tokens = 0;
    }

    /// Refuses steps that cannot run, whatever the KV cache of the request contains.
    fn admit(&self, step: &Step) -> Result<(), Refusal> {
        if step.layers.first < self.layers.first || step.layers.end > self.layers.end {
            return Err(Refusal::WrongLayers);
        }
        match self.requests.get(&step.uid) {
            Some(request) if step.attempt < request.attempt => {
                Err(Refusal::StaleAttempt { newest: request.attempt })
            }
            Some(_) => Ok(()),
            None if self.leaving => Err(Refusal::Leaving),
            None if self.kv_free() < step.inputs.len() as u64 => Err(Refusal::Full),
            None => Ok(()),
        }
    }

    /// The outcome of the request's last step, if this step repeats it.
    fn repeated_outcome(&mut self, step: &Step) -> Option<StepOutcome> {
        let end = step.start + step.inputs.len() as u32;
        let request = self.requests.get_mut(&step.uid)?;
        let (start, outcome) = request.last_step.as_ref()?;
        let same = *start == step.start && end == request.built && request.layers == step.layers;
        // A first step under a higher attempt restarts the request: its inputs may differ.
        if !same || (step.start == 0 && step.attempt > request.attempt) {
            return None;
        }
        request.attempt = step.attempt;
        Some(outcome.clone())
    }

    /// Checks that the step continues the request's KV cache, or creates an empty one for a first step.
    fn prepare(&mut self, step: &Step) -> Result<(), Refusal> {
        let (known_attempt, built, layers) = match self.requests.get(&step.uid) {
            Some(request) => (request.attempt, request.built, request.layers),
            None => (0, 0, step.layers),
        };
        if step.start > 0 && step.start == built && layers == step.layers {
            return Ok(());
        }
        if step.start > 0 || (built > 0 && step.attempt <= known_attempt) {
            return Err(Refusal::NotNext { built });
        }
        self.evict(&step.uid);
        let request = HeldRequest {
            attempt: step.attempt,
            layers: step.layers,
            built: 0,
            kv: KvDigest::new(step.layers),
            tokens: Vec::new(),
            last_step: None,
            ledger_index: None,
        };
        self.requests.insert(step.uid, request);
        Ok(())
    }

    fn run_layers(&mut self, step: &Step) -> StepOutcome {
        let order = self.layer_order(step.layers);
        let Some(request) = self.requests.get_mut(&step.uid) else {
            return StepOutcome::Refused(Refusal::NotNext { built: 0 });
        };
        let run = |input: &u64| {
            order.iter().fold(*input, |activation, layer| request.kv.run_layer(activation, *layer))
        };
        let outputs: Vec<u64> = step.inputs.iter().map(run).collect();
        let last_stage = step.layers.end == self.model_layers;
        let token =
            outputs.last().filter(|_| last_stage).map(|activation| sample(*activation, step.seed));
        let outcome = StepOutcome::Done { outputs, token };
        if step.layers.first == 0 {
            request.tokens.extend(&step.inputs);
        }
        request.attempt = step.attempt;
        request.built = step.start + step.inputs.len() as u32;
        request.last_step = Some((step.start, outcome.clone()));
        self.used_tokens += step.inputs.len() as u64;
        if self.keep_ledger {
            self.record(step, order);
        }
        outcome
    }

    /// The layers in the order in which they run: each once and in sequence, apart from injected faults.
    fn layer_order(&self, layers: LayerRange) -> Vec<u16> {
        let times = |layer: u16| match () {
            () if self.faults.skip_layer == Some(layer) => 0,
            () if self.faults.repeat_layer == Some(layer) => 2,
            () => 1,
        };
        (layers.first..layers.end).flat_map(|l| std::iter::repeat_n(l, times(l))).collect()
    }

    /// Records a step in the ledger; extends the request's last entry if the step continues it.
    fn record(&mut self, step: &Step, layers: Vec<u16>) {
        let Some(request) = self.requests.get_mut(&step.uid) else {
            return;
        };
        let end = request.built;
        let last = request.ledger_index.and_then(|index| self.ledger.get_mut(index));
        if let Some(entry) = last
            && (entry.attempt, entry.end) == (step.attempt, step.start)
            && entry.layers == layers
        {
            entry.end = end;
            return;
        }
        request.ledger_index = Some(self.ledger.len());
        self.ledger.push(LedgerEntry {
            uid: step.uid.to_string(),
            attempt: step.attempt,
            start: step.start,
            end,
            layers,
        });
    }
}
