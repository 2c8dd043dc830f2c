//! Detection of dead connections whose peer is unreachable and sends no reset. Only timeouts of this side end them.

use rustix::net::sockopt;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Idle time before the first TCP keepalive probe, and interval between probes. The operating system counts both in
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged. A lost packet is retransmitted within 0.2 to 0.6 s; callers abandon a
/// stream after 2 s without an event.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Enables TCP keepalive, so that the operating system closes a connection whose peer has not responded for about two
/// seconds.
///
/// # Errors
/// Returns an error if a socket option cannot be set.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, MAX_UNANSWERED_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, ACK_TIMEOUT.as_millis() as u32)?;
    Ok(())
}

/// Whether connections to an address are refused, because nothing listens there. An address that accepts a
/// connection, or does not answer within `limit`, does not count as refusing.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    let late = async {
        smol::Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connected = futures_lite::future::or(TcpStream::connect(address), late).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
