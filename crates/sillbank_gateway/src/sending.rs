//! Sends a request to an endpoint once and waits for the head of the reply.

use crate::answers::guarantees_not_run;
use crate::connection_pool::PooledConnection;
use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::links::OpenError;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::{EndpointReply, Refusal, ReplyPosition, Wire};
use bytes::BytesMut;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use sillbank_core::run::RunLog;
use sillbank_layers::prelude::*;
use sillbank_links::prelude::*;
use sillbank_net::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How the connection of one send was opened; empty until there is one.
#[derive(Debug, Default)]
pub struct SendRoute {
    transit: Cell<Option<Transit>>,
    hop: Cell<Option<SocketAddr>>,
}

impl SendRoute {
    /// Whether the connection is direct or goes through another VM.
    pub fn transit(&self) -> Option<Transit> {
        self.transit.get()
    }

    /// The VM that passes the connection on, if one does.
    pub fn hop(&self) -> Option<SocketAddr> {
        self.hop.get()
    }

    fn clear(&self) {
        self.transit.set(None);
        self.hop.set(None);
    }

    fn set(&self, connection: &PooledConnection) {
        self.transit.set(Some(connection.transit()));
        self.hop.set(connection.hop.as_ref().map(|hop| hop.vm));
    }
}

/// Where a request is sent.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Endpoint, or the first one of a path.
    pub endpoint: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Path, if the endpoint runs a part of a model.
    pub path: Option<&'a LayerPath>,
    /// Set when there is a connection.
    pub route: &'a SendRoute,
}

/// Result of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The endpoint ran the request and succeeded; the body is still to be read.
    Success(Response<Incoming>, PooledConnection),
    /// The endpoint failed; the body is still to be read.
    Failure(Response<Incoming>, PooledConnection),
    /// The endpoint proved that it did not run the request.
    NotRun(Refusal),
    /// No byte of the request was sent; holds the reason.
    NotSent(String),
    /// The same, as this VM has lost its links and no other VM connects on its behalf.
    NoLink(String),
    /// The request may have run, but no reply to it arrived; holds the reason.
    Lost(String),
    /// The same, as the VM that passed the connection on was lost.
    HopLost(String),
}

/// Sends a request and waits for the head of the reply. The request's run log is up to date even if
/// the future is dropped before it completes.
pub async fn send<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    to: Destination<'_>,
    resume_after: Option<u64>,
) -> SendOutcome {
    loop {
        to.route.clear();
        let connection = match gateway.connection_pool.take(to.endpoint, to.address, Instant::now())
        {
            Some(connection) => connection,
            None => match gateway.open_connection(to.endpoint, to.address).await {
                Ok(connection) => connection,
                Err(error @ OpenError::Endpoint(_)) => {
                    return SendOutcome::NotSent(error.to_string());
                }
                Err(error @ OpenError::Link(_)) => return SendOutcome::NoLink(error.to_string()),
            },
        };
        let is_reused = connection.reused;
        to.route.set(&connection);
        if let Some(hop) = &connection.hop {
            gateway.decisions.sent_through(job, to.endpoint, hop);
        }
        let kind = KindLabel { kind: if is_reused { "reused" } else { "new" } };
        gateway.metrics.connections.get_or_create(&kind).inc();
        match exchange(gateway, job, to, resume_after, connection).await {
            // The endpoint had closed the idle connection, so nothing of the request was sent.
            SendOutcome::NotSent(_) if is_reused => {}
            sent => return sent,
        }
    }
}

/// Whether a status ends an exchange. The HTTP library takes 101, though no caller can ask for another protocol here, and
/// numbers above the classes of statuses, for the status of a reply.
fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Sends a request over a connection and waits for the head of the reply.
async fn exchange<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    to: Destination<'_>,
    resume_after: Option<u64>,
    mut connection: PooledConnection,
) -> SendOutcome {
    let sent_at = Instant::now();
    let request = job.request_for::<W>(to.endpoint, to.path, resume_after, sent_at);
    job.update_run(RunLog::record_sent);
    connection.inner.bounds.start_reply();
    let reply = match connection.inner.sender.try_send_request(request).await {
        Ok(reply) => reply,
        Err(mut error) => {
            let reason = error.error().to_string();
            return match error.take_message() {
                Some(_) => {
                    job.update_run(RunLog::record_refused);
                    SendOutcome::NotSent(reason)
                }
                None if connection.hop_is_lost() => SendOutcome::HopLost(reason),
                None => SendOutcome::Lost(reason),
            };
        }
    };
    connection.inner.bounds.on_progress();
    gateway.on_direct_reply(to.endpoint, &connection);
    if !is_final_status(reply.status()) {
        return SendOutcome::Lost(format!(
            "a reply with status {}, which no reply to a request has",
            reply.status().as_u16()
        ));
    }
    let position = match connection.reused {
        true => ReplyPosition::AfterOthers,
        false => ReplyPosition::First,
    };
    let parsed = W::read_reply(reply.status(), reply.headers(), &job.head.request_id, position);
    if parsed != EndpointReply::Unmatched {
        let pushback = W::read_pushback(reply.status(), reply.headers());
        gateway.on_pushback(to.endpoint, pushback, sent_at);
    }
    match parsed {
        EndpointReply::Success => {
            job.update_run(RunLog::record_ran);
            SendOutcome::Success(reply, connection)
        }
        EndpointReply::Failure if guarantees_not_run(reply.status().as_u16()) => SendOutcome::Lost(
            format!("status {} without a proof that it was not run", reply.status().as_u16()),
        ),
        EndpointReply::Failure => {
            job.update_run(RunLog::record_ran);
            SendOutcome::Failure(reply, connection)
        }
        EndpointReply::NotRun(refusal) => {
            job.update_run(RunLog::record_refused);
            let endpoint = to.endpoint.to_owned();
            drain_refusal(gateway, endpoint, reply, connection).await;
            SendOutcome::NotRun(refusal)
        }
        EndpointReply::Unmatched => SendOutcome::Lost(format!(
            "a reply with status {} that does not belong to the request",
            reply.status().as_u16()
        )),
    }
}

