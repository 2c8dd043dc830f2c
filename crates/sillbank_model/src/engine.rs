//! What an engine promises about steps, apart from time and sockets.
//!
//! A step with a smaller attempt than one seen is refused. A step that does not go on from what
//! is held is refused, unless it begins anew under a greater attempt. The last step again gives
//! the last answer again, and nothing runs.

use crate::{KvDigest, sample};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_protocol::engine::{Refusal, Step, StepOutcome, StreamState};
use std::collections::HashMap;

/// An unbroken run of positions for one attempt, as the ledger keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The request, as hexadecimal text.
    pub uid: String,
    /// Attempt it ran under.
    pub attempt: Attempt,
    /// First position.
    pub start: Position,
    /// One past the last position.
    pub end: Position,
    /// Layers in the order they ran.
    pub layers: Vec<u16>,
}

/// Layers that are made to misbehave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LayerFaults {
    /// Layer that is not run.
    pub skip_layer: Option<u16>,
    /// Layer that is run twice.
    pub repeat_layer: Option<u16>,
}

#[derive(Debug, Clone)]
struct Held {
    attempt: Attempt,
    layers: LayerRange,
    built: Position,
    kv: KvDigest,
    /// What layer 0 was given; empty for other stages.
    tokens: Vec<u64>,
    last: Option<(Position, StepOutcome)>,
    /// Place in the ledger of the last entry.
    ledger: Option<usize>,
}

/// The KV caches and the ledger of one engine.
#[derive(Debug, Clone)]
pub struct EngineCore {
    layers: LayerRange,
    model_layers: u16,
    kv_tokens: u64,
    held: HashMap<RequestUid, Held>,
    held_tokens: u64,
    /// What ran, if it is kept.
    pub ledger: Vec<LedgerEntry>,
    /// Whether to keep the ledger.
    pub keep_ledger: bool,
    /// Whether new requests are refused.
    pub leaving: bool,
    /// Layers made to misbehave.
    pub faults: LayerFaults,
}

impl EngineCore {
    /// An engine that holds `layers` of a model of `model_layers`, with room for `kv_tokens`
    /// positions.
    pub fn new(layers: LayerRange, model_layers: u16, kv_tokens: u64) -> Self {
        Self {
            layers,
            model_layers,
            kv_tokens,
            held: HashMap::new(),
            held_tokens: 0,
            ledger: Vec::new(),
            keep_ledger: true,
            leaving: false,
            faults: LayerFaults::default(),
        }
    }

    /// Number of requests held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Positions that still fit.
    pub fn kv_free(&self) -> u64 {
        self.kv_tokens.saturating_sub(self.held_tokens)
    }

    /// Runs a step, or answers why not.
    pub fn run_step(&mut self, step: &Step) -> StepOutcome {
        if let Err(refusal) = self.admit(step) {
            return StepOutcome::Refused(refusal);
        }
        if let Some(again) = self.last_answer(step) {
            return again;
        }
        match self.prepare(step) {
            Ok(()) => self.run_layers(step),
            Err(refusal) => StepOutcome::Refused(refusal),
        }
    }

    /// What layer 0 was given for a request, if it is held here.
    pub fn stream(&self, uid: &RequestUid) -> Option<StreamState> {
        let held = self.held.get(uid).filter(|held| held.layers.first == 0)?;
        Some(StreamState { attempt: held.attempt, tokens: held.tokens.clone() })
    }

    /// Forgets a request, unless a greater attempt holds it.
    pub fn cancel(&mut self, uid: RequestUid, attempt: Attempt) {
        if self.held.get(&uid).is_some_and(|held| held.attempt <= attempt) {
            self.forget(&uid);
        }
    }

    /// Forgets a request.
    pub fn forget(&mut self, uid: &RequestUid) {
        if let Some(held) = self.held.remove(uid) {
            self.held_tokens -= u64::from(held.built);
        }
    }

    /// Holds other layers from now on; every KV cache is gone.
    pub fn hold(&mut self, layers: LayerRange) {
        self.layers = layers;
        self.forget_all();
    }

    /// Forgets every request, as a restart does.
    pub fn forget_all(&mut self) {
        self.held.clear();
        self.held_tokens = 0;
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
            None if self.leaving => Err(Refusal::Leaving),
            None if self.kv_free() < step.inputs.len() as u64 => Err(Refusal::Full),
            None => Ok(()),
        }
    }

    fn last_answer(&mut self, step: &Step) -> Option<StepOutcome> {
        let end = step.start + step.inputs.len() as u32;
        let held = self.held.get_mut(&step.uid)?;
        let (start, outcome) = held.last.as_ref()?;
        let same = *start == step.start && end == held.built && held.layers == step.layers;
        // A first step under a greater attempt begins anew: its inputs may be other ones.
        if !same || (step.start == 0 && step.attempt > held.attempt) {
            return None;
        }
        held.attempt = step.attempt;
        Some(outcome.clone())
    }

    /// Finds or makes the KV cache that the step goes on from.
    fn prepare(&mut self, step: &Step) -> Result<(), Refusal> {
        let (known_attempt, built, layers) = match self.held.get(&step.uid) {
            Some(held) => (held.attempt, held.built, held.layers),
            None => (0, 0, step.layers),
        };
        if step.start > 0 && step.start == built && layers == step.layers {
            return Ok(());
        }
        if step.start > 0 || (built > 0 && step.attempt <= known_attempt) {
            return Err(Refusal::NotNext { built });
        }
        self.forget(&step.uid);
        let fresh = Held {
            attempt: step.attempt,
            layers: step.layers,
            built: 0,
            kv: KvDigest::new(step.layers),
            tokens: Vec::new(),
            last: None,
            ledger: None,
        };
        self.held.insert(step.uid, fresh);
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
        let token =
            outputs.last().filter(|_| last_stage).map(|activation| sample(*activation, step.seed));
        let outcome = StepOutcome::Done { outputs, token };
        if step.layers.first == 0 {
            held.tokens.extend(&step.inputs);
        }
        held.attempt = step.attempt;
        held.built = step.start + step.inputs.len() as u32;
        held.last = Some((step.start, outcome.clone()));
        self.held_tokens += step.inputs.len() as u64;
        if self.keep_ledger {
            self.note(step, order);
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

    fn note(&mut self, step: &Step, layers: Vec<u16>) {
        let Some(held) = self.held.get_mut(&step.uid) else {
            return;
        };
        let end = held.built;
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
}
