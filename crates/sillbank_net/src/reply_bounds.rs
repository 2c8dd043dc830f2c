//! Bounds what a peer sends within a reply that is neither its head nor a part of its body.

use smol::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Bytes of a reply that may arrive without a head or a part of a body: what the client reads ahead, and framing. Interim
/// replies, chunk sizes and trailers have no limit of their own.
const MAX_UNUSED_BYTES: usize = 256 << 10;

/// Count of the bytes of a reply since its last progress.
#[derive(Debug, Clone, Default)]
pub struct ReplyBounds {
    /// `None` while no reply is bounded.
    unused_bytes: Rc<Cell<Option<usize>>>,
}

impl ReplyBounds {
    /// A request is sent, and its reply is bounded from now on.
    pub fn start_reply(&self) {
        self.unused_bytes.set(Some(0));
    }

    /// The head or a part of the body of the reply arrived.
    pub fn on_progress(&self) {
        self.unused_bytes.set(self.unused_bytes.get().map(|_| 0));
    }

    /// The reply is complete.
    pub fn end_reply(&self) {
        self.unused_bytes.set(None);
    }

    /// Counts bytes that arrived.
    ///
    /// # Errors
    /// If too many bytes arrived since the last progress.
    fn count(&self, bytes: usize) -> Result<()> {
        let Some(unused_bytes) = self.unused_bytes.get() else { return Ok(()) };
        let unused_bytes = unused_bytes.saturating_add(bytes);
        self.unused_bytes.set(Some(unused_bytes));
        if unused_bytes > MAX_UNUSED_BYTES {
            let text = format!("{unused_bytes} bytes came without a head or a part of a body");
            return Err(Error::new(ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// Connection whose replies are bounded.
#[derive(Debug)]
pub(crate) struct Bounded<C> {
    connection: C,
    bounds: ReplyBounds,
}

impl<C> Bounded<C> {
    pub(crate) fn new(connection: C, bounds: ReplyBounds) -> Self {
        Self { connection, bounds }
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Bounded<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.connection).poll_read(context, buffer))?;
        Poll::Ready(self.bounds.count(read).map(|()| read))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for Bounded<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_close(context)
    }
}
