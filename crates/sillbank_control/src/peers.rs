//! Connections to this process: entries of the VM and peers; and pulls of settings from peers.

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

/// Time a peer has for its first message, and for a whole pull.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
const PULL_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves entries of this VM and peers.
pub(crate) struct PeersPlugin {
    /// Where they come.
    pub(crate) listener: TcpListener,
}

impl Plugin<Control> for PeersPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(accept(app.state(), self.listener));
    }
}

/// Takes connections for ever.
async fn accept(control: Rc<Control>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let serving = control.clone();
        let serve = async move {
            if let Err(error) = serve(&serving, stream).await {
                if requests::is_refusal(&error) {
                    serving.metrics.requests_refused.inc();
                }
                tracing::debug!("control: The connection from {from} ended: {error}.");
            }
        };
        control.executor.spawn(serve).detach();
    }
}

async fn serve(control: &Rc<Control>, stream: TcpStream) -> Result<(), FrameError> {
    let mut reader = stream.clone();
    match read_message(&mut reader).or(timed_out(HELLO_TIMEOUT)).await? {
        ToControl::Entry(hello) => entry_link::serve(control, stream, hello).await,
        ToControl::Peer(request) => requests::answer(control, stream, &request).await,
    }
}

/// Pulls what a peer holds after a version, and goes on while more is heard of.
pub(crate) async fn pull(control: Rc<Control>, peer: SocketAddr, after: u64) {
    let mut next = Some(FollowAction::Pull { peer, after });
    while let Some(FollowAction::Pull { peer, after }) = next {
        pull_once(&control, peer, after).await;
        let complete = control.store.objects().complete().unwrap_or(0);
        next = control.follower.borrow_mut().on_pull_end(complete);
    }
    settle_from_peers(&control);
}

async fn pull_once(control: &Control, peer: SocketAddr, after: u64) {
    match pull_parts(control, peer, after).or(timed_out(PULL_TIMEOUT)).await {
        Ok(taken) => {
            control.metrics.pulls.inc();
            if taken > 0 {
                let version = control.store.objects().complete().unwrap_or(0);
                tracing::info!(
                    "control: {taken} objects came from {peer}, up to version {version}."
                );
            }
        }
        Err(error) => tracing::info!("control: A pull from {peer} failed: {error}."),
    }
}

async fn pull_parts(control: &Control, peer: SocketAddr, after: u64) -> Result<usize, FrameError> {
    let request = PeerRequest::Pull { after };
    let mut exchange = Exchange::start(control, peer, &request).await?;
    let mut taken = 0;
    loop {
        let (part, bytes): (PullPart, usize) = exchange.next().await?;
        control.metrics.pull_bytes.inc_by(bytes as u64);
        taken += part.objects.into_iter().filter(|o| control.store.take(o.clone())).count();
        if let Some(complete) = part.complete {
            control.store.set_complete(complete);
            return Ok(taken);
        }
    }
}

/// Without the platform's own word, serves once enough VMs were heard and nobody holds more.
pub(crate) fn settle_from_peers(control: &Control) {
    let heard = control.heard.borrow();
    let recent = |at: Instant| at.elapsed() < control.settings.gossip_interval * 30;
    let view = PeerView {
        heard: heard.len(),
        known: control.membership.borrow().members().all().filter(|m| m.is_live()).count(),
        newest: heard.values().filter(|h| recent(h.at)).map(|h| h.summary.complete).max(),
        complete: control.store.objects().complete(),
    };
    if may_serve(view) {
        control.store.set_settled();
    }
}
