//! Logs when the process comes near its memory limit, at which it is killed without a log line.

use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_net::process_memory::resident_bytes;
use std::rc::Rc;
use std::time::Duration;

/// Interval between readings.
const READING_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the limit from which the process is near it.
const NEAR_SHARE: f64 = 0.6;
/// Share of the limit below which it is no longer near it.
const CLEAR_SHARE: f64 = 0.4;
/// Bytes per megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// Whether a process is near its memory limit, with a margin so that it does not change back at once.
#[derive(Debug, Default)]
pub struct MemoryAlarm {
    is_near: bool,
}

impl MemoryAlarm {
    /// Takes a reading. Returns whether the process is near its limit if that has changed.
    pub fn on_reading(&mut self, used_bytes: u64, limit_mb: f64) -> Option<bool> {
        let share = used_bytes as f64 / (limit_mb * BYTES_PER_MB);
        let is_near = share >= if self.is_near { CLEAR_SHARE } else { NEAR_SHARE };
        (std::mem::replace(&mut self.is_near, is_near) != is_near).then_some(is_near)
    }
}

/// Reads the memory of this process for as long as the program runs.
pub async fn monitor_process_memory<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut alarm = MemoryAlarm::default();
    loop {
        let Some(resident_bytes) = resident_bytes() else {
            tracing::info!("vm: The operating system does not tell the memory of this process.");
            return;
        };
        gateway.metrics.resident_bytes.set(resident_bytes as i64);
        let limit_mb = gateway.settings().memory_mb;
        let buffered_bytes = gateway.memory_budget.used_bytes();
        match alarm.on_reading(resident_bytes, limit_mb) {
            Some(true) => tracing::warn!(
                resident_bytes,
                buffered_bytes,
                limit_mb,
                "vm: The process is near its memory limit."
            ),
            Some(false) => tracing::info!(
                resident_bytes,
                limit_mb,
                "vm: The process is no longer near its memory limit."
            ),
            None => {}
        }
        smol::Timer::after(READING_INTERVAL).await;
    }
}
