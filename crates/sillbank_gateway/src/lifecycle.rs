//! Start, stop and reload.

use crate::gateway::{Gateway, LifecycleState};
use crate::settings::{self, GatewaySettings};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_net::prelude::*;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a stopping VM still accepts requests: the balancer checks readiness once a second and
/// removes a VM after two failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// How often a stopping VM checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the kill at which a stopping VM exits, whatever is still in progress.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// How often the settings file is checked for changes without a signal.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// How often idle connections, lapsed entries and removed endpoints are swept; sooner when a lapsed
/// entry is due.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Waits for the stop signal, then until all requests have ended, also those on connections that are
/// passed on for other VMs, or the grace period is over.
pub async fn stop<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    mut signals: Signals,
    stopper: Stopper,
) {
    signals.next().await;
    let stop_started_at = Instant::now();
    let grace = gateway.settings().stop_grace.saturating_sub(STOP_MARGIN);
    tracing::info!(
        in_progress = gateway.in_progress.get(),
        grace_ms = grace.as_millis() as u64,
        "program: Stopping."
    );
    gateway.lifecycle.set(LifecycleState::Draining);
    stopper.stop();
    smol::Timer::after(BALANCER_LAG.min(grace)).await;
    gateway.lifecycle.set(LifecycleState::Stopping);
    let is_in_use =
        || gateway.in_progress.get() > 0 || gateway.links.passed_on_in_use(Instant::now()) > 0;
    while stop_started_at.elapsed() < grace && is_in_use() {
        smol::Timer::after(STOP_POLL_INTERVAL).await;
    }
    tracing::info!(
        in_progress = gateway.in_progress.get(),
        after_ms = stop_started_at.elapsed().as_millis() as u64,
        "program: Stopped."
    );
}

/// Reads the settings again on each signal, and when the file has changed.
pub async fn reload<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    mut signals: Signals,
    path: PathBuf,
) {
    let mut text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            tracing::warn!(%error, "program: The settings file cannot be read.");
            String::new()
        }
    };
    loop {
        let by_signal = async {
            signals.next().await;
            true
        };
        let by_time = async {
            smol::Timer::after(RELOAD_POLL_INTERVAL).await;
            false
        };
        let signalled = futures_lite::future::or(by_signal, by_time).await;
        let new_text = match std::fs::read_to_string(&path) {
            Ok(new_text) => new_text,
            Err(error) => {
                tracing::warn!(
                    %error,
                    "program: The settings file cannot be read; the settings in force stay."
                );
                continue;
            }
        };
        if new_text == text && !signalled {
            continue;
        }
        let changed = new_text != text;
        match settings::read_text(&path.display().to_string(), &new_text) {
            Ok(settings) => {
                apply(&gateway, settings);
                text = new_text;
                tracing::info!(signalled, changed, "program: Reloaded.");
            }
            Err(problems) => {
                tracing::error!(
                    %problems,
                    "program: The settings are faulty; the settings in force stay."
                );
            }
        }
    }
}

/// Applies settings that can change at run time. Addresses and names need a restart.
fn apply<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, new: GatewaySettings) {
    let old = gateway.settings();
    let fixed = (&old.vm, &old.hall, old.callers_listen, old.ready_listen, old.store);
    if fixed != (&new.vm, &new.hall, new.callers_listen, new.ready_listen, new.store) {
        tracing::warn!("program: Names and addresses change only on restart.");
    }
    gateway.platform.set_key_revocation(new.key_revocation);
    gateway.memory_budget.set_limit(new.buffer_limit_bytes());
    *gateway.settings.borrow_mut() = Rc::new(new);
}

/// Removes what has expired.
pub async fn sweep<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        let next = Instant::now() + SWEEP_INTERVAL;
        let next_eviction = gateway.platform.next_eviction();
        smol::Timer::at(next_eviction.map_or(next, |at| at.min(next))).await;
        let now = Instant::now();
        gateway.connection_pool.sweep(now);
        for id in gateway.platform.on_tick(now) {
            tracing::info!(endpoint = id, "endpoint: Not listed again after the outage; evicted.");
            gateway.connection_pool.close_idle(&id);
        }
        let ejected = gateway.endpoint_tracker.ejected_count();
        gateway.metrics.ejected_endpoints.set(ejected as i64);
        let reply_time = gateway.reply_times.median(now).unwrap_or_default();
        gateway.metrics.reply_time_s.set(reply_time.as_secs_f64());
        gateway.metrics.passed_on.set(gateway.links.passed_on() as i64);
        gateway.platform.endpoints(|directory| {
            gateway.endpoint_tracker.retain(|id| directory.get(id).is_some());
            gateway.links.retain(|id| directory.get(id).is_some());
            gateway.reply_times.retain(|id| directory.get(id).is_some());
            gateway.crashed_endpoints.retain(|id| directory.get(id).is_some());
            gateway.call_tracker.retain(|id| directory.get(id).is_some());
            gateway.hall.reports.retain(|id| directory.get(id).is_some());
        });
    }
}
