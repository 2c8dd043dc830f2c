//! Tests of which requests count as equal.

use sillbank_quarantine::prelude::*;

fn request() -> RequestIdentity<'static> {
    RequestIdentity { host: "h", path: "/a/b?c=d", organisation: Some("alpha"), body: b"hello" }
}

/// Requests with the same path, caller and body have the same fingerprint.
#[test]
fn equal_requests_have_equal_fingerprints() {
    // Arrange
    let (first, next) = (request(), request());

    // Act
    let fingerprints = (first.fingerprint(), next.fingerprint());

    // Assert
    assert_eq!(fingerprints.0, fingerprints.1);
}

/// A different host, path, caller or body gives a different fingerprint, also if parts only move between fields.
#[test]
fn different_requests_have_different_fingerprints() {
    // Arrange
    let others = [
        RequestIdentity { host: "i", ..request() },
        RequestIdentity { path: "/a/b", ..request() },
        RequestIdentity { organisation: Some("beta"), ..request() },
        RequestIdentity { organisation: None, ..request() },
        RequestIdentity { body: b"hell", ..request() },
        RequestIdentity { path: "/a/b?c=dhello", body: b"", ..request() },
    ];

    // Act
    let same = others.iter().filter(|other| other.fingerprint() == request().fingerprint());

    // Assert
    assert_eq!(same.count(), 0);
}
