//! Places that callers hold: one that comes back sooner than it was told gets no further ones.

use std::collections::HashMap;
use std::time::Instant;

/// Number for a caller: its key and its connection.
pub type CallerMark = u64;

/// Places that a caller holds at a time: of the request that was refused, and of one more on the same
/// connection. Without a limit a client that repeats at once moves all others back.
const MOST_PLACES: usize = 2;
/// Callers whose places are remembered; what is refused beyond is not limited.
const MAX_CALLERS: usize = 1_024;

/// Places of callers that are yet to come.
#[derive(Debug, Default, Clone)]
pub(super) struct Places {
    by_caller: HashMap<CallerMark, Vec<Instant>>,
}

impl Places {
    /// The last place of a caller, if it holds all that it may.
    pub(super) fn told(&mut self, now: Instant, caller: Option<CallerMark>) -> Option<Instant> {
        let places = self.by_caller.get_mut(&caller?)?;
        places.retain(|place| *place > now);
        if places.len() < MOST_PLACES { None } else { places.last().copied() }
    }

    /// A caller takes a place.
    pub(super) fn take(&mut self, now: Instant, caller: Option<CallerMark>, place: Instant) {
        let Some(caller) = caller else {
            return;
        };
        if self.by_caller.len() >= MAX_CALLERS {
            self.by_caller.retain(|_, places| places.iter().any(|place| *place > now));
        }
        let has_room = self.by_caller.len() < MAX_CALLERS;
        match self.by_caller.get_mut(&caller) {
            Some(places) => places.push(place),
            None if has_room => {
                self.by_caller.insert(caller, vec![place]);
            }
            None => {}
        }
    }
}
