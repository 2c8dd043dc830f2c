//! Reads and writes lease objects on the platform.

use crate::platform_client::{PlatformError, WriteReply};
use crate::state::Control;
use sillbank_lease::{Candidate, LeaseRecord, LeaseWrite, Moment, WriteOutcome};
use sillbank_protocol::platform::Version;
use std::time::{Duration, Instant, SystemTime};

/// The current time, on the monotonic and the wall clock.
pub(crate) fn moment() -> Moment {
    Moment::from_clocks(Instant::now(), SystemTime::now())
}

/// Access to lease objects.
pub(crate) struct LeaseIo<'a> {
    control: &'a Control,
}

impl<'a> LeaseIo<'a> {
    pub(crate) fn new(control: &'a Control) -> Self {
        Self { control }
    }

    /// This VM as a candidate for a lease with the given term.
    pub(crate) fn candidate(&self, term: Duration) -> Candidate {
        Candidate { vm: self.control.settings.vm.clone(), peer: self.control.settings.listen, term }
    }

    /// A random mark that identifies one write.
    pub(crate) fn new_mark(&self) -> u64 {
        self.control.rng.next_u64()
    }

    /// Reads a lease object; `None` if it does not exist or is deleted.
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

    /// Performs a conditional write of a lease object.
    pub(crate) async fn write(&self, key: &str, write: &LeaseWrite) -> WriteOutcome {
        let Ok(value) = serde_json::to_string(&write.record) else {
            return WriteOutcome::Lost;
        };
        match self.control.platform.write(key, write.expected, Some(&value)).await {
            Ok(WriteReply::Written(object)) => WriteOutcome::Written(object.version),
            Ok(WriteReply::Changed(_)) => WriteOutcome::Changed,
            Err(_) => WriteOutcome::Lost,
        }
    }
}