/// Interval at which an answer that finds no memory looks for it.
pub const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum body size of a refusal that is read to keep its connection.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Reads the body of a refusal and returns the connection to the pool.
async fn drain_refusal<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    endpoint: String,
    reply: Response<Incoming>,
    connection: PooledConnection,
) {
    let (head, body) = reply.into_parts();
    if Limited::new(body, MAX_REFUSAL_BYTES).collect().await.is_ok() {
        gateway.keep_connection(&endpoint, connection, &head.headers);
    }
}

/// What the result of a send says about the endpoint's health.
pub fn health_evidence(sent: &SendOutcome) -> Option<Evidence> {
    match sent {
        SendOutcome::Success(..) => Some(Evidence::Good),
        // A lost reply is weak evidence: the endpoint may lose replies and still run every request.
        SendOutcome::Failure(..) | SendOutcome::Lost(_) => Some(Evidence::Failed),
        SendOutcome::NotSent(_) => Some(Evidence::Unreachable),
        // A full endpoint is healthy, and a lost VM proves nothing of it.
        SendOutcome::NotRun(_) | SendOutcome::NoLink(_) | SendOutcome::HopLost(_) => None,
    }
}

/// A reply that was read completely.
#[derive(Debug)]
pub struct BufferedReply {
    /// The reply, ready to be sent to the caller.
    pub reply: Response<ReplyBody>,
    /// The head as received; it says whether the connection stays open.
    pub head: HeaderMap,
    /// Memory budget taken by the body until it is sent to the caller.
    pub memory: MemoryReservation,
}

/// Reads a complete reply of up to `limit_bytes` from its connection.
///
/// # Errors
/// The reason why the reply could not be read completely.
pub async fn buffer_reply(
    reply: Response<Incoming>,
    connection: &PooledConnection,
    limit_bytes: usize,
    memory_budget: &MemoryBudget,
) -> Result<BufferedReply, String> {
    let mut memory = reserve_nothing(memory_budget).await;
    let (head, body) = reply.into_parts();
    let headers = head.headers.clone();
    let mut body = Limited::new(body, limit_bytes);
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer broke off: {error}"))?;
        let Ok(data) = frame.into_data() else { continue };
        connection.inner.bounds.on_progress();
        grow_answer(&mut memory, data.len(), limit_bytes).await?;
        buffer.extend_from_slice(&data);
    }
    let reply = Response::from_parts(head, ReplyBody::Full(Full::new(buffer.freeze())));
    Ok(BufferedReply { reply: strip_reply_headers(reply), head: headers, memory })
}

/// Longest time that an answer waits for memory for its next bytes.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(2);

/// Waits until there is memory for the next bytes of an answer of up to `limit_bytes`; nothing is read from its endpoint
/// meanwhile. The more of it there is, the sooner it is given up: answers that wait for one another's memory would otherwise
/// do so until their time is over, and the longest ones are the most likely not to end at all.
async fn grow_answer(
    memory: &mut MemoryReservation,
    bytes: usize,
    limit_bytes: usize,
) -> Result<(), String> {
    let read_share = memory.bytes() as f64 / limit_bytes.max(1) as f64;
    let max_wait = MAX_MEMORY_WAIT.mul_f64((1.0 - read_share).clamp(0.0, 1.0));
    let started_at = Instant::now();
    while !memory.try_grow_answer(bytes) {
        if started_at.elapsed() >= max_wait {
            let read_bytes = memory.bytes();
            return Err(format!("no memory for more than {read_bytes} bytes of the answer"));
        }
        smol::Timer::after(MEMORY_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until the budget takes a reservation; an answer that an endpoint has made is not discarded.
async fn reserve_nothing(memory_budget: &MemoryBudget) -> MemoryReservation {
    loop {
        match memory_budget.try_reserve(0) {
            Some(memory) => return memory,
            None => drop(smol::Timer::after(MEMORY_POLL_INTERVAL).await),
        }
    }
}

/// Whether only the end of the connection ends a reply's body.
pub fn ends_with_connection(head: &HeaderMap) -> bool {
    !head.contains_key(CONTENT_LENGTH) && !head.contains_key(TRANSFER_ENCODING)
}

/// Removes hop-by-hop headers from a reply.
pub fn strip_reply_headers(mut reply: Response<ReplyBody>) -> Response<ReplyBody> {
    crate::job::strip_connection_headers(reply.headers_mut());
    reply
}
