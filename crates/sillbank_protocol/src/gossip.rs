//! Gossip datagrams between control processes.
//!
//! Each datagram is a postcard message followed by a seal, which is a keyed hash (MAC). The key comes from settings;
//! several keys may be accepted at a time, so that a key can be rotated without downtime.

use crate::peer::DecodeError;
use crate::platform::Version;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// Maximum length of a datagram, in bytes: below the usual MTU of 1500, with a margin for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Length of a seal, in bytes.
const SEAL_BYTES: usize = 16;

/// Incarnation number of a VM; a greater one is newer. A VM increments it to refute a suspicion.
pub type Incarnation = u64;

/// Membership state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The VM responds.
    Alive,
    /// The VM did not respond; it may still refute the suspicion.
    Suspect,
    /// The VM did not refute the suspicion in time.
    Dead,
    /// The VM announced that it leaves.
    Left,
}

/// Update about one VM. The update with the greater (incarnation, state) is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the VM.
    pub vm: VmId,
    /// Data hall of the VM.
    pub hall: HallId,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for connections of peers.
    pub peer: SocketAddr,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// State of the VM.
    pub state: MemberState,
}

/// Summary of the settings and members that a VM holds, sent with every datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// All changes of settings up to this version are held.
    pub complete: Version,
    /// Hash over all objects held, which reveals missing ones.
    pub digest: u64,
    /// Settings up to this version are in force in the entry of the VM.
    pub in_force: Version,
    /// Time since the last answer from the platform, received directly or through peers, in milliseconds.
    pub platform_age_ms: u32,
    /// Hash over all known members.
    pub members_digest: u64,
}

/// Purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Requests an `Ack` with the same number.
    Ping(u64),
    /// Answers a `Ping`.
    Ack(u64),
    /// Requests that the receiver ping another VM and forward the `Ack`.
    PingRequest {
        /// Number that the `Ack` must carry.
        probe: u64,
        /// Name of the VM to ping.
        target: VmId,
    },
    /// Announces new settings, described by the summary.
    News,
    /// Requests all members.
    MembersRequest,
    /// Carries some of the members in its updates.
    Members,
}

/// A gossip datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// State of the sender.
    pub from: MemberUpdate,
    /// Sequence number, increasing with every datagram of an incarnation of the sender. An older one is a replay.
    pub sequence: u64,
    /// Purpose of the datagram.
    pub message: GossipMessage,
    /// Summary of the sender.
    pub summary: Summary,
    /// Updates about other VMs that the sender received.
    pub updates: Vec<MemberUpdate>,
}

/// Key that seals messages and checks seals.
#[derive(Clone, PartialEq, Eq)]
pub struct SealKey([u8; 32]);

impl std::fmt::Debug for SealKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SealKey(..)")
    }
}

impl SealKey {
    /// Derives a key from the text in the settings.
    pub fn from_text(text: &str) -> Self {
        Self(blake3::derive_key("sillbank peer key 2026", text.as_bytes()))
    }

    /// Computes the seal of some bytes for the given purpose.
    pub fn seal(&self, purpose: &str, bytes: &[u8]) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(purpose.len() as u64).to_le_bytes());
        hasher.update(purpose.as_bytes());
        hasher.update(bytes);
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }

    /// Whether a seal is valid. Compares in constant time.
    pub fn check(&self, purpose: &str, bytes: &[u8], seal: &[u8]) -> bool {
        let expected = self.seal(purpose, bytes);
        seal.len() == SEAL_BYTES
            && expected.iter().zip(seal).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
    }
}

/// Encodes and seals a datagram.
///
/// # Errors
/// Returns [`DecodeError`] if it cannot be encoded or exceeds [`MAX_DATAGRAM_BYTES`].
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

/// Checks a datagram against all accepted keys and decodes it.
///
/// # Errors
/// Returns [`DecodeError::Forged`] if no key matches the seal, [`DecodeError::Malformed`] if it is not a datagram.
pub fn open_datagram(bytes: &[u8], keys: &[SealKey]) -> Result<Datagram, DecodeError> {
    let split = bytes.len().checked_sub(SEAL_BYTES).ok_or(DecodeError::Forged)?;
    let (content, seal) = bytes.split_at(split);
    if !keys.iter().any(|key| key.check("datagram", content, seal)) {
        return Err(DecodeError::Forged);
    }
    postcard::from_bytes(content).map_err(|e| DecodeError::Malformed(e.to_string()))
}
