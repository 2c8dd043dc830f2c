//! Reads and writes the objects of leases.

use crate::platform_client::{PlatformError, WriteAnswer};
use crate::state::Control;
use sillbank_lease::{Candidate, LeaseRecord, LeaseWrite, Moment, WriteOutcome};
use sillbank_protocol::platform::Version;
use std::time::{Duration, Instant, SystemTime};

/// Now, by both clocks.
pub(crate) fn moment() -> Moment {
    Moment::from_clocks(Instant::now(), SystemTime::now())
}

/// Access to leases' objects.
pub(crate) struct LeaseIo<'a> {
    control: &'a Control,
}

impl<'a> LeaseIo<'a> {
    pub(crate) fn new(control: &'a Control) -> Self {
        Self { control }
    }

    /// This VM as a holder.
    pub(crate) fn candidate(&self, term: Duration) -> Candidate {
        Candidate { vm: self.control.settings.vm.clone(), peer: self.control.settings.listen, term }
    }

    /// A new mark.
    pub(crate) fn mark(&self) -> u64 {
        self.control.chance.next_u64()
    }

    /// Reads a lease's object.
    pub(crate) async fn read(
        &self,
        key: &str,
    ) -> Result<Option<(Version, LeaseRecord)>, PlatformError> {
        let Some(object) = self.control.platform.read(key).await? else {
            return Ok(None);
        };
        match object.deleted {
            true => Ok(None),
            false => Ok(Some((object.version, serde_json::from_str(&object.value)?))),
        }
    }

    /// Carries out a write.
    pub(crate) async fn write(&self, key: &str, write: &LeaseWrite) -> WriteOutcome {
        let Ok(value) = serde_json::to_string(&write.record) else {
            return WriteOutcome::Lost;
        };
        match self.control.platform.write(key, write.expected, Some(&value)).await {
            Ok(WriteAnswer::Written(object)) => WriteOutcome::Written(object.version),
            Ok(WriteAnswer::Changed(_)) => WriteOutcome::Changed,
            Err(_) => WriteOutcome::Lost,
        }
    }
}
