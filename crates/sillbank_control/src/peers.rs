//! Connections to this process: entries of the VM, and peers that pull settings; and pulls from
//! other peers.

use crate::entry_link;
use crate::state::Control;
use futures_lite::FutureExt;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::peer::{DecodeError, PullPart, PullRequest, SealedPart, ToControl};
use sillbank_spread::FollowAction;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time a peer has for its first message, and for a whole pull.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
const PULL_TIMEOUT: Duration = Duration::from_secs(30);
/// VMs to hear from before a new VM serves without the platform's own word.
const HEARD_ENOUGH: usize = 3;

/// Takes connections for ever.
pub(crate) async fn accept(control: Rc<Control>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let serving = control.clone();
        let serve = async move {
            if let Err(error) = serve(&serving, stream).await {
                tracing::debug!("control: The connection from {from} ended: {error}.");
            }
        };
        control.executor.spawn(serve).detach();
    }
}

async fn serve(control: &Rc<Control>, stream: TcpStream) -> Result<(), FrameError> {
    let mut reader = stream.clone();
    let late = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    match read_message(&mut reader).or(late).await? {
        ToControl::Entry(hello) => entry_link::serve(control, stream, hello).await,
        ToControl::Pull(request) => answer_pull(control, stream, &request).await,
    }
}

async fn answer_pull(
    control: &Control,
    mut stream: TcpStream,
    request: &PullRequest,
) -> Result<(), FrameError> {
    let key = request.key(&control.keys).ok_or(DecodeError::Forged)?;
    let (objects, complete) = {
        let store = control.store.objects();
        (store.newer_than(request.after), store.complete())
    };
    let mut number = 0;
    for chunk in entry_link::chunks(objects) {
        let part = PullPart { objects: chunk, complete: None };
        let sealed = SealedPart::new(key, &request.nonce, number, &part)?;
        control.metrics.pull_bytes.inc_by(sealed.content.len() as u64);
        write_message(&mut stream, &sealed).await?;
        number += 1;
    }
    let last = PullPart { objects: Vec::new(), complete: Some(complete.unwrap_or(0)) };
    let sealed = SealedPart::new(key, &request.nonce, number, &last)?;
    write_message(&mut stream, &sealed).await
}

/// Pulls what a peer holds after a version, and goes on while more is heard of.
pub(crate) async fn pull(control: Rc<Control>, peer: SocketAddr, after: u64) {
    let mut next = Some(FollowAction::Pull { peer, after });
    while let Some(FollowAction::Pull { peer, after }) = next {
        pull_once(&control, peer, after).await;
        let complete = control.store.objects().complete().unwrap_or(0);
        next = control.follower.borrow_mut().on_pulled(complete);
    }
    settle_from_peers(&control);
}

async fn pull_once(control: &Control, peer: SocketAddr, after: u64) {
    let late = async {
        Timer::after(PULL_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    match pull_parts(control, peer, after).or(late).await {
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
    let mut stream = TcpStream::connect(peer).await?;
    let key = &control.keys[0];
    let request = PullRequest::new(key, fastrand::u128(..).to_le_bytes(), after);
    write_message(&mut stream, &ToControl::Pull(request.clone())).await?;
    let mut taken = 0;
    for number in 0.. {
        let sealed: SealedPart = read_message(&mut stream).await?;
        let part = sealed.open(key, &request.nonce, number)?;
        control.metrics.pull_bytes.inc_by(sealed.content.len() as u64);
        taken += part.objects.into_iter().filter(|o| control.store.take(o.clone())).count();
        if let Some(complete) = part.complete {
            control.store.set_complete(complete);
            break;
        }
    }
    Ok(taken)
}

/// Without the platform's own word, serves once enough VMs were heard and nobody holds more.
fn settle_from_peers(control: &Control) {
    let heard = control.heard.borrow();
    let known = control.membership.borrow().members().all().filter(|m| m.is_live()).count();
    let complete = control.store.objects().complete().unwrap_or(0);
    let recent = |at: Instant| at.elapsed() < control.settings.gossip_interval * 30;
    let newest = heard.values().filter(|h| recent(h.at)).map(|h| h.summary.complete).max();
    if heard.len() >= HEARD_ENOUGH.min(known) && newest.is_none_or(|newest| newest <= complete) {
        control.store.set_settled();
    }
}
