//! Inputs and progress of each stage of a chain.

use crate::StageIndex;
use sillbank_core::prelude::*;

#[derive(Debug)]
struct Stage {
    layers: LayerRange,
    /// Input of each position: tokens for the first stage, outputs of the previous stage for the others.
    inputs: Vec<u64>,
    /// Number of positions in the KV cache of the stage.
    built: Position,
    /// Whether the stage was lost and has no new endpoint yet.
    missing: bool,
}

/// Stages of a chain. The inputs of each stage are kept, so that its KV cache can be rebuilt without running the
/// other stages again.
#[derive(Debug)]
pub(crate) struct Stages {
    stages: Vec<Stage>,
}

impl Stages {
    pub(crate) fn new(layers: Vec<LayerRange>, tokens: &[TokenId]) -> Self {
        let empty = |layers| Stage { layers, inputs: Vec::new(), built: 0, missing: false };
        let mut stages: Vec<Stage> = layers.into_iter().map(empty).collect();
        if let Some(first) = stages.first_mut() {
            first.inputs.extend(tokens.iter().map(|token| u64::from(*token)));
        }
        Self { stages }
    }

    pub(crate) fn count(&self) -> usize {
        self.stages.len()
    }

    pub(crate) fn layers(&self, stage: StageIndex) -> LayerRange {
        self.stages[stage].layers
    }

    pub(crate) fn is_last(&self, stage: StageIndex) -> bool {
        stage + 1 == self.stages.len()
    }

    pub(crate) fn any_missing(&self) -> bool {
        self.stages.iter().any(|stage| stage.missing)
    }

    /// Returns the first stage with inputs that it has not run, and the position to continue from.
    pub(crate) fn next_work(&self) -> Option<(StageIndex, Position)> {
        let behind = |stage: &Stage| (stage.built as usize) < stage.inputs.len();
        let found = self.stages.iter().position(behind)?;
        Some((found, self.stages[found].built))
    }

    pub(crate) fn inputs_from(&self, stage: StageIndex, start: Position) -> &[u64] {
        &self.stages[stage].inputs[start as usize..]
    }

    pub(crate) fn add_token(&mut self, token: TokenId) {
        self.stages[0].inputs.push(u64::from(token));
    }

    /// Records the outputs of a stage. Those that the next stage does not have yet become its inputs.
    pub(crate) fn record_outputs(&mut self, stage: StageIndex, start: Position, outputs: &[u64]) {
        let end = start + outputs.len() as u32;
        self.stages[stage].built = end;
        if let Some(next) = self.stages.get_mut(stage + 1) {
            let known = next.inputs.len().saturating_sub(start as usize);
            next.inputs.extend(outputs.iter().skip(known));
        }
    }

    /// Marks a stage as missing and returns how many positions it had built.
    pub(crate) fn mark_lost(&mut self, stage: StageIndex) -> u32 {
        let stage = &mut self.stages[stage];
        stage.missing = true;
        std::mem::take(&mut stage.built)
    }

    pub(crate) fn mark_replaced(&mut self, stage: StageIndex) {
        self.stages[stage].missing = false;
    }
}
