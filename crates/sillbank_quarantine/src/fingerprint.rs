//! Identifies equal requests.

use sillbank_core::hash::hash_u128;

/// Hash of the identity of a request, equal on every VM. Two different requests collide with a probability of one in
/// 2^128.
pub type Fingerprint = u128;

/// Identity of a request: two requests with equal identities give an engine the same work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// Host of its route.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Organisation of the caller; `None` on a route without keys. The key itself is not part of the identity, because
    /// a key that replaces another is used for the same work.
    pub organisation: Option<&'a str>,
    /// Whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.organisation.unwrap_or_default();
        hash_u128(&[self.host.as_bytes(), self.path.as_bytes(), caller.as_bytes(), self.body])
    }
}
