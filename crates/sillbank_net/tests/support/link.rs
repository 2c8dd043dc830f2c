//! A server whose connections are in memory and whose tasks run only when a test lets them.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use sillbank_net::prelude::*;
use sillbank_net::serve::serve_connection;
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Path whose reply is a stream that ends when the test releases it.
pub(crate) const HELD_PATH: &str = "/held";
/// Path whose reply is a stream that is aborted at once.
pub(crate) const ABORTED_PATH: &str = "/aborted";
/// Path whose reply is a stream that is aborted after [`EVENT`].
pub(crate) const ABORTED_AFTER_EVENT_PATH: &str = "/aborted-after-event";
/// Event of a stream.
pub(crate) const EVENT: &str = "data: one";
/// First part of the head of a request.
pub(crate) const HALF_OF_A_HEAD: &str = "GET /parts HTTP/1.1\r\nho";
/// Second part of the head of a request.
pub(crate) const REST_OF_A_HEAD: &str = "st: a\r\n\r\n";

/// Time after which an awaited state counts as never reached.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Pause between two checks of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct LinkState {
    sent: VecDeque<u8>,
    received: Vec<u8>,
    window_bytes: usize,
    is_closed: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Caller's end of a connection.
#[derive(Debug, Clone)]
pub(crate) struct Caller(Rc<RefCell<LinkState>>);

impl Caller {
    /// Sends bytes. The server reads them the next time it runs.
    pub(crate) fn send(&self, text: &str) {
        let mut state = self.0.borrow_mut();
        state.sent.extend(text.as_bytes());
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
    }

    /// Sends a complete request.
    pub(crate) fn send_request(&self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n"));
    }

    /// Sets how many more bytes the server can write.
    pub(crate) fn set_window(&self, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.window_bytes = bytes;
        if let Some(waker) = state.writer.take() {
            waker.wake();
        }
    }

    /// Whether the server has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.borrow().is_closed
    }

    /// All bytes that the server has written.
    pub(crate) fn received(&self) -> String {
        String::from_utf8_lossy(&self.0.borrow().received).into_owned()
    }

    /// Number of replies that have begun.
    pub(crate) fn replies(&self) -> usize {
        self.received().matches("HTTP/1.1 200 OK").count()
    }
}

/// Server's end of a connection; dropped when the server closes it.
struct ServerEnd(Rc<RefCell<LinkState>>);

impl Drop for ServerEnd {
    fn drop(&mut self) {
        self.0.borrow_mut().is_closed = true;
    }
}

impl AsyncRead for ServerEnd {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let mut state = self.0.borrow_mut();
        if state.sent.is_empty() {
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(state.sent.read(buffer))
    }
}

impl AsyncWrite for ServerEnd {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let mut state = self.0.borrow_mut();
        let length = bytes.len().min(state.window_bytes);
        if length == 0 {
            state.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        state.window_bytes -= length;
        state.received.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Answers requests at once, on the paths above with streams and on others with complete replies.
#[derive(Debug, Default)]
struct Replies {
    held: RefCell<Option<Outbox>>,
}

impl Handler for Replies {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (outbox, body) = Outbox::new();
        match request.uri().path() {
            HELD_PATH => drop(self.held.replace(Some(outbox))),
            ABORTED_PATH => outbox.abort(),
            ABORTED_AFTER_EVENT_PATH => {
                outbox.write(EVENT.as_bytes());
                outbox.abort();
            }
            _ => return text_reply(StatusCode::OK, "done"),
        }
        Response::new(ReplyBody::Stream(body))
    }
}

/// The server.
pub(crate) struct Server {
    /// Timeouts of its connections.
    pub(crate) timeouts: SharedTimeouts,
    /// Stops it.
    pub(crate) stopper: Stopper,
    executor: Rc<LocalExecutor<'static>>,
    handler: Rc<Replies>,
    budget: MemoryBudget,
}

impl Server {
    /// Starts a server whose connections have these timeouts.
    pub(crate) fn start(timeouts: Timeouts) -> Self {
        Self {
            timeouts: SharedTimeouts::new(timeouts),
            stopper: Stopper::default(),
            executor: Rc::new(LocalExecutor::new()),
            handler: Rc::default(),
            budget: MemoryBudget::default(),
        }
    }

    /// Opens a connection.
    pub(crate) fn connect(&self) -> Caller {
        let state = Rc::new(RefCell::new(LinkState {
            sent: VecDeque::new(),
            received: Vec::new(),
            window_bytes: usize::MAX,
            is_closed: false,
            reader: None,
            writer: None,
        }));
        let limits = ServerLimits { timeouts: self.timeouts.clone(), ..ServerLimits::default() };
        let end = ServerEnd(state.clone());
        let (handler, stop) = (self.handler.clone(), self.stopper.token());
        let unread = self.budget.register_connection();
        self.executor.spawn(serve_connection(end, limits, handler, stop, unread)).detach();
        Caller(state)
    }

    /// Ends the reply that a request on [`HELD_PATH`] waits for.
    pub(crate) fn release_reply(&self) {
        self.handler.held.take().expect("a request was received").close();
    }

    /// Lets the server do what it can do now.
    pub(crate) fn run(&self) {
        while self.executor.try_tick() {}
    }

    /// Lets the server run for at least `time`.
    pub(crate) fn run_for(&self, time: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < time {
            self.run();
            std::thread::sleep(POLL_INTERVAL);
        }
        self.run();
    }

    /// Lets the server run until `is_reached`; false if that takes too long.
    pub(crate) fn runs_until(&self, is_reached: impl Fn() -> bool) -> bool {
        let started_at = Instant::now();
        while !is_reached() {
            if started_at.elapsed() > MAX_WAIT {
                return false;
            }
            self.run();
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }
}
