//! HTTP/1.1 servers.

use crate::activity::{Activity, PeerEnd, Phase, Tracked};
use crate::body::{CountedBody, ReplyBody};
use crate::closing::close_unread;
use crate::memory_budget::{MemoryBudget, UnreadBytes};
use crate::metered::Metered;
use crate::phase_timer::PhaseTimer;
use crate::stop::{StopToken, Stopper};
use crate::timeouts::{SharedTimeouts, Timeouts};
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::LocalExecutor;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::fmt::{Display, Formatter};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for heads and idle connections of servers that set none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a server at its connection limit checks whether a connection has been closed.
const CONNECTION_LIMIT_POLL: Duration = Duration::from_millis(5);
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

/// Accepts connections until the stop is over. While stopping, it still accepts new ones, but each reply asks its caller to
/// close the connection, and idle connections are closed. Unread bytes are counted in `budget`.
pub async fn serve_until<H: Handler>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    limits: ServerLimits,
    handler: Rc<H>,
    stop: StopToken,
    budget: MemoryBudget,
) {
    loop {
        if stop.open_connections() >= limits.max_connections && !stop.is_final() {
            smol::Timer::after(CONNECTION_LIMIT_POLL).await;
            continue;
        }
        // What waits in the backlog is accepted before the listener is closed.
        let accepted = async { Some(listener.accept().await) };
        let is_final = async {
            stop.final_stage().await;
            None
        };
        let stream = match accepted.or(is_final).await {
            Some(Ok((stream, _))) => stream,
            None => return,
            Some(Err(error)) => {
                tracing::warn!("net: A connection cannot be accepted: {error}.");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!("net: TCP_NODELAY cannot be set on an accepted connection: {error}.");
        }
        let guard = stop.count_connection();
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

impl Display for ConnectionNumber {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// How the service of a connection ended.
enum ServiceEnd {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// No request is being served, and the connection is closed in this phase.
    Close(Phase),
    /// It is cut because its peer does not read.
    Cut,
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
        let stop = stop.clone();
        async move {
            let mut reply = handler.handle(request).await;
            if stop.is_stopping() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply.map(|body| CountedBody::new(body, unread, activity)))
        }
    });
    let tracked = Tracked::new(Metered::new(connection, unread.clone()), activity.clone());
    let mut connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(FuturesIo::new(tracked), service);
    let served = async { ServiceEnd::Ended((&mut connection).await) };
    let cut = async {
        std::future::poll_fn(|context| unread.poll_cut(context)).await;
        ServiceEnd::Cut
    };
    let stopped = async { ServiceEnd::Close(stop.closes(&activity).await) };
    let mut timer = PhaseTimer::new(activity.clone(), limits.timeouts);
    let expired = async {
        ServiceEnd::Close(std::future::poll_fn(|context| timer.poll_expired(context)).await)
    };
    // The timers are polled after the connection, so that a request that has arrived is read first.
    let end = cut.or(served).or(stopped).or(expired).await;
    let end_text = match &end {
        ServiceEnd::Ended(Ok(())) => "ended".to_owned(),
        ServiceEnd::Ended(Err(error)) => error.to_string(),
        ServiceEnd::Cut => "cut, as its caller reads too little".to_owned(),
        ServiceEnd::Close(phase) => format!("closed while {}", phase.name()),
    };
    if let ServiceEnd::Close(phase) = end {
        let parts = connection.into_parts();
        close_unread(parts.io.into_inner(), phase, &activity).await;
    }
    log_end(number, &end_text, &activity, stop.is_stopping());
}

/// Logs how a connection ended. While the server stops, an end under a request and one that the caller has not confirmed by
/// closing its side are logged at info level: an answer may have been lost with them.
fn log_end(number: ConnectionNumber, end: &str, activity: &Activity, is_stopping: bool) {
    let (phase, requests) = (activity.phase().name(), activity.requests());
    let peer_end = activity.peer_end().map(PeerEnd::name);
    let text = "net: A connection has ended.";
    match is_stopping && requests > 0 && activity.peer_end() != Some(PeerEnd::Closed) {
        true => tracing::info!(connection = %number, end, phase, peer_end, requests, "{text}"),
        false => tracing::debug!(connection = %number, end, phase, peer_end, requests, "{text}"),
    }
}
