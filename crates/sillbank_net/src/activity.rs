//! What a connection of a server is doing: idle, receiving a head, or serving a request.

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

/// Time for which a connection is read after its write side was closed. A close with unread bytes is a reset, which may
/// destroy the last reply.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read at a time from a connection whose write side is closed.
const LATE_CHUNK_BYTES: usize = 1_024;
/// Chunks read before other tasks get their turn.
const LATE_CHUNKS_PER_TURN: usize = 16;

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It was opened, and no byte of its first request has arrived.
    Opened {
        /// When it was accepted.
        since: Instant,
    },
    /// The last reply has been written, and no byte of a further request has arrived since. A part of a pipelined head
    /// that arrived earlier is not seen; the idle timeout bounds it.
    Idle {
        /// When the reply had been written.
        since: Instant,
    },
    /// The head of a request is arriving.
    ReceivingHead {
        /// When its first byte was read.
        since: Instant,
    },
    /// A request is being served.
    Serving,
    /// The reply is complete, but not all of it has been written to the connection.
    WritingRest,
    /// The write side has been closed. What still arrives is read and dropped.
    Closing,
}

impl Phase {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Opened { .. } => "opened",
            Self::Idle { .. } => "idle",
            Self::ReceivingHead { .. } => "receiving_head",
            Self::Serving => "serving",
            Self::WritingRest => "writing_rest",
            Self::Closing => "closing",
        }
    }
}

/// How the peer's side of a connection ended after the write side had been closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerEnd {
    /// The peer closed its side: it had received everything.
    Closed,
    /// The connection broke.
    Broken,
    /// The peer's side was still open when the time for reading was over.
    Open,
}

impl PeerEnd {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Broken => "broken",
            Self::Open => "open",
        }
    }
}

/// Activity of one connection, as its transport and its requests report it.
#[derive(Debug)]
pub(crate) struct Activity {
    phase: Cell<Phase>,
    /// Whether a part of a reply was taken that may not have been written yet.
    has_unwritten: Cell<bool>,
    /// Whether the connection has ended, so that nothing more will be written.
    has_ended: Cell<bool>,
    /// Tasks that wait until everything has been written.
    flush_wakers: RefCell<Vec<Waker>>,
    /// Number of requests whose heads were complete.
    requests: Cell<u64>,
    /// Bytes that arrived after the write side had been closed.
    late_bytes: Cell<usize>,
    /// How the peer's side ended after the write side had been closed; `None` before.
    peer_end: Cell<Option<PeerEnd>>,
}

impl Activity {
    /// Activity of a connection that has just been accepted.
    pub(crate) fn opened(now: Instant) -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Opened { since: now }),
            has_unwritten: Cell::new(false),
            has_ended: Cell::new(false),
            flush_wakers: RefCell::default(),
            requests: Cell::new(0),
            late_bytes: Cell::new(0),
            peer_end: Cell::new(None),
        })
    }

    /// The current phase.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records that the head of a request is complete.
    pub(crate) fn on_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.phase.set(Phase::Serving);
    }

    /// Number of requests whose heads were complete.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Bytes that arrived after the write side had been closed: a request that crossed the close.
    pub(crate) fn late_bytes(&self) -> usize {
        self.late_bytes.get()
    }

    /// How the peer's side ended after the write side had been closed; `None` if it was not closed.
    pub(crate) fn peer_end(&self) -> Option<PeerEnd> {
        self.peer_end.get()
    }

    /// Records that the head or a part of the body of a reply is about to be written.
    pub(crate) fn on_part_taken(&self) {
        self.has_unwritten.set(true);
    }

    /// Completes when all parts that were taken have been written, or the connection has ended.
    pub(crate) fn poll_flushed(&self, context: &mut Context<'_>) -> Poll<()> {
        if !self.has_unwritten.get() || self.has_ended.get() {
            return Poll::Ready(());
        }
        let mut wakers = self.flush_wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
            wakers.push(context.waker().clone());
        }
        Poll::Pending
    }

    /// Records that the body of the reply has been taken completely, or will not be taken. The end of its framing is still to
    /// be written.
    pub(crate) fn on_reply_taken(&self) {
        self.has_unwritten.set(true);
        self.phase.set(Phase::WritingRest);
    }

    /// Records that bytes arrived. Empty lines may precede a head and do not begin it.
    fn on_read(&self, bytes: &[u8]) {
        let is_waiting = matches!(self.phase.get(), Phase::Opened { .. } | Phase::Idle { .. });
        if is_waiting && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.phase.set(Phase::ReceivingHead { since: Instant::now() });
        }
    }

    fn wake_flushed(&self) {
        self.has_unwritten.set(false);
        self.flush_wakers.take().into_iter().for_each(Waker::wake);
    }

    /// Records that nothing is left to be written.
    fn on_flushed(&self) {
        self.wake_flushed();
        if self.phase.get() == Phase::WritingRest {
            self.phase.set(Phase::Idle { since: Instant::now() });
        }
    }
}

/// Connection that reports its transfers to an [`Activity`].
#[derive(Debug)]
pub(crate) struct Tracked<C> {
    connection: C,
    activity: Rc<Activity>,
    /// Set once the write side is closed: when reading ends.
    linger: Option<Timer>,
}

impl<C> Tracked<C> {
    pub(crate) fn new(connection: C, activity: Rc<Activity>) -> Self {
        Self { connection, activity, linger: None }
    }
}

impl<C> Drop for Tracked<C> {
    fn drop(&mut self) {
        self.activity.has_ended.set(true);
        self.activity.wake_flushed();
    }
}

impl<C: AsyncRead + Unpin> Tracked<C> {
    /// Reads and drops what still arrives, until the peer closes its side too or the time for it is over.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<PeerEnd> {
        let timer = self.linger.get_or_insert_with(|| Timer::after(LINGER));
        if Pin::new(timer).poll(context).is_ready() {
            return Poll::Ready(PeerEnd::Open);
        }
        let mut chunk = [0; LATE_CHUNK_BYTES];
        for _ in 0..LATE_CHUNKS_PER_TURN {
            match ready!(Pin::new(&mut self.connection).poll_read(context, &mut chunk)) {
                Ok(0) => return Poll::Ready(PeerEnd::Closed),
                Err(_) => return Poll::Ready(PeerEnd::Broken),
                Ok(length) => {
                    self.activity.late_bytes.set(self.activity.late_bytes.get() + length);
                }
            }
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for Tracked<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = ready!(Pin::new(&mut self.connection).poll_read(context, buffer))?;
        self.activity.on_read(buffer.get(..read).unwrap_or_default());
        Poll::Ready(Ok(read))
    }
}

impl<C: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Tracked<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.connection).poll_flush(context))?;
        self.activity.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.connection).poll_close(context))?;
            self.activity.phase.set(Phase::Closing);
        }
        let peer_end = ready!(self.poll_linger(context));
        self.activity.peer_end.set(Some(peer_end));
        Poll::Ready(Ok(()))
    }
}
