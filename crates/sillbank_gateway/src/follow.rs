//! Follows the store: configuration and endpoints, by watches that are never left to hang.

use crate::backoff::Backoff;
use crate::freshness::{NEED_POLL, confirmed_by_watch};
use crate::gateway::Gateway;
use crate::revision::Revision;
use crate::sources::{FIRST_LEADER_WAIT, Followed, SourceView, is_told};
use crate::store::{CatalogRead, MetadataStore, Snapshot, StoreError};
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a watch of endpoints waits. A watch that was cut off without a word is noticed after
/// this and the store's own limit for an answer, so that both together bound how old a list may be.
pub const ENDPOINTS_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after changes of endpoints before the next watch, so that changes that come together cost
/// one call. An endpoint that leaves must get no work after two seconds.
const GATHER: Duration = Duration::from_millis(300);
/// How long the first watch waits after calls that failed, or of a VM that was told by its leader so far:
/// it wants to know at once whether something changed. With a whole wait VMs served again 1.8 s after the
/// end of an outage.
const FIRST_WAIT: Duration = Duration::from_millis(10);

/// Waits before the next call, and looks again and again whether the leader is still there.
async fn pause<W: Wire, S: MetadataStore>(backoff: &mut Backoff, gateway: &Gateway<W, S>) {
    let pause = backoff.next_pause(Instant::now(), gateway.chance.next_f64());
    loop {
        let left = pause.left(Instant::now(), &gateway.hall, gateway.freshness());
        if left.is_zero() {
            return;
        }
        smol::Timer::after(left.min(NEED_POLL)).await;
    }
}

pub(crate) fn source_view<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> SourceView {
    let (now, hall) = (Instant::now(), &gateway.hall);
    SourceView {
        leader_is_live: hall.leader_is_live(now),
        leader_holds_lease: hall.leader_holds_lease(now),
        leader_suffices: hall.leader_suffices(now, gateway.freshness())
            || gateway.senior_suffices(now),
        is_source: hall.is_source(now),
        has_catalog: gateway.knowledge.catalog().is_some(),
        store_is_reached: gateway.store_is_reached(),
        awaits_leader: gateway.age(now) < FIRST_LEADER_WAIT && !hall.has_leader(now),
    }
}

/// Waits while the hall's leader tells enough; answers whether it did so far.
async fn wait_for_need<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    followed: Followed,
) -> bool {
    let mut was_told = false;
    while is_told(followed, source_view(gateway)) {
        was_told = true;
        smol::Timer::after(NEED_POLL).await;
    }
    was_told
}

/// Follows the configuration for as long as the program runs.
pub async fn follow_catalog<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    let mut excess = Duration::ZERO;
    let mut has_failed = false;
    loop {
        let was_told = wait_for_need(&gateway, Followed::Catalog).await;
        if was_told {
            // What the leader told is newer than what was last watched here.
            since = Some(gateway.knowledge.catalog_at()).filter(|at| *at > Revision::NONE);
        }
        let sent = Instant::now();
        let wait = match was_told || has_failed {
            true => FIRST_WAIT,
            false => gateway.freshness().leader_wait_after(excess),
        };
        let is_watch = since.is_some();
        let read = match since {
            None => gateway.store.read_catalog().await,
            Some(since) => gateway.store.watch_catalog(since, wait).await,
        };
        match read {
            Ok(read) => {
                let answered = Instant::now();
                backoff = Backoff::default();
                has_failed = false;
                gateway.on_store_answer("configuration", sent, read.at);
                since = Some(read.at);
                let at = read.at;
                let mut confirmed = sent;
                if is_watch && read.value.is_none() {
                    confirmed = confirmed_by_watch(sent, wait, answered);
                    excess = answered.saturating_duration_since(sent + wait);
                }
                if take_catalog(&gateway, read) && !gateway.knowledge.was_suspended_since(sent) {
                    gateway.knowledge.confirm_catalog_by_store(confirmed, at);
                }
            }
            Err(error) => {
                has_failed = true;
                if error.requires_reread() {
                    since = None;
                }
                gateway.on_store_error("configuration", sent, &error);
                pause(&mut backoff, &gateway).await;
            }
        }
        if gateway.knowledge.catalog().is_none() {
            pause(&mut backoff, &gateway).await;
        }
    }
}

