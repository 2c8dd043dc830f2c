//! Interface between the gateway and a platform's wire format.
//!
//! The gateway speaks HTTP with callers and endpoints but knows none of the platform's headers or
//! formats. An adapter implements [`Wire`]; everything it reads is returned as a type of this
//! module.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, StatusCode};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_pushback::prelude::*;
use sillbank_quarantine::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of one try of a caller's request; carried to the endpoint and back unchanged.
pub type CallerRequestId = String;
/// Number of an event in a stream.
pub type EventNumber = u64;

/// Parsed head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request.
    pub request_id: CallerRequestId,
    /// How long the caller waits for the answer.
    pub time_left: Option<Duration>,
    /// Caller's key.
    pub key: Option<String>,
    /// Last event of the stream that the caller already has.
    pub resume_after: Option<EventNumber>,
    /// Size of the generation.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Result<PromptParts, UnreadableParts>,
}

/// Size of a generation as stated by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub max_output: u32,
    /// Caller's estimate of the output tokens, if it gave one: right at the median, but often far
    /// off.
    pub expected_output: Option<u32>,
}

/// A header of a caller's request cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header '{header}' {reason}; correct it and send the request again")]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// What an endpoint is sent with a request in addition to the caller's own headers.
#[derive(Debug, Clone)]
pub struct SendContext<'a> {
    /// Endpoint the request is for; any other refuses it.
    pub endpoint: &'a str,
    /// Time left before the deadline.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Path through the layers, if the endpoint runs a part of a model.
    pub path: Option<&'a LayerPath>,
    /// Last event of the stream that the caller already has.
    pub resume_after: Option<EventNumber>,
}

/// Position of a reply on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyPosition {
    /// The first reply, which can only answer the request that was sent.
    First,
    /// Other replies came before, so this may be a surplus reply to an earlier request.
    AfterOthers,
}

/// Parsed head of an endpoint's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReply {
    /// The endpoint ran the request and succeeded.
    Success,
    /// The endpoint failed; it ran the request, or may have.
    Failure,
    /// The endpoint did not run the request.
    NotRun(Refusal),
    /// The reply belongs to another request or proves nothing.
    Unmatched,
}

/// An endpoint's proof that it did not run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status, for logs.
    pub status: u16,
    /// Whether the endpoint is not the addressed one, or lacks the requested layers.
    pub misdirected: bool,
    /// Endpoint of the path that caused the refusal.
    pub at_fault: Option<SocketAddr>,
}

/// How requests that pass through released layers are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseMode {
    /// The layers are released once running requests have ended; no new ones are accepted.
    WhenUnused,
    /// Running requests are cut off.
    AtOnce,
}

/// Order to an engine to hold a range of layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Layers to hold.
    pub layers: LayerRange,
    /// When the engine releases other layers that it holds.
    pub release_mode: ReleaseMode,
    /// Number of orders that the engine must have accepted before; it refuses the order if the
    /// number differs.
    pub expected_orders: u64,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has started to carry it out.
    Started,
    /// The engine holds the layers already.
    Done,
    /// The order does not fit the engine's state, which has to be read again.
    Conflict,
    /// The engine does not accept such an order.
    Refused,
}

impl OrderOutcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "begun",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
        }
    }
}

/// A request that has stalled on its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalledRequest {
    /// Id of the request.
    pub request_id: CallerRequestId,
    /// Address of the endpoint that it waits for.
    pub waits_for: SocketAddr,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Start of the reporting incarnation; `None` if the engine does not say.
    pub born_ms: Option<BornMs>,
    /// Layers it holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order.
    pub order_in_progress: bool,
    /// Orders accepted since its start.
    pub orders_accepted: u64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Used share of its KV cache, from 0 to 1.
    pub kv_share: f64,
    /// Slowdown factor: how many times slower than usual it runs.
    pub pace: f64,
    /// Stalled requests whose path starts here.
    pub stalled: Vec<StalledRequest>,
}

/// An endpoint's reply that does not follow the wire format.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the reply cannot be read ({0}); check the version of the endpoint")]
pub struct UnreadableReply(pub String);

/// Translation between a platform's wire format and the gateway's types.
pub trait Wire: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// The first header that is missing or malformed.
    fn read_caller(headers: &HeaderMap) -> Result<CallerHead, HeaderError>;

    /// Changes a caller's headers into those sent to an endpoint.
    fn prepare_headers(headers: &mut HeaderMap, context: &SendContext<'_>);

    /// Reads the head of an endpoint's reply to a request.
    fn read_reply(
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
        position: ReplyPosition,
    ) -> EndpointReply;

    /// Reads what an endpoint asks of VMs in the head of its own reply.
    fn read_pushback(status: StatusCode, headers: &HeaderMap) -> Pushback;

    /// Formats the value of a `Retry-After` header.
    fn retry_after(after: Duration) -> HeaderValue;

    /// Builds the call that gives an order to an engine.
    fn order_call(order: &PlacementOrder) -> Request<Bytes>;

    /// Reads the result of an order or of a move.
    fn read_order_outcome(status: StatusCode) -> OrderOutcome;

    /// Builds the call that asks an engine for its report.
    fn report_call() -> Request<Bytes>;

    /// Reads a report.
    ///
    /// # Errors
    /// What in the body cannot be read.
    fn read_report(body: &[u8]) -> Result<EngineReport, UnreadableReply>;

    /// Builds the call that moves a running request to another path with the same first endpoint.
    fn move_call(request_id: &str, path: &LayerPath) -> Request<Bytes>;
}
