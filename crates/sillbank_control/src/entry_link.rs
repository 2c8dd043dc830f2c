//! Hands settings to the entry processes of this VM.

use crate::state::Control;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_protocol::peer::{ControlToEntry, EntryToControl};
use sillbank_protocol::platform::{Object, Version};
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
    let reports = read_reports(control, stream.clone());
    let settings = send_settings(control, stream, after);
    futures_lite::future::or(reports, settings).await
}

async fn read_reports(control: &Control, mut reader: TcpStream) -> Result<(), FrameError> {
    loop {
        if let EntryToControl::InForce(version) = read_message(&mut reader).await? {
            control.in_force.set(version);
        }
    }
}

async fn send_settings(
    control: &Control,
    mut writer: TcpStream,
    after: Version,
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
        if news.recv().await.is_err() {
            return Ok(());
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
