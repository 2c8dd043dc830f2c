//! Messages between sillbank's own processes: postcard, with a length in front on TCP.

use crate::platform::{Object, Version};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// Longest accepted frame, in bytes: one object of the platform's largest size and its envelope.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// From a control process to the entry processes of its VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlToEntry {
    /// Settings objects that are new to the entry.
    Objects(Vec<Object>),
    /// All that control knew when the entry came was sent; the settings reach up to this version.
    Synced(Version),
}

/// From an entry process to the control process of its VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryToControl {
    /// First message: who speaks, and the newest version it holds.
    Hello {
        /// VM of both processes.
        vm: VmId,
        /// Newest version held; control sends what came after it.
        after: Version,
    },
    /// All settings up to this version are in force in the entry.
    InForce(Version),
}

/// A frame that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length in front is over the limit.
    #[error("a frame of {0} bytes is over the limit; check that the peer is sillbank")]
    TooLong(usize),
    /// The content is not the expected message.
    #[error("a frame is not readable ({0}); check that both sides run compatible versions")]
    Malformed(String),
}

/// Encodes a message with its length in front.
///
/// # Errors
/// [`DecodeError::Malformed`] if the message cannot be encoded, [`DecodeError::TooLong`] if it
/// is over [`MAX_FRAME_BYTES`].
pub fn encode_frame<M: Serialize>(message: &M) -> Result<Vec<u8>, DecodeError> {
    let mut frame = postcard::to_extend(message, vec![0; 4])
        .map_err(|e| DecodeError::Malformed(e.to_string()))?;
    let length = frame.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLong(length));
    }
    frame[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(frame)
}

/// Checks the length in front of a frame.
///
/// # Errors
/// [`DecodeError::TooLong`] over [`MAX_FRAME_BYTES`].
pub fn decode_length(header: [u8; 4]) -> Result<usize, DecodeError> {
    let length = u32::from_le_bytes(header) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLong(length));
    }
    Ok(length)
}

/// Decodes the content of a frame.
///
/// # Errors
/// [`DecodeError::Malformed`] if it is not such a message.
pub fn decode_frame<M: for<'a> Deserialize<'a>>(content: &[u8]) -> Result<M, DecodeError> {
    postcard::from_bytes(content).map_err(|e| DecodeError::Malformed(e.to_string()))
}
