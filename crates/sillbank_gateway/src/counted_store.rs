//! A store wrapper that counts calls by kind.
//!
//! Each call is billed, and the calls of a fleet are bounded.

use crate::metrics::KindLabel;
use crate::revision::{Era, Revision};
use crate::store::{CatalogRead, MetadataStore, QuarantineObject, Snapshot, StoreError};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use sillbank_fleet::prelude::*;
use sillbank_lease::{LeaseRecord, LeaseWrite, WriteOutcome};
use sillbank_quarantine::prelude::*;
use std::time::Duration;

/// Calls to the store by kind.
pub type StoreCalls = Family<KindLabel, Counter>;

/// A store with a counter of its calls.
#[derive(Debug, Clone)]
pub struct CountedStore<S> {
    inner: S,
    calls: StoreCalls,
}

impl<S> CountedStore<S> {
    /// Wraps a store.
    pub fn new(inner: S, calls: StoreCalls) -> Self {
        Self { inner, calls }
    }

    fn count(&self, kind: &'static str) -> &S {
        self.calls.get_or_create(&KindLabel { kind }).inc();
        &self.inner
    }
}

impl<S: MetadataStore> MetadataStore for CountedStore<S> {
    fn newest_era(&self) -> Option<Era> {
        self.inner.newest_era()
    }

    async fn read_catalog(&self) -> Result<Snapshot<Option<CatalogRead>>, StoreError> {
        self.count("read_configuration").read_catalog().await
    }

    async fn watch_catalog(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<CatalogRead>>, StoreError> {
        self.count("watch_configuration").watch_catalog(since, wait).await
    }

    async fn list_endpoints(&self) -> Result<Snapshot<Listing>, StoreError> {
        self.count("list_endpoints").list_endpoints().await
    }

    async fn watch_endpoints(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Vec<Change>>, StoreError> {
        self.count("watch_endpoints").watch_endpoints(since, wait).await
    }

    async fn read_lease(&self, name: &str) -> Result<Option<(Revision, LeaseRecord)>, StoreError> {
        self.count("read_lease").read_lease(name).await
    }

    async fn peek_lease(&self, name: &str) -> Result<Option<LeaseRecord>, StoreError> {
        self.count("peek_lease").peek_lease(name).await
    }

    async fn read_quarantine(&self) -> Result<Snapshot<Option<QuarantineObject>>, StoreError> {
        self.count("read_quarantine").read_quarantine().await
    }

    async fn watch_quarantine(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Snapshot<Option<QuarantineObject>>, StoreError> {
        self.count("watch_quarantine").watch_quarantine(since, wait).await
    }

    async fn write_quarantine(
        &self,
        expected: Option<Revision>,
        record: &QuarantineRecord,
    ) -> WriteOutcome<Revision> {
        self.count("write_quarantine").write_quarantine(expected, record).await
    }

    async fn write_lease(
        &self,
        name: &str,
        write: &LeaseWrite<Revision>,
    ) -> WriteOutcome<Revision> {
        self.count("write_lease").write_lease(name, write).await
    }
}
