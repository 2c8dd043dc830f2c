//! Hands settings to the entry processes of this VM.

use crate::store::Store;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::peer::{ControlToEntry, EntryToControl};
use sillbank_protocol::platform::{Object, Version};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Objects in one message; keeps messages under the frame limit for ordinary objects.
const OBJECTS_IN_MESSAGE: usize = 64;
/// Bytes of values in one message.
const BYTES_IN_MESSAGE: usize = 512 << 10;

/// Takes entries' connections for ever.
pub(crate) async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    store: Rc<Store>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let store = store.clone();
        let serve = async move {
            if let Err(error) = serve_entry(stream, &store).await {
                tracing::debug!("control: An entry has gone: {error}.");
            }
        };
        executor.spawn(serve).detach();
    }
}

async fn serve_entry(stream: TcpStream, store: &Store) -> Result<(), FrameError> {
    let (mut reader, mut writer) = (stream.clone(), stream);
    let EntryToControl::Hello { vm, after } = read_message(&mut reader).await? else {
        return Ok(());
    };
    tracing::info!("control: The entry of {vm} came with version {after}.");
    let news = store.follow();
    let mut sent = after;
    loop {
        if let Some(complete) = store.complete().filter(|complete| *complete > sent) {
            send_newer(&mut writer, store, sent, complete).await?;
            sent = complete;
        }
        if news.recv().await.is_err() {
            return Ok(());
        }
    }
}

async fn send_newer(
    writer: &mut TcpStream,
    store: &Store,
    sent: Version,
    complete: Version,
) -> Result<(), FrameError> {
    for chunk in chunks(store.newer_than(sent)) {
        write_message(writer, &ControlToEntry::Objects(chunk)).await?;
    }
    write_message(writer, &ControlToEntry::Synced(complete)).await
}

/// Splits objects so that each message stays short.
fn chunks(objects: Vec<Object>) -> Vec<Vec<Object>> {
    let mut all = Vec::new();
    let mut chunk: Vec<Object> = Vec::new();
    let mut bytes = 0;
    for object in objects {
        let size = object.value.len() + object.key.len();
        if !chunk.is_empty()
            && (chunk.len() == OBJECTS_IN_MESSAGE || bytes + size > BYTES_IN_MESSAGE)
        {
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
