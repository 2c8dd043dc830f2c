//! Follows the configuration and the endpoints in the store, by watches with a bounded wait.

use crate::backoff::Backoff;
use crate::freshness::{SOURCE_CHECK_INTERVAL, WatchPace};
use crate::gateway::Gateway;
use crate::revision::Revision;
use crate::sources::{
    INITIAL_LEADER_WAIT, SourceState, WatchKind, check_interval, relies_on_leader,
};
use crate::store::{CatalogRead, MetadataStore, Snapshot, StoreError};
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Wait of a watch of endpoints. A watch whose connection was cut silently is detected after this
/// time plus the store's answer timeout, so both together bound how stale a list may be.
pub const ENDPOINTS_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after changes of endpoints before the next watch, so that simultaneous changes cost one
/// call. An endpoint that leaves must get no work after two seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(300);
/// Wait of the first watch after failed calls, or of a VM that relied on its leader so far: it has
/// to learn at once whether something changed. With a full wait VMs served again only 1.8 s after
/// the end of an outage.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(10);

/// Waits before the next call, and rechecks at intervals whether the leader is still live.
async fn pause<W: Wire, S: MetadataStore>(backoff: &mut Backoff, gateway: &Gateway<W, S>) {
    let pause = backoff.next_pause(Instant::now(), gateway.rng.next_f64());
    loop {
        let remaining = pause.remaining(Instant::now(), &gateway.hall, gateway.freshness());
        if remaining.is_zero() {
            return;
        }
        smol::Timer::after(remaining.min(SOURCE_CHECK_INTERVAL)).await;
    }
}

pub(crate) fn source_state<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> SourceState {
    let (now, hall) = (Instant::now(), &gateway.hall);
    SourceState {
        leader_is_live: hall.leader_is_live(now),
        leader_holds_lease: hall.leader_holds_lease(now),
        leader_is_fresh: hall.leader_is_fresh(now, gateway.freshness())
            || gateway.upstream_is_fresh(now),
        is_source: hall.is_source(now),
        has_catalog: gateway.platform.catalog().is_some(),
        store_is_reached: gateway.store_answered_within(gateway.freshness().max_staleness, now),
        awaits_leader: awaits_leader(gateway, now),
    }
}

/// Whether this VM has just started and has not heard from a leader yet.
pub(crate) fn awaits_leader<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    now: Instant,
) -> bool {
    gateway.age(now) < INITIAL_LEADER_WAIT && !gateway.hall.has_leader(now)
}

/// Waits while the hall's leader is fresh enough. Returns whether this VM relied on it.
async fn wait_while_leader_suffices<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    kind: WatchKind,
) -> bool {
    let mut relied_on_leader = false;
    loop {
        let state = source_state(gateway);
        if !relies_on_leader(kind, state) {
            return relied_on_leader;
        }
        relied_on_leader = true;
        smol::Timer::after(check_interval(state.awaits_leader)).await;
    }
}

/// Follows the configuration while the program runs.
pub async fn follow_catalog<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    let mut pace = WatchPace::default();
    let mut has_failed = false;
    loop {
        let relied_on_leader = wait_while_leader_suffices(&gateway, WatchKind::Catalog).await;
        if relied_on_leader {
            // The leader reported something newer than the last watch here.
            since = Some(gateway.platform.catalog_at()).filter(|at| *at > Revision::NONE);
        }
        let sent = Instant::now();
        let wait = match relied_on_leader || has_failed {
            true => FIRST_WATCH_WAIT,
            false => pace.next_wait(gateway.freshness(), sent),
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
                let confirmed = match is_watch {
                    true => pace.on_watch(sent, wait, answered, read.value.is_some()),
                    false => pace.on_read(sent),
                };
                if apply_catalog(&gateway, read) && !gateway.platform.was_suspended_since(sent) {
                    gateway.platform.confirm_catalog_by_store(confirmed, at);
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
        if gateway.platform.catalog().is_none() {
            pause(&mut backoff, &gateway).await;
        }
    }
}

/// Applies what was read. Returns whether this confirms the configuration in force.
fn apply_catalog<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: Snapshot<Option<CatalogRead>>,
) -> bool {
    let Some(parts) = read.value else {
        return true;
    };
    let version = parts.as_ref().ok().map(|parts| parts.version);
    let parsed = parts.and_then(|parts| {
        let catalog = Catalog::new(parts.clone()).map_err(|error| error.to_string())?;
        Ok((catalog, parts))
    });
    match parsed {
        Ok((catalog, parts)) => {
            gateway.offer_catalog(catalog, parts, read.at);
            true
        }
        Err(error) => {
            tracing::error!(
                version,
                at = %read.at,
                error,
                "catalog: The configuration is invalid; the previous one stays in force until its lease ends."
            );
            gateway.metrics.catalog_faults.inc();
            false
        }
    }
}

/// Follows the endpoints while the program runs.
pub async fn follow_endpoints<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    let mut rereads = gateway.platform.rereads();
    loop {
        if wait_while_leader_suffices(&gateway, WatchKind::Endpoints).await {
            // The leader's list is newer than the last watch here.
            since = Some(gateway.platform.endpoints_at()).filter(|at| *at > Revision::NONE);
        }
        if std::mem::replace(&mut rereads, gateway.platform.rereads()) != rereads {
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
                // A watch that was cut may have missed changes, so the whole list is read again.
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
    let removals = gateway.platform.apply_listing(Instant::now(), list);
    gateway.reset_restarted_endpoints();
    gateway.log_held_back();
    gateway.on_removals(&removals);
    smol::Timer::after(BATCH_PAUSE).await;
    Ok(at)
}

/// Waits for changes, or until another call finds that the store has recovered. The watch may have
/// been sent on a connection that is dead since, and would otherwise run into its timeout. Returns
/// `None` in that case.
async fn changes_or_store_recovery<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    since: Revision,
) -> Result<Option<Snapshot<Vec<Change>>>, StoreError> {
    let watch =
        async { gateway.store.watch_endpoints(since, ENDPOINTS_WATCH_WAIT).await.map(Some) };
    let recovered = async {
        gateway.platform.store_recovered().await;
        tracing::debug!("store: The watch of endpoints is restarted after an outage.");
        Ok(None)
    };
    futures_lite::future::or(watch, recovered).await
}

/// Applies the changes since a revision. Returns the revision to continue from.
async fn watch_endpoints<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    since: Revision,
) -> Result<Revision, StoreError> {
    let sent = Instant::now();
    let Some(changes) = changes_or_store_recovery(gateway, since).await? else {
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
    let removals = gateway.platform.apply_changes(Instant::now(), changes);
    gateway.reset_restarted_endpoints();
    gateway.log_held_back();
    gateway.on_removals(&removals);
    if has_changes {
        smol::Timer::after(BATCH_PAUSE).await;
    }
    Ok(at)
}
