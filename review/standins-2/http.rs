//! Just enough of HTTP/1.1 for servers and clients on loopback.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A head and the bytes of a body that has a length.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its own framing.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Bytes of a connection that were read but not used.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes. Returns false at the end or after an error.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                true
            }
        }
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take_bytes(&mut self, length: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if !self.fill() {
                into.append(&mut self.buffer);
                return false;
            }
        }
        into.extend(self.buffer.drain(..length));
        true
    }

    /// Reads a head; `None` if the connection ends before.
    pub fn head(&mut self) -> Option<Message> {
        let line = self.take_line()?;
        let mut message = Message { line, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a message. An answer without a length ends with its connection, and so is complete.
    pub fn message(&mut self, is_answer: bool) -> Option<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        let mut body = Vec::new();
        message.is_complete = match (is_chunked, length) {
            (true, _) => self.chunks(&mut body),
            (false, Some(length)) => self.take_bytes(length, &mut body),
            (false, None) if is_answer => {
                while self.fill() {}
                body.append(&mut self.buffer);
                true
            }
            (false, None) => true,
        };
        message.body = body;
        Some(message)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.take_line() else { return false };
            let Ok(length) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            else {
                return false;
            };
            if !self.take_bytes(length, body) || self.take_line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}
