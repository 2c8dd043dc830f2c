//! Messages between sillbank's own processes: postcard, with a length in front on TCP.

use crate::gossip::SealKey;
use crate::once::{Claim, ClaimAnswer};
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
    /// The answer to a claim.
    ClaimAnswer {
        /// Number of the claim's message.
        id: u64,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The answer to `Mint`.
    Minted {
        /// Number of the message.
        id: u64,
        /// A new key.
        key: String,
    },
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
    /// Claims a caller's key.
    Claim {
        /// Number of the message, for the answer.
        id: u64,
        /// The caller's organisation.
        organisation: OrganisationId,
        /// The key as the caller gave it.
        key: String,
    },
    /// A claimed call has ended.
    ClaimEnded {
        /// The caller's organisation.
        organisation: OrganisationId,
        /// The key as the caller gave it.
        key: String,
        /// The claim.
        claim: u64,
        /// What is known of the call.
        run: RunState,
    },
    /// Asks for a new key.
    Mint {
        /// Number of the message, for the answer.
        id: u64,
    },
}

/// First message on a connection to a control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// An entry of the same VM; it only comes over loopback.
    Entry(EntryToControl),
    /// A control process of another VM asks for something.
    Peer(SealedRequest),
}

/// What one control process asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Every settings object newer than a version; the answer is some [`PullPart`]s.
    Pull {
        /// Version after which objects are wanted.
        after: Version,
    },
    /// Claims a key; the answer is a [`ClaimAnswer`].
    Claim {
        /// Slot of the key.
        slot: String,
        /// The key.
        uid: RequestUid,
        /// When it was minted, in milliseconds since 1970, if sillbank minted it.
        minted_ms: Option<u64>,
    },
    /// A claimed call has ended; the answer is `true`.
    ClaimEnded {
        /// Slot of the key.
        slot: String,
        /// The key.
        uid: RequestUid,
        /// Its claim.
        claim: u64,
        /// What is known of the call.
        run: RunState,
    },
    /// Takes over a slot's claims; the answer is `true` once they are held.
    HandOver {
        /// The slot.
        slot: String,
        /// All its claims.
        claims: Vec<Claim>,
        /// Keys claimed before this moment may be missing.
        complete_from_ms: u64,
    },
}

/// A [`PeerRequest`] under a seal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedRequest {
    /// Drawn for each request; the answer is sealed together with it.
    pub nonce: [u8; 16],
    /// The request, encoded.
    pub content: Vec<u8>,
    /// Seal over nonce and content.
    pub seal: [u8; 16],
}

/// One message of the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedPart {
    /// The answer's part, encoded.
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

impl SealedRequest {
    /// Seals a request.
    ///
    /// # Errors
    /// [`DecodeError::Malformed`] if it cannot be encoded.
    pub fn new(key: &SealKey, nonce: [u8; 16], request: &PeerRequest) -> Result<Self, DecodeError> {
        let content = encode(request)?;
        let seal = key.seal("request", &[&nonce[..], &content].concat());
        Ok(Self { nonce, content, seal })
    }

    /// Checks and decodes the request; answers the accepted key that sealed it, too.
    ///
    /// # Errors
    /// [`DecodeError::Forged`] if no key fits, [`DecodeError::Malformed`] if the content is no
    /// request.
    pub fn open<'a>(&self, keys: &'a [SealKey]) -> Result<(&'a SealKey, PeerRequest), DecodeError> {
        let bytes = [&self.nonce[..], &self.content].concat();
        let key = keys.iter().find(|key| key.check("request", &bytes, &self.seal));
        let key = key.ok_or(DecodeError::Forged)?;
        Ok((key, decode_frame(&self.content)?))
    }
}

impl SealedPart {
    /// Seals a part of the answer to a request.
    ///
    /// # Errors
    /// [`DecodeError::Malformed`] if it cannot be encoded.
    pub fn new<T: Serialize>(
        key: &SealKey,
        nonce: &[u8; 16],
        number: u64,
        part: &T,
    ) -> Result<Self, DecodeError> {
        let content = encode(part)?;
        let seal = key.seal("part", &Self::sealed_bytes(nonce, number, &content));
        Ok(Self { content, seal })
    }

    /// Checks and decodes a part.
    ///
    /// # Errors
    /// [`DecodeError::Forged`] if the seal does not fit, [`DecodeError::Malformed`] if the
    /// content is no part.
    pub fn open<T: for<'a> Deserialize<'a>>(
        &self,
        key: &SealKey,
        nonce: &[u8; 16],
        number: u64,
    ) -> Result<T, DecodeError> {
        match key.check("part", &Self::sealed_bytes(nonce, number, &self.content), &self.seal) {
            true => decode_frame(&self.content),
            false => Err(DecodeError::Forged),
        }
    }

    fn sealed_bytes(nonce: &[u8; 16], number: u64, content: &[u8]) -> Vec<u8> {
        [&nonce[..], &number.to_le_bytes(), content].concat()
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, DecodeError> {
    postcard::to_stdvec(value).map_err(|e| DecodeError::Malformed(e.to_string()))
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
