//! Logging and metrics.

use crate::body::{ReplyBody, reply};
use hyper::{Response, StatusCode};
use prometheus_client::registry::Registry;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Starts logging to standard error. Closed spans are logged with their durations if the filter enables debug level.
pub fn init_logging(json: bool, filter: &str) {
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

/// Maximum number of lines in the queue of the log writer. A line has about 300 bytes, so the queue takes at most
/// about 1 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Keeps the log writer running. The queued lines are written when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Starts non-blocking logging to standard output. A thread writes the lines; lines that find its queue full are
/// counted, reported and dropped.
pub fn init_nonblocking_logging(json: bool, filter: &str) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
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
        eprintln!("log: Logging cannot be started: {error}.");
    }
    LogGuard { _writer: guard }
}

/// Creates a registry whose metric names start with `sillbank_` and the part's name.
pub fn new_registry(part: &str) -> Registry {
    Registry::with_prefix(format!("sillbank_{part}"))
}

/// Creates the reply to a metrics request.
pub fn metrics_reply(registry: &Registry) -> Response<ReplyBody> {
    let mut text = String::new();
    if prometheus_client::encoding::text::encode(&mut text, registry).is_err() {
        return crate::body::text_reply(StatusCode::INTERNAL_SERVER_ERROR, "metrics failed");
    }
    reply(StatusCode::OK, "application/openmetrics-text; version=1.0.0; charset=utf-8", text.into())
}
