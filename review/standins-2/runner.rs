//! Stand-in of a runner of a plain service, as a process of its own.
//!
//! Its answers have no length and end with their channel. It sends what it has as it works.

use crate::http::{Reader, answer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Pieces of an answer.
pub const PIECES: usize = 8;
/// Bytes of a piece.
pub const PIECE_BYTES: usize = 100;

/// The whole answer to a request.
pub fn whole_body(request_id: &str) -> Vec<u8> {
    (0..PIECES).flat_map(|number| piece(request_id, number)).collect()
}

fn piece(request_id: &str, number: usize) -> Vec<u8> {
    let mut text = format!("{request_id} piece {number} of {PIECES} ").into_bytes();
    text.resize(PIECE_BYTES - 1, b'.');
    text.push(b'\n');
    text
}

/// Arguments: address, id, milliseconds between pieces.
pub fn run(arguments: &[&str]) -> ExitCode {
    let [address, id, piece_ms] = arguments else { return ExitCode::from(2) };
    let Ok(piece_ms) = piece_ms.parse() else { return ExitCode::from(2) };
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("runner {id}: {error}");
            return ExitCode::from(2);
        }
    };
    for stream in listener.incoming().flatten() {
        let id = (*id).to_owned();
        std::thread::spawn(move || serve(stream, &id, Duration::from_millis(piece_ms)));
    }
    ExitCode::SUCCESS
}

fn serve(stream: TcpStream, id: &str, pause: Duration) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message(false) {
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        let is_for_other =
            request.header("x-expect-instance").is_some_and(|expected| expected != id);
        let about = format!("X-Instance-Id: {id}\r\nX-Request-Id: {request_id}\r\n");
        if is_for_other {
            println!("421 {request_id}");
            if answer(&mut reader.stream, "421 Misdirected Request", &about, b"").is_err() {
                return;
            }
            continue;
        }
        if request_id.is_empty() {
            // A status check.
            if answer(&mut reader.stream, "200 OK", &about, b"ok").is_err() {
                return;
            }
            continue;
        }
        println!("runs {request_id}");
        let head = format!("HTTP/1.1 200 OK\r\n{about}X-Response-Seal: seal.{request_id}\r\n\r\n");
        if reader.stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 0..PIECES {
            if reader.stream.write_all(&piece(&request_id, number)).is_err() {
                return;
            }
            std::thread::sleep(pause);
        }
        println!("done {request_id}");
        return;
    }
}
