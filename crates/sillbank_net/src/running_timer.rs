//! Timeouts that measure the time for which this process ran.
//!
//! A process that waits for a processor, or is suspended, reads replies late although they arrived in time. A timeout by the
//! clock would then end exchanges that others answered, and take slowness of this process for that of its peers.

use std::time::{Duration, Instant};

/// Number of parts in which a timeout is waited for. More of them ignore shorter stalls, and wake the process more often.
const PARTS: u32 = 5;

/// Waits for `timeout`. A part of it that ends late counts with its own length, so a stall of this process lengthens the wait
/// by most of the stall. The wait takes no longer than `max_wait`.
pub async fn running_timer(timeout: Duration, max_wait: Duration) {
    let started_at = Instant::now();
    for _ in 0..PARTS {
        smol::Timer::after(timeout / PARTS).await;
        if started_at.elapsed() >= max_wait {
            return;
        }
    }
}
