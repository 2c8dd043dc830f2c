//! Steps and their replies, as JSON lines over one long-lived `POST /v1/steps` exchange per engine.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// Path of the streamed exchange.
pub const STEPS_PATH: &str = "/v1/steps";
/// Path prefix at which an engine that holds layer 0 reports the state of a request as a [`StreamState`].
pub const STREAMS_PATH: &str = "/v1/streams/";
/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// A line sent from an entry to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRequest {
    /// Runs layers over positions.
    Step(Step),
    /// Ends a request.
    Cancel {
        /// Id of the request.
        uid: RequestUid,
        /// Attempts up to and including this one are ended.
        attempt: Attempt,
    },
}

/// Runs `layers` over `inputs.len()` positions, beginning at `start`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Id of the request.
    pub uid: RequestUid,
    /// Number of the attempt. The engine refuses numbers smaller than the greatest it has seen.
    pub attempt: Attempt,
    /// First position.
    pub start: Position,
    /// Layers to run.
    pub layers: LayerRange,
    /// Sampling seed, used by the stage that holds the last layer.
    pub seed: u64,
    /// Priority; steps with a greater value run first.
    pub priority: u8,
    /// One activation per position: a value or a reference, opaque to sillbank.
    pub inputs: Vec<u64>,
}

/// A line sent from an engine to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// Id of the request.
    pub uid: RequestUid,
    /// Attempt of the answered step.
    pub attempt: Attempt,
    /// First position of the answered step.
    pub start: Position,
    /// Outcome of the step.
    pub outcome: StepOutcome,
    /// Load of the engine at the time of the reply.
    pub load: EngineLoad,
}

/// Path at which an engine reports its [`EngineState`].
pub const STATE_PATH: &str = "/v1/state";
/// Path at which an engine accepts a [`LoadOrder`].
pub const ORDERS_PATH: &str = "/v1/orders";

/// Layers and status of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Layers it holds.
    pub layers: LayerRange,
    /// Whether it is loading other layers.
    pub loading: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Greatest fencing token that it has seen.
    pub fence: u64,
}

/// Order to load layers. An engine that checks fencing tokens ignores the order and returns 409 if it has seen a
/// greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Fencing token: the version of the lease under which the order is given.
    pub fence: u64,
    /// Layers to hold.
    pub layers: LayerRange,
}

/// State of a request at an engine that holds layer 0, from which another VM can continue it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamState {
    /// Greatest attempt that the engine has seen.
    pub attempt: Attempt,
    /// Tokens of the sequence, beginning with the prompt.
    pub tokens: Vec<u64>,
}

/// Outcome of a step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// The layers were run once for each position.
    Done {
        /// One activation per position.
        outputs: Vec<u64>,
        /// Token sampled after the last position; only the stage that holds the last layer returns one.
        token: Option<TokenId>,
    },
    /// Nothing was run.
    Refused(Refusal),
}

/// Why an engine refused a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The engine has seen a greater attempt.
    StaleAttempt {
        /// The greatest attempt seen.
        newest: Attempt,
    },
    /// The step does not start at the next position.
    NotNext {
        /// Number of positions that the engine has built.
        built: Position,
    },
    /// The engine does not hold these layers.
    WrongLayers,
    /// The engine has no capacity for another request.
    Full,
    /// The engine is leaving and accepts no new requests.
    Leaving,
}

/// Load of an engine, included in every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of steps waiting when the batch was started.
    pub queued: u32,
    /// Number of requests whose KV cache is held.
    pub held: u32,
    /// Time from arrival to the start of the batch, in microseconds.
    pub wait_us: u32,
    /// Run time of the batch, in microseconds.
    pub run_us: u32,
    /// Number of steps in the batch.
    pub batch: u32,
    /// Free KV cache, in positions.
    pub kv_free_tokens: u32,
}
