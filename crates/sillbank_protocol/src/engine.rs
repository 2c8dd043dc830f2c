//! Steps and their replies, as JSON lines on one long `POST /v1/steps` exchange per engine.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// Path of the streamed exchange.
pub const STEPS_PATH: &str = "/v1/steps";
/// Path below which an engine that holds layer 0 tells what it was given for a request.
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Longest accepted line, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// A line from entry to engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRequest {
    /// Run layers over positions.
    Step(Step),
    /// Forget a request.
    Cancel {
        /// The request.
        uid: RequestUid,
        /// Attempts up to this one end.
        attempt: Attempt,
    },
}

/// Run `layers` over `inputs.len()` positions from `start` on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The request.
    pub uid: RequestUid,
    /// Number of the try; the engine refuses smaller ones than it has seen.
    pub attempt: Attempt,
    /// First position.
    pub start: Position,
    /// Layers to run.
    pub layers: LayerRange,
    /// Seed for sampling, used by the stage that holds the last layer.
    pub seed: u64,
    /// Greater goes first.
    pub priority: u8,
    /// One activation for each position: opaque to sillbank, a value or a reference.
    pub inputs: Vec<u64>,
}

/// A line from engine to entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// The request.
    pub uid: RequestUid,
    /// Attempt of the step that is answered.
    pub attempt: Attempt,
    /// First position of the step that is answered.
    pub start: Position,
    /// What came of it.
    pub outcome: StepOutcome,
    /// Load of the engine when it answered.
    pub load: EngineLoad,
}

/// Path at which an engine says what it holds.
pub const STATE_PATH: &str = "/v1/state";
/// Path at which an engine takes orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// What an engine holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Layers it holds.
    pub layers: LayerRange,
    /// Whether it is loading others.
    pub loading: bool,
    /// Whether it takes no new request.
    pub leaving: bool,
    /// Greatest fence it has seen.
    pub fence: u64,
}

/// An order to load layers. An engine that checks fences answers 409 and does nothing if it has
/// seen a greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Version of the lease under which the order is given.
    pub fence: u64,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// What an engine that holds layer 0 was given for a request, so that another VM can go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamState {
    /// Greatest attempt seen.
    pub attempt: Attempt,
    /// Tokens of the sequence, prompt first.
    pub tokens: Vec<u64>,
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// The layers ran once at each position.
    Done {
        /// One activation for each position.
        outputs: Vec<u64>,
        /// Token drawn after the last position, from the stage that holds the last layer.
        token: Option<TokenId>,
    },
    /// Nothing was run.
    Refused(Refusal),
}

/// Why an engine ran nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A greater attempt was seen.
    StaleAttempt {
        /// The greatest seen.
        newest: Attempt,
    },
    /// The start is not the next position; the engine holds this many.
    NotNext {
        /// Positions held.
        built: Position,
    },
    /// The engine does not hold these layers.
    WrongLayers,
    /// No room for another request.
    Full,
    /// The engine is leaving and takes no new request.
    Leaving,
}

/// Load, riding on every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Steps waiting when the batch was taken.
    pub queued: u32,
    /// Requests whose KV cache is held.
    pub held: u32,
    /// Time from arrival to the start of the batch, in microseconds.
    pub wait_us: u32,
    /// Time of the batch, in microseconds.
    pub run_us: u32,
    /// Steps in the batch.
    pub batch: u32,
    /// Free KV cache, in positions.
    pub kv_free_tokens: u32,
}
