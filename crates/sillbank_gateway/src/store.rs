//! The platform's store, as far as the gateway uses it.

use crate::revision::{Era, Revision};
use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_lease::{LeaseRecord, LeaseWrite, WriteOutcome};
use sillbank_quarantine::prelude::*;
use std::future::Future;
use std::time::Duration;

/// What was read, and the revision as of which it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<T> {
    /// Revision.
    pub at: Revision,
    /// What was read.
    pub value: T,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No byte of the call left.
    #[error("the store was not reached ({0}); it will be tried again")]
    Unreached(String),
    /// The call may have had its effect.
    #[error("the store's answer was lost ({0}); read back what it did")]
    Lost(String),
    /// The store did nothing and said so.
    #[error("the store refused with status {0}; it will be tried again")]
    Refused(u16),
    /// The revision to go on from is too old.
    #[error("the store's history does not reach back; read everything again")]
    HistoryGone,
    /// The store was restored from a copy; what was read before belongs to another history.
    #[error("the store was restored from a copy; read everything again")]
    Restored,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read ({0}); check the platform's version")]
    Unreadable(String),
}

/// Status of a refusal for the rate of calls. A store that is away answers 503 or nothing.
const TOO_MANY_CALLS: u16 = 429;

impl StoreError {
    /// Whether the store answered, and what was read before cannot be gone on from.
    pub fn requires_reread(&self) -> bool {
        matches!(self, Self::HistoryGone | Self::Restored)
    }

    /// What the failure tells of the entries of endpoints.
    pub fn trouble(&self) -> StoreFailure {
        match self {
            Self::Refused(TOO_MANY_CALLS) => StoreFailure::RateLimited,
            _ => StoreFailure::Unreachable,
        }
    }
}

/// A configuration as it was read, or why it cannot be.
pub type CatalogRead = Result<CatalogParts, String>;

/// What the store keeps of requests that end their endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineObject {
    /// Revision of its newest change.
    pub revision: Revision,
    /// What it says.
    pub record: QuarantineRecord,
}

/// The store's calls. Each is one call on the wire, which is counted and priced.
pub trait MetadataStore: Clone + 'static {
    /// The newest era that an answer named; `None` if none did.
    fn newest_era(&self) -> Option<Era>;

    /// Reads the newest configuration; `None` if there is none yet.
    fn read_catalog(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<CatalogRead>>, StoreError>>;

    /// Waits for a newer configuration; `None` if there was none within `wait`.
    fn watch_catalog(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot<Option<CatalogRead>>, StoreError>>;

    /// Lists all endpoints.
    fn list_endpoints(&self) -> impl Future<Output = Result<Snapshot<Listing>, StoreError>>;

    /// Waits for changes of endpoints; empty if there were none within `wait`.
    fn watch_endpoints(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot<Vec<Change>>, StoreError>>;

    /// Reads a lease's object.
    fn read_lease(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<(Revision, LeaseRecord)>, StoreError>>;

    /// Reads who held a lease some seconds ago at the most. Costs less than [`Self::read_lease`], and is
    /// no ground for taking the lease.
    fn peek_lease(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<LeaseRecord>, StoreError>>;

    /// Reads what is kept of requests that end their endpoints; `None` if nothing ever was.
    fn read_quarantine(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<QuarantineObject>>, StoreError>>;

    /// Waits for a change of that; `None` if there was none within `wait`.
    fn watch_quarantine(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot<Option<QuarantineObject>>, StoreError>>;

    /// Writes that, if it is still at the expected revision, or is not there.
    fn write_quarantine(
        &self,
        expected: Option<Revision>,
        record: &QuarantineRecord,
    ) -> impl Future<Output = WriteOutcome<Revision>>;

    /// Carries out the write of a lease.
    fn write_lease(
        &self,
        name: &str,
        write: &LeaseWrite<Revision>,
    ) -> impl Future<Output = WriteOutcome<Revision>>;
}
