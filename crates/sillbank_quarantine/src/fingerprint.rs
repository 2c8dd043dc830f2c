//! What tells that two requests are the same one.

use sillbank_core::hash::hash_u128;

/// Hash of what makes requests the same, on every VM alike. Two different requests have the same one with a
/// chance of one in 2^128.
pub type Fingerprint = u128;

/// What makes two requests the same: an engine is given the same work by both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestParts<'a> {
    /// Host of its route.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Organisation of the caller; `None` on a route without keys. Not the key: one that replaces another asks
    /// for the same work.
    pub organisation: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// The request's fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.organisation.unwrap_or_default();
        hash_u128(&[self.host.as_bytes(), self.path.as_bytes(), caller.as_bytes(), self.body])
    }
}
