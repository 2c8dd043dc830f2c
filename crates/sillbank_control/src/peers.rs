//! Accepts connections from entries of this VM and from peers, and pulls settings from peers.

use crate::entry_link;
use crate::requests::{self, Exchange, timed_out};
use crate::state::Control;
use futures_lite::FutureExt;
use sillbank_net::frames::{FrameError, read_message};
use sillbank_net::prelude::*;
use sillbank_protocol::peer::{PeerRequest, PullPart, ToControl};
use sillbank_spread::{FollowAction, PeerView, may_serve};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a complete pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves entries of this VM and peers.
pub(crate) struct PeersPlugin {
    /// Listener of the peer address.
    pub(crate) listener: TcpListener,
}

impl Plugin<Control> for PeersPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(accept(app.state(), self.listener));
    }
}

/// Accepts connections for as long as the process runs.
async fn accept(control: Rc<Control>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let control_clone = control.clone();
        let serve = async move {
            if let Err(error) = serve(&control_clone, stream).await {
                if requests::is_refusal(&error) {
                    control_clone.metrics.requests_refused.inc();
                }
                tracing::debug!("control: The connection from {from} ended: {error}.");
            }
        };
        control.executor.spawn(serve).detach();
    }
}

/// Reads the first message and serves an entry or a peer.
async fn serve(control: &Rc<Control>, stream: TcpStream) -> Result<(), FrameError> {
    let mut reader = stream.clone();
    match read_message(&mut reader).or(timed_out(HELLO_TIMEOUT)).await? {
        ToControl::Entry(hello) => entry_link::serve(control, stream, hello).await,
        ToControl::Peer(request) => requests::handle(control, stream, &request).await,
    }
}

/// Pulls the objects newer than a version from a peer, and continues as long as the follower names another pull.
pub(crate) async fn pull(control: Rc<Control>, peer: SocketAddr, after: u64) {
    let mut next = Some(FollowAction::Pull { peer, after });
    while let Some(FollowAction::Pull { peer, after }) = next {
        pull_once(&control, peer, after).await;
        let complete = control.store.objects().complete().unwrap_or(0);
        next = control.follower.borrow_mut().on_pull_end(complete);
    }
    update_readiness(&control);
}

async fn pull_once(control: &Control, peer: SocketAddr, after: u64) {
    match pull_parts(control, peer, after).or(timed_out(PULL_TIMEOUT)).await {
        Ok(new_objects) => {
            control.metrics.pulls.inc();
            if new_objects > 0 {
                let version = control.store.objects().complete().unwrap_or(0);
                tracing::info!(
                    "control: {new_objects} new objects were pulled from {peer}, up to version {version}."
                );
            }
        }
        Err(error) => tracing::info!("control: A pull from {peer} failed: {error}."),
    }
}

/// Pulls and stores all parts. Returns the number of new objects.
async fn pull_parts(control: &Control, peer: SocketAddr, after: u64) -> Result<usize, FrameError> {
    let request = PeerRequest::Pull { after };
    let mut exchange = Exchange::start(control, peer, &request).await?;
    let mut new_objects = 0;
    loop {
        let (part, bytes): (PullPart, usize) = exchange.next().await?;
        control.metrics.pull_bytes.inc_by(bytes as u64);
        new_objects += part.objects.into_iter().filter(|o| control.store.apply(o.clone())).count();
        if let Some(complete) = part.complete {
            control.store.set_complete(complete);
            return Ok(new_objects);
        }
    }
}

/// Makes the store ready without an answer of the platform, once enough VMs were heard and none has newer settings.
pub(crate) fn update_readiness(control: &Control) {
    let summaries = control.peer_summaries.borrow();
    let is_recent =
        |received_at: Instant| received_at.elapsed() < control.settings.gossip_interval * 30;
    let view = PeerView {
        heard: summaries.len(),
        known: control.membership.borrow().members().all().filter(|m| m.is_live()).count(),
        newest: summaries
            .values()
            .filter(|s| is_recent(s.received_at))
            .map(|s| s.summary.complete)
            .max(),
        complete: control.store.objects().complete(),
    };
    if may_serve(view) {
        control.store.set_ready();
    }
}
