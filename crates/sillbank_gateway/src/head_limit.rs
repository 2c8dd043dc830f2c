//! Limit on the heads of callers' requests, which may change while connections are open.
//!
//! Callers learn of a change at their own time, so a head is refused only if it is longer than each limit that may be in
//! force.

use crate::answers::RETRY_AFTER_NOT_READY;
use crate::gateway::Gateway;
use hyper::Uri;
use hyper::http::request::Parts;
use sillbank_core::prelude::*;
use std::time::{Duration, Instant};

/// Largest head that is read, whatever the configuration allows.
pub const MAX_READ_HEAD_BYTES: usize = 64 << 10;

/// Bytes of a request line beside the method and the target: two spaces, the version and the line end.
const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
/// Bytes of a header line beside the name and the value. White space around the value is optional.
const HEADER_LINE_BYTES: usize = ":\r\n".len();
/// Bytes of the empty line that ends a head.
const EMPTY_LINE_BYTES: usize = "\r\n".len();

/// A limit that was replaced.
#[derive(Debug, Clone, Copy)]
struct ReplacedLimit {
    bytes: usize,
    /// Until when callers may still rely on it.
    until: Instant,
}

/// The limit in force, and those before it that callers may still rely on.
#[derive(Debug, Clone)]
pub struct HeadLimit {
    current_bytes: usize,
    replaced: Vec<ReplacedLimit>,
}

impl HeadLimit {
    /// Starts with `initial_bytes` in force.
    pub fn new(initial_bytes: usize) -> Self {
        Self { current_bytes: initial_bytes, replaced: Vec::new() }
    }

    /// Puts a limit in force at `now`. Callers may rely on the earlier ones for `overlap` longer.
    pub fn replace(&mut self, bytes: usize, now: Instant, overlap: Duration) {
        if self.current_bytes == bytes {
            return;
        }
        self.replaced.retain(|known| known.until >= now);
        self.replaced.push(ReplacedLimit { bytes: self.current_bytes, until: now + overlap });
        self.current_bytes = bytes;
    }

    /// The largest limit that may be in force.
    pub fn largest_bytes(&self, now: Instant) -> usize {
        let replaced = self.replaced.iter().filter(|replaced| replaced.until >= now);
        replaced.map(|replaced| replaced.bytes).fold(self.current_bytes, usize::max)
    }
}

/// Length of a request's head, without optional white space, so that no head counts as longer than it was.
pub fn head_bytes(parts: &Parts) -> usize {
    let request_line = parts.method.as_str().len() + target_bytes(&parts.uri) + REQUEST_LINE_BYTES;
    let lines = parts.headers.iter();
    let headers = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    request_line + headers.sum::<usize>() + EMPTY_LINE_BYTES
}

fn target_bytes(target: &Uri) -> usize {
    let scheme = target.scheme_str().map_or(0, |scheme| scheme.len() + "://".len());
    let authority = target.authority().map_or(0, |authority| authority.as_str().len());
    let path = target.path_and_query().map_or(0, |path| path.as_str().len());
    scheme + authority + path
}

impl<W, S> Gateway<W, S> {
    /// Refuses a request whose head is longer than the limit.
    ///
    /// # Errors
    /// The refusal. Like any other denial, it is none for good while the configuration could not be confirmed.
    pub fn check_head(&self, parts: &Parts, now: Instant) -> Result<(), Failure> {
        let limit_bytes = self.head_limit.borrow().largest_bytes(now);
        if head_bytes(parts) <= limit_bytes {
            return Ok(());
        }
        if !self.platform.is_fresh(now) {
            let reason = "the limit of heads could not be confirmed for too long";
            let failure = Failure::before_work(FailureKind::NotReady, reason);
            return Err(failure.retry_after(RETRY_AFTER_NOT_READY));
        }
        let reason = format!("the head is longer than {limit_bytes} bytes");
        Err(Failure::before_work(FailureKind::HeadTooLarge, reason))
    }
}
