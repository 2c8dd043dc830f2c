//! Writes of operators to the platform: conditional, marked, and read back when an answer is
//! lost.

use crate::platform_client::{
    PlatformClient, PlatformError, SETTINGS_PREFIX, WriteAnswer, without_prefix,
};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::{Object, Version};
use sillbank_settings::objects::WriteNote;
use smol::Timer;
use std::time::Duration;

/// Tries at a write whose answers are lost, reading back between them.
const MAX_TRIES: u32 = 4;
/// Pause between tries; grows with each.
const PAUSE: Duration = Duration::from_millis(50);

/// A write to carry out.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    /// Version that must be there, or `None` for a new object.
    pub(crate) expected: Option<Version>,
    /// The object's JSON text with its note, or `None` to delete it.
    pub(crate) value: Option<String>,
    /// The writer's own mark, which stands in the note.
    pub(crate) mark: String,
}

/// Carries a write out. It never writes blind: each try has the same condition and the same
/// mark, so at most one of them takes effect.
pub(crate) async fn carry_out(
    platform: &PlatformClient,
    write: &Write,
) -> Result<Object, AdminFailure> {
    let key = format!("{SETTINGS_PREFIX}{}", write.key);
    let mut may_have_left = false;
    for number in 0..MAX_TRIES {
        if number > 0 {
            Timer::after(PAUSE * number).await;
        }
        match platform.write(&key, write.expected, write.value.as_deref()).await {
            Ok(WriteAnswer::Written(object)) => return Ok(without_prefix(object)),
            Ok(WriteAnswer::Changed(here)) => {
                return judge_change(write, here.map(without_prefix), may_have_left);
            }
            Err(PlatformError::Call(CallError::NotSent { .. }) | PlatformError::Status(_)) => {}
            Err(PlatformError::Call(CallError::Lost { .. }) | PlatformError::Malformed(_)) => {
                may_have_left = true;
                if let Some(object) = read_back(platform, &key, write).await {
                    return Ok(object);
                }
            }
        }
    }
    Err(match may_have_left {
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

/// What is there is either this write, whose answer was lost, or somebody else's.
fn judge_change(
    write: &Write,
    here: Option<Object>,
    may_have_left: bool,
) -> Result<Object, AdminFailure> {
    if let Some(object) = here.as_ref().filter(|object| may_have_left && is_own(write, object)) {
        return Ok(object.clone());
    }
    let message = match here {
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

async fn read_back(platform: &PlatformClient, key: &str, write: &Write) -> Option<Object> {
    let here = platform.read(key).await.ok()??;
    is_own(write, &here).then(|| without_prefix(here))
}

/// Whether a state is the one this write made. A deletion carries no mark: it is taken for
/// this writer's own if it follows the version that was to be deleted.
fn is_own(write: &Write, here: &Object) -> bool {
    match write.value {
        Some(_) => !here.deleted && note_of(&here.value).mark == write.mark,
        None => here.deleted && Some(here.version) > write.expected,
    }
}

/// The note in an object's text.
pub(crate) fn note_of(value: &str) -> WriteNote {
    #[derive(serde::Deserialize)]
    struct Noted {
        note: WriteNote,
    }
    serde_json::from_str::<Noted>(value).map(|noted| noted.note).unwrap_or_default()
}
