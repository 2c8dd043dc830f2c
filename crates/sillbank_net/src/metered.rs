//! Connection wrapper that counts transferred bytes.

use crate::memory_budget::UnreadBytes;
use smol::io::{AsyncRead, AsyncWrite};
use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Connection that counts the bytes it transfers and those written to its peer.
#[derive(Debug)]
pub struct Metered<C> {
    connection: C,
    unread: UnreadBytes,
}

impl<C> Metered<C> {
    /// Wraps a connection and counts its bytes in `unread`.
    pub fn new(connection: C, unread: UnreadBytes) -> Self {
        Self { connection, unread }
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Metered<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.connection).poll_read(context, buffer))?;
        self.unread.on_transferred(read);
        Poll::Ready(Ok(read))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for Metered<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = ready!(Pin::new(&mut self.connection).poll_write(context, bytes))?;
        self.unread.on_transferred(written);
        self.unread.on_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_close(context)
    }
}
