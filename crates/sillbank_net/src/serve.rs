//! HTTP/1.1 servers.

use crate::body::{CountedBody, ReplyBody};
use crate::kept::{KeptBytes, UnreadBytes};
use crate::metered::Metered;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Pause before looking for room again when all connections are taken.
const FULL_PAUSE: Duration = Duration::from_millis(5);
/// How often a stopping server looks whether the first request of a connection has come.
const FIRST_REQUEST_POLL: Duration = Duration::from_millis(20);
/// Pause after a connection could not be accepted, so that a lack of descriptors is not a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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

/// Tells servers to stop.
#[derive(Debug)]
pub struct Stopper {
    sender: smol::channel::Sender<Infallible>,
    token: StopToken,
}

/// Hears of a [`Stopper`].
#[derive(Debug, Clone)]
pub struct StopToken(smol::channel::Receiver<Infallible>);

impl Default for Stopper {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self { sender, token: StopToken(receiver) }
    }
}

impl Stopper {
    /// A token that hears of it.
    pub fn token(&self) -> StopToken {
        self.token.clone()
    }

    /// Tells all tokens. Further calls do nothing.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopToken {
    /// Waits until told to stop.
    pub async fn stopped(&self) {
        if let Ok(never) = self.0.recv().await {
            match never {}
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
    let stopper = Stopper::default();
    let kept = KeptBytes::default();
    serve_until(executor, listener, limits, handler, stopper.token(), kept).await;
}

/// Takes connections until dropped. When told to stop it still takes new ones, but closes each as
/// soon as it rests. What is kept for callers is counted in `kept`.
pub async fn serve_until<H: Handler>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
    stop: StopToken,
    kept: KeptBytes,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        if open.get() >= limits.max_connections {
            smol::Timer::after(FULL_PAUSE).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("net: A connection was not accepted: {error}.");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!("net: A caller's connection may wait for small packets: {error}.");
        }
        let guard = OpenGuard::new(open.clone());
        let served = serve_connection(stream, limits, handler.clone(), stop.clone(), kept.open());
        let served = async move {
            served.await;
            drop(guard);
        };
        executor.spawn(served).detach();
    }
}

/// Number of a connection among those whose bytes are counted together; each request carries it among its extensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionNumber(u64);

struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers the requests of one connection, until it ends or its peer is cut off as it does not read.
pub async fn serve_connection<H, C>(
    connection: C,
    limits: ServerLimits,
    handler: Rc<H>,
    stop: StopToken,
    unread: UnreadBytes,
) where
    H: Handler,
    C: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let begun = Cell::new(false);
    let number = ConnectionNumber(unread.number());
    let service = service_fn(|mut request| {
        begun.set(true);
        request.extensions_mut().insert(number);
        let handler = handler.clone();
        let unread = unread.clone();
        async move {
            let reply = handler.handle(request).await;
            Ok::<_, Infallible>(reply.map(|body| CountedBody::new(body, unread)))
        }
    });
    let metered = Metered::new(connection, unread.clone());
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.max_head_bytes)
            .serve_connection(FuturesIo::new(metered), service)
    );
    let stopped = async {
        stop.stopped().await;
        // A connection that is new has a request on its way, which is to be answered.
        while !begun.get() {
            smol::Timer::after(FIRST_REQUEST_POLL).await;
        }
        None
    };
    let served = async {
        let ended = async { Some(connection.as_mut().await) };
        match ended.or(stopped).await {
            Some(served) => served,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let cut = async {
        std::future::poll_fn(|context| unread.poll_cut(context)).await;
        Ok(())
    };
    if let Err(error) = cut.or(served).await {
        tracing::debug!("net: A connection ended early: {error}.");
    }
}
