//! Messages between the processes of sillbank: length-prefixed postcard over TCP.

use crate::gossip::SealKey;
use crate::once::{Claim, ClaimAnswer};
use crate::platform::{Object, Version};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// Maximum length of a frame, in bytes: one object of the largest size that the platform allows, and its envelope.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// Message from a control process to the entry processes of its VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlToEntry {
    /// Settings objects that are new to the entry.
    Objects(Vec<Object>),
    /// All objects that control held when the entry connected have been sent; the settings are complete up to this
    /// version.
    Synced(Version),
    /// The answer to a claim.
    ClaimAnswer {
        /// Message number of the claim.
        id: u64,
        /// Answer to the claim.
        answer: ClaimAnswer,
    },
    /// The answer to [`EntryToControl::Mint`].
    Minted {
        /// Message number of the request.
        id: u64,
        /// A new key.
        key: String,
    },
}

/// Message from an entry process to the control process of its VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryToControl {
    /// First message of a connection.
    Hello {
        /// VM of both processes.
        vm: VmId,
        /// Newest version that the entry holds; control sends the objects after it.
        after: Version,
    },
    /// All settings up to this version are in force in the entry.
    InForce(Version),
    /// Claims the key of a caller.
    Claim {
        /// Message number, repeated in the answer.
        id: u64,
        /// Organisation of the caller.
        organisation: OrganisationId,
        /// Key as sent by the caller.
        key: String,
    },
    /// Reports that a claimed call has ended.
    ClaimEnded {
        /// Organisation of the caller.
        organisation: OrganisationId,
        /// Key as sent by the caller.
        key: String,
        /// The claim.
        claim: u64,
        /// Whether the call ran, as far as is known.
        run: RunState,
    },
    /// Requests a new key.
    Mint {
        /// Message number, repeated in the answer.
        id: u64,
    },
}

/// First message on a connection to a control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// From an entry process of the same VM, accepted only over loopback.
    Entry(EntryToControl),
    /// From a control process of another VM.
    Peer(SealedRequest),
}

/// Request from one control process to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests every settings object newer than a version; the answer is a sequence of [`PullPart`]s.
    Pull {
        /// Version after which objects are requested.
        after: Version,
    },
    /// Claims a key; the answer is a [`ClaimAnswer`].
    Claim {
        /// Slot of the key.
        slot: String,
        /// The key.
        uid: RequestUid,
        /// Time at which sillbank minted the key, in milliseconds since the Unix epoch, if it did.
        minted_ms: Option<u64>,
    },
    /// Reports that a claimed call has ended; the answer is `true`.
    ClaimEnded {
        /// Slot of the key.
        slot: String,
        /// The key.
        uid: RequestUid,
        /// The claim.
        claim: u64,
        /// Whether the call ran, as far as is known.
        run: RunState,
    },
    /// Hands over the claims of a slot to the receiver; the answer is `true` once it holds them.
    HandOver {
        /// The slot.
        slot: String,
        /// All claims of the slot.
        claims: Vec<Claim>,
        /// Time before which claims may be missing, in milliseconds since the Unix epoch.
        complete_from_ms: u64,
    },
}

/// A sealed [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedRequest {
    /// Random number of the request, included in the seals of the answer.
    pub nonce: [u8; 16],
    /// Encoded request.
    pub content: Vec<u8>,
    /// Seal over nonce and content.
    pub seal: [u8; 16],
}

/// A sealed message of the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedPart {
    /// Encoded part of the answer.
    pub content: Vec<u8>,
    /// Seal over the nonce of the request, the number of the part and the content.
    pub seal: [u8; 16],
}

/// Part of the objects requested by [`PeerRequest::Pull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullPart {
    /// Objects, oldest version first.
    pub objects: Vec<Object>,
    /// Set in the last part: all changes up to this version have been sent.
    pub complete: Option<Version>,
}

impl SealedRequest {
    /// Seals a request.
    ///
    /// # Errors
    /// Returns [`DecodeError::Malformed`] if it cannot be encoded.
    pub fn new(key: &SealKey, nonce: [u8; 16], request: &PeerRequest) -> Result<Self, DecodeError> {
        let content = encode(request)?;
        let seal = key.seal("request", &[&nonce[..], &content].concat());
        Ok(Self { nonce, content, seal })
    }

    /// Checks and decodes the request. Returns it with the accepted key that sealed it.
    ///
    /// # Errors
    /// Returns [`DecodeError::Forged`] if no key matches the seal, [`DecodeError::Malformed`] if the content is not a
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
    /// Returns [`DecodeError::Malformed`] if it cannot be encoded.
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
    /// Returns [`DecodeError::Forged`] if the seal is invalid, [`DecodeError::Malformed`] if the content is not a `T`.
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

/// Error of encoding or decoding a frame or datagram.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length exceeds the limit.
    #[error("a frame of {0} bytes is over the limit; check that the peer is sillbank")]
    TooLong(usize),
    /// The content is not the expected message.
    #[error("a frame is not readable ({0}); check that both sides run compatible versions")]
    Malformed(String),
    /// The seal matches no accepted key.
    #[error("a message is not sealed with an accepted key; check 'peer_keys' on both VMs")]
    Forged,
}

/// Encodes a message as a length-prefixed frame.
///
/// # Errors
/// Returns [`DecodeError::Malformed`] if the message cannot be encoded, [`DecodeError::TooLong`] if it exceeds
/// [`MAX_FRAME_BYTES`].
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

/// Decodes and checks the length prefix of a frame.
///
/// # Errors
/// Returns [`DecodeError::TooLong`] if it exceeds [`MAX_FRAME_BYTES`].
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
/// Returns [`DecodeError::Malformed`] if it is not an encoded `M`.
pub fn decode_frame<M: for<'a> Deserialize<'a>>(content: &[u8]) -> Result<M, DecodeError> {
    postcard::from_bytes(content).map_err(|e| DecodeError::Malformed(e.to_string()))
}

/// Decodes a message and its extension, encoded as a pair. A peer of an older version sends the message alone, in which
/// case the extension has its default value, and reads the message alone.
///
/// # Errors
/// Returns [`DecodeError::Malformed`] if it is not an encoded `M`, or is followed by anything but an encoded `E`.
pub fn decode_extended_frame<M, E>(content: &[u8]) -> Result<(M, E), DecodeError>
where
    M: for<'a> Deserialize<'a>,
    E: for<'a> Deserialize<'a> + Default,
{
    let malformed = |e: postcard::Error| DecodeError::Malformed(e.to_string());
    let (message, rest) = postcard::take_from_bytes(content).map_err(malformed)?;
    match rest.is_empty() {
        true => Ok((message, E::default())),
        false => Ok((message, postcard::from_bytes(rest).map_err(malformed)?)),
    }
}
