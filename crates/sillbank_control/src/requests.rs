//! Sealed requests to and from other control processes.

use crate::entry_link;
use crate::once;
use crate::state::Control;
use futures_lite::FutureExt;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::gossip::SealKey;
use sillbank_protocol::peer::{
    DecodeError, PeerRequest, PullPart, SealedPart, SealedRequest, ToControl,
};
use smol::Timer;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Handles one request from a peer.
pub(crate) async fn handle(
    control: &Rc<Control>,
    mut stream: TcpStream,
    sealed: &SealedRequest,
) -> Result<(), FrameError> {
    let (key, request) = sealed.open(&control.keys)?;
    let nonce = &sealed.nonce;
    match request {
        PeerRequest::Pull { after } => answer_pull(control, stream, key, nonce, after).await,
        PeerRequest::Claim { slot, uid, minted_ms } => {
            let answer = once::decide_claim(control, &slot, uid, minted_ms);
            reply(&mut stream, key, nonce, &answer).await
        }
        PeerRequest::ClaimEnded { slot, uid, claim, run } => {
            once::record_end(control, &slot, uid, claim, run);
            reply(&mut stream, key, nonce, &true).await
        }
        PeerRequest::HandOver { slot, claims, complete_from_ms } => {
            once::receive_claims(control, slot, claims, complete_from_ms);
            reply(&mut stream, key, nonce, &true).await
        }
    }
}

/// Sends an answer that is a single part.
async fn reply<T: serde::Serialize>(
    stream: &mut TcpStream,
    key: &SealKey,
    nonce: &[u8; 16],
    answer: &T,
) -> Result<(), FrameError> {
    let sealed = SealedPart::new(key, nonce, 0, answer)?;
    write_message(stream, &sealed).await
}

/// Sends the settings objects newer than a version, in parts.
async fn answer_pull(
    control: &Control,
    mut stream: TcpStream,
    key: &SealKey,
    nonce: &[u8; 16],
    after: u64,
) -> Result<(), FrameError> {
    let (objects, complete) = {
        let store = control.store.objects();
        (store.newer_than(after), store.complete())
    };
    let parts = entry_link::chunk_objects(objects).into_iter();
    let parts = parts.map(|objects| PullPart { objects, complete: None });
    let last = PullPart { objects: Vec::new(), complete: Some(complete.unwrap_or(0)) };
    for (number, part) in (0..).zip(parts.chain([last])) {
        let sealed = SealedPart::new(key, nonce, number, &part)?;
        control.metrics.pull_bytes.inc_by(sealed.content.len() as u64);
        write_message(&mut stream, &sealed).await?;
    }
    Ok(())
}

/// A request that was sent, and the state for reading its answer.
pub(crate) struct Exchange<'a> {
    stream: TcpStream,
    key: &'a SealKey,
    nonce: [u8; 16],
    number: u64,
}

impl<'a> Exchange<'a> {
    /// Sends a request to a peer.
    pub(crate) async fn start(
        control: &'a Control,
        peer: SocketAddr,
        request: &PeerRequest,
    ) -> Result<Exchange<'a>, FrameError> {
        let mut stream = TcpStream::connect(peer).await?;
        drop(stream.set_nodelay(true));
        let key = &control.keys[0];
        let nonce = control.unique_id().to_le_bytes();
        let sealed = SealedRequest::new(key, nonce, request)?;
        write_message(&mut stream, &ToControl::Peer(sealed)).await?;
        Ok(Self { stream, key, nonce, number: 0 })
    }

    /// Reads the next part of the answer. Returns it with its size in bytes.
    pub(crate) async fn next<T>(&mut self) -> Result<(T, usize), FrameError>
    where
        T: for<'b> serde::Deserialize<'b>,
    {
        let sealed: SealedPart = read_message(&mut self.stream).await?;
        let part = sealed.open(self.key, &self.nonce, self.number)?;
        self.number += 1;
        Ok((part, sealed.content.len()))
    }
}

/// Sends a request to a peer and reads an answer of a single part.
pub(crate) async fn send_request<T>(
    control: &Control,
    peer: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<T, FrameError>
where
    T: for<'b> serde::Deserialize<'b>,
{
    let exchange = async {
        let mut exchange = Exchange::start(control, peer, request).await?;
        Ok(exchange.next().await?.0)
    };
    exchange.or(timed_out(timeout)).await
}

/// Fails with a timeout error after the given time.
pub(crate) async fn timed_out<T>(timeout: Duration) -> Result<T, FrameError> {
    Timer::after(timeout).await;
    Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
}

/// Whether a request failed because of a wrong seal.
pub(crate) fn is_refusal(error: &FrameError) -> bool {
    matches!(error, FrameError::Decode(DecodeError::Forged))
}
