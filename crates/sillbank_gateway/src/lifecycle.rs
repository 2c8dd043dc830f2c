//! Start, stop and reload.

use crate::gateway::{Gateway, LifecycleState};
use crate::settings::{self, GatewaySettings};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_drain::prelude::*;
use sillbank_net::prelude::*;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a stopping VM checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often the settings file is checked for changes without a signal.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// How often idle connections, lapsed entries and removed endpoints are swept; sooner when a lapsed
/// entry is due.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Waits for the stop signal, then until all requests have ended, also those on connections that are
/// passed on for other VMs, or the grace period is over.
pub async fn stop<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, mut signals: Signals) {
    signals.next().await;
    let signalled_at = Instant::now();
    let plan = DrainPlan::new(signalled_at, gateway.settings().stop_grace);
    tracing::info!(
        in_progress = gateway.in_progress.get(),
        connections = gateway.open_work().connections,
        grace_ms = plan.exits_at().saturating_duration_since(signalled_at).as_millis() as u64,
        "program: Stopping."
    );
    gateway.decisions.lift_limit();
    gateway.drain_plan.set(Some(plan));
    gateway.lifecycle.set(LifecycleState::Draining);
    gateway.stopper.stop();
    let mut max_delay = Duration::ZERO;
    while plan.next(gateway.open_work(), Instant::now()) == DrainStep::Serve {
        max_delay = max_delay.max(wait_for_poll().await);
    }
    gateway.lifecycle.set(LifecycleState::Stopping);
    gateway.stopper.finish();
    loop {
        // The server accepts what has arrived before it closes its listener.
        max_delay = max_delay.max(wait_for_poll().await);
        if gateway.open_work().is_done() || Instant::now() >= plan.exits_at() {
            break;
        }
    }
    gateway.running_streams.log_cut(&gateway.decisions, &plan, Instant::now());
    let left = gateway.open_work();
    tracing::info!(
        in_progress = left.requests,
        connections = left.connections,
        passed_on = left.passed_on,
        after_ms = signalled_at.elapsed().as_millis() as u64,
        max_delay_ms = max_delay.as_millis() as u64,
        "program: Stopped."
    );
}

/// Waits for the next check of a stop. Returns by how much the process woke up late.
async fn wait_for_poll() -> Duration {
    let wakes_at = Instant::now() + STOP_POLL_INTERVAL;
    smol::Timer::at(wakes_at).await;
    wakes_at.elapsed()
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
