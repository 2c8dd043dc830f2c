//! Logs and metrics.

use crate::body::{ReplyBody, reply};
use hyper::{Response, StatusCode};
use prometheus_client::registry::Registry;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Begins logging to standard error. Closed spans are logged with their times when the filter
/// lets them through (spans are at debug level).
pub fn start_logs(json: bool, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(std::io::stderr)
        .with_target(false);
    let started = match json {
        true => builder.json().try_init(),
        false => builder.with_ansi(false).try_init(),
    };
    drop(started);
}

/// Lines that may wait to be written. Each has some 300 bytes, so this is at most about 1 MB.
const WAITING_LINES: usize = 4096;

/// Keeps the log's writer running; what waits is written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Begins logging to standard output without ever blocking: a thread writes, and lines that find
/// its queue full are counted, told and dropped.
pub fn start_decision_logs(json: bool, filter: &str) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false);
    let started = match json {
        true => builder.json().flatten_event(true).try_init(),
        false => builder.try_init(),
    };
    if let Err(error) = started {
        eprintln!("log: Logs cannot begin: {error}.");
    }
    LogGuard { _writer: guard }
}

/// A registry whose metrics all begin with `sillbank_` and the part's name.
pub fn new_registry(part: &str) -> Registry {
    Registry::with_prefix(format!("sillbank_{part}"))
}

/// The reply to a metrics request.
pub fn metrics_reply(registry: &Registry) -> Response<ReplyBody> {
    let mut text = String::new();
    if prometheus_client::encoding::text::encode(&mut text, registry).is_err() {
        return crate::body::text_reply(StatusCode::INTERNAL_SERVER_ERROR, "metrics failed");
    }
    reply(StatusCode::OK, "application/openmetrics-text; version=1.0.0; charset=utf-8", text.into())
}
