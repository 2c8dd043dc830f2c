//! An event of a stream shows that the engines of its path work.

use sillbank_core::prelude::*;
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
