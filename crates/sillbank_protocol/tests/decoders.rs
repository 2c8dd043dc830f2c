//! Decoders of data from sockets decode or refuse their input and never panic.
#![allow(clippy::unwrap_used)]

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_protocol::engine::{EngineRequest, Step, StepReply};
use sillbank_protocol::peer::{
    ControlToEntry, DecodeError, EntryToControl, MAX_FRAME_BYTES, decode_frame, decode_length,
    encode_frame,
};
use sillbank_protocol::platform::{Listing, Object};
use sillbank_testing::for_fixed_seeds;

fn object(u: &mut Unstructured<'_>) -> arbitrary::Result<Object> {
    Ok(Object {
        key: u.arbitrary()?,
        version: u.arbitrary()?,
        deleted: u.arbitrary()?,
        value: u.arbitrary()?,
    })
}

/// A decoded frame equals the encoded message.
#[test]
fn frames_round_trip() {
    for_fixed_seeds(200, 300, |u| {
        let message = ControlToEntry::Objects(vec![object(u)?, object(u)?]);

        let frame = encode_frame(&message).unwrap();

        let length = decode_length(frame[..4].try_into().unwrap()).unwrap();
        assert_eq!(length, frame.len() - 4);
        assert_eq!(decode_frame::<ControlToEntry>(&frame[4..]).unwrap(), message);
        Ok(())
    });
}

/// Decoders of frames and JSON lines never panic on arbitrary bytes.
#[test]
fn arbitrary_bytes_do_not_panic() {
    for_fixed_seeds(500, 400, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        drop(decode_frame::<ControlToEntry>(&bytes));
        drop(decode_frame::<EntryToControl>(&bytes));
        drop(serde_json::from_slice::<EngineRequest>(&bytes));
        drop(serde_json::from_slice::<StepReply>(&bytes));
        drop(serde_json::from_slice::<Listing>(&bytes));
        Ok(())
    });
}

/// Decoding never panics on a frame with a changed byte and a missing end.
#[test]
fn truncated_or_changed_frame_does_not_panic() {
    for_fixed_seeds(300, 300, |u| {
        let frame = encode_frame(&ControlToEntry::Objects(vec![object(u)?])).unwrap();
        let mut content = frame[4..].to_vec();
        let at = u.choose_index(content.len())?;
        content[at] ^= u.int_in_range(1..=255)?;
        content.truncate(u.int_in_range(0..=content.len())?);

        drop(decode_frame::<ControlToEntry>(&content));
        Ok(())
    });
}

/// A length prefix over the limit is refused before the content is read.
#[test]
fn length_over_the_limit_is_refused() {
    let header = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();

    assert_eq!(decode_length(header), Err(DecodeError::TooLong(MAX_FRAME_BYTES + 1)));
}

/// A step with extreme values is serialized as one line and parsed back unchanged.
#[test]
fn step_is_one_line() {
    let step = Step {
        uid: RequestUid(1, u64::MAX),
        attempt: u64::MAX,
        start: 3,
        layers: LayerRange { first: 0, end: 8 },
        seed: u64::MAX,
        priority: 9,
        inputs: vec![u64::MAX],
    };

    let line = serde_json::to_string(&EngineRequest::Step(step.clone())).unwrap();

    assert!(!line.contains('\n'));
    assert_eq!(serde_json::from_str::<EngineRequest>(&line).unwrap(), EngineRequest::Step(step));
}
