//! Listeners at addresses that another process may still hold.

use smol::net::TcpListener;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Pause between attempts to listen at an address that is in use.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Listens at an address. While it is in use, or not assigned to this machine yet, it is tried again `until` a moment: the
/// process before this one may still be stopping, or a connection may have the address as its own end.
///
/// # Errors
/// If the address cannot be listened on until then, or for another reason. The error names the address.
pub async fn listen(address: SocketAddr, until: Instant) -> Result<TcpListener> {
    let mut is_logged = false;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if !may_become_free(&error) || Instant::now() >= until {
            let text = format!("{address} cannot be listened on: {error}");
            return Err(Error::new(error.kind(), text));
        }
        if !std::mem::replace(&mut is_logged, true) {
            let max_wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
            tracing::warn!(%address, %error, max_wait_ms, "net: The address is in use; it is tried again.");
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

fn may_become_free(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable)
}
