//! Hands settings to the entry processes of this VM.

use crate::once;
use crate::state::Control;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::peer::{ControlToEntry, EntryToControl};
use sillbank_protocol::platform::{Object, Version};
use smol::channel::{Receiver, Sender};
use smol::net::TcpStream;
use std::rc::Rc;

/// Objects in one message; keeps messages under the frame limit for ordinary objects.
const OBJECTS_IN_MESSAGE: usize = 64;
/// Bytes of values in one message.
const BYTES_IN_MESSAGE: usize = 512 << 10;

/// Serves one entry until its connection ends.
pub(crate) async fn serve(
    control: &Rc<Control>,
    stream: TcpStream,
    hello: EntryToControl,
) -> Result<(), FrameError> {
    let EntryToControl::Hello { vm, after } = hello else {
        return Ok(());
    };
    tracing::info!("control: The entry of {vm} came with version {after}.");
    let (answers, to_send) = smol::channel::unbounded();
    let reports = read_reports(control, stream.clone(), answers);
    let sending = send_all(control, stream, after, to_send);
    futures_lite::future::or(reports, sending).await
}

async fn read_reports(
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
                answer(&answers, ControlToEntry::Minted { id, key });
            }
            EntryToControl::Claim { id, organisation, key } => {
                let (control, answers) = (control.clone(), answers.clone());
                let spawner = control.executor.clone();
                let work = async move {
                    let claimed = once::claim(&control, &organisation, &key).await;
                    answer(&answers, ControlToEntry::ClaimAnswer { id, answer: claimed });
                };
                spawner.spawn(work).detach();
            }
            EntryToControl::ClaimEnded { organisation, key, claim, run } => {
                let control = control.clone();
                let spawner = control.executor.clone();
                let work = async move {
                    once::end(&control, &organisation, &key, claim, run).await;
                };
                spawner.spawn(work).detach();
            }
        }
    }
}

async fn send_all(
    control: &Control,
    mut writer: TcpStream,
    after: Version,
    answers: Receiver<ControlToEntry>,
) -> Result<(), FrameError> {
    let news = control.store.follow();
    let mut sent = after;
    loop {
        if let Some(complete) = control.store.served().filter(|complete| *complete > sent) {
            let newer = control.store.objects().newer_than(sent);
            for chunk in chunks(newer) {
                write_message(&mut writer, &ControlToEntry::Objects(chunk)).await?;
            }
            write_message(&mut writer, &ControlToEntry::Synced(complete)).await?;
            sent = complete;
        }
        let next = async { answers.recv().await.map(Some) };
        let new = async { news.recv().await.map(|()| None) };
        match futures_lite::future::or(next, new).await {
            Ok(Some(answer)) => write_message(&mut writer, &answer).await?,
            Ok(None) => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Splits objects so that each message stays short.
pub(crate) fn chunks(objects: Vec<Object>) -> Vec<Vec<Object>> {
    let mut all = Vec::new();
    let mut chunk: Vec<Object> = Vec::new();
    let mut bytes = 0;
    for object in objects {
        let size = object.value.len() + object.key.len();
        let full = chunk.len() == OBJECTS_IN_MESSAGE || bytes + size > BYTES_IN_MESSAGE;
        if full && !chunk.is_empty() {
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

/// Hands an answer to the connection's writer.
fn answer(answers: &Sender<ControlToEntry>, answer: ControlToEntry) {
    if let Err(error) = answers.try_send(answer) {
        // The connection has ended; the entry asks again on its next one.
        tracing::debug!(%error, "control: An answer came after the entry had gone.");
    }
}
