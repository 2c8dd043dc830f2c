//! Gossip datagrams to and from other control processes.

use crate::peers;
use crate::state::{Control, PeerSummary};
use sillbank_membership::MembershipAction;
use sillbank_net::prelude::*;
use sillbank_protocol::gossip::{MAX_DATAGRAM_BYTES, open_datagram, seal_datagram};
use sillbank_spread::FollowAction;
use smol::Timer;
use std::rc::Rc;
use std::time::Instant;

/// Runs membership gossip, which also announces new settings.
pub(crate) struct GossipPlugin;

impl Plugin<Control> for GossipPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(receive(app.state()));
        app.spawn(run_rounds(app.state()));
    }
}

/// Runs a gossip round at each interval.
async fn run_rounds(control: Rc<Control>) {
    loop {
        let summary = control.summary();
        let actions = control.membership.borrow_mut().on_tick(Instant::now(), summary);
        perform(&control, actions).await;
        // Jitter of 10 % desynchronises VMs that started at the same time.
        let jitter = 0.95 + 0.1 * control.rng.next_f64();
        Timer::after(control.settings.gossip_interval.mul_f64(jitter)).await;
    }
}

/// Receives datagrams for as long as the process runs.
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
                perform(&control, actions).await;
            }
            Err(error) => {
                control.metrics.datagrams_refused.inc();
                tracing::debug!("control: A datagram from {from} was rejected: {error}.");
            }
        }
    }
}

/// Announces new settings to the hall.
pub(crate) async fn broadcast_news(control: &Rc<Control>) {
    let summary = control.summary();
    let actions = control.membership.borrow_mut().broadcast_news(summary);
    perform(control, actions).await;
}

/// Announces that this VM is leaving.
pub(crate) async fn leave(control: &Rc<Control>) {
    let summary = control.summary();
    let actions = control.membership.borrow_mut().leave(summary);
    perform(control, actions).await;
}

/// Performs the actions that membership asks for.
async fn perform(control: &Rc<Control>, actions: Vec<MembershipAction>) {
    for action in actions {
        match action {
            MembershipAction::Send(to, datagram) => {
                let Ok(bytes) = seal_datagram(&datagram, &control.keys[0]) else {
                    tracing::warn!("control: A datagram is too long to be sent.");
                    continue;
                };
                control.metrics.bytes_sent.inc_by(bytes.len() as u64);
                control.metrics.datagrams_sent.inc();
                if let Err(error) = control.socket.send_to(&bytes, to).await {
                    // The next round sends again; a peer that stays unreachable is detected by its silence.
                    tracing::debug!(%to, %error, "control: Sending a datagram failed.");
                }
            }
            MembershipAction::Heard { vm, peer, summary, .. } => {
                let now = Instant::now();
                control
                    .peer_summaries
                    .borrow_mut()
                    .insert(vm, PeerSummary { received_at: now, summary });
                let (complete, digest) = {
                    let objects = control.store.objects();
                    (objects.complete().unwrap_or(0), objects.digest())
                };
                let follow_action = control
                    .follower
                    .borrow_mut()
                    .on_peer_summary(now, peer, &summary, complete, digest);
                match follow_action {
                    Some(FollowAction::Pull { peer, after }) => {
                        let pull = peers::pull(control.clone(), peer, after);
                        control.executor.spawn(pull).detach();
                    }
                    None => peers::update_readiness(control),
                }
            }
        }
    }
}
