//! Connections from the entry processes of this VM: sends settings and answers claims.

use crate::once;
use crate::state::Control;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::peer::{ControlToEntry, EntryToControl};
use sillbank_protocol::platform::{Object, Version};
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::rc::Rc;

/// Maximum objects in one message; keeps messages under the frame limit for ordinary objects.
const MAX_MESSAGE_OBJECTS: usize = 64;
/// Maximum bytes of keys and values in one message, unless a single object is larger.
const MAX_MESSAGE_BYTES: usize = 512 << 10;

/// Serves one entry until its connection ends.
pub(crate) async fn serve(
    control: &Rc<Control>,
    stream: TcpStream,
    hello: EntryToControl,
) -> Result<(), FrameError> {
    let EntryToControl::Hello { vm, after } = hello else {
        return Ok(());
    };
    tracing::info!("control: The entry of {vm} connected at version {after}.");
    let (answers, outgoing) = smol::channel::unbounded();
    let reading = read_messages(control, stream.clone(), answers);
    let sending = send_all(control, stream, after, outgoing);
    futures_lite::future::or(reading, sending).await
}

/// Handles the messages of an entry.
async fn read_messages(
    control: &Rc<Control>,
    mut reader: TcpStream,
    answers: Sender<ControlToEntry>,
) -> Result<(), FrameError> {
    loop {
        match read_message(&mut reader).await? {
            EntryToControl::Hello { .. } => {}
            EntryToControl::InForce(version) => control.in_force.set(version),
            EntryToControl::Mint { id } => {
                let key = once::mint_key(control);
                queue_answer(&answers, ControlToEntry::Minted { id, key });
            }
            EntryToControl::Claim { id, organisation, key } => {
                let (control, answers) = (control.clone(), answers.clone());
                let spawner = control.executor.clone();
                let task = async move {
                    let claim_answer = once::claim(&control, &organisation, &key).await;
                    queue_answer(
                        &answers,
                        ControlToEntry::ClaimAnswer { id, answer: claim_answer },
                    );
                };
                spawner.spawn(task).detach();
            }
            EntryToControl::ClaimEnded { organisation, key, claim, run } => {
                let control = control.clone();
                let spawner = control.executor.clone();
                let task = async move {
                    once::report_end(&control, &organisation, &key, claim, run).await;
                };
                spawner.spawn(task).detach();
            }
        }
    }
}

/// Sends settings newer than a version as they arrive, and queued answers.
async fn send_all(
    control: &Control,
    mut writer: TcpStream,
    after: Version,
    answers: Receiver<ControlToEntry>,
) -> Result<(), FrameError> {
    let updates = control.store.subscribe();
    let mut sent_version = after;
    loop {
        if let Some(complete) =
            control.store.served_version().filter(|complete| *complete > sent_version)
        {
            let newer = control.store.objects().newer_than(sent_version);
            for chunk in chunk_objects(newer) {
                write_message(&mut writer, &ControlToEntry::Objects(chunk)).await?;
            }
            write_message(&mut writer, &ControlToEntry::Synced(complete)).await?;
            sent_version = complete;
        }
        let next_answer = async { answers.recv().await.map(Some) };
        let next_update = async { updates.recv().await.map(|()| None) };
        match futures_lite::future::or(next_answer, next_update).await {
            Ok(Some(answer)) => write_message(&mut writer, &answer).await?,
            Ok(None) => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Splits objects into chunks within the limits of one message.
pub(crate) fn chunk_objects(objects: Vec<Object>) -> Vec<Vec<Object>> {
    let mut all = Vec::new();
    let mut chunk: Vec<Object> = Vec::new();
    let mut bytes = 0;
    for object in objects {
        let size = object.value.len() + object.key.len();
        let is_full = chunk.len() == MAX_MESSAGE_OBJECTS || bytes + size > MAX_MESSAGE_BYTES;
        if is_full && !chunk.is_empty() {
            all.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
        bytes += size;
        chunk.push(object);
    }
    if !chunk.is_empty() {
        all.push(chunk);
    }
    all
}

/// Queues an answer for the connection's writer.
fn queue_answer(answers: &Sender<ControlToEntry>, answer: ControlToEntry) {
    if let Err(error) = answers.try_send(answer) {
        // The connection has ended; the entry asks again on its next connection.
        tracing::debug!(%error, "control: An answer was dropped: the entry has disconnected.");
    }
}
