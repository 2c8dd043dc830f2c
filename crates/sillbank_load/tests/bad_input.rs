//! Bad input gets a typed error or is ended at its limit, and other requests are not affected.
#![allow(clippy::unwrap_used)]

mod support;

use sillbank_load::fleet::OPERATOR_KEY;
use sillbank_load::mix::{organisation_key, organisation_name};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::fleet::Fleet;

/// Timeout of a wait; a longer one is a hang. It does not bound the speed: on a busy machine a long
/// answer takes half a minute to fill every buffer on its way.
const WAIT_TIMEOUT: Duration = Duration::from_secs(300);
/// Polling interval, long enough that polling does not take processor time from the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Settings of the entry with short limits.
const LIMITS: &str = "max_body_bytes = 4096\nmax_head_bytes = 8192\nhead_timeout_ms = 300\n\
                      body_timeout_ms = 300\nstream_buffer_bytes = 2048\ncaller_stall_ms = 300\n";

/// Starts a fleet of one VM with short limits and waits until it serves requests.
fn fleet() -> Fleet {
    let mut fleet = Fleet::prepare(|arguments| {
        arguments.vms = 1;
        arguments.engines = 6;
        arguments.cost_factor = 0.0;
    });
    fleet.append("entry0.toml", LIMITS);
    let longer = "max_answer_tokens = 100000\ndeadline_ms = 3600000";
    fleet.replace("objects/fleet.toml", "deadline_ms = 60000", longer);
    fleet.start_all();
    let folder = fleet.folder.join("objects");
    let control = fleet.addresses.control_admins[0];
    wait_for(control, "/readyz");
    fleet.run_program(
        "sillbank",
        &["apply", &folder.display().to_string()],
        &[("SILLBANK_CONTROL", &control.to_string()), ("SILLBANK_KEY", OPERATOR_KEY)],
    );
    wait_for(fleet.addresses.entry_admins[0], "/readyz");
    // A successful request shows that the chain is connected.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !valid_request(&fleet).starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < deadline, "no valid request is answered");
    }
    fleet
}

fn wait_for(address: SocketAddr, path: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    while !TcpStream::connect(address)
        .is_ok_and(|stream| exchange_on(stream, request.as_bytes()).starts_with("HTTP/1.1 200"))
    {
        assert!(Instant::now() < deadline, "{address}{path}");
        std::thread::yield_now();
    }
}

/// Sends bytes to the entry and reads until it closes the connection.
fn exchange(fleet: &Fleet, bytes: &[u8]) -> String {
    exchange_on(TcpStream::connect(fleet.addresses.entries[0]).unwrap(), bytes)
}

fn exchange_on(mut stream: TcpStream, bytes: &[u8]) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

fn key() -> String {
    organisation_key(&organisation_name("market", 0))
}

