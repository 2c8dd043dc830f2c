//! Datagrams to and from other control processes.

use crate::peers;
use crate::state::{Control, Heard};
use sillbank_membership::MembershipAction;
use sillbank_net::prelude::*;
use sillbank_protocol::gossip::{MAX_DATAGRAM_BYTES, open_datagram, seal_datagram};
use sillbank_spread::FollowAction;
use smol::Timer;
use std::rc::Rc;
use std::time::Instant;

/// Membership, and news of settings.
pub(crate) struct GossipPlugin;

impl Plugin<Control> for GossipPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(receive(app.state()));
        app.spawn(tick(app.state()));
    }
}

/// Gossips for ever.
async fn tick(control: Rc<Control>) {
    loop {
        let summary = control.summary();
        let actions = control.membership.borrow_mut().on_tick(Instant::now(), summary);
        carry_out(&control, actions).await;
        // A tenth of jitter keeps VMs that began together from speaking together.
        let jitter = 0.95 + 0.1 * control.chance.next_f64();
        Timer::after(control.settings.gossip_interval.mul_f64(jitter)).await;
    }
}

/// Receives for ever.
async fn receive(control: Rc<Control>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, from)) = control.socket.recv_from(&mut buffer).await else {
            continue;
        };
        control.metrics.bytes_received.inc_by(length as u64);
        match open_datagram(&buffer[..length], &control.keys) {
            Ok(datagram) => {
                let summary = control.summary();
                let now = Instant::now();
                let actions = control.membership.borrow_mut().on_datagram(now, datagram, summary);
                carry_out(&control, actions).await;
            }
            Err(error) => {
                control.metrics.datagrams_refused.inc();
                tracing::debug!("control: A datagram from {from} was refused: {error}.");
            }
        }
    }
}

/// Tells the hall that settings are new.
pub(crate) async fn broadcast_news(control: &Rc<Control>) {
    let summary = control.summary();
    let actions = control.membership.borrow_mut().broadcast_news(summary);
    carry_out(control, actions).await;
}

/// Says that this VM leaves.
pub(crate) async fn leave(control: &Rc<Control>) {
    let summary = control.summary();
    let actions = control.membership.borrow_mut().leave(summary);
    carry_out(control, actions).await;
}

async fn carry_out(control: &Rc<Control>, actions: Vec<MembershipAction>) {
    for action in actions {
        match action {
            MembershipAction::Send(to, datagram) => {
                let Ok(bytes) = seal_datagram(&datagram, &control.keys[0]) else {
                    tracing::warn!("control: A datagram is too long and was not sent.");
                    continue;
                };
                control.metrics.bytes_sent.inc_by(bytes.len() as u64);
                control.metrics.datagrams_sent.inc();
                if let Err(error) = control.socket.send_to(&bytes, to).await {
                    // The next round sends again; a peer that stays away is told by its silence.
                    tracing::debug!(%to, %error, "control: A datagram was not sent.");
                }
            }
            MembershipAction::Heard { vm, peer, summary, .. } => {
                let now = Instant::now();
                control.heard.borrow_mut().insert(vm, Heard { at: now, summary });
                let (complete, digest) = {
                    let objects = control.store.objects();
                    (objects.complete().unwrap_or(0), objects.digest())
                };
                let wanted = control
                    .follower
                    .borrow_mut()
                    .on_peer_summary(now, peer, &summary, complete, digest);
                match wanted {
                    Some(FollowAction::Pull { peer, after }) => {
                        let pull = peers::pull(control.clone(), peer, after);
                        control.executor.spawn(pull).detach();
                    }
                    None => peers::settle_from_peers(control),
                }
            }
        }
    }
}
