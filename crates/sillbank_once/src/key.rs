//! Keys of calls not to be repeated, and the slots they belong to.
//!
//! A caller's own key belongs to one of the fleet's slots. A key minted by sillbank names the
//! hall that minted it and the time, and belongs to one of that hall's slots, so that a hall cut
//! off can go on; and a new holder can tell that it is newer than its own term.

use sillbank_core::hash::hash_u64;
use sillbank_core::prelude::*;
use sillbank_protocol::gossip::SealKey;

/// Slots of the whole fleet, for callers' own keys.
pub const FLEET_SLOTS: u64 = 32;
/// Slots of each hall, for the keys it minted.
pub const HALL_SLOTS: u64 = 4;
/// What a minted key begins with.
const MINTED: &str = "sbk1";
/// Bytes of a minted key's seal that stand in it.
const SEAL_BYTES: usize = 8;

/// Name of a slot: `fleet-N` or `hall-NAME-N`.
pub type SlotId = String;

/// A key, as far as it can be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallKey {
    /// Organisation and key as one hash.
    pub uid: RequestUid,
    /// Slot it belongs to.
    pub slot: SlotId,
    /// When it was minted, in milliseconds since 1970, if sillbank minted it.
    pub minted_ms: Option<u64>,
}

impl CallKey {
    /// Reads a caller's key. One that looks minted but has a wrong seal is a caller's own.
    pub fn read(organisation: &str, text: &str, keys: &[SealKey]) -> Self {
        let uid = RequestUid::derive(organisation, text);
        match read_minted(text, keys) {
            Some((hall, minted_ms)) => {
                let slot = format!("hall-{hall}-{}", uid.0 % HALL_SLOTS);
                Self { uid, slot, minted_ms: Some(minted_ms) }
            }
            None => Self { uid, slot: format!("fleet-{}", uid.0 % FLEET_SLOTS), minted_ms: None },
        }
    }
}

/// Mints a key in a hall. `draw` makes it unique.
pub fn mint(hall: &str, now_ms: u64, draw: u64, key: &SealKey) -> String {
    let content = format!("{MINTED}_{hall}_{now_ms:x}_{draw:016x}");
    format!("{content}_{}", seal_text(key, &content))
}

/// All slots that a VM of a hall may hold.
pub fn slot_names(hall: &str) -> Vec<SlotId> {
    let fleet = (0..FLEET_SLOTS).map(|number| format!("fleet-{number}"));
    let own = (0..HALL_SLOTS).map(|number| format!("hall-{hall}-{number}"));
    fleet.chain(own).collect()
}

/// Whether only VMs of one hall may hold a slot.
pub fn is_hall_slot(slot: &str) -> bool {
    slot.starts_with("hall-")
}

/// A number for a slot, to spread work over time.
pub fn slot_hash(slot: &str) -> u64 {
    hash_u64(&[slot])
}

fn read_minted<'a>(text: &'a str, keys: &[SealKey]) -> Option<(&'a str, u64)> {
    let (content, seal) = text.rsplit_once('_')?;
    let mut parts = content.rsplitn(3, '_');
    let (_draw, minted, head) = (parts.next()?, parts.next()?, parts.next()?);
    let hall = head.strip_prefix(MINTED)?.strip_prefix('_')?;
    let minted_ms = u64::from_str_radix(minted, 16).ok()?;
    keys.iter().any(|key| seal_text(key, content) == seal).then_some((hall, minted_ms))
}

fn seal_text(key: &SealKey, content: &str) -> String {
    let seal = key.seal("call key", content.as_bytes());
    seal[..SEAL_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
}
