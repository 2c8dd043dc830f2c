//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// First line, headers with names in lower case, and body of a message.
#[derive(Debug, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.first_line.split(' ').nth(at).unwrap_or("")
    }

    /// Status of a reply; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads first line and headers; `None` if the peer closed the connection before the first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match lines.is_empty() {
                true => Ok(None),
                false => Err(Error::from(ErrorKind::UnexpectedEof)),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']).to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first_line = lines.first().cloned().unwrap_or_default();
    let headers = lines.iter().skip(1).filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Some(Message { first_line, headers: headers.collect(), body: Vec::new() }))
}

/// Reads the body of a message by its length or its chunks. A reply without both ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_reply: bool,
) -> Result<()> {
    if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
        return Ok(());
    }
    match message.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if is_reply => reader.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

/// Reads a chunk; `None` at the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes a reply with a body of known length.
pub fn write_reply(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
