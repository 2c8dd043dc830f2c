//! Keys of at-most-once calls, and the slots they belong to.
//!
//! A key chosen by a caller belongs to one of the fleet's slots. A key minted by sillbank names the
//! hall that minted it and the time, and belongs to one of that hall's slots. A hall that is cut
//! off can therefore keep running such calls, and a new holder of a slot can tell which keys were
//! minted after it took over.

use sillbank_core::hash::hash_u64;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::SealKey;

/// Number of slots of the whole fleet, for keys chosen by callers.
pub const FLEET_SLOTS: u64 = 32;
/// Number of slots of each hall, for the keys it mints.
pub const HALL_SLOTS: u64 = 4;
/// Prefix of minted keys.
const MINTED_PREFIX: &str = "sbk1";
/// Number of bytes of its seal that a minted key contains.
const SEAL_BYTES: usize = 8;

/// Name of a slot: `fleet-N` or `hall-NAME-N`.
pub type SlotId = String;

/// A parsed key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallKey {
    /// Hash of organisation and key.
    pub uid: RequestUid,
    /// Slot that it belongs to.
    pub slot: SlotId,
    /// When it was minted, in milliseconds of Unix time; `None` if the caller chose it.
    pub minted_ms: Option<u64>,
}

impl CallKey {
    /// Parses a key sent by a caller. One that looks minted but has an invalid seal counts as
    /// chosen by the caller.
    pub fn parse(organisation: &str, text: &str, keys: &[SealKey]) -> Self {
        let uid = RequestUid::derive(organisation, text);
        match parse_minted(text, keys) {
            Some((hall, minted_ms)) => {
                let slot = format!("hall-{hall}-{}", uid.0 % HALL_SLOTS);
                Self { uid, slot, minted_ms: Some(minted_ms) }
            }
            None => Self { uid, slot: format!("fleet-{}", uid.0 % FLEET_SLOTS), minted_ms: None },
        }
    }
}

/// Mints a key in a hall. The random number `nonce` makes it unique.
pub fn mint(hall: &str, now_ms: u64, nonce: u64, key: &SealKey) -> String {
    let content = format!("{MINTED_PREFIX}_{hall}_{now_ms:x}_{nonce:016x}");
    format!("{content}_{}", seal_text(key, &content))
}

/// Names of all slots that a VM of a hall may hold.
pub fn slot_names(hall: &str) -> Vec<SlotId> {
    let fleet = (0..FLEET_SLOTS).map(|number| format!("fleet-{number}"));
    let own = (0..HALL_SLOTS).map(|number| format!("hall-{hall}-{number}"));
    fleet.chain(own).collect()
}

/// Whether only VMs of one hall may hold a slot.
pub fn is_hall_slot(slot: &str) -> bool {
    slot.starts_with("hall-")
}

/// Hash of a slot's name, to spread work over time.
pub fn slot_hash(slot: &str) -> u64 {
    hash_u64(&[slot])
}

fn parse_minted<'a>(text: &'a str, keys: &[SealKey]) -> Option<(&'a str, u64)> {
    let (content, seal) = text.rsplit_once('_')?;
    let mut parts = content.rsplitn(3, '_');
    let (_nonce, minted, head) = (parts.next()?, parts.next()?, parts.next()?);
    let hall = head.strip_prefix(MINTED_PREFIX)?.strip_prefix('_')?;
    let minted_ms = u64::from_str_radix(minted, 16).ok()?;
    keys.iter().any(|key| seal_text(key, content) == seal).then_some((hall, minted_ms))
}

fn seal_text(key: &SealKey, content: &str) -> String {
    let seal = key.seal("call key", content.as_bytes());
    seal[..SEAL_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}
