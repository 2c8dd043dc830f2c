//! Which connections a server closes while they are idle or while a head arrives, and which it serves.

mod support;

use sillbank_net::prelude::*;
use std::time::Duration;
use support::link::{HALF_OF_A_HEAD, HELD_PATH, REST_OF_A_HEAD, Server};

/// A timeout that no test waits for.
const LONG: Duration = Duration::from_secs(3_600);
/// A timeout that a test waits for. The steps that it must not overtake take microseconds.
const SHORT: Duration = Duration::from_millis(700);
/// A timeout that has passed at each check.
const AT_ONCE: Duration = Duration::from_nanos(1);

/// Guards against a fixed timeout: callers reuse a connection as long as the configuration allows, and got a reset.
#[test]
fn a_connection_that_rests_longer_than_the_initial_timeout_is_served() {
    let server = Server::start(Timeouts::uniform(SHORT));
    let caller = server.connect();
    caller.send_request("/first");
    server.run();
    server.timeouts.replace(Timeouts { idle: LONG, head: LONG }, Duration::ZERO);

    std::thread::sleep(2 * SHORT);
    server.run();
    let is_closed = caller.is_closed();
    caller.send_request("/second");
    server.run();

    assert!(!is_closed);
    assert_eq!(caller.replies(), 2);
}

/// Guards against closing open connections at a shortened timeout that their callers may not know yet.
#[test]
fn a_shortened_timeout_holds_from_the_next_request_on() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    caller.send_request("/first");
    server.run();

    server.timeouts.replace(Timeouts { idle: AT_ONCE, head: LONG }, Duration::ZERO);
    server.run_for(Duration::from_millis(100));
    let is_closed_at_change = caller.is_closed();
    caller.send_request("/second");

    assert!(server.runs_until(|| caller.is_closed()));
    assert!(!is_closed_at_change);
    assert_eq!(caller.replies(), 2);
}

/// Guards against connections that nobody ends although their timeout has passed.
#[test]
fn idle_connections_are_closed_at_their_timeout() {
    let server = Server::start(Timeouts::uniform(Duration::from_millis(1)));
    let (unused, used) = (server.connect(), server.connect());
    used.send_request("/first");

    assert!(server.runs_until(|| unused.is_closed() && used.is_closed()));
    assert_eq!(used.replies(), 1);
}

/// Guards against heads that occupy a connection for as long as it may be idle.
#[test]
fn a_head_that_stops_midway_is_bounded_by_the_head_timeout() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    caller.send_request("/first");
    server.run();
    server.timeouts.replace(Timeouts { idle: LONG, head: AT_ONCE }, Duration::ZERO);

    caller.send(HALF_OF_A_HEAD);

    assert!(server.runs_until(|| caller.is_closed()));
    assert_eq!(caller.replies(), 1);
}

/// Guards against closing a connection on a request whose head is arriving when the idle timeout passes.
#[test]
fn a_head_that_began_before_the_close_is_still_answered() {
    let server = Server::start(Timeouts { idle: SHORT, head: LONG });
    let caller = server.connect();
    caller.send_request("/first");
    server.run();

    std::thread::sleep(2 * SHORT);
    caller.send(HALF_OF_A_HEAD);
    server.run_for(Duration::from_millis(100));
    caller.send(REST_OF_A_HEAD);
    server.run();

    assert_eq!(caller.replies(), 2);
}

/// Guards against closing a connection whose next request has arrived but has not been read.
#[test]
fn a_request_that_arrived_before_the_close_is_answered() {
    let server = Server::start(Timeouts { idle: SHORT, head: LONG });
    let caller = server.connect();
    caller.send_request("/first");
    server.run();

    std::thread::sleep(2 * SHORT);
    caller.send_request("/second");
    server.run();

    assert_eq!(caller.replies(), 2);
}

/// Guards against timeouts that end a request in progress, or a reply that its caller reads slowly.
#[test]
fn a_connection_is_not_idle_before_its_reply_has_been_written() {
    let server = Server::start(Timeouts::uniform(Duration::from_millis(1)));
    let caller = server.connect();
    caller.set_window(1);
    caller.send_request(HELD_PATH);
    server.run_for(Duration::from_millis(100));
    let is_closed_while_served = caller.is_closed();

    server.release_reply();
    server.run_for(Duration::from_millis(100));
    let is_closed_while_written = caller.is_closed();
    caller.set_window(usize::MAX);

    assert!(server.runs_until(|| caller.is_closed()));
    assert!(!is_closed_while_served && !is_closed_while_written);
    assert!(caller.received().ends_with("0\r\n\r\n"), "{}", caller.received());
}

/// Guards against a stopping server that closes a connection on a request whose head is arriving.
#[test]
fn a_stopping_server_answers_a_request_whose_head_has_begun() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    caller.send_request("/first");
    server.run();
    caller.send(HALF_OF_A_HEAD);
    server.run();

    server.stopper.stop();
    server.run_for(Duration::from_millis(100));
    caller.send(REST_OF_A_HEAD);

    assert!(server.runs_until(|| caller.is_closed()));
    assert_eq!(caller.replies(), 2);
}

/// Guards against a stopping server that closes a connection on a request that is on its way, without a reply: its caller
/// did not learn whether it was read.
#[test]
fn a_stopping_server_closes_idle_connections_with_a_reply() {
    let server = Server::start(Timeouts::uniform(LONG));
    let caller = server.connect();
    caller.send_request("/first");
    server.run();

    server.stopper.stop();
    let is_told = server.runs_until(|| caller.received().contains("408 Request Timeout"));
    caller.send_request("/crosses-the-close");

    assert!(is_told && server.runs_until(|| caller.is_closed()));
    assert_eq!(caller.replies(), 1, "{}", caller.received());
    assert!(caller.received().ends_with("\r\n\r\n"));
}

/// Guards against replies of a stopping server that do not say that it closes the connection.
#[test]
fn a_reply_after_the_stop_says_that_the_connection_is_closed() {
    let server = Server::start(Timeouts::uniform(LONG));
    let (unused, busy) = (server.connect(), server.connect());
    busy.send_request(HELD_PATH);
    server.run();
    let is_busy = busy.replies() == 1;

    server.stopper.stop();
    server.run_for(Duration::from_millis(100));
    unused.send_request("/first");
    server.release_reply();

    assert!(is_busy && server.runs_until(|| unused.is_closed() && busy.is_closed()));
    let is_announced = |text: &str| text.contains("connection: close");
    assert!(is_announced(&unused.received()), "{}", unused.received());
    // The head of the other was sent before.
    assert!(busy.received().contains("0\r\n\r\nHTTP/1.1 408"), "{}", busy.received());
}

/// Guards against unused connections and incomplete heads that keep a server from its final stage, or are closed without a
/// reply.
#[test]
fn the_final_stage_closes_all_connections_on_which_nothing_is_served_with_a_reply() {
    let server = Server::start(Timeouts::uniform(LONG));
    let (unused, begun, busy) = (server.connect(), server.connect(), server.connect());
    begun.send(HALF_OF_A_HEAD);
    busy.send_request(HELD_PATH);
    server.run();

    server.stopper.finish();
    let are_closed = server.runs_until(|| unused.is_closed() && begun.is_closed());
    let is_busy = !busy.is_closed();
    server.release_reply();

    assert!(are_closed && is_busy && server.runs_until(|| busy.is_closed()));
    for caller in [&unused, &begun] {
        assert!(caller.received().starts_with("HTTP/1.1 408 "), "{}", caller.received());
    }
    assert!(busy.received().contains("0\r\n\r\n"), "{}", busy.received());
}
