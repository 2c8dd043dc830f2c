//! Reads a VM's resource use and reacts to changes of its limit state.

use super::meter::{LimitState, VmCapacity, VmReading};
use crate::gateway::Gateway;
use crate::metrics::LimitLabel;
use crate::store::MetadataStore;
use crate::wire::Wire;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between readings. Ten wake-ups a second cost less than one request, and a rise is seen
/// within the half second for which a full link may queue packets.
const READING_INTERVAL: Duration = Duration::from_millis(100);

/// Reads this VM's resource use for as long as the program runs.
pub async fn monitor_limits<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        let due = Instant::now() + READING_INTERVAL;
        smol::Timer::at(due).await;
        let now = Instant::now();
        let reading = VmReading {
            transferred_bytes: gateway.memory_budget.transferred_bytes(),
            requests: gateway.in_progress.get(),
            buffered_bytes: gateway.memory_budget.used_bytes(),
            connections: gateway.memory_budget.connections(),
            timer_lag: now.saturating_duration_since(due),
        };
        let settings = gateway.settings();
        let capacity = VmCapacity {
            link_mbps: settings.link_mbps,
            max_buffered_bytes: settings.buffer_limit_bytes(),
            max_connections: settings.max_caller_connections(),
        };
        let has_changed = gateway.limits.borrow_mut().on_reading(now, reading, capacity);
        update_metrics(&gateway);
        if has_changed {
            log_state(&gateway, &reading);
        }
    }
}

fn update_metrics<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) {
    for (limit, pressure) in gateway.limits.borrow().pressures().by_limit() {
        let label = LimitLabel { limit: limit.name() };
        gateway.metrics.vm_pressure.get_or_create(&label).set(pressure);
    }
    gateway.metrics.record_buffered_bytes(&gateway.memory_budget);
}

fn log_state<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, reading: &VmReading) {
    let limits = gateway.limits.borrow();
    let (limit, pressure) = limits.pressures().worst();
    let message = match limits.state() {
        LimitState::Clear => "vm: Has room again.",
        LimitState::Near => "vm: Near a limit.",
        LimitState::Full => "vm: At a limit.",
    };
    tracing::info!(
        limit = limit.name(),
        pressure,
        requests = reading.requests,
        connections = reading.connections,
        kept_bytes = reading.buffered_bytes,
        timer_lag_ms = reading.timer_lag.as_millis() as u64,
        acts = gateway.settings().mechanisms.vm_limits,
        "{message}"
    );
}
