//! Datagrams between control processes.
//!
//! Each is a postcard message with a keyed hash behind it. The key comes from settings; several
//! may be accepted at a time, so that a key can be changed without a gap.

use crate::peer::DecodeError;
use crate::platform::Version;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Longest datagram, in bytes: under the usual MTU with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of the keyed hash.
const SEAL_BYTES: usize = 16;

/// Number of one life of a VM: greater means later. A VM raises it to refute a suspicion.
pub type Incarnation = u64;

/// What a VM is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it may refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is said of one VM. A greater (incarnation, state) is the newer word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name.
    pub vm: VmId,
    /// Data hall.
    pub hall: HallId,
    /// Where its datagrams come.
    pub gossip: SocketAddr,
    /// Where its peers' connections come.
    pub peer: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub state: MemberState,
}

/// What a VM says of itself with every datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Every change of settings up to this version is held.
    pub complete: Version,
    /// Hash over all objects held, so that a gap shows.
    pub digest: u64,
    /// Settings up to this version are in force in the VM's entry.
    pub in_force: Version,
    /// Age of the last word from the platform, direct or through peers, in milliseconds.
    pub platform_age_ms: u32,
    /// Hash over all members known.
    pub members_digest: u64,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Asks for an `Ack` with the same number.
    Ping(u64),
    /// Answers a `Ping`.
    Ack(u64),
    /// Asks the receiver to ping another VM and to pass the `Ack` on.
    PingRequest {
        /// Number that the `Ack` is to carry.
        probe: u64,
        /// Name of the VM to ping.
        target: VmId,
    },
    /// Settings are new: see the summary.
    News,
    /// Asks for all members.
    MembersRequest,
    /// Some of the members, in the updates.
    Members,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub from: MemberUpdate,
    /// Rises with every datagram of one life of the sender; an older one is a replay.
    pub sequence: u64,
    /// What it is for.
    pub message: GossipMessage,
    /// What the sender says of itself.
    pub summary: Summary,
    /// What the sender heard of others.
    pub updates: Vec<MemberUpdate>,
}

/// A key that seals and opens.
#[derive(Clone, PartialEq, Eq)]
pub struct SealKey([u8; 32]);

impl std::fmt::Debug for SealKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SealKey(..)")
    }
}

impl SealKey {
    /// Derives a key from the text in settings.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key("sillbank peer key 2026", text.as_bytes()))
    }

    /// The keyed hash of some bytes for a stated purpose.
    pub fn seal(&self, purpose: &str, bytes: &[u8]) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(purpose.len() as u64).to_le_bytes());
        hasher.update(purpose.as_bytes());
        hasher.update(bytes);
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }

    /// Whether a seal is right. Compares in constant time.
    pub fn check(&self, purpose: &str, bytes: &[u8], seal: &[u8]) -> bool {
        let right = self.seal(purpose, bytes);
        seal.len() == SEAL_BYTES
            && right.iter().zip(seal).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
    }
}

/// Encodes and seals a datagram with the first key.
///
/// # Errors
/// [`DecodeError`] if it cannot be encoded or is over [`MAX_DATAGRAM_BYTES`].
pub fn seal_datagram(datagram: &Datagram, key: &SealKey) -> Result<Vec<u8>, DecodeError> {
    let mut bytes =
        postcard::to_stdvec(datagram).map_err(|e| DecodeError::Malformed(e.to_string()))?;
    let seal = key.seal("datagram", &bytes);
    bytes.extend_from_slice(&seal);
    match bytes.len() > MAX_DATAGRAM_BYTES {
        true => Err(DecodeError::TooLong(bytes.len())),
        false => Ok(bytes),
    }
}

/// Checks a datagram against every accepted key and decodes it.
///
/// # Errors
/// [`DecodeError::Forged`] if no key fits, [`DecodeError`] if it is not a datagram.
pub fn open_datagram(bytes: &[u8], keys: &[SealKey]) -> Result<Datagram, DecodeError> {
    let split = bytes.len().checked_sub(SEAL_BYTES).ok_or(DecodeError::Forged)?;
    let (content, seal) = bytes.split_at(split);
    if !keys.iter().any(|key| key.check("datagram", content, seal)) {
        return Err(DecodeError::Forged);
    }
    postcard::from_bytes(content).map_err(|e| DecodeError::Malformed(e.to_string()))
}
