//! Reads what a VM uses, and tells when it comes near a limit.

use super::meter::{Standing, VmCapacity, VmReading};
use crate::gateway::Gateway;
use crate::metrics::LimitLabel;
use crate::store::MetadataStore;
use crate::wire::Wire;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often it is read. Ten wakes a second cost less than a request does, and a rise is seen within the
/// half second for which a full link may hold packets.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Reads what this VM uses for as long as the program runs.
pub async fn watch_limits<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        let due = Instant::now() + READ_INTERVAL;
        smol::Timer::at(due).await;
        let now = Instant::now();
        let reading = VmReading {
            passed_bytes: gateway.kept.transferred_bytes(),
            requests: gateway.in_progress.get(),
            kept_bytes: gateway.kept.used_bytes(),
            connections: gateway.kept.connections(),
            timer_lag: now.saturating_duration_since(due),
        };
        let settings = gateway.settings();
        let capacity = VmCapacity {
            link_mbps: settings.link_mbps,
            kept_bytes: settings.kept_bound_bytes(),
            connections: settings.max_caller_connections(),
        };
        let has_changed = gateway.limits.borrow_mut().on_reading(now, reading, capacity);
        note(&gateway);
        if has_changed {
            log_standing(&gateway, &reading);
        }
    }
}

fn note<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) {
    for (limit, pressure) in gateway.limits.borrow().pressures().by_limit() {
        let label = LimitLabel { limit: limit.name() };
        gateway.metrics.vm_pressure.get_or_create(&label).set(pressure);
    }
    gateway.metrics.note_kept(&gateway.kept);
}

fn log_standing<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, reading: &VmReading) {
    let limits = gateway.limits.borrow();
    let (limit, pressure) = limits.pressures().worst();
    let message = match limits.standing() {
        Standing::Clear => "vm: Has room again.",
        Standing::Near => "vm: Near a limit.",
        Standing::Full => "vm: At a limit.",
    };
    tracing::info!(
        limit = limit.name(),
        pressure,
        requests = reading.requests,
        connections = reading.connections,
        kept_bytes = reading.kept_bytes,
        timer_lag_ms = reading.timer_lag.as_millis() as u64,
        acts = gateway.settings().mechanisms.vm_limits,
        "{message}"
    );
}
