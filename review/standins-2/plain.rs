//! Stand-in of a runner of a plain service, as a process of its own: answers with a length, kept channels.

use crate::http::{Reader, answer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

/// Unix time in milliseconds, by which processes of one machine compare moments.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// The whole answer to a request.
pub fn whole_body(request_id: &str) -> Vec<u8> {
    format!("the answer to {request_id}\n").into_bytes()
}

/// Arguments: address, id, milliseconds of work for a request. Writes `arrives TIME ID` and `done TIME ID`.
pub fn run(arguments: &[&str]) -> ExitCode {
    let [address, id, work_ms] = arguments else { return ExitCode::from(2) };
    let Ok(work_ms) = work_ms.parse() else { return ExitCode::from(2) };
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("runner {id}: {error}");
            return ExitCode::from(2);
        }
    };
    for stream in listener.incoming().flatten() {
        let id = (*id).to_owned();
        std::thread::spawn(move || serve(stream, &id, Duration::from_millis(work_ms)));
    }
    ExitCode::SUCCESS
}

fn say(word: &str, request_id: &str) {
    let line = format!("{word} {} {request_id}\n", unix_ms());
    let _ = std::io::stdout().write_all(line.as_bytes());
}

fn serve(stream: TcpStream, id: &str, work: Duration) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message(false) {
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        let is_for_other =
            request.header("x-expect-instance").is_some_and(|expected| expected != id);
        let about = format!("X-Instance-Id: {id}\r\nX-Request-Id: {request_id}\r\n");
        let written = if is_for_other {
            answer(&mut reader.stream, "421 Misdirected Request", &about, b"")
        } else if request_id.is_empty() {
            // A status check.
            answer(&mut reader.stream, "200 OK", &about, b"ok")
        } else {
            say("arrives", &request_id);
            std::thread::sleep(work);
            let headers = format!("{about}X-Response-Seal: seal.{request_id}\r\n");
            let written = answer(&mut reader.stream, "200 OK", &headers, &whole_body(&request_id));
            say("done", &request_id);
            written
        };
        if written.is_err() {
            return;
        }
    }
}
