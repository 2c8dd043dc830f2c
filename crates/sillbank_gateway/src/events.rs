//! Cuts a stream of bytes into whole server-sent events.

use crate::wire::EventNumber;
use bytes::{Bytes, BytesMut};

/// Longest event that is kept while its end has not come.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A whole event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// The number in its `id` field.
    pub number: Option<EventNumber>,
}

/// An event is longer than it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes; send shorter ones")]
pub struct EventTooLong;

/// Holds the bytes of an event until it is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no end was found.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    ///
    /// # Errors
    /// [`EventTooLong`] if they do not end an event for too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(END_CRLF.len() - 1);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let number = read_number(&bytes);
        Some(WholeEvent { bytes, number })
    }

    /// Whether bytes of an event are held whose end has not come.
    pub fn holds_part(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&self) -> Option<usize> {
        let from = self.searched.min(self.buffer.len());
        let tail = &self.buffer[from..];
        (0..tail.len()).find_map(|at| {
            let rest = &tail[at..];
            if rest.starts_with(END_LF) {
                return Some(from + at + END_LF.len());
            }
            rest.starts_with(END_CRLF).then_some(from + at + END_CRLF.len())
        })
    }
}

const END_LF: &[u8] = b"\n\n";
const END_CRLF: &[u8] = b"\r\n\r\n";

fn read_number(event: &[u8]) -> Option<EventNumber> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
