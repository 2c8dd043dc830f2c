//! Runners of a plain service.

use crate::http::{Message, read_body, read_head, write_reply};
use crate::record::Record;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that a runner ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// A runner; clones share its state.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    /// Starts a runner that works on each request for a time.
    pub fn start(id: &str, address: SocketAddr, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind(address).expect("the runner's address is free");
        let address = listener.local_addr().expect("it is bound");
        let (id, record, runs) = (id.to_owned(), record.clone(), Arc::default());
        let runner = Self { id, address, work, record, runs };
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        runner
    }

    /// The entry that the runner keeps in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        let address = self.address;
        format!(
            r#"{{"backend":"{service}","address":"{address}","zone":"{zone}","config_version":"v1","slots":6,"state":"{state}","cold_left_ms":0,"seq":1}}"#
        )
    }

    /// What the runner ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).expect("a socket");
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            if self.answer(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        if request.word(1) == "/healthz" {
            return write_reply(writer, "200 OK", &[("X-Instance-Id", &self.id)], b"");
        }
        let Some(id) = request.header("x-request-id") else {
            let headers = [("X-Not-Executed", "1")];
            return write_reply(writer, "400 Bad Request", &headers, b"");
        };
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Id", id), ("X-Instance-Id", &self.id)];
            return write_reply(writer, "421 Misdirected Request", &headers, b"");
        }
        let at = Instant::now();
        self.record.line_at(at, &format!("runner {}: runs {id}", self.id));
        self.runs.lock().expect("no panic").push(Run { id: id.to_owned(), at });
        std::thread::sleep(self.work);
        let seal = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id), ("X-Response-Seal", seal.as_str())];
        write_reply(writer, "200 OK", &headers, format!("the answer to {id}").as_bytes())
    }
}
