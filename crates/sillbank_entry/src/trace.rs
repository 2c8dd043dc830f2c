//! W3C trace context: read from callers, forwarded to services and returned in replies.

use hyper::header::{HeaderMap, HeaderValue};

/// The trace of a request and the span that this process adds to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TraceContext {
    trace_id: u128,
    parent_id: u64,
    span_id: u64,
}

impl TraceContext {
    /// Continues the caller's trace, or starts a new one.
    pub(crate) fn from_headers(headers: &HeaderMap, rng: &mut fastrand::Rng) -> Self {
        let given = headers.get("traceparent").and_then(|v| v.to_str().ok()).and_then(parse);
        let (trace_id, parent_id) = given.unwrap_or_else(|| (rng.u128(1..), 0));
        Self { trace_id, parent_id, span_id: rng.u64(1..) }
    }

    /// The `traceparent` header that makes this span the parent.
    pub(crate) fn header(&self) -> HeaderValue {
        let text = format!("00-{:032x}-{:016x}-01", self.trace_id, self.span_id);
        HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
    }

    /// The logging span of a caller's request.
    pub(crate) fn span(&self, request_id: &str, organisation: &str) -> tracing::Span {
        tracing::debug_span!(
            "caller",
            trace_id = format_args!("{:032x}", self.trace_id),
            parent_id = format_args!("{:016x}", self.parent_id),
            span_id = format_args!("{:016x}", self.span_id),
            request_id,
            organisation,
        )
    }
}

/// Parses `traceparent` into trace id and parent id; only version 00 is supported.
fn parse(text: &str) -> Option<(u128, u64)> {
    let mut parts = text.split('-');
    let (version, trace, parent) = (parts.next()?, parts.next()?, parts.next()?);
    if version != "00" || trace.len() != 32 || parent.len() != 16 {
        return None;
    }
    let trace_id = u128::from_str_radix(trace, 16).ok()?;
    let parent_id = u64::from_str_radix(parent, 16).ok()?;
    (trace_id != 0 && parent_id != 0).then_some((trace_id, parent_id))
}
