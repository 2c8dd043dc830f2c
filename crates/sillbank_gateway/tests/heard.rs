//! An event of a stream confirms that the engines of its path work.

use sillbank_core::prelude::*;
use sillbank_gateway::probes::evidence_since;
use sillbank_gateway::streams::StreamActivity;
use sillbank_layers::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

const LAYERS: u16 = 8;

fn path(engines: &[&str]) -> LayerPath {
    let width = LAYERS / engines.len() as u16;
    let part = |(at, id): (usize, &&str)| PathPart {
        endpoint: (*id).to_owned(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        layers: LayerRange { first: at as u16 * width, end: (at as u16 + 1) * width },
    };
    LayerPath::new(engines.iter().enumerate().map(part).collect(), LAYERS).expect("valid path")
}

/// An event of a stream confirms the engines of its path and no others.
#[test]
fn event_confirms_engines_of_its_path() {
    let (all, began) = (Rc::new(StreamActivity::default()), Instant::now());
    let first = all.register(&path(&["a", "b"]), began);
    let _second = all.register(&path(&["a", "c"]), began);
    let later = began + Duration::from_secs(1);

    first.on_event(later);

    let engines: Vec<String> = all.engines_since(later).into_iter().collect();
    assert_eq!(engines, vec!["a".to_owned(), "b".to_owned()]);
}

/// A stream that has ended no longer confirms engines.
#[test]
fn dropped_stream_confirms_nothing() {
    let (all, began) = (Rc::new(StreamActivity::default()), Instant::now());

    drop(all.register(&path(&["a", "b"]), began));

    assert!(all.engines_since(began).is_empty());
}

/// A moved stream confirms the engines of its new path with its next event, not before.
#[test]
fn moved_stream_confirms_its_new_path() {
    let (all, began) = (Rc::new(StreamActivity::default()), Instant::now());
    let stream = all.register(&path(&["a", "b"]), began);
    let later = began + Duration::from_secs(1);

    stream.on_moved(&path(&["a", "c"]));
    assert!(all.engines_since(later).is_empty());
    stream.on_event(later);

    let engines: Vec<String> = all.engines_since(later).into_iter().collect();
    assert_eq!(engines, vec!["a".to_owned(), "c".to_owned()]);
}

/// Guards against missing the loss of an engine that is on the paths of many streams. Each stream
/// received its last data at a different time before the loss, so when one has been silent long
/// enough to be checked, others have received data more recently.
#[test]
fn events_before_a_loss_do_not_confirm_the_lost_engine() {
    let (all, began) = (Rc::new(StreamActivity::default()), Instant::now());
    let ms = Duration::from_millis;
    let lost_at = began + ms(40);
    let first = all.register(&path(&["lost", "a"]), began);
    let second = all.register(&path(&["lost", "b"]), began);
    let elsewhere = all.register(&path(&["c", "a"]), began);
    first.on_event(lost_at - ms(35));
    second.on_event(lost_at);
    let asked_at = lost_at - ms(35) + ms(125);
    elsewhere.on_event(asked_at - ms(10));

    let engines = all.engines_since(evidence_since(asked_at, ms(125)));

    assert!(!engines.contains("lost"), "{engines:?}");
    assert!(engines.contains("a"), "{engines:?}");
}
