//! A connection whose bytes are counted as they pass.

use crate::kept::UnreadBytes;
use smol::io::{AsyncRead, AsyncWrite};
use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Counts what passes over a connection, and what its peer has taken.
#[derive(Debug)]
pub struct Metered<C> {
    connection: C,
    unread: UnreadBytes,
}

impl<C> Metered<C> {
    /// Counts the bytes of a connection in `unread`.
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
        self.unread.on_passed(read);
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
        self.unread.on_passed(written);
        self.unread.on_read(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.connection).poll_close(context)
    }
}
