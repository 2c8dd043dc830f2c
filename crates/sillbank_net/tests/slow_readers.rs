//! Callers that read slowly use up neither the memory of the process nor that of other callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use sillbank_net::prelude::*;
use sillbank_net::serve::serve_connection;
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

const LIMIT_BYTES: usize = 4 << 20;
const SLOW_CALLERS: usize = 500;
/// Number of events in an answer: more bytes than one caller may leave unread.
const EVENTS: usize = 2_000;
const EVENT: &[u8; 100] = &[b'e'; 100];
/// Bytes that an endpoint may send ahead of its caller.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Bytes that the network buffers for a caller before it blocks the writer.
const WINDOW_BYTES: usize = 1_000;
/// Heads and framing of one answer.
const FRAMING_BYTES: usize = 512;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// State of the connection of a caller, shared by both ends.
#[derive(Debug, Default)]
struct LinkState {
    request: Vec<u8>,
    received: Vec<u8>,
    window_bytes: usize,
    is_closed: bool,
    writer: Option<Waker>,
}

#[derive(Debug, Clone, Default)]
struct Link(Rc<RefCell<LinkState>>);

impl Link {
    fn read(&self, bytes: usize) {
        let mut state = self.0.borrow_mut();
        state.window_bytes += bytes;
        if let Some(waker) = state.writer.take() {
            waker.wake();
        }
    }
}

/// Server end of a connection; dropped when the server closes it.
struct ServerEnd(Link);

impl Drop for ServerEnd {
    fn drop(&mut self) {
        self.0.0.borrow_mut().is_closed = true;
    }
}

