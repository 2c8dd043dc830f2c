//! Detection of dead connections whose peer is unreachable and sends no reset. Only timeouts of this side end them.

use rustix::net::sockopt;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Idle time before the first TCP keepalive probe, and interval between probes. The operating system counts both in
/// whole seconds.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a connection to a VM or to the store is closed. A lost packet is retransmitted within 0.2 to 0.6 s, and
/// configurations have to be in force everywhere within 2 s.
pub const VM_SILENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a connection to an endpoint is closed. A sound endpoint may be silent for a second or so; a call that
/// may not be repeated would be lost with the connection.
pub const ENDPOINT_SILENCE: Duration = Duration::from_millis(2_500);

/// Lets the operating system close a connection whose peer is silent for longer than `max_silence`.
///
/// Bytes that stay unacknowledged for `max_silence` end the connection. So does an idle connection's first unanswered
/// keepalive probe that is due later than that after the peer was last heard: once a user timeout is set, it decides and not
/// the number of probes, which is set to agree with it. An idle connection therefore ends at a multiple of
/// [`KEEPALIVE_INTERVAL`], see [`idle_limit`].
///
/// # Errors
/// Returns an error if a socket option cannot be set.
pub fn enable_keepalive(stream: &TcpStream, max_silence: Duration) -> io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, unanswered_probes(max_silence))?;
    sockopt::set_tcp_user_timeout(stream, max_silence.as_millis() as u32)?;
    Ok(())
}

/// Time after which an idle connection with a silent peer ends.
pub fn idle_limit(max_silence: Duration) -> Duration {
    KEEPALIVE_INTERVAL * (unanswered_probes(max_silence) + 1)
}

/// Keepalive probes that are sent and stay unanswered until the connection ends.
fn unanswered_probes(max_silence: Duration) -> u32 {
    (max_silence.as_millis().div_ceil(KEEPALIVE_INTERVAL.as_millis()) as u32).max(2) - 1
}

/// What an attempt to connect to an address shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectResult {
    /// Something listens there.
    Accepted,
    /// Nothing listens there.
    Refused,
    /// Neither within the time limit, or the attempt failed in another way.
    Silent,
}

/// Tries to connect to an address for up to `limit`.
pub async fn try_connect(address: SocketAddr, limit: Duration) -> ConnectResult {
    let late = async {
        smol::Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match futures_lite::future::or(TcpStream::connect(address), late).await {
        Ok(_) => ConnectResult::Accepted,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ConnectResult::Refused,
        Err(_) => ConnectResult::Silent,
    }
}
