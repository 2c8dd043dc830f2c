//! Splits a byte stream into complete server-sent events.

use crate::wire::EventNumber;
use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event, unchanged.
    pub bytes: Bytes,
    /// Number in the `id` field.
    pub number: Option<EventNumber>,
}

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes; send shorter ones")]
pub struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Leading bytes of the buffer that contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    /// [`EventTooLong`] if the buffered bytes exceed the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(END_CRLF.len() - 1);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let number = parse_number(&bytes);
        Some(SseEvent { bytes, number })
    }

    /// Whether a complete event is buffered.
    pub fn has_complete_event(&self) -> bool {
        self.find_end().is_some()
    }

    /// Number of the first complete event that is buffered; `None` if there is none, or it has no
    /// number.
    pub fn first_number(&self) -> Option<EventNumber> {
        parse_number(&self.buffer[..self.find_end()?])
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched.min(self.buffer.len());
        let tail = &self.buffer[from..];
        (0..tail.len()).find_map(|offset| {
            let suffix = &tail[offset..];
            if suffix.starts_with(END_LF) {
                return Some(from + offset + END_LF.len());
            }
            suffix.starts_with(END_CRLF).then_some(from + offset + END_CRLF.len())
        })
    }
}

/// Names of the fields of an event, with which its lines begin; a line that begins with a colon is a comment.
const FIELDS: [&[u8]; 5] = [b"data", b"id", b"event", b"retry", b":"];

impl SseEvent {
    fn lines(&self) -> impl Iterator<Item = &[u8]> {
        let lines = self.bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.filter(|line| !line.is_empty())
    }

    /// Whether it has data.
    pub fn has_data(&self) -> bool {
        self.lines().any(|line| line.starts_with(b"data"))
    }

    /// Whether it has a field of an event or a comment, or is an empty block.
    pub fn is_event(&self) -> bool {
        let is_field = |line: &[u8]| FIELDS.iter().any(|field| line.starts_with(field));
        self.lines().next().is_none() || self.lines().any(is_field)
    }
}

const END_LF: &[u8] = b"\n\n";
const END_CRLF: &[u8] = b"\r\n\r\n";

fn parse_number(event: &[u8]) -> Option<EventNumber> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