impl AsyncRead for ServerEnd {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut state = self.0.0.borrow_mut();
        let length = state.request.len().min(buffer.len());
        if length == 0 {
            return Poll::Pending;
        }
        buffer[..length].copy_from_slice(&state.request[..length]);
        state.request.drain(..length);
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for ServerEnd {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let mut state = self.0.0.borrow_mut();
        let length = bytes.len().min(state.window_bytes);
        if length == 0 {
            state.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        state.window_bytes -= length;
        state.received.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Handler that answers with a stream or with a complete body of the same bytes, and counts what it wrote.
struct Answers {
    executor: Rc<LocalExecutor<'static>>,
    is_complete: bool,
    written: Rc<RefCell<Vec<usize>>>,
    /// Numbers of the streams that count as written to their connections.
    delivered: Rc<RefCell<Vec<usize>>>,
}

impl Handler for Answers {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let number: usize = request.uri().path()[1..].parse().expect("a number");
        if self.is_complete {
            self.written.borrow_mut()[number] = EVENTS * EVENT.len();
            return Response::new(ReplyBody::Full(Full::new(Bytes::from(EVENT.repeat(EVENTS)))));
        }
        let (outbox, body) = Outbox::new();
        let (written, delivered) = (self.written.clone(), self.delivered.clone());
        let write = async move {
            for _ in 0..EVENTS {
                outbox.drained_to(MAX_AHEAD_BYTES).await;
                if outbox.reader_closed() {
                    return;
                }
                outbox.write(EVENT);
                written.borrow_mut()[number] += EVENT.len();
            }
            outbox.close();
            outbox.written().await;
            delivered.borrow_mut().push(number);
        };
        self.executor.spawn(write).detach();
        Response::new(ReplyBody::Stream(body))
    }
}

/// Callers of one process.
struct Callers {
    executor: Rc<LocalExecutor<'static>>,
    budget: MemoryBudget,
    links: Vec<Link>,
    written: Rc<RefCell<Vec<usize>>>,
    delivered: Rc<RefCell<Vec<usize>>>,
}

impl Callers {
    fn new(limit_bytes: usize, count: usize, is_complete: bool) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let budget = MemoryBudget::new(limit_bytes);
        let written = Rc::new(RefCell::new(vec![0; count]));
        let delivered = Rc::default();
        let handler = Rc::new(Answers {
            executor: executor.clone(),
            is_complete,
            written: written.clone(),
            delivered: Rc::clone(&delivered),
        });
        let links: Vec<Link> = (0..count).map(|_| Link::default()).collect();
        let stopper = Stopper::default();
        for (number, link) in links.iter().enumerate() {
            let request = format!("GET /{number} HTTP/1.1\r\nhost: a\r\n\r\n").into_bytes();
            let state = LinkState { request, window_bytes: WINDOW_BYTES, ..LinkState::default() };
            link.0.replace(state);
            let limits = ServerLimits { max_head_bytes: 16 << 10, ..ServerLimits::default() };
            let end = ServerEnd(link.clone());
            let (handler, stop, unread) =
                (handler.clone(), stopper.token(), budget.register_connection());
            executor.spawn(serve_connection(end, limits, handler, stop, unread)).detach();
        }
        std::mem::forget(stopper);
        Self { executor, budget, links, written, delivered }
    }

    fn run(&self) {
        while self.executor.try_tick() {}
    }

    /// Bytes written for open connections and not received there, counted independently of the budget.
    fn outstanding_bytes(&self) -> usize {
        let written = self.written.borrow();
        let of_link = |(link, written): (&Link, &usize)| {
            let state = link.0.borrow();
            let received = state.received.len().saturating_sub(FRAMING_BYTES);
            if state.is_closed { 0 } else { written.saturating_sub(received) }
        };
        self.links.iter().zip(written.iter()).map(of_link).sum()
    }

    fn is_complete(&self, number: usize) -> bool {
        let state = self.links[number].0.borrow();
        let body = state.received.iter().filter(|byte| **byte == b'e').count();
        body >= EVENTS * EVENT.len()
    }
}

/// Bytes buffered beyond those that the budget counts: framing, and chunks that are being written.
const SLACK_BYTES: usize = SLOW_CALLERS * FRAMING_BYTES;

/// 500 callers that read one byte per second stay under the limit, and a fast caller receives its complete answer. Some
/// slow callers are cut, and none of their answers looks complete.
#[test]
fn slow_readers_stay_under_the_limit_and_fast_ones_are_served() {
    let callers = Callers::new(LIMIT_BYTES, SLOW_CALLERS + 1, false);
    let fast = SLOW_CALLERS;

    for _second in 0..60 {
        callers.run();
        for link in &callers.links[..SLOW_CALLERS] {
            link.read(1);
        }
        callers.links[fast].read(1 << 20);
        callers.run();
        assert!(callers.budget.used_bytes() <= LIMIT_BYTES);
        assert!(callers.outstanding_bytes() <= LIMIT_BYTES + SLACK_BYTES);
    }

    let cut = callers.links.iter().filter(|link| link.0.borrow().is_closed).count();
    assert_eq!(cut as u64, callers.budget.cut_connections());
    assert!(cut > 0);
    assert!(callers.is_complete(fast));
    for link in &callers.links[..SLOW_CALLERS] {
        assert!(!link.0.borrow().received.ends_with(LAST_CHUNK), "aborted, not ended");
    }
}

/// Answers with complete bodies that nobody reads stay under the limit too.
#[test]
fn unread_complete_answers_stay_under_the_limit() {
    let callers = Callers::new(LIMIT_BYTES, SLOW_CALLERS + 1, true);

    callers.links[SLOW_CALLERS].read(1 << 20);
    callers.run();

    assert!(callers.budget.used_bytes() <= LIMIT_BYTES);
    assert!(callers.outstanding_bytes() <= LIMIT_BYTES + SLACK_BYTES);
    assert!(callers.is_complete(SLOW_CALLERS));
}

/// After all callers have read their answers nothing stays counted, and none was cut.
#[test]
fn callers_that_read_everything_leave_nothing_counted() {
    let callers = Callers::new(LIMIT_BYTES, 20, false);

    for link in &callers.links {
        link.read(1 << 20);
    }
    callers.run();

    assert!((0..20).all(|number| callers.is_complete(number)));
    assert_eq!((callers.budget.used_bytes(), callers.budget.cut_connections()), (0, 0));
}

/// Guards against taking an answer for delivered when its last bytes are only queued: an exit then cuts it without a log
/// line.
#[test]
fn an_answer_counts_as_written_when_its_last_byte_is_on_the_connection() {
    let callers = Callers::new(LIMIT_BYTES, 1, false);
    let is_delivered = || callers.delivered.borrow().contains(&0);

    while callers.written.borrow()[0] < EVENTS * EVENT.len() {
        callers.links[0].read(WINDOW_BYTES);
        callers.run();
    }
    assert!(!is_delivered(), "the last bytes are not written");
    while !callers.is_complete(0) || !callers.links[0].0.borrow().received.ends_with(LAST_CHUNK) {
        assert!(!is_delivered(), "the last bytes are not written");
        callers.links[0].read(WINDOW_BYTES);
        callers.run();
    }

    assert!(is_delivered());
}

/// Handler that answers with a stream whose outbox the test keeps.
struct KeptOutbox(RefCell<Option<Outbox>>);

impl Handler for KeptOutbox {
    async fn handle(&self, _: Request<Incoming>) -> Response<ReplyBody> {
        let (outbox, body) = Outbox::new();
        self.0.replace(Some(outbox));
        Response::new(ReplyBody::Stream(body))
    }
}

/// Guards against a stream that counts as written while the end of its framing is not, as its last event was written before it
/// ended: an exit then cuts it without a log line.
#[test]
fn a_stream_that_ends_after_its_last_event_was_written_counts_as_written_with_its_last_chunk() {
    let executor = Rc::new(LocalExecutor::new());
    let run = || while executor.try_tick() {};
    let (link, handler) = (Link::default(), Rc::new(KeptOutbox(RefCell::default())));
    link.0.borrow_mut().request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
    let (stopper, budget) = (Stopper::default(), MemoryBudget::new(LIMIT_BYTES));
    let end = ServerEnd(link.clone());
    let (stop, unread) = (stopper.token(), budget.register_connection());
    let served = serve_connection(end, ServerLimits::default(), handler.clone(), stop, unread);
    executor.spawn(served).detach();
    link.read(WINDOW_BYTES);
    run();
    let outbox = handler.0.borrow().clone().expect("the request is handled");
    outbox.write(EVENT);
    run();
    let unused = link.0.borrow().window_bytes;
    link.0.borrow_mut().window_bytes = 0;

    outbox.close();
    run();
    let is_written = |outbox: &Outbox| {
        smol::block_on(futures_lite::future::poll_once(outbox.written())).is_some()
    };
    let before = is_written(&outbox);
    link.read(unused);
    run();

    assert!(!before, "the last chunk is not written");
    assert!(link.0.borrow().received.ends_with(LAST_CHUNK));
    assert!(is_written(&outbox));
}