/// Takes what was read; answers whether the configuration in force is confirmed by it.
fn take_catalog<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: Snapshot<Option<CatalogRead>>,
) -> bool {
    let Some(parts) = read.value else {
        return true;
    };
    let version = parts.as_ref().ok().map(|parts| parts.version);
    let made = parts.and_then(|parts| {
        let catalog = Catalog::new(parts.clone()).map_err(|error| error.to_string())?;
        Ok((catalog, parts))
    });
    match made {
        Ok((catalog, parts)) => {
            gateway.offer_catalog(catalog, parts, read.at);
            true
        }
        Err(error) => {
            tracing::error!(
                version,
                at = %read.at,
                error,
                "catalog: A configuration cannot be used; the one before stays until its lease ends."
            );
            gateway.metrics.catalog_faults.inc();
            false
        }
    }
}

/// Follows the endpoints for as long as the program runs.
pub async fn follow_endpoints<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    let mut rereads = gateway.knowledge.rereads();
    loop {
        if wait_for_need(&gateway, Followed::Endpoints).await {
            // The leader's list is newer than what was last watched here.
            since = Some(gateway.knowledge.endpoints_at()).filter(|at| *at > Revision::NONE);
        }
        if std::mem::replace(&mut rereads, gateway.knowledge.rereads()) != rereads {
            since = None;
        }
        let sent = Instant::now();
        let changed = match since {
            None => list_endpoints(&gateway).await,
            Some(since) => watch_endpoints(&gateway, since).await,
        };
        match changed {
            Ok(at) => {
                backoff = Backoff::default();
                since = Some(at);
            }
            Err(error) => {
                gateway.on_store_error("endpoints", sent, &error);
                // What was missed is read again whole: a watch that was cut may have missed changes.
                since = None;
                pause(&mut backoff, &gateway).await;
            }
        }
    }
}

async fn list_endpoints<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
) -> Result<Revision, StoreError> {
    let sent = Instant::now();
    let list = gateway.store.list_endpoints().await?;
    let at = list.at;
    gateway.on_store_answer("endpoints", sent, at);
    for entry in &list.value.unreadable {
        gateway.on_unreadable(entry);
    }
    gateway.unreadable.retain(&list.value.unreadable);
    let removals = gateway.knowledge.take_endpoints(Instant::now(), list);
    gateway.clear_older_lives();
    gateway.log_held_back();
    gateway.on_removals(&removals);
    smol::Timer::after(GATHER).await;
    Ok(at)
}

/// Waits for changes, unless another call finds that the store was away and is back: the watch may have been sent on a
/// connection that is silent since, and would be waited for until its limit. `None` if so.
async fn changes_or_store_return<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    since: Revision,
) -> Result<Option<Snapshot<Vec<Change>>>, StoreError> {
    let watch = async { gateway.store.watch_endpoints(since, ENDPOINTS_WAIT).await.map(Some) };
    let returned = async {
        gateway.knowledge.store_returned().await;
        tracing::debug!("store: The watch of endpoints begins again, as the store was away.");
        Ok(None)
    };
    futures_lite::future::or(watch, returned).await
}

/// Takes the changes since a revision; answers the revision to go on from.
async fn watch_endpoints<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    since: Revision,
) -> Result<Revision, StoreError> {
    let sent = Instant::now();
    let Some(changes) = changes_or_store_return(gateway, since).await? else {
        return Ok(since);
    };
    let has_changes = !changes.value.is_empty();
    let at = changes.at;
    gateway.on_store_answer("endpoints", sent, at);
    for change in &changes.value {
        match change {
            Change::Put(record) => {
                gateway.unreadable.forget(&record.id);
                gateway.decisions.endpoint_listed(record, at);
            }
            Change::Unreadable(entry) => gateway.on_unreadable(entry),
            Change::Removed { .. } | Change::Lapsed { .. } => {}
        }
    }
    let removals = gateway.knowledge.take_changes(Instant::now(), changes);
    gateway.clear_older_lives();
    gateway.log_held_back();
    gateway.on_removals(&removals);
    if has_changes {
        smol::Timer::after(GATHER).await;
    }
    Ok(at)
}
