//! What a caller receives of a streamed reply that is aborted.

mod support;

use sillbank_net::prelude::*;
use std::time::Duration;
use support::link::{ABORTED_AFTER_EVENT_PATH, ABORTED_PATH, Caller, EVENT, Server};

const LONG: Duration = Duration::from_secs(3_600);

/// Whether a caller would take the reply for complete.
fn looks_complete(caller: &Caller) -> bool {
    caller.received().ends_with("0\r\n\r\n")
}

/// Guards against closing a connection without a byte when a stream breaks before its head has been written: the
/// caller got neither an answer nor a refusal.
#[test]
fn the_head_of_a_reply_that_is_aborted_at_once_is_received() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();

    caller.send_request(ABORTED_PATH);

    assert!(server.runs_until(|| caller.is_closed()));
    assert_eq!(caller.replies(), 1, "{}", caller.received());
    assert!(!looks_complete(&caller));
}

/// Guards against losing events that were written before a stream broke and are still buffered by the server.
#[test]
fn events_before_an_abort_are_received() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();

    caller.send_request(ABORTED_AFTER_EVENT_PATH);

    assert!(server.runs_until(|| caller.is_closed()));
    assert!(caller.received().contains(EVENT), "{}", caller.received());
    assert!(!looks_complete(&caller));
}

/// Guards against an abort that discards the rest of what a slow caller is still reading.
#[test]
fn events_before_an_abort_are_received_by_a_slow_caller() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    caller.set_window(1);
    caller.send_request(ABORTED_AFTER_EVENT_PATH);
    server.run();

    let is_closed_early = caller.is_closed();
    caller.set_window(usize::MAX);

    assert!(server.runs_until(|| caller.is_closed()));
    assert!(!is_closed_early);
    assert!(caller.received().contains(EVENT), "{}", caller.received());
    assert!(!looks_complete(&caller));
}
