//! The platform's store, as far as the gateway uses it.

use crate::revision::{Era, Revision};
use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_lease::{LeaseRecord, LeaseWrite, WriteOutcome};
use sillbank_quarantine::prelude::*;
use std::future::Future;
use std::time::Duration;

/// A value and the revision as of which it holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot<T> {
    /// Revision.
    pub at: Revision,
    /// Value.
    pub value: T,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing of the call was sent.
    #[error("the store was not reached ({0}); it will be tried again")]
    Unreached(String),
    /// The call may have taken effect.
    #[error("the store's answer was lost ({0}); read back what it did")]
    Lost(String),
    /// The connection broke, and the call may have taken effect.
    #[error("the connection to the store broke ({0}); read back what the call did")]
    Cut(String),
    /// The store refused the call without any effect.
    #[error("the store refused with status {0}; it will be tried again")]
    Refused(u16),
    /// The revision to continue from is too old.
    #[error("the store's history does not reach back; read everything again")]
    HistoryGone,
    /// The store was restored from a copy; earlier reads belong to another history.
    #[error("the store was restored from a copy; read everything again")]
    Restored,
    /// The answer is longer than this VM accepts, as any answer to the same call may be.
    #[error("the store's answer is not read ({0}); read everything again in pages")]
    TooLong(String),
    /// The answer cannot be parsed.
    #[error("the store's answer cannot be read ({0}); check the platform's version")]
    Unreadable(String),
}

/// Status of a rate-limited call. A store that is down answers 503 or not at all.
const TOO_MANY_CALLS: u16 = 429;

impl StoreError {
    /// Whether the store answered, but a watch cannot continue from earlier reads.
    pub fn requires_reread(&self) -> bool {
        matches!(self, Self::HistoryGone | Self::Restored | Self::TooLong(_))
    }

    /// What the failure says about the entries of endpoints.
    pub fn store_failure(&self) -> StoreFailure {
        match self {
            Self::Refused(TOO_MANY_CALLS) => StoreFailure::RateLimited,
            Self::Cut(_) => StoreFailure::ConnectionLost,
            _ => StoreFailure::Unreachable,
        }
    }
}

/// A configuration as read, or why it is invalid.
pub type CatalogRead = Result<CatalogParts, String>;

/// Stored list of requests that crash their endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineObject {
    /// Revision of its latest change.
    pub revision: Revision,
    /// Its content.
    pub record: QuarantineRecord,
}

/// Calls to the store. Each is one request on the network, which is counted and billed.
pub trait MetadataStore: Clone + 'static {
    /// Newest era named in an answer; `None` if none was.
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

    /// Reads the object of a lease.
    fn read_lease(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<(Revision, LeaseRecord)>, StoreError>>;

    /// Reads the holder of a lease, at most a few seconds stale. Costs less than
    /// [`Self::read_lease`], but is no basis for acquiring the lease.
    fn peek_lease(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<LeaseRecord>, StoreError>>;

    /// Reads the quarantine list; `None` if it was never written.
    fn read_quarantine(
        &self,
    ) -> impl Future<Output = Result<Snapshot<Option<QuarantineObject>>, StoreError>>;

    /// Waits for a change of the quarantine list; `None` if there was none within `wait`.
    fn watch_quarantine(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Snapshot<Option<QuarantineObject>>, StoreError>>;

    /// Writes the quarantine list if it is still at the expected revision, or does not exist.
    fn write_quarantine(
        &self,
        expected: Option<Revision>,
        record: &QuarantineRecord,
    ) -> impl Future<Output = WriteOutcome<Revision>>;

    /// Performs a conditional write of a lease.
    fn write_lease(
        &self,
        name: &str,
        write: &LeaseWrite<Revision>,
    ) -> impl Future<Output = WriteOutcome<Revision>>;
}
