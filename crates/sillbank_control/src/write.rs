//! Operators' writes to the platform. They are conditional, carry a unique mark, and are read back
//! when a reply is lost.

use crate::platform_client::{
    PlatformClient, PlatformError, SETTINGS_PREFIX, WriteReply, without_prefix,
};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::{Object, Version};
use sillbank_settings::objects::WriteNote;
use smol::Timer;
use std::time::Duration;

/// Maximum attempts at a write whose replies are lost, with a read back after each.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before a retry, multiplied by the number of attempts so far.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A write to perform.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    /// Version that must be the current one, or `None` for a new object.
    pub(crate) expected: Option<Version>,
    /// The object's JSON text with its note, or `None` to delete it.
    pub(crate) value: Option<String>,
    /// Unique mark of this write; the note contains it.
    pub(crate) mark: String,
}

/// Performs a write. Every attempt has the same condition and the same mark, so at most one of
/// them takes effect.
pub(crate) async fn execute(
    platform: &PlatformClient,
    write: &Write,
) -> Result<Object, AdminFailure> {
    let key = format!("{SETTINGS_PREFIX}{}", write.key);
    let mut may_be_applied = false;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            Timer::after(RETRY_PAUSE * attempt).await;
        }
        match platform.write(&key, write.expected, write.value.as_deref()).await {
            Ok(WriteReply::Written(object)) => return Ok(without_prefix(object)),
            Ok(WriteReply::Changed(current)) => {
                return resolve_conflict(write, current.map(without_prefix), may_be_applied);
            }
            Err(PlatformError::Path(error)) => {
                return Err(AdminFailure::new(AdminFailureKind::Malformed, error.to_string()));
            }
            Err(PlatformError::Call(CallError::NotSent { .. }) | PlatformError::Status(_)) => {}
            Err(PlatformError::Call(CallError::Lost { .. }) | PlatformError::Malformed(_)) => {
                may_be_applied = true;
                if let Some(object) = read_back(platform, &key, write).await {
                    return Ok(object);
                }
            }
        }
    }
    Err(match may_be_applied {
        true => AdminFailure::new(
            AdminFailureKind::WriteUnknown,
            format!("The platform did not answer for {} and could not be read back.", write.key),
        ),
        false => AdminFailure::new(
            AdminFailureKind::PlatformDown,
            format!("The platform did not take {}.", write.key),
        ),
    })
}

/// Decides whether the object that violated the condition is this write, whose reply was lost, or
/// another writer's.
fn resolve_conflict(
    write: &Write,
    current: Option<Object>,
    may_be_applied: bool,
) -> Result<Object, AdminFailure> {
    if let Some(object) = current.as_ref().filter(|object| may_be_applied && is_own(write, object))
    {
        return Ok(object.clone());
    }
    let message = match current {
        None => format!("{} is not there any more.", write.key),
        Some(object) if object.deleted => {
            format!("{} was deleted in version {}.", write.key, object.version)
        }
        Some(object) => {
            let note = note_of(&object.value);
            format!(
                "{} was changed in version {} by '{}' because '{}'.",
                write.key, object.version, note.by, note.why
            )
        }
    };
    Err(AdminFailure::new(AdminFailureKind::Conflict, message))
}

/// The stored object, if it was written by this write.
async fn read_back(platform: &PlatformClient, key: &str, write: &Write) -> Option<Object> {
    let current = platform.read(key).await.ok()??;
    is_own(write, &current).then(|| without_prefix(current))
}

/// Whether an object was written by this write. A deletion carries no mark: it counts as this
/// write's if its version is greater than the version to be deleted.
fn is_own(write: &Write, current: &Object) -> bool {
    match write.value {
        Some(_) => !current.deleted && note_of(&current.value).mark == write.mark,
        None => current.deleted && Some(current.version) > write.expected,
    }
}

/// The note in an object's JSON text; empty if there is none.
pub(crate) fn note_of(value: &str) -> WriteNote {
    #[derive(serde::Deserialize)]
    struct Noted {
        note: WriteNote,
    }
    serde_json::from_str::<Noted>(value).map(|noted| noted.note).unwrap_or_default()
}
