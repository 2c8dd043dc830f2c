//! Resumes an answer that another VM started.
//!
//! The engines that hold layer 0 know the tokens of their requests. The VM that receives the
//! caller's retry asks all such engines that it is connected to; VMs share no state. If no engine
//! knows the request any more, the answer is generated again: sampling is seeded by the request, so
//! the answer is the same, and tokens that the caller already has are not sent again.

use crate::state::Entry;
use bytes::Bytes;
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_net::client::request_to;
use sillbank_protocol::engine::{STREAMS_PATH, StreamState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of the query to one engine.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest part of the answer that an engine knows; empty if none knows any.
pub(crate) async fn known_tokens(
    entry: &Rc<Entry>,
    pipeline: &str,
    uid: RequestUid,
    prompt: &[TokenId],
) -> Vec<TokenId> {
    let tasks: Vec<_> = first_stages(entry, pipeline)
        .into_iter()
        .map(|address| {
            let entry_clone = entry.clone();
            entry.executor.spawn(async move { query(&entry_clone, address, uid).await })
        })
        .collect();
    let mut longest = Vec::new();
    for task in tasks {
        let answer = task.await.and_then(|state| answer_part(&state, prompt));
        if let Some(answer) = answer.filter(|answer| answer.len() > longest.len()) {
            longest = answer;
        }
    }
    longest
}

/// Addresses of the connected endpoints that hold layer 0 of a pipeline.
fn first_stages(entry: &Entry, pipeline: &str) -> Vec<SocketAddr> {
    let table = entry.table.borrow();
    let endpoints = table.iter().filter(|(_, endpoint)| {
        let spec = &endpoint.spec;
        endpoint.connected && spec.pipeline == pipeline && spec.layers.first == 0
    });
    endpoints.filter_map(|(_, endpoint)| endpoint.spec.address.parse().ok()).collect()
}

/// Asks one engine for the tokens of a request.
async fn query(entry: &Entry, address: SocketAddr, uid: RequestUid) -> Option<StreamState> {
    let call = request_to(Method::GET, &format!("{STREAMS_PATH}{uid}"), Bytes::new()).ok()?;
    let reply = entry.http.call(address, call, QUERY_TIMEOUT).await.ok()?;
    reply.status.is_success().then(|| reply.json().ok()).flatten()
}

/// The tokens after the prompt; `None` if the engine's sequence does not start with the prompt.
fn answer_part(state: &StreamState, prompt: &[TokenId]) -> Option<Vec<TokenId>> {
    let (head, tail) = state.tokens.split_at_checked(prompt.len())?;
    let is_same = head.iter().zip(prompt).all(|(a, b)| *a == u64::from(*b));
    let tokens = tail.iter().map(|token| TokenId::try_from(*token).ok()).collect();
    if is_same { tokens } else { None }
}
