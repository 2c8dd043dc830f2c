//! Asks the first endpoint of a path what a request waits for.

use crate::gateway::Gateway;
use crate::wire::Wire;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an engine may take to report. It takes no place in its queue, so only the way counts;
/// halls are a fraction of a millisecond apart.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// What was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Diagnosis {
    /// The endpoint answers and the request waits for nobody.
    Working,
    /// The endpoint does not answer; why.
    Silent(String),
    /// The request waits for another endpoint of its path.
    WaitsFor(SocketAddr),
}

/// Asks an endpoint about a request.
pub async fn diagnose<W: Wire, S>(
    gateway: &Gateway<W, S>,
    first: SocketAddr,
    request_id: &str,
) -> Diagnosis {
    let reply = match gateway.engine_calls.call(first, W::report_call(), REPORT_LIMIT).await {
        Ok(reply) => reply,
        Err(error) => return Diagnosis::Silent(error.to_string()),
    };
    match W::read_report(&reply.body) {
        Ok(report) => report
            .stalled
            .into_iter()
            .find(|stalled| stalled.request_id == request_id)
            .map_or(Diagnosis::Working, |stalled| Diagnosis::WaitsFor(stalled.waits_for)),
        Err(error) => {
            tracing::warn!(endpoint = %first, %error, "endpoint: A report cannot be read.");
            Diagnosis::Working
        }
    }
}
