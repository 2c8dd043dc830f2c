//! One sending of a request to an endpoint, up to the head of its reply.

use crate::answers::is_promise;
use crate::channels::Channel;
use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::wire::{EndpointReply, Refusal, ReplyPlace, Wire};
use bytes::BytesMut;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use sillbank_core::run::RunLog;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Where a request is sent.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Endpoint.
    pub endpoint: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Path, if it runs a part of a model.
    pub path: Option<&'a LayerPath>,
}

/// What came of a sending.
#[derive(Debug)]
pub enum Sent {
    /// The endpoint ran it and succeeded; the body is to come.
    Success(Response<Incoming>, Channel),
    /// The endpoint failed; the body is to come.
    Failure(Response<Incoming>, Channel),
    /// The endpoint did not run it and said so.
    NotRun(Refusal),
    /// No byte of it left.
    NotSent(String),
    /// It may have run; no answer that belongs to it came.
    Lost(String),
}

/// Sends a request and waits for the head of the reply. The work's log is kept up to date, also if
/// this is dropped before its end.
pub async fn send<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    to: Destination<'_>,
    resume_after: Option<u64>,
) -> Sent {
    loop {
        let channel = match gateway.channels.take(to.endpoint, to.address, Instant::now()) {
            Some(channel) => channel,
            None => match gateway.channels.open(to.address).await {
                Ok(channel) => channel,
                Err(error) => return Sent::NotSent(format!("no connection: {error}")),
            },
        };
        let was_reused = channel.reused;
        let kind = KindLabel { kind: if was_reused { "reused" } else { "new" } };
        gateway.metrics.connections.get_or_create(&kind).inc();
        match exchange(gateway, job, to, resume_after, channel).await {
            // The endpoint had closed a connection that rested: nothing of the request left.
            Sent::NotSent(_) if was_reused => {}
            sent => return sent,
        }
    }
}

async fn exchange<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    to: Destination<'_>,
    resume_after: Option<u64>,
    mut channel: Channel,
) -> Sent {
    let sent_at = Instant::now();
    let request = job.request_for::<W>(to.endpoint, to.path, resume_after, sent_at);
    job.note_run(RunLog::record_sent);
    let reply = match channel.connection.sender.try_send_request(request).await {
        Ok(reply) => reply,
        Err(mut error) => {
            let reason = error.error().to_string();
            return match error.take_message() {
                Some(_) => {
                    job.note_run(RunLog::record_refused);
                    Sent::NotSent(reason)
                }
                None => Sent::Lost(reason),
            };
        }
    };
    let place = match channel.reused {
        true => ReplyPlace::AfterOthers,
        false => ReplyPlace::First,
    };
    let read = W::read_reply(reply.status(), reply.headers(), &job.head.request_id, place);
    if read != EndpointReply::Foreign {
        let pushback = W::read_pushback(reply.status(), reply.headers());
        gateway.on_pushback(to.endpoint, pushback, sent_at);
    }
    match read {
        EndpointReply::Success => {
            job.note_run(RunLog::record_ran);
            Sent::Success(reply, channel)
        }
        EndpointReply::Failure if is_promise(reply.status().as_u16()) => Sent::Lost(format!(
            "status {} without a proof that it was not run",
            reply.status().as_u16()
        )),
        EndpointReply::Failure => {
            job.note_run(RunLog::record_ran);
            Sent::Failure(reply, channel)
        }
        EndpointReply::NotRun(refusal) => {
            job.note_run(RunLog::record_refused);
            let endpoint = to.endpoint.to_owned();
            keep_after_refusal(gateway, endpoint, reply, channel).await;
            Sent::NotRun(refusal)
        }
        EndpointReply::Foreign => Sent::Lost(format!(
            "a reply with status {} that does not belong to the request",
            reply.status().as_u16()
        )),
    }
}

/// Longest body of a refusal that is read so that its connection can be kept.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

async fn keep_after_refusal<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    endpoint: String,
    reply: Response<Incoming>,
    channel: Channel,
) {
    let (head, body) = reply.into_parts();
    if Limited::new(body, MAX_REFUSAL_BYTES).collect().await.is_ok() {
        gateway.keep_channel(&endpoint, channel, &head.headers);
    }
}

/// What a sending without success tells of the endpoint's health.
pub fn evidence_of(sent: &Sent) -> Option<Evidence> {
    match sent {
        Sent::Success(..) => Some(Evidence::Good),
        // An answer that was lost says little of the endpoint: it may lose some and run all.
        Sent::Failure(..) | Sent::Lost(_) => Some(Evidence::Failed),
        Sent::NotSent(_) => Some(Evidence::Unreachable),
        // Being full is no fault.
        Sent::NotRun(_) => None,
    }
}

/// A whole reply.
#[derive(Debug)]
pub struct WholeReply {
    /// Ready for the caller.
    pub reply: Response<ReplyBody>,
    /// Its head as it came, which says whether the connection stands.
    pub head: HeaderMap,
    /// What it takes of the VM's memory until it goes to the caller.
    pub kept: MemoryReservation,
}

/// Reads a reply of up to `limit_bytes` whole.
///
/// # Errors
/// Why it is not whole.
pub async fn read_whole(
    reply: Response<Incoming>,
    limit_bytes: usize,
    kept: &MemoryBudget,
) -> Result<WholeReply, String> {
    let no_memory = || "the VM keeps no more for its callers".to_owned();
    let mut kept = kept.try_reserve(0).ok_or_else(no_memory)?;
    let (head, body) = reply.into_parts();
    let headers = head.headers.clone();
    let mut body = Limited::new(body, limit_bytes);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("the answer broke off: {error}"))?;
        let Ok(data) = frame.into_data() else { continue };
        if !kept.try_grow(data.len()) {
            return Err(no_memory());
        }
        whole.extend_from_slice(&data);
    }
    let reply = Response::from_parts(head, ReplyBody::Full(Full::new(whole.freeze())));
    Ok(WholeReply { reply: caller_head(reply), head: headers, kept })
}

/// A reply without what concerns its connection only.
pub fn caller_head(mut reply: Response<ReplyBody>) -> Response<ReplyBody> {
    crate::job::strip_connection_headers(reply.headers_mut());
    reply
}
