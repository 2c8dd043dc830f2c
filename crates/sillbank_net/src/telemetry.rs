//! Logs and metrics.

use crate::body::{ReplyBody, reply};
use hyper::{Response, StatusCode};
use prometheus_client::registry::Registry;
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
