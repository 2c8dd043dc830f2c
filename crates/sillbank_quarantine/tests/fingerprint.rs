//! Which requests count as the same one.

use sillbank_quarantine::prelude::*;

fn request() -> RequestParts<'static> {
    RequestParts { host: "h", path: "/a/b?c=d", organisation: Some("alpha"), body: b"hello" }
}

#[test]
fn the_same_path_caller_and_body_make_the_same_request() {
    // Arrange
    let (first, next) = (request(), request());

    // Act
    let fingerprints = (first.fingerprint(), next.fingerprint());

    // Assert
    assert_eq!(fingerprints.0, fingerprints.1);
}

#[test]
fn another_host_path_caller_or_body_makes_another_request() {
    // Arrange
    let others = [
        RequestParts { host: "i", ..request() },
        RequestParts { path: "/a/b", ..request() },
        RequestParts { organisation: Some("beta"), ..request() },
        RequestParts { organisation: None, ..request() },
        RequestParts { body: b"hell", ..request() },
        RequestParts { path: "/a/b?c=dhello", body: b"", ..request() },
    ];

    // Act
    let same = others.iter().filter(|other| other.fingerprint() == request().fingerprint());

    // Assert
    assert_eq!(same.count(), 0);
}
