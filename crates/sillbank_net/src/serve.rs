//! HTTP/1.1 servers.

use crate::body::ReplyBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request; failures are replies too.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<ReplyBody>>;
}

/// Bounds on what a peer may do.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Time for the head of a request.
    pub head_timeout: Duration,
    /// Longest head.
    pub max_head_bytes: usize,
    /// Connections at a time; more wait in the listener's queue.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            max_head_bytes: 64 << 10,
            max_connections: 10_000,
        }
    }
}

/// Takes connections until dropped.
pub async fn serve<H: Handler>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
) {
    let open = Rc::new(std::cell::Cell::new(0_usize));
    loop {
        if open.get() >= limits.max_connections {
            smol::Timer::after(Duration::from_millis(5)).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("net: A connection was not accepted: {error}.");
                smol::Timer::after(Duration::from_millis(20)).await;
                continue;
            }
        };
        drop(stream.set_nodelay(true));
        let guard = OpenGuard::new(open.clone());
        executor.spawn(serve_connection(stream, limits, handler.clone(), guard)).detach();
    }
}

struct OpenGuard(Rc<std::cell::Cell<usize>>);

impl OpenGuard {
    fn new(open: Rc<std::cell::Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection<H: Handler>(
    stream: smol::net::TcpStream,
    limits: ServerLimits,
    handler: Rc<H>,
    _guard: OpenGuard,
) {
    let service = service_fn(|request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!("net: A connection ended early: {error}.");
    }
}
