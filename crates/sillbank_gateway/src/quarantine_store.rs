//! Follows and writes what the store keeps of requests that end their endpoints.
//!
//! It is one object: few requests are ever kept, and one call reads all. Whoever follows the endpoints in the store
//! for a hall follows it too. A leader writes what its VMs saw, a VM without a leader what it saw itself.

use crate::freshness::NEED_POLL;
use crate::gateway::Gateway;
use crate::metrics::KindLabel;
use crate::revision::Revision;
use crate::sources::{Followed, is_told};
use crate::store::{MetadataStore, QuarantineObject, Snapshot, StoreError};
use crate::wire::Wire;
use sillbank_lease::WriteOutcome;
use sillbank_quarantine::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a watch waits. Changes are rare and end it at once; each return is a priced call.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause between looks whether there is something to write.
const LOOK: Duration = Duration::from_millis(200);
/// First pause after a call that failed, and between two writes.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after calls that failed.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Follows the store's object for as long as the program runs.
pub async fn follow_quarantine<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut since: Option<Revision> = None;
    let mut pause = PAUSE;
    loop {
        if is_told(Followed::Endpoints, crate::follow::source_view(&gateway)) {
            // What passes meanwhile is told; the first call after it reads everything.
            since = None;
            smol::Timer::after(NEED_POLL).await;
            continue;
        }
        let read = match since {
            None => gateway.store.read_quarantine().await,
            Some(since) => gateway.store.watch_quarantine(since, WATCH_WAIT).await,
        };
        match read {
            Ok(read) => {
                pause = PAUSE;
                match since.replace(read.at) {
                    None => take_whole(&gateway, &read),
                    Some(_) => take(&gateway, &read),
                }
            }
            Err(error) => {
                since = None;
                note_error(&gateway, &error);
                smol::Timer::after(pause).await;
                pause = (2 * pause).min(PAUSE_MAX);
            }
        }
    }
}

/// Writes what the store lacks for as long as the program runs.
pub async fn write_quarantine<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut pause = PAUSE;
    loop {
        smol::Timer::after(LOOK).await;
        let is_due = gateway.quarantine.borrow().due_record(Instant::now(), unix_ms()).is_some();
        if !is_due || !is_writer(&gateway) {
            continue;
        }
        pause = match write_once(&gateway).await {
            Ok(()) => PAUSE,
            Err(error) => {
                note_error(&gateway, &error);
                (2 * pause).min(PAUSE_MAX)
            }
        };
        smol::Timer::after(pause).await;
    }
}

/// Whether this VM writes for its hall: it leads, or nobody does.
fn is_writer<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> bool {
    gateway.hall.tells.get().is_some() || !gateway.hall.leader_is_live(Instant::now())
}

/// Reads the object, adds what it lacks and writes it, unless another VM did so in between: then it is due again.
async fn write_once<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> Result<(), StoreError> {
    let read = gateway.store.read_quarantine().await?;
    take_whole(gateway, &read);
    let now_unix_ms = unix_ms();
    let due = gateway.quarantine.borrow().due_record(Instant::now(), now_unix_ms);
    let Some(record) = due else {
        return Ok(());
    };
    let expected = read.value.map(|object| object.revision);
    let end = gateway.store.write_quarantine(expected, &record).await;
    if let WriteOutcome::Written(at) = end {
        gateway.quarantine.borrow_mut().on_written(&record, now_unix_ms);
        tracing::info!(requests = record.suspects.len(), %at, "quarantine: Written to the store.");
    }
    Ok(())
}

fn take<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: &Snapshot<Option<QuarantineObject>>,
) {
    gateway.on_quarantine_known();
    let Some(object) = &read.value else { return };
    let mut quarantine = gateway.quarantine.borrow_mut();
    let events = quarantine.on_stored(&object.record, Instant::now(), unix_ms());
    drop(quarantine);
    gateway.on_quarantine_events(&events);
}

/// Takes what a read of everything found. A restored store may have lost the object: what it held is written again then.
fn take_whole<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    read: &Snapshot<Option<QuarantineObject>>,
) {
    if read.value.is_none() {
        let nothing = QuarantineRecord::default();
        gateway.quarantine.borrow_mut().on_stored(&nothing, Instant::now(), unix_ms());
    }
    take(gateway, read);
}

fn note_error<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, error: &StoreError) {
    gateway.metrics.store_errors.get_or_create(&KindLabel { kind: "quarantine" }).inc();
    tracing::debug!(%error, "quarantine: The store was not read or written.");
}

/// Time of day. A clock before 1970 counts as that year: ages are then told as none.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
