//! Start, stop and reload.

use crate::gateway::{Gateway, Life};
use crate::settings::{self, GatewaySettings};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_net::prelude::*;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a stopping VM still takes new requests: the balancer asks once a second and takes a VM
/// out after two answers without success.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// How often a stopping VM looks whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Time before the kill at which a stopping VM ends, whatever is in progress.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// How often the settings file is looked at without a signal.
const RELOAD_POLL: Duration = Duration::from_secs(3);
/// How often resting connections, lapsed entries and forgotten endpoints are swept; sooner when the grace of a lapsed entry
/// ends.
const SWEEP: Duration = Duration::from_millis(500);

/// Waits for the signal to stop, then until all requests have ended or the grace is over.
pub async fn stop<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    mut signals: Signals,
    stopper: Stopper,
) {
    signals.next().await;
    let asked = Instant::now();
    let grace = gateway.settings().stop_grace.saturating_sub(STOP_MARGIN);
    tracing::info!(
        in_progress = gateway.in_progress.get(),
        grace_ms = grace.as_millis() as u64,
        "program: Stopping."
    );
    gateway.life.set(Life::Draining);
    stopper.stop();
    smol::Timer::after(BALANCER_LAG.min(grace)).await;
    gateway.life.set(Life::Stopping);
    while asked.elapsed() < grace && gateway.in_progress.get() > 0 {
        smol::Timer::after(STOP_POLL).await;
    }
    tracing::info!(
        in_progress = gateway.in_progress.get(),
        after_ms = asked.elapsed().as_millis() as u64,
        "program: Stopped."
    );
}

/// Reads the settings again whenever a signal says so, and now and then without one.
pub async fn reload<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    mut signals: Signals,
    path: PathBuf,
) {
    let mut text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            tracing::warn!(%error, "program: The settings cannot be read again yet.");
            String::new()
        }
    };
    loop {
        let by_signal = async {
            signals.next().await;
            true
        };
        let by_time = async {
            smol::Timer::after(RELOAD_POLL).await;
            false
        };
        let signalled = futures_lite::future::or(by_signal, by_time).await;
        let now = match std::fs::read_to_string(&path) {
            Ok(now) => now,
            Err(error) => {
                tracing::warn!(%error, "program: The settings cannot be read; they stay.");
                continue;
            }
        };
        if now == text && !signalled {
            continue;
        }
        let changed = now != text;
        match settings::read_text(&path.display().to_string(), &now) {
            Ok(settings) => {
                apply(&gateway, settings);
                text = now;
                tracing::info!(signalled, changed, "program: Reloaded.");
            }
            Err(problems) => {
                tracing::error!(%problems, "program: The settings are faulty; they stay.");
            }
        }
    }
}

/// Takes what can change while the program runs. Addresses and names need a new start.
fn apply<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, new: GatewaySettings) {
    let old = gateway.settings();
    let fixed = (&old.vm, &old.hall, old.callers_listen, old.ready_listen, old.store);
    if fixed != (&new.vm, &new.hall, new.callers_listen, new.ready_listen, new.store) {
        tracing::warn!("program: Names and addresses change only with a new start.");
    }
    gateway.knowledge.set_key_revocation(new.key_revocation);
    gateway.kept.set_limit(new.kept_bound_bytes());
    *gateway.settings.borrow_mut() = Rc::new(new);
}

/// Sweeps what time alone ends.
pub async fn sweep<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        let next = Instant::now() + SWEEP;
        let lapse_end = gateway.knowledge.next_lapse_end();
        smol::Timer::at(lapse_end.map_or(next, |end| end.min(next))).await;
        let now = Instant::now();
        gateway.channels.sweep(now);
        for id in gateway.knowledge.on_time(now) {
            tracing::info!(endpoint = id, "endpoint: Did not come back after the outage.");
            gateway.channels.forget(&id);
        }
        gateway.knowledge.endpoints(|directory| {
            gateway.book.retain(|id| directory.get(id).is_some());
            gateway.ends.retain(|id| directory.get(id).is_some());
            gateway.call_book.retain(|id| directory.get(id).is_some());
            gateway.hall.boards.retain(|id| directory.get(id).is_some());
        });
    }
}
