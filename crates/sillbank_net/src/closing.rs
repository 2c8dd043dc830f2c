//! Closes connections on which no request is being served.

use crate::activity::{Activity, Phase};
use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use std::time::Duration;

/// Time limit for writing the last reply.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reply to a request that crosses the close of its connection, or whose head is not complete. To a caller that waits for
/// no reply it says why the connection is closed (RFC 9110, section 15.5.9).
const REQUEST_TIMEOUT_REPLY: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Closes a connection after a reply that tells its caller that nothing more was read: a request may be on its way.
pub(crate) async fn close_unread<C>(mut connection: C, phase: Phase, activity: &Activity)
where
    C: AsyncRead + AsyncWrite + Unpin,
{
    let written = async {
        connection.write_all(REQUEST_TIMEOUT_REPLY).await?;
        connection.close().await
    };
    let late = async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    if let Err(error) = futures_lite::future::or(written, late).await {
        tracing::debug!("net: The last reply of a connection cannot be written: {error}.");
    }
    let idle_ms = match phase {
        Phase::Idle { since } => Some(since.elapsed().as_millis() as u64),
        _ => None,
    };
    let (phase, requests, late_bytes) = (phase.name(), activity.requests(), activity.late_bytes());
    match late_bytes {
        0 => tracing::debug!(phase, idle_ms, requests, "net: Closed a connection."),
        _ => {
            let text = "net: A request crossed the close of its connection.";
            tracing::info!(phase, idle_ms, requests, late_bytes, "{text}");
        }
    }
}
