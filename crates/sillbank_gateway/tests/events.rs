//! Streams are split into complete events, however the bytes are fragmented.

use sillbank_gateway::events::{EventSplitter, SseEvent};
use sillbank_testing::for_fixed_seeds;

fn take_all(splitter: &mut EventSplitter) -> Vec<(Option<u64>, Vec<u8>)> {
    std::iter::from_fn(|| splitter.next_event()).map(|e| (e.number, e.bytes.to_vec())).collect()
}

/// An event is returned only once the blank line that ends it has arrived.
#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();

    splitter.push(b"id: 7\nda").expect("event below the size limit");
    let early = splitter.next_event();
    splitter.push(b"ta: x\n\nid: 8\n").expect("event below the size limit");
    let events = take_all(&mut splitter);

    assert_eq!(early, None);
    assert_eq!(events, vec![(Some(7), b"id: 7\ndata: x\n\n".to_vec())]);
    assert!(splitter.has_partial_event());
}

/// The `id` field may follow other fields, and LF and CRLF both end an event.
#[test]
fn id_position_and_line_endings_vary() {
    let mut splitter = EventSplitter::default();

    splitter
        .push(b"versions: 2\nid:3\n\nid: 4\r\ndata: y\r\n\r\n: note\n\n")
        .expect("events below the size limit");
    let numbers: Vec<Option<u64>> = take_all(&mut splitter).into_iter().map(|(n, _)| n).collect();

    assert_eq!(numbers, vec![Some(3), Some(4), None]);
    assert!(!splitter.has_partial_event());
}

/// An event that exceeds the maximum size is an error instead of unbounded buffering.
#[test]
fn oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();

    let pushed = splitter.push(&vec![b'x'; 2 << 20]);

    assert!(pushed.is_err());
}

/// The concatenated events equal the input, however the bytes are fragmented.
#[test]
fn fragmentation_does_not_change_events() {
    for_fixed_seeds(200, 1024, |u| {
        let mut input = Vec::new();
        for number in 0..u.int_in_range(1..=20)? {
            input.extend_from_slice(format!("id: {number}\ndata: {number}\n\n").as_bytes());
        }
        let mut splitter = EventSplitter::default();
        let mut output = Vec::new();
        let mut remaining = input.as_slice();
        while !remaining.is_empty() {
            let (piece, tail) = remaining.split_at(u.int_in_range(1..=remaining.len().min(40))?);
            splitter.push(piece).expect("event below the size limit");
            output.extend(take_all(&mut splitter).into_iter().flat_map(|(_, bytes)| bytes));
            remaining = tail;
        }
        assert_eq!(output, input);
        Ok(())
    });
}

/// Splits off the first event of these bytes.
fn first_event(bytes: &[u8]) -> SseEvent {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes).expect("it is short");
    splitter.next_event().expect("it is complete")
}

/// Guards against passing on bytes that are no events because an empty line ends them.
#[test]
fn blocks_without_a_field_of_an_event_are_no_events() {
    for block in ["data: x\n\n", "id: 1\n\n", "event: end\n\n", "retry: 5\n\n", ": comment\n\n"] {
        assert!(first_event(block.as_bytes()).is_event(), "{block:?}");
    }
    assert!(first_event(b"x-unknown: 1\ndata: x\n\n").is_event(), "unknown fields are ignored");
    assert!(first_event(b"\r\n\r\n").is_event(), "empty lines are harmless");
    for block in [&b"nonsense\n\n"[..], b"\x00\x01\x02\n\n", b"HTTP/1.1 200 OK\r\n\r\n"] {
        assert!(!first_event(block).is_event(), "{block:?}");
    }
}

/// A comment and a number alone are no data.
#[test]
fn only_events_with_a_data_field_have_data() {
    assert!(first_event(b"id: 1\r\ndata: x\r\n\r\n").has_data());
    assert!(!first_event(b"id: 1\n\n").has_data() && !first_event(b": data\n\n").has_data());
}
