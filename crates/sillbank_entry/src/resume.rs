//! Goes on with an answer that another VM began.
//!
//! The engines that hold layer 0 know the tokens they were given. The VM that a caller comes back
//! to asks all of them that it is connected to; no state is shared between VMs. Where none knows
//! the request any more, it is generated again: sampling is seeded by the request, so that the
//! answer is the same, and what the caller has is not sent again.

use crate::state::Entry;
use bytes::Bytes;
use hyper::Method;
use sillbank_core::prelude::*;
use sillbank_net::client::request;
use sillbank_protocol::engine::{STREAMS_PATH, StreamState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time an engine has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Tokens of the answer that the engines know, or none.
pub(crate) async fn known_tokens(
    entry: &Rc<Entry>,
    pipeline: &str,
    uid: RequestUid,
    prompt: &[TokenId],
) -> Vec<TokenId> {
    let tasks: Vec<_> = first_stages(entry, pipeline)
        .into_iter()
        .map(|address| {
            let asking = entry.clone();
            entry.executor.spawn(async move { ask(&asking, address, uid).await })
        })
        .collect();
    let mut best = Vec::new();
    for task in tasks {
        let answer = task.await.and_then(|state| answer_part(&state, prompt));
        if let Some(answer) = answer.filter(|answer| answer.len() > best.len()) {
            best = answer;
        }
    }
    best
}

/// Addresses of the connected endpoints that hold layer 0 of a pipeline.
fn first_stages(entry: &Entry, pipeline: &str) -> Vec<SocketAddr> {
    let table = entry.table.borrow();
    let wanted = table.iter().filter(|(_, endpoint)| {
        let spec = &endpoint.spec;
        endpoint.connected && spec.pipeline == pipeline && spec.layers.first == 0
    });
    wanted.filter_map(|(_, endpoint)| endpoint.spec.address.parse().ok()).collect()
}

async fn ask(entry: &Entry, address: SocketAddr, uid: RequestUid) -> Option<StreamState> {
    let call = request(Method::GET, &format!("{STREAMS_PATH}{uid}"), Bytes::new());
    let reply = entry.http.call(address, call, ASK_TIMEOUT).await.ok()?;
    reply.status.is_success().then(|| reply.json().ok()).flatten()
}

/// What follows the prompt, if the sequence begins with it.
fn answer_part(state: &StreamState, prompt: &[TokenId]) -> Option<Vec<TokenId>> {
    let (head, tail) = state.tokens.split_at_checked(prompt.len())?;
    let same = head.iter().zip(prompt).all(|(a, b)| *a == u64::from(*b));
    let tokens = tail.iter().map(|token| TokenId::try_from(*token).ok()).collect();
    if same { tokens } else { None }
}
