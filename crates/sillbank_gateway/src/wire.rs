//! What a platform's wire has to be translated into.
//!
//! The gateway speaks HTTP with callers and endpoints, but knows none of the platform's names.
//! The adapter implements [`Wire`] once; everything it reads arrives here as a type of ours.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, StatusCode};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_pushback::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of one try of a caller; it is carried to the endpoint and back unchanged.
pub type CallerRequestId = String;
/// Number of an event in a stream.
pub type EventNumber = u64;

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request.
    pub request_id: CallerRequestId,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Key.
    pub key: Option<String>,
    /// Last event that the caller has of this stream.
    pub resume_after: Option<EventNumber>,
    /// Size of a generation.
    pub tokens: Option<TokenCounts>,
}

/// Size of a generation as the caller tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens that come out.
    pub most_output: u32,
    /// The caller's guess of how many come out, if it made one: right at the median, often far off.
    pub likely_output: Option<u32>,
}

/// Why the head of a request cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header '{header}' {reason}; correct it and send the request again")]
pub struct BadHead {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong.
    pub reason: &'static str,
}

/// One sending of a request to an endpoint.
#[derive(Debug, Clone)]
pub struct Sending<'a> {
    /// The endpoint that is meant; any other refuses it.
    pub endpoint: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Path through the layers, if the endpoint runs a part of a model.
    pub path: Option<&'a LayerPath>,
    /// Last event that the caller has of this stream.
    pub resume_after: Option<EventNumber>,
}

/// Where a reply stands on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyPlace {
    /// It is the first one, so it can only be the reply to the request that was sent.
    First,
    /// Others went before it, so it may be a surplus reply to one of their requests.
    AfterOthers,
}

/// What the head of an endpoint's reply says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointReply {
    /// The endpoint ran the request and succeeded.
    Success,
    /// The endpoint ran the request, or may have, and failed.
    Failure,
    /// The endpoint did not run the request.
    NotRun(Refusal),
    /// The reply belongs to another request or proves nothing.
    Foreign,
}

/// An endpoint's word that it did not run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Status, for logs.
    pub status: u16,
    /// Whether the endpoint is not the one that was meant, or lacks the layers that were asked.
    pub misdirected: bool,
    /// Endpoint of a path that is the reason.
    pub at_fault: Option<SocketAddr>,
}

/// What happens to requests that pass through layers that are given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUp {
    /// They end first; no new ones are taken.
    WhenUnused,
    /// They are cut off.
    AtOnce,
}

/// Layers that an endpoint is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceOrder {
    /// Layers.
    pub layers: LayerRange,
    /// When it gives up what it holds beside them.
    pub give_up: GiveUp,
    /// Orders that the endpoint has taken before; it refuses the order if there were others.
    pub expected_orders: u64,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// It is under way.
    Begun,
    /// The endpoint holds the layers already.
    Done,
    /// It does not fit the endpoint's state, which should be read again.
    Conflict,
    /// The endpoint does not take such an order.
    Refused,
}

impl OrderEnd {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
        }
    }
}

/// A request that stands still on its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalledRequest {
    /// Request.
    pub request_id: CallerRequestId,
    /// Endpoint that it waits for.
    pub waits_for: SocketAddr,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Start of the life that reports; `None` if it does not say.
    pub born_ms: Option<BornMs>,
    /// Layers it holds; `None` if it holds none.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order.
    pub order_under_way: bool,
    /// Orders it has taken since its start.
    pub orders_taken: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Share of its KV cache that is in use, from 0 to 1.
    pub kv_share: f64,
    /// How many times slower than usual it is.
    pub pace: f64,
    /// Requests that began here and stand still.
    pub stalled: Vec<StalledRequest>,
}

/// A reply that is not what the wire promises.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the reply cannot be read ({0}); check the version of the endpoint")]
pub struct Unreadable(pub String);

/// The translation between a platform's wire and the gateway's types.
pub trait Wire: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// The first header that is missing or not well formed.
    fn read_caller(headers: &HeaderMap) -> Result<CallerHead, BadHead>;

    /// Changes a caller's headers into those for an endpoint.
    fn prepare_sending(headers: &mut HeaderMap, sending: &Sending<'_>);

    /// Reads the head of an endpoint's reply to a request.
    fn read_reply(
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
        place: ReplyPlace,
    ) -> EndpointReply;

    /// Reads what an endpoint asks of VMs in the head of a reply that is its own.
    fn read_pushback(status: StatusCode, headers: &HeaderMap) -> Pushback;

    /// The value of a `Retry-After` header.
    fn retry_after(after: Duration) -> HeaderValue;

    /// The call that gives an order to an engine.
    fn order_call(order: &PlaceOrder) -> Request<Bytes>;

    /// Reads how an order ended.
    fn read_order_end(status: StatusCode) -> OrderEnd;

    /// The call that asks an engine for its report.
    fn report_call() -> Request<Bytes>;

    /// Reads a report.
    ///
    /// # Errors
    /// What does not fit.
    fn read_report(body: &[u8]) -> Result<EngineReport, Unreadable>;

    /// The call that moves a running request to another path with the same first endpoint.
    fn move_call(request_id: &str, path: &LayerPath) -> Request<Bytes>;
}
