//! Retry slots reserved by callers. A caller that retries too early gets no additional slots.

use std::collections::HashMap;
use std::time::Instant;

/// Identifies a caller by a number derived from its key and its connection.
pub type CallerId = u64;

/// Slots that a caller may hold at a time: one for the refused request and one for another request on the same
/// connection. Without a limit, a client that retries at once would move all others back.
const MAX_SLOTS_PER_CALLER: usize = 2;
/// Callers whose slots are stored; further ones are not limited.
const MAX_CALLERS: usize = 1_024;

/// Future retry slots by caller.
#[derive(Debug, Default, Clone)]
pub(super) struct Reservations {
    by_caller: HashMap<CallerId, Vec<Instant>>,
}

impl Reservations {
    /// The last slot of a caller that holds the maximum number of slots; otherwise `None`.
    pub(super) fn last_if_full(
        &mut self,
        now: Instant,
        caller: Option<CallerId>,
    ) -> Option<Instant> {
        let slots = self.by_caller.get_mut(&caller?)?;
        slots.retain(|slot| *slot > now);
        if slots.len() < MAX_SLOTS_PER_CALLER { None } else { slots.last().copied() }
    }

    /// Reserves a slot for a caller.
    pub(super) fn reserve(&mut self, now: Instant, caller: Option<CallerId>, slot: Instant) {
        let Some(caller) = caller else {
            return;
        };
        if self.by_caller.len() >= MAX_CALLERS {
            self.by_caller.retain(|_, slots| slots.iter().any(|slot| *slot > now));
        }
        let has_room = self.by_caller.len() < MAX_CALLERS;
        match self.by_caller.get_mut(&caller) {
            Some(slots) => slots.push(slot),
            None if has_room => {
                self.by_caller.insert(caller, vec![slot]);
            }
            None => {}
        }
    }
}
