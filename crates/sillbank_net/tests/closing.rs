//! How a server ends connections whose callers may still be sending.

mod support;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use sillbank_net::prelude::*;
use sillbank_net::serve::serve_connection;
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use support::link::Server;

const LONG: Duration = Duration::from_secs(3_600);
/// Lower bound of the time for which a connection is read after its last reply.
const MIN_LINGER: Duration = Duration::from_millis(450);
/// Reads after which [`EndlessCaller`] ends, so that a server that never yields fails the test.
const MAX_READS: usize = 200_000;

/// Server's end of a connection whose caller sends without end.
struct EndlessCaller {
    head: &'static [u8],
    reads: Rc<Cell<usize>>,
}

impl AsyncRead for EndlessCaller {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        self.reads.set(self.reads.get() + 1);
        if self.reads.get() > MAX_READS {
            return Poll::Ready(Ok(0));
        }
        let length = self.head.len().min(buffer.len());
        if length > 0 {
            buffer[..length].copy_from_slice(&self.head[..length]);
            self.head = &self.head[length..];
            return Poll::Ready(Ok(length));
        }
        buffer.fill(b'a');
        Poll::Ready(Ok(buffer.len()))
    }
}

impl AsyncWrite for EndlessCaller {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Refuses requests without reading their bodies.
struct Refuses;

impl Handler for Refuses {
    async fn handle(&self, _: Request<Incoming>) -> Response<ReplyBody> {
        text_reply(StatusCode::PAYLOAD_TOO_LARGE, "too large")
    }
}

/// Guards against a refused caller that goes on sending and so keeps all other tasks of the process from running.
#[test]
fn other_tasks_run_while_a_refused_caller_goes_on_sending() {
    let executor = Rc::new(LocalExecutor::new());
    let reads = Rc::new(Cell::new(0));
    let head = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 100000000000\r\n\r\n";
    let caller = EndlessCaller { head, reads: reads.clone() };
    let (stop, unread) = (Stopper::default(), MemoryBudget::default().register_connection());
    let served =
        serve_connection(caller, ServerLimits::default(), Rc::new(Refuses), stop.token(), unread);
    executor.spawn(served).detach();

    smol::block_on(executor.run(async {
        for _ in 0..10 {
            smol::future::yield_now().await;
        }
    }));

    assert!(reads.get() < MAX_READS, "{} reads before another task ran", reads.get());
}

/// Guards against a stopping server that writes another reply behind its last one, and closes the connection without
/// reading what its caller still sends: the reset may destroy the last reply.
#[test]
fn a_stopping_server_reads_on_after_its_last_reply_and_writes_nothing_more() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    server.run();

    server.stopper.stop();
    caller.send_request("/last");
    let is_replied = server.runs_until(|| caller.replies() == 1);
    let replied_at = Instant::now();
    let is_closed = server.runs_until(|| caller.is_closed());
    let open_for = replied_at.elapsed();

    assert!(is_replied && is_closed);
    assert!(open_for >= MIN_LINGER, "{open_for:?}");
    assert!(!caller.received().contains("408"), "{}", caller.received());
}
