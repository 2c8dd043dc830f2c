//! Finds connections that have gone silent: their far side takes and sends nothing any more, and no reset
//! says so. Only limits of this side's own end them.

use rustix::net::sockopt;
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Rest after which the far side is asked for a sign of life, and time between such asks. The system counts
/// both in whole seconds.
const ASK_AFTER: Duration = Duration::from_secs(1);
/// Asks without an answer after which a connection ends.
const UNANSWERED_ASKS: u32 = 2;
/// How long bytes may go without an acknowledgement. A packet that was lost is sent again within 0.2 to
/// 0.6 s; callers give a stream up after 2 s without an event.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Makes the system end a connection whose far side has shown no life for some two seconds.
///
/// # Errors
/// An option that the system refuses.
pub fn end_when_silent(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, ASK_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, ASK_AFTER)?;
    sockopt::set_tcp_keepcnt(stream, UNANSWERED_ASKS)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED.as_millis() as u32)?;
    Ok(())
}

/// Whether nobody listens at an address any more. One that takes a connection is there, and one that does
/// not answer within `limit` may be.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    let late = async {
        smol::Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connected = futures_lite::future::or(TcpStream::connect(address), late).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
