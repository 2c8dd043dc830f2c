//! Follows and writes the quarantine list in the store.
//!
//! It is a single object, as few requests are ever listed and one call reads all. Whoever follows
//! the endpoints in the store for a hall follows it too. A leader writes what its VMs witnessed, a
//! VM without a leader what it witnessed itself.

use crate::gateway::Gateway;
use crate::metrics::KindLabel;
use crate::revision::Revision;
use crate::sources::{WatchKind, check_interval, relies_on_leader};
use crate::store::{MetadataStore, QuarantineObject, Snapshot, StoreError};
use crate::wire::Wire;
use sillbank_lease::WriteOutcome;
use sillbank_quarantine::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wait of a watch. Changes are rare and end it at once; each return is a billed call.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Interval at which pending writes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// First pause after a failed call, and the pause between two writes.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Follows the stored list while the program runs.
pub async fn follow_quarantine<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut pause = MIN_PAUSE;
    loop {
        let state = crate::follow::source_state(&gateway);
        if relies_on_leader(WatchKind::Endpoints, state) {
            // The leader reports changes meanwhile; the first call afterwards reads everything.
            since = None;
            smol::Timer::after(check_interval(state.awaits_leader)).await;
            continue;
        }
        let read = match since {
            None => gateway.store.read_quarantine().await,
            Some(since) => gateway.store.watch_quarantine(since, WATCH_WAIT).await,
        };
        match read {
            Ok(read) => {
                pause = MIN_PAUSE;
                match since.replace(read.at) {
                    None => apply_snapshot(&gateway, &read),
                    Some(_) => apply_change(&gateway, &read),
                }
            }
            Err(error) => {
                since = None;
                record_error(&gateway, &error);
                smol::Timer::after(pause).await;
                pause = (2 * pause).min(MAX_PAUSE);
            }
        }
    }
}

/// Writes what the stored list lacks while the program runs.
pub async fn write_quarantine<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut pause = MIN_PAUSE;
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let is_due = gateway.quarantine.borrow().due_record(Instant::now(), unix_ms()).is_some();
        if !is_due || !is_writer(&gateway) {
            continue;
        }
        pause = match write_once(&gateway).await {
            Ok(()) => MIN_PAUSE,
            Err(error) => {
                record_error(&gateway, &error);
                (2 * pause).min(MAX_PAUSE)
            }
        };
        smol::Timer::after(pause).await;
    }
}

/// Whether this VM writes for its hall: it leads, or no VM does.
fn is_writer<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> bool {
    gateway.hall.acting_fence.get().is_some() || !gateway.hall.leader_is_live(Instant::now())
}

/// Reads the object, merges what it lacks and writes it. If another VM wrote in between, the write
/// is due again.
async fn write_once<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> Result<(), StoreError> {
    let read = gateway.store.read_quarantine().await?;
    apply_snapshot(gateway, &read);
    let now_unix_ms = unix_ms();
    let due = gateway.quarantine.borrow().due_record(Instant::now(), now_unix_ms);
    let Some(record) = due else {
        return Ok(());
    };
    let expected = read.value.map(|object| object.revision);
    let end = gateway.store.write_quarantine(expected, &record).await;
    if let WriteOutcome::Written(at) = end {
        gateway.quarantine.borrow_mut().on_written(&record, now_unix_ms);
        tracing::info!(requests = record.suspects.len(), parts = record.parts.len(), %at, "quarantine: The list was written to the store.");
    }
    Ok(())
}

fn apply_change<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: &Snapshot<Option<QuarantineObject>>,
) {
    gateway.on_quarantine_loaded();
    let Some(object) = &read.value else { return };
    let mut quarantine = gateway.quarantine.borrow_mut();
    let events = quarantine.on_stored(&object.record, Instant::now(), unix_ms());
    drop(quarantine);
    gateway.on_hold_events(&events);
}

/// Applies a full read. A restored store may have lost the object, whose content is then written
/// again.
fn apply_snapshot<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: &Snapshot<Option<QuarantineObject>>,
) {
    if read.value.is_none() {
        let empty = QuarantineRecord::default();
        gateway.quarantine.borrow_mut().on_stored(&empty, Instant::now(), unix_ms());
    }
    apply_change(gateway, read);
}

fn record_error<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, error: &StoreError) {
    gateway.metrics.store_errors.get_or_create(&KindLabel { kind: "quarantine" }).inc();
    tracing::debug!(%error, "quarantine: The list could not be read from or written to the store.");
}

/// Unix time in milliseconds. A clock before 1970 counts as 0, so that ages are reported as 0.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
