//! An event of a stream confirms that the engines of its path work.

use sillbank_core::prelude::*;
use sillbank_gateway::doctor::evidence_since;
use sillbank_gateway::streams::HeardStreams;
use sillbank_layers::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LAYERS: u16 = 8;

fn path(engines: &[&str]) -> LayerPath {
    let width = LAYERS / engines.len() as u16;
    let part = |(at, id): (usize, &&str)| PathPart {
        endpoint: (*id).to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        layers: LayerRange { first: at as u16 * width, end: (at as u16 + 1) * width },
    };
    LayerPath::new(engines.iter().enumerate().map(part).collect(), LAYERS).expect("it is a path")
}

#[test]
fn engines_are_heard_of_by_each_event_of_a_stream_that_passes_them() {
    let (all, began) = (Rc::new(HeardStreams::default()), Instant::now());
    let first = all.begin(&path(&["a", "b"]), began);
    let _second = all.begin(&path(&["a", "c"]), began);
    let later = began + Duration::from_secs(1);

    first.on_event(later);

    let heard: Vec<String> = all.engines_since(later).into_iter().collect();
    assert_eq!(heard, vec!["a".to_owned(), "b".to_owned()]);
}

#[test]
fn a_stream_that_has_ended_tells_nothing() {
    let (all, began) = (Rc::new(HeardStreams::default()), Instant::now());

    drop(all.begin(&path(&["a", "b"]), began));

    assert!(all.engines_since(began).is_empty());
}

#[test]
fn a_stream_that_was_moved_tells_of_its_new_path_by_the_next_event() {
    let (all, began) = (Rc::new(HeardStreams::default()), Instant::now());
    let stream = all.begin(&path(&["a", "b"]), began);
    let later = began + Duration::from_secs(1);

    stream.on_moved(&path(&["a", "c"]));
    assert!(all.engines_since(later).is_empty());
    stream.on_event(later);

    let heard: Vec<String> = all.engines_since(later).into_iter().collect();
    assert_eq!(heard, vec!["a".to_owned(), "c".to_owned()]);
}

/// Guards against missing the loss of an engine that many streams pass: each received data at
/// another time before the loss, so when one has been silent long enough to check, others received
/// data after it.
#[test]
fn streams_that_passed_a_lost_engine_until_its_loss_do_not_vouch_for_it() {
    let (all, began) = (Rc::new(HeardStreams::default()), Instant::now());
    let ms = Duration::from_millis;
    let lost_at = began + ms(40);
    let first = all.begin(&path(&["lost", "a"]), began);
    let second = all.begin(&path(&["lost", "b"]), began);
    let elsewhere = all.begin(&path(&["c", "a"]), began);
    first.on_event(lost_at - ms(35));
    second.on_event(lost_at);
    let asked_at = lost_at - ms(35) + ms(125);
    elsewhere.on_event(asked_at - ms(10));

    let heard = all.engines_since(evidence_since(asked_at, ms(125)));

    assert!(!heard.contains("lost"), "{heard:?}");
    assert!(heard.contains("a"), "{heard:?}");
}
