//! Bytes of a relayed connection.
//!
//! Bytes from the endpoint come in chunks, each with its length as a 16-bit little-endian number. A length of 0 ends the
//! connection, and the next byte tells how the endpoint ended it. So the end of the VM in the middle is neither taken for the
//! end of an answer nor for a failure of the endpoint.

use sillbank_net::liveness::ENDPOINT_SILENCE;
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Length of a chunk's header.
const HEADER_BYTES: usize = 2;
/// Maximum bytes of a chunk. A tunnel holds one chunk in each direction.
const CHUNK_BYTES: usize = 4 << 10;

/// Time without bytes after which a tunnel whose last bytes came from the endpoint is idle. An endpoint that works may be silent
/// in the middle of a stream for a second or so; one that is silent for longer is given up.
const IDLE_TIME: Duration = ENDPOINT_SILENCE;

/// What passes through a tunnel, as the VM in the middle sees it.
#[derive(Debug)]
pub struct TunnelActivity {
    /// When bytes last passed, in either direction.
    last_at: Cell<Instant>,
    /// Whether the last ones came from the endpoint.
    is_answered: Cell<bool>,
}

impl TunnelActivity {
    /// A tunnel through which nothing has passed yet.
    pub fn new(now: Instant) -> Self {
        Self { last_at: Cell::new(now), is_answered: Cell::new(true) }
    }

    fn record(&self, is_answered: bool) {
        self.last_at.set(Instant::now());
        self.is_answered.set(is_answered);
    }

    /// Whether no request is in progress: the endpoint has answered and sends nothing more.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.is_answered.get() && now.saturating_duration_since(self.last_at.get()) >= IDLE_TIME
    }
}

/// How an endpoint ended its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointEnd {
    /// It closed the connection.
    Closed = 0,
    /// The connection broke.
    Broken = 1,
}

/// Passes the bytes of an endpoint to the VM that asked for the connection, until either side ends.
///
/// # Errors
/// If the VM cannot be written to.
pub async fn pass_back<E, V>(mut endpoint: E, mut vm: V, activity: &TunnelActivity) -> Result<()>
where
    E: AsyncRead + Unpin,
    V: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; HEADER_BYTES + CHUNK_BYTES];
    loop {
        let end = match endpoint.read(&mut chunk[HEADER_BYTES..]).await {
            Ok(0) => EndpointEnd::Closed,
            Err(_) => EndpointEnd::Broken,
            Ok(length) => {
                activity.record(true);
                chunk[..HEADER_BYTES].copy_from_slice(&(length as u16).to_le_bytes());
                vm.write_all(&chunk[..HEADER_BYTES + length]).await?;
                vm.flush().await?;
                continue;
            }
        };
        vm.write_all(&[0, 0, end as u8]).await?;
        return vm.close().await;
    }
}

/// Passes the bytes of the VM that asked for the connection to an endpoint, until either side ends.
///
/// # Errors
/// If either side fails.
pub(super) async fn pass_forward<V, E>(
    mut vm: V,
    mut endpoint: E,
    activity: &TunnelActivity,
) -> Result<()>
where
    V: AsyncRead + Unpin,
    E: AsyncWrite + Unpin,
{
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let length = vm.read(&mut chunk).await?;
        if length == 0 {
            return Ok(());
        }
        activity.record(false);
        endpoint.write_all(&chunk[..length]).await?;
        endpoint.flush().await?;
    }
}

/// What comes next in a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The first byte of a header.
    Header,
    /// The second byte of a header whose first one was this.
    HeaderEnd(u8),
    /// This many bytes of the content of a chunk.
    Content(usize),
    /// How the endpoint ended the connection.
    EndpointEnd,
    /// Nothing: the endpoint closed the connection.
    Closed,
}

/// The end of a relayed connection at the VM that asked for it: reads chunks, and writes bytes as they are.
#[derive(Debug)]
pub struct TunnelReader<S> {
    stream: BufReader<S>,
    next: Next,
    /// Whether the VM in the middle was lost.
    hop_lost: Rc<Cell<bool>>,
}

impl<S: AsyncRead + Unpin> TunnelReader<S> {
    /// Reads the tunnel in `stream`. `hop_lost` is set when the VM in the middle is lost.
    pub fn new(stream: S, hop_lost: Rc<Cell<bool>>) -> Self {
        Self { stream: BufReader::with_capacity(CHUNK_BYTES, stream), next: Next::Header, hop_lost }
    }

    fn poll_some(&mut self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
        match ready!(Pin::new(&mut self.stream).poll_read(context, buffer)) {
            Ok(0) => Poll::Ready(Err(self.lose_hop("the VM that passes the connection on ended"))),
            Err(error) => {
                let reason = format!("the VM that passes the connection on is lost: {error}");
                Poll::Ready(Err(self.lose_hop(&reason)))
            }
            Ok(read) => Poll::Ready(Ok(read)),
        }
    }

    fn lose_hop(&self, reason: &str) -> Error {
        self.hop_lost.set(true);
        Error::new(ErrorKind::ConnectionAborted, reason)
    }

    /// What comes after a byte of a header or of the end.
    fn next_after(&self, byte: u8) -> Result<Next> {
        match self.next {
            Next::Header => Ok(Next::HeaderEnd(byte)),
            Next::HeaderEnd(low) => match usize::from(u16::from_le_bytes([low, byte])) {
                0 => Ok(Next::EndpointEnd),
                length if length <= CHUNK_BYTES => Ok(Next::Content(length)),
                length => Err(self.lose_hop(&format!(
                    "a chunk of {length} bytes is over the limit of {CHUNK_BYTES}; check the VM's build"
                ))),
            },
            Next::EndpointEnd if byte == EndpointEnd::Closed as u8 => Ok(Next::Closed),
            Next::EndpointEnd => {
                Err(Error::new(ErrorKind::ConnectionReset, "the endpoint's connection broke"))
            }
            Next::Content(_) | Next::Closed => Ok(self.next),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TunnelReader<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        loop {
            match self.next {
                Next::Closed => return Poll::Ready(Ok(0)),
                Next::Content(left) => {
                    let length = left.min(buffer.len());
                    if length == 0 {
                        return Poll::Ready(Ok(0));
                    }
                    let read = ready!(self.poll_some(context, &mut buffer[..length]))?;
                    self.next =
                        if left == read { Next::Header } else { Next::Content(left - read) };
                    return Poll::Ready(Ok(read));
                }
                Next::Header | Next::HeaderEnd(_) | Next::EndpointEnd => {
                    let mut byte = [0];
                    ready!(self.poll_some(context, &mut byte))?;
                    self.next = self.next_after(byte[0])?;
                }
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TunnelReader<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
