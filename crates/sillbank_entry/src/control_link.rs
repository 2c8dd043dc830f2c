//! Connection to the control process of this VM. While it is lost the last settings stay in force.

use crate::engine_link;
use crate::state::Entry;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::prelude::*;
use sillbank_protocol::peer::{ControlToEntry, EntryToControl, ToControl};
use sillbank_protocol::platform::{Object, Version};
use sillbank_routing::prelude::*;
use sillbank_settings::objects::EndpointObject;
use sillbank_settings::tree::ApplyOutcome;
use smol::Timer;
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause before a new connection attempt.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Receives settings and claim answers from the control process of this VM.
pub(crate) struct ControlLinkPlugin;

impl Plugin<Entry> for ControlLinkPlugin {
    fn build(self, app: &App<Entry>) {
        app.spawn(maintain(app.state()));
    }
}

/// Connects to control again whenever the connection ends.
async fn maintain(entry: Rc<Entry>) {
    loop {
        if let Err(error) = run_connection(&entry).await {
            tracing::debug!("entry: The connection to control ended: {error}.");
        }
        Timer::after(RECONNECT_INTERVAL).await;
    }
}

/// Runs one connection to control until it ends.
async fn run_connection(entry: &Rc<Entry>) -> Result<(), FrameError> {
    let stream = TcpStream::connect(entry.settings.control).await?;
    let (reader, mut writer) = (stream.clone(), stream);
    let hello =
        EntryToControl::Hello { vm: entry.settings.vm.clone(), after: entry.in_force.get() };
    write_message(&mut writer, &ToControl::Entry(hello)).await?;
    let (sender, outgoing) = smol::channel::unbounded();
    entry.claims.connect(sender.clone());
    let read_task = read_all(entry, reader, sender);
    let write_task = write_all(writer, outgoing);
    let ended = futures_lite::future::or(read_task, write_task).await;
    entry.claims.disconnect();
    ended
}

async fn read_all(
    entry: &Rc<Entry>,
    mut reader: TcpStream,
    sender: Sender<EntryToControl>,
) -> Result<(), FrameError> {
    loop {
        match read_message(&mut reader).await? {
            ControlToEntry::Objects(objects) => objects.iter().for_each(|o| apply_object(entry, o)),
            ControlToEntry::Synced(version) => {
                set_in_force(entry, version);
                sender.try_send(EntryToControl::InForce(version)).ok();
            }
            ControlToEntry::ClaimAnswer { id, answer } => entry.claims.on_claim_answer(id, answer),
            ControlToEntry::Minted { id, key } => entry.claims.on_minted(id, key),
        }
    }
}

async fn write_all(
    mut writer: TcpStream,
    outgoing: Receiver<EntryToControl>,
) -> Result<(), FrameError> {
    while let Ok(message) = outgoing.recv().await {
        write_message(&mut writer, &message).await?;
    }
    Ok(())
}

fn set_in_force(entry: &Entry, version: Version) {
    if entry.in_force.get() == 0 {
        tracing::info!("entry: Settings up to version {version} are in force.");
    }
    entry.in_force.set(entry.in_force.get().max(version));
    entry.metrics.settings_version.set(entry.in_force.get() as i64);
}

fn apply_object(entry: &Rc<Entry>, object: &Object) {
    let outcome =
        entry.tree.borrow_mut().apply(&object.key, object.version, object.deleted, &object.value);
    match outcome {
        ApplyOutcome::InForce => sync_endpoint(entry, &object.key),
        ApplyOutcome::Stale => {}
        ApplyOutcome::Invalid(problems) => {
            tracing::warn!(
                "entry: An object is invalid, its last valid value stays in force: {problems}."
            );
        }
    }
}

/// Updates the endpoint table and the connections after a change of an endpoint's object.
fn sync_endpoint(entry: &Rc<Entry>, key: &str) {
    let Some(id) = key.strip_prefix("endpoint/") else {
        return;
    };
    let now = Instant::now();
    let object = entry.tree.borrow().endpoint(id).cloned();
    let Some(object) = object else {
        entry.table.borrow_mut().remove(id, now);
        return;
    };
    let slot = entry.table.borrow_mut().upsert(spec_of(id, &object), now);
    if let Some(slot) = slot {
        entry.executor.spawn(engine_link::maintain(entry.clone(), slot)).detach();
    }
}

fn spec_of(id: &str, object: &EndpointObject) -> EndpointSpec {
    EndpointSpec {
        id: id.to_owned(),
        hall: object.hall.clone(),
        kind: object.kind.clone(),
        pipeline: object.pipeline.clone(),
        layers: object.layers,
        address: object.address.clone(),
        leaving: object.leaving,
    }
}
