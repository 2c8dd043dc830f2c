//! HTTP/1.1 servers.

use crate::activity::{Activity, Phase, Tracked};
use crate::body::{CountedBody, ReplyBody};
use crate::memory_budget::{MemoryBudget, UnreadBytes};
use crate::metered::Metered;
use crate::phase_timer::PhaseTimer;
use crate::timeouts::{SharedTimeouts, Timeouts};
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for heads and idle connections of servers that set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a server at its connection limit checks whether a connection has been closed.
const CONNECTION_LIMIT_POLL: Duration = Duration::from_millis(5);
/// Interval at which a stopping server checks whether a connection has received the request in flight.
const REQUEST_POLL: Duration = Duration::from_millis(20);
/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handler of requests.
pub trait Handler: 'static {
    /// Handles a request. Failures are returned as replies too.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<ReplyBody>>;
}

/// Limits on the connections of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Time limits for idle connections and for heads.
    pub timeouts: SharedTimeouts,
    /// Maximum length of a head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of open connections; further ones wait in the backlog of the listener.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            timeouts: SharedTimeouts::new(Timeouts::uniform(DEFAULT_TIMEOUT)),
            max_head_bytes: 64 << 10,
            max_connections: 10_000,
        }
    }
}

/// Signals servers to stop.
#[derive(Debug)]
pub struct Stopper {
    sender: smol::channel::Sender<Infallible>,
    token: StopToken,
}

/// Receiver of the signal of a [`Stopper`].
#[derive(Debug, Clone)]
pub struct StopToken(smol::channel::Receiver<Infallible>);

impl Default for Stopper {
    fn default() -> Self {
        let (sender, receiver) = smol::channel::bounded(1);
        Self { sender, token: StopToken(receiver) }
    }
}

impl Stopper {
    /// Returns a token that receives the signal.
    pub fn token(&self) -> StopToken {
        self.token.clone()
    }

    /// Sends the signal to all tokens. Further calls have no effect.
    pub fn stop(&self) {
        self.sender.close();
    }
}

impl StopToken {
    /// Waits for the signal.
    pub async fn stopped(&self) {
        if let Ok(never) = self.0.recv().await {
            match never {}
        }
    }
}

/// Accepts connections until dropped.
pub async fn serve<H: Handler>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
) {
    let stopper = Stopper::default();
    let budget = MemoryBudget::default();
    serve_until(executor, listener, limits, handler, stopper.token(), budget).await;
}

/// Accepts connections until dropped. After the stop signal it still accepts new ones, but closes each connection as
/// soon as it is idle. Unread bytes are counted in `budget`.
pub async fn serve_until<H: Handler>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
    stop: StopToken,
    budget: MemoryBudget,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        if open.get() >= limits.max_connections {
            smol::Timer::after(CONNECTION_LIMIT_POLL).await;
            continue;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("net: A connection cannot be accepted: {error}.");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!("net: TCP_NODELAY cannot be set on an accepted connection: {error}.");
        }
        let guard = OpenGuard::new(open.clone());
        let served = serve_connection(
            stream,
            limits.clone(),
            handler.clone(),
            stop.clone(),
            budget.register_connection(),
        );
        let served = async move {
            served.await;
            drop(guard);
        };
        executor.spawn(served).detach();
    }
}

/// Number of a connection, unique within its [`MemoryBudget`]. Each request carries it in its extensions.
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

/// Serves the requests of one connection until it ends, reaches a timeout, or is cut because its peer does not read.
///
/// The timer of `hyper` for heads is not used: it starts when the connection begins to wait for a head, and cannot be
/// changed while the connection is idle.
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
    let activity = Activity::opened(Instant::now());
    let number = ConnectionNumber(unread.connection_id());
    let service = service_fn(|mut request| {
        activity.on_request();
        request.extensions_mut().insert(number);
        let (handler, unread, activity) = (handler.clone(), unread.clone(), activity.clone());
        async move {
            let reply = handler.handle(request).await;
            Ok::<_, Infallible>(reply.map(|body| CountedBody::new(body, unread, activity)))
        }
    });
    let tracked = Tracked::new(Metered::new(connection, unread.clone()), activity.clone());
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(limits.max_head_bytes)
            .serve_connection(FuturesIo::new(tracked), service)
    );
    let stopped = async {
        stop.stopped().await;
        wait_for_request(&activity).await;
        None
    };
    let served = async {
        let ended = async { Some(connection.as_mut().await) };
        match ended.or(stopped).await {
            Some(served) => served,
            None => {
                let phase = activity.phase();
                connection.as_mut().graceful_shutdown();
                let ended = connection.await;
                log_stopped(&activity, phase);
                ended
            }
        }
    };
    let cut = async {
        std::future::poll_fn(|context| unread.poll_cut(context)).await;
        Ok(())
    };
    let mut timer = PhaseTimer::new(activity.clone(), limits.timeouts);
    let expired = async {
        let phase = std::future::poll_fn(|context| timer.poll_expired(context)).await;
        tracing::debug!(?phase, "net: A connection is closed at its timeout.");
        Ok(())
    };
    // The timer is polled after the connection, so that a request that has arrived is read first.
    if let Err(error) = cut.or(served).or(expired).await {
        tracing::debug!("net: A connection ended early: {error}.");
    }
}

/// Logs the end of a connection that was asked to end in `phase`.
fn log_stopped(activity: &Activity, phase: Phase) {
    let idle_ms = match phase {
        Phase::Idle { since } => Some(since.elapsed().as_millis() as u64),
        _ => None,
    };
    let (requests, late_bytes) = (activity.requests(), activity.late_bytes());
    let phase = phase.name();
    tracing::info!(phase, idle_ms, requests, late_bytes, "net: Closed a connection to stop.");
}

/// Waits while the first request of a connection, or a part of a further one, is in flight. It must still be answered.
async fn wait_for_request(activity: &Activity) {
    while matches!(activity.phase(), Phase::Opened { .. } | Phase::ReceivingHead { .. }) {
        smol::Timer::after(REQUEST_POLL).await;
    }
}
