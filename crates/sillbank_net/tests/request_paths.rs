//! Requests to computed paths.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use hyper::Method;
use sillbank_net::client::request_to;

/// Guards against a request whose path is invalid and that is sent to the root path in its place: what it returns there counts
/// as the answer.
#[test]
fn a_request_to_an_invalid_path_is_not_created() {
    for path in
        ["/objects/a b", "/objects/a\n", "/objects/\"<>", "no path", "", &"/a".repeat(40_000)]
    {
        let request = request_to(Method::GET, path, Bytes::new());

        assert!(request.is_err(), "{}", &path[..path.len().min(20)]);
    }
    let request = request_to(Method::GET, "/objects/a%20b?since_rev=c%26", Bytes::new()).unwrap();
    assert_eq!(request.uri().to_string(), "/objects/a%20b?since_rev=c%26");
}
