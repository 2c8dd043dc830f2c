//! Messages between sillbank's own processes: postcard, with a length in front on TCP.

use crate::gossip::SealKey;
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

/// First message on a connection to a control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// An entry of the same VM; it only comes over loopback.
    Entry(EntryToControl),
    /// A control process of another VM asks for settings.
    Pull(PullRequest),
}

/// Asks for every object newer than a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Drawn for each request; the answer is sealed together with it.
    pub nonce: [u8; 16],
    /// Version after which objects are wanted.
    pub after: Version,
    /// Seal over nonce and version.
    pub seal: [u8; 16],
}

/// One message of the answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedPart {
    /// A [`PullPart`], encoded.
    pub content: Vec<u8>,
    /// Seal over the request's nonce, the part's number and the content.
    pub seal: [u8; 16],
}

/// Some of the objects asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullPart {
    /// Objects, oldest first.
    pub objects: Vec<Object>,
    /// In the last part: every change up to this version was sent.
    pub complete: Option<Version>,
}

impl PullRequest {
    /// A sealed request.
    pub fn new(key: &SealKey, nonce: [u8; 16], after: Version) -> Self {
        let seal = key.seal("pull", &Self::sealed_bytes(&nonce, after));
        Self { nonce, after, seal }
    }

    /// The accepted key that sealed it, if any.
    pub fn key<'a>(&self, keys: &'a [SealKey]) -> Option<&'a SealKey> {
        let bytes = Self::sealed_bytes(&self.nonce, self.after);
        keys.iter().find(|key| key.check("pull", &bytes, &self.seal))
    }

    fn sealed_bytes(nonce: &[u8; 16], after: Version) -> Vec<u8> {
        [&nonce[..], &after.to_le_bytes()].concat()
    }
}

impl SealedPart {
    /// Seals a part of the answer to a request.
    ///
    /// # Errors
    /// [`DecodeError::Malformed`] if it cannot be encoded.
    pub fn new(
        key: &SealKey,
        nonce: &[u8; 16],
        number: u64,
        part: &PullPart,
    ) -> Result<Self, DecodeError> {
        let content =
            postcard::to_stdvec(part).map_err(|e| DecodeError::Malformed(e.to_string()))?;
        let seal = key.seal("part", &Self::sealed_bytes(nonce, number, &content));
        Ok(Self { content, seal })
    }

    /// Checks and decodes a part.
    ///
    /// # Errors
    /// [`DecodeError::Forged`] if the seal does not fit, [`DecodeError::Malformed`] if the
    /// content is no part.
    pub fn open(
        &self,
        key: &SealKey,
        nonce: &[u8; 16],
        number: u64,
    ) -> Result<PullPart, DecodeError> {
        match key.check("part", &Self::sealed_bytes(nonce, number, &self.content), &self.seal) {
            true => decode_frame(&self.content),
            false => Err(DecodeError::Forged),
        }
    }

    fn sealed_bytes(nonce: &[u8; 16], number: u64, content: &[u8]) -> Vec<u8> {
        [&nonce[..], &number.to_le_bytes(), content].concat()
    }
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
    /// The seal fits no accepted key.
    #[error("a message is not sealed with an accepted key; check 'peer_keys' on both VMs")]
    Forged,
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
