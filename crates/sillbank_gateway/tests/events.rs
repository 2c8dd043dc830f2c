//! Streams are split into complete events, however the bytes are fragmented.

use sillbank_gateway::events::EventSplitter;
use sillbank_testing::for_fixed_seeds;

fn take_all(splitter: &mut EventSplitter) -> Vec<(Option<u64>, Vec<u8>)> {
    std::iter::from_fn(|| splitter.next_event()).map(|e| (e.number, e.bytes.to_vec())).collect()
}

#[test]
fn an_event_is_held_until_its_end_has_come() {
    let mut splitter = EventSplitter::default();

    splitter.push(b"id: 7\nda").expect("it is short");
    let early = splitter.next_event();
    splitter.push(b"ta: x\n\nid: 8\n").expect("it is short");
    let events = take_all(&mut splitter);

    assert_eq!(early, None);
    assert_eq!(events, vec![(Some(7), b"id: 7\ndata: x\n\n".to_vec())]);
    assert!(splitter.holds_part());
}

#[test]
fn events_may_begin_with_other_fields_and_end_in_either_way() {
    let mut splitter = EventSplitter::default();

    splitter.push(b"versions: 2\nid:3\n\nid: 4\r\ndata: y\r\n\r\n: note\n\n").expect("short");
    let numbers: Vec<Option<u64>> = take_all(&mut splitter).into_iter().map(|(n, _)| n).collect();

    assert_eq!(numbers, vec![Some(3), Some(4), None]);
    assert!(!splitter.holds_part());
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();

    let pushed = splitter.push(&vec![b'x'; 2 << 20]);

    assert!(pushed.is_err());
}

#[test]
fn pieces_do_not_change_what_comes_out() {
    for_fixed_seeds(200, 1024, |u| {
        let mut whole = Vec::new();
        for number in 0..u.int_in_range(1..=20)? {
            whole.extend_from_slice(format!("id: {number}\ndata: {number}\n\n").as_bytes());
        }
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = whole.as_slice();
        while !rest.is_empty() {
            let (piece, tail) = rest.split_at(u.int_in_range(1..=rest.len().min(40))?);
            splitter.push(piece).expect("it is short");
            out.extend(take_all(&mut splitter).into_iter().flat_map(|(_, bytes)| bytes));
            rest = tail;
        }
        assert_eq!(out, whole);
        Ok(())
    });
}