fn post(path: &str, key: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn chat(model: &str) -> String {
    format!(
        "{{\"model\":\"{model}\",\"max_tokens\":5,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"one two three\"}}]}}"
    )
}

fn valid_request(fleet: &Fleet) -> String {
    exchange(fleet, post("/v1/chat/completions", &key(), "", &chat("summaries")).as_bytes())
}

fn assert_failure(answer: &str, status: u16, code: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    for wanted in [code, "\"run\":\"not_run\"", "\"remedy\":"] {
        assert!(answer.contains(wanted), "{wanted} is not in {answer}");
    }
}

/// Each kind of bad request gets its status and error code, and a valid request still succeeds.
#[test]
fn bad_input_gets_a_typed_error_and_does_not_affect_other_requests() {
    let fleet = fleet();
    let path = "/v1/chat/completions";
    let valid = chat("summaries");
    let long = format!("{{\"model\":\"{}\"}}", "x".repeat(5000));
    let cases: Vec<(&str, String, u16, &str)> = vec![
        ("no JSON", post(path, &key(), "", "{"), 400, "SB0001"),
        ("no messages", post(path, &key(), "", "{\"model\":\"summaries\"}"), 400, "SB0001"),
        (
            "empty prompt",
            post(path, &key(), "", &valid.replace("one two three", " ")),
            400,
            "SB0001",
        ),
        ("long body", post(path, &key(), "", &long), 413, "SB0002"),
        ("unknown key", post(path, "nobody", "", &valid), 401, "SB0003"),
        ("no key", post(path, "", "", &valid).replace("authorization", "x-none"), 401, "SB0003"),
        ("unknown pipeline", post(path, &key(), "", &chat("none")), 404, "SB0004"),
        ("another's pipeline", post(path, &key(), "", &chat("drafts")), 404, "SB0004"),
        ("another's service", post("/v1/services/alerts/x", &key(), "", "{}"), 404, "SB0004"),
        ("unknown path", post("/v1/none", &key(), "", &valid), 404, "SB0005"),
        ("bad deadline", post(path, &key(), "x-deadline-ms: soon\r\n", &valid), 400, "SB0001"),
        ("bad position", post(path, &key(), "last-event-id: -1\r\n", &valid), 400, "SB0001"),
        ("empty id", post(path, &key(), "x-request-id: \r\n", &valid), 400, "SB0001"),
        ("no time", post(path, &key(), "x-deadline-ms: 0\r\n", &valid), 504, "SB0008"),
    ];
    for (name, request, status, code) in cases {
        println!("case: {name}");
        let answer = exchange(&fleet, request.as_bytes());

        assert_failure(&answer, status, code);
    }
    assert!(valid_request(&fleet).starts_with("HTTP/1.1 200"));
}

/// The failure of an unknown key does not tell whether a pipeline exists.
#[test]
fn an_unknown_key_does_not_reveal_which_pipelines_exist() {
    let fleet = fleet();
    let path = "/v1/chat/completions";

    let known = exchange(&fleet, post(path, "nobody", "", &chat("summaries")).as_bytes());
    let unknown = exchange(&fleet, post(path, "nobody", "", &chat("none")).as_bytes());

    let body = |answer: &str| answer.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
    assert_eq!(body(&known), body(&unknown));
}

/// A request head over its limit is refused, and a valid request still succeeds.
#[test]
fn an_oversized_head_is_refused() {
    let fleet = fleet();
    let headers = format!("x-long: {}\r\n", "y".repeat(20_000));

    let answer = exchange(&fleet, post("/v1/chat/completions", &key(), &headers, "{}").as_bytes());

    assert!(answer.starts_with("HTTP/1.1 431") || answer.is_empty(), "{answer}");
    assert!(valid_request(&fleet).starts_with("HTTP/1.1 200"));
}

/// A request whose head or body stops halfway is ended at its timeout and does not run.
#[test]
fn an_incomplete_request_is_ended_at_its_timeout() {
    let fleet = fleet();
    let whole = post("/v1/chat/completions", &key(), "", &chat("summaries"));

    let half_head = exchange(&fleet, &whole.as_bytes()[..20]);
    let half_body = exchange(&fleet, &whole.as_bytes()[..whole.len() - 10]);

    assert!(!half_head.contains("200 OK"), "{half_head}");
    assert_failure(&half_body, 408, "SB0016");
    assert!(valid_request(&fleet).starts_with("HTTP/1.1 200"));
}

/// A caller that stops reading is disconnected after its stall limit, and its request ends, which
/// releases its engines.
///
/// Guards against two hangs under load. Late replies of an engine that was found silent and got its
/// stages back were taken for replies to the new steps (see the script
/// `stage_back_at_a_late_engine`). And the system's socket buffers, up to 4 MB, sometimes took the
/// whole answer, so the caller was never found stalled: `sillbank_entry_stalled_callers_total` was 0
/// with the answer no longer in flight, after one to three of the eight losses that it may survive.
/// When the answer did stall, the buffers held 16,300 of its 17,708 tokens (3.17 MB), or 3,941,468
/// bytes of 3,939,840 allowed according to `ss -tm`.
#[test]
fn a_caller_that_stops_reading_is_disconnected_and_its_engines_are_released() {
    let fleet = fleet();
    let id = long_answer_id();
    let body =
        chat("summaries").replace("\"max_tokens\":5", "\"max_tokens\":60000,\"stream\":true");
    let headers = format!("x-request-id: {id}\r\n");
    let mut stream = TcpStream::connect(fleet.addresses.entries[0]).unwrap();
    stream.write_all(post("/v1/chat/completions", &key(), &headers, &body).as_bytes()).unwrap();

    // The caller reads nothing at all.
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while metric(&fleet, "sillbank_entry_stalled_callers_total") == 0 {
        assert!(Instant::now() < deadline, "the caller was never disconnected");
        assert!(
            valid_request(&fleet).starts_with("HTTP/1.1 200"),
            "other requests are not affected"
        );
        std::thread::sleep(POLL_INTERVAL);
    }

    while metric(&fleet, "sillbank_entry_in_flight") > 0 {
        assert!(Instant::now() < deadline, "its request stayed in flight");
    }
}

/// Returns a request id whose answer is long enough to fill every buffer on its way.
fn long_answer_id() -> String {
    use sillbank_core::prelude::*;
    let prompt = sillbank_model::tokenize("one two three");
    let organisation = organisation_name("market", 0);
    let is_long = |id: &String| {
        let seed = RequestUid::derive(&organisation, id).seed();
        sillbank_model::reference_answer(&prompt, 24, seed, 14_000).len() == 14_000
    };
    (0..).map(|number| format!("long-{number}")).find(is_long).unwrap()
}

/// Returns a counter of the entry, or 0 if it is missing.
fn metric(fleet: &Fleet, name: &str) -> u64 {
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let stream = TcpStream::connect(fleet.addresses.entry_admins[0]).unwrap();
    let text = exchange_on(stream, request.as_bytes());
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
