//! Clients.

use crate::http::{Message, read_body, read_head};
use crate::record::Record;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A request to send.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
}

/// A channel to a VM.
pub struct Channel {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(21)))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Sends a request and reads the whole answer.
    pub fn call(&mut self, call: &Call<'_>) -> Result<Message> {
        let Call { method, path, id, key, deadline_ms } = call;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Key: {key}\r\nContent-Length: 0\r\n\r\n"
        );
        self.writer.write_all(text.as_bytes())?;
        let head = read_head(&mut self.reader)?;
        let mut reply = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut reply, true)?;
        Ok(reply)
    }
}

/// Clients that send requests at an even pace until dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Answer>>>,
}

/// A whole answer that a client got.
pub struct Answer {
    pub id: String,
    pub status: u16,
    pub body: String,
}

/// What a load sends, and where.
#[derive(Clone)]
pub struct LoadPlan {
    pub name: String,
    pub vm: SocketAddr,
    pub path: &'static str,
    pub clients: u64,
    pub pause: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Load {
    pub fn start(plan: &LoadPlan, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let (plan, record, stop) = (plan.clone(), record.clone(), stop.clone());
            std::thread::spawn(move || {
                std::thread::sleep(plan.pause.mul_f64(number as f64 / plan.clients as f64));
                run_client(&plan, &record, &stop)
            })
        };
        let threads = (0..plan.clients).map(start).collect();
        Self { stop, threads }
    }

    /// Stops after the requests under way. Returns all answers.
    pub fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        let join = |thread: JoinHandle<Vec<Answer>>| thread.join().expect("no panic");
        self.threads.into_iter().flat_map(join).collect()
    }
}

fn run_client(plan: &LoadPlan, record: &Record, stop: &AtomicBool) -> Vec<Answer> {
    let (mut channel, mut answers) = (None, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let next = Instant::now() + plan.pause;
        let id = format!("{}-{}", plan.name, NEXT_ID.fetch_add(1, Ordering::Relaxed));
        if channel.is_none() {
            channel = Channel::open(plan.vm).ok();
        }
        if let Some(open) = &mut channel {
            let call =
                Call { method: "GET", path: plan.path, id: &id, key: "key-1", deadline_ms: 20_000 };
            record.line(&format!("client: sends {id}"));
            match open.call(&call) {
                Ok(reply) => {
                    let status = reply.status();
                    record.line(&format!("client: {id} got {status}"));
                    let body = String::from_utf8_lossy(&reply.body).into_owned();
                    answers.push(Answer { id: id.clone(), status, body });
                    if reply.header("connection").is_some_and(|value| value == "close") {
                        channel = None;
                    }
                }
                Err(error) => {
                    record.line(&format!("client: {id} got no answer: {error}"));
                    channel = None;
                }
            }
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    answers
}
