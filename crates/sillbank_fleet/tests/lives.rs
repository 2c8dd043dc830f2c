//! Endpoints that restart under the same id: the directory describes the newest incarnation.

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const ID: &str = "e1";
const FIRST: BornMs = 1_000;
const SECOND: BornMs = 2_000;
const HELD_BY_FIRST: LayerRange = LayerRange { first: 0, end: 8 };
const HELD_BY_SECOND: LayerRange = LayerRange { first: 4, end: 6 };

fn record(born_ms: BornMs, standing: Standing) -> EndpointRecord {
    EndpointRecord {
        id: ID.to_owned(),
        born_ms: Some(born_ms),
        service: "quotes".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".to_owned(),
        standing,
        slots: 4,
        accelerator: Some("card".to_owned()),
        layers: Some(if born_ms == FIRST { HELD_BY_FIRST } else { HELD_BY_SECOND }),
    }
}

fn removed(born_ms: Option<BornMs>) -> Change {
    Change::Removed { id: ID.to_owned(), born_ms }
}

fn directory_of(record: EndpointRecord) -> Directory {
    let mut directory = Directory::default();
    directory.on_change(Instant::now(), Change::Put(record));
    directory
}

/// Applies one update about the endpoint, from any of the sources of updates.
fn apply_random_update(
    directory: &mut Directory,
    u: &mut Unstructured<'_>,
) -> arbitrary::Result<()> {
    let now = Instant::now();
    let of_first = [
        Change::Put(record(FIRST, Standing::Ready)),
        Change::Put(record(FIRST, Standing::Leaving)),
        removed(Some(FIRST)),
    ];
    match u.int_in_range(0..=4)? {
        0 => drop(directory.on_change(now, u.choose(&of_first)?.clone())),
        1 => drop(directory.on_replicated_change(Instant::now(), u.choose(&of_first)?.clone())),
        2 => directory.on_incarnation(ID, *u.choose(&[FIRST, SECOND])?),
        3 => drop(directory.on_listing(now, vec![record(FIRST, Standing::Ready)])),
        _ => drop(
            directory
                .on_replicated_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready))),
        ),
    }
    Ok(())
}

/// Once the newer incarnation is listed, no update about the older one changes the entry.
#[test]
fn newest_incarnation_prevails_in_any_order_of_updates() {
    for_fixed_seeds(500, 128, |u| {
        let mut directory = Directory::default();
        for _ in 0..u.int_in_range(0..=8)? {
            apply_random_update(&mut directory, u)?;
        }
        directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));
        for _ in 0..u.int_in_range(0..=8)? {
            apply_random_update(&mut directory, u)?;
        }

        assert_eq!(directory.usable(ID), Some(&record(SECOND, Standing::Ready)));
        assert_eq!(directory.newest_incarnation(ID), Some(SECOND));
        Ok(())
    });
}

/// A restart that is seen both in the endpoint's own report and in its entry is reported once.
#[test]
fn restart_is_reported_once() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));

    directory.on_incarnation(ID, SECOND);
    directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));

    assert_eq!(directory.take_restarted(), vec![ID.to_owned()]);
    assert!(directory.take_restarted().is_empty());
}

/// A restart is noticed although the entry of the older incarnation was removed in between.
#[test]
fn restart_after_removal_is_reported() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));
    directory.on_change(Instant::now(), removed(Some(FIRST)));

    directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));

    assert_eq!(directory.take_restarted(), vec![ID.to_owned()]);
}

/// The layers in an older incarnation's entry do not apply to a newer one that has only reported
/// itself.
#[test]
fn newer_incarnation_without_entry_drops_layers_of_old_entry() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));

    directory.on_incarnation(ID, SECOND);
    directory.on_change(Instant::now(), Change::Put(record(FIRST, Standing::Leaving)));

    let known = directory.get(ID).expect("it is listed");
    assert_eq!((known.layers, known.standing), (None, Standing::Leaving));
}

/// The removal of an older incarnation's entry leaves the store without any entry of the endpoint, so
/// no requests may be sent to its newer incarnation.
#[test]
fn removal_before_newer_incarnation_wrote_entry_removes_endpoint() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));
    directory.on_incarnation(ID, SECOND);

    let removal = directory.on_change(Instant::now(), removed(Some(FIRST)));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.get(ID).is_none());
}

/// Guards against never evicting a newer incarnation: a copy of the store listed the older one, and
/// that entry was then removed.
#[test]
fn removal_of_older_incarnations_entry_lapses_endpoint() {
    let now = Instant::now();
    let mut directory = directory_of(record(SECOND, Standing::Ready));
    directory.on_restored(now);
    directory.on_listing(now, vec![record(FIRST, Standing::Ready)]);

    let removal = directory.on_change(now, removed(Some(FIRST)));
    let early = directory.on_tick(now + LAPSE_GRACE - Duration::from_millis(1));
    let late = directory.on_tick(now + LAPSE_GRACE);

    assert_eq!(removal, Some(Removal::OlderLife));
    assert!(early.is_empty());
    assert_eq!(late, vec![ID.to_owned()]);
}

/// An endpoint that lapsed because its older incarnation's entry was removed is kept once it is
/// listed.
#[test]
fn newer_incarnation_listed_after_removal_of_older_one_is_kept() {
    let now = Instant::now();
    let mut directory = directory_of(record(SECOND, Standing::Ready));

    directory.on_change(now, removed(Some(FIRST)));
    directory.on_change(now, Change::Put(record(SECOND, Standing::Ready)));
    let gone = directory.on_tick(now + LAPSE_GRACE);

    assert!(gone.is_empty());
    assert!(directory.usable(ID).is_some());
}

/// Without a stated incarnation, the latest update applies and no restart is reported.
#[test]
fn entries_without_incarnation_are_applied_in_order() {
    let without_incarnation =
        |standing| EndpointRecord { born_ms: None, ..record(FIRST, standing) };
    let mut directory = directory_of(without_incarnation(Standing::Ready));

    directory.on_change(Instant::now(), Change::Put(without_incarnation(Standing::Leaving)));
    assert!(directory.usable(ID).is_none());
    directory.on_change(Instant::now(), Change::Put(without_incarnation(Standing::Ready)));

    assert_eq!(directory.usable(ID), Some(&without_incarnation(Standing::Ready)));
    assert!(directory.take_restarted().is_empty());
    assert_eq!(directory.on_change(Instant::now(), removed(None)), Some(Removal::Gone));
}

/// A directory that is replicated by differences drops layers when its source learns of a restart.
#[test]
fn replicated_directory_follows_incarnations() {
    let mut source = directory_of(record(FIRST, Standing::Ready));
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    replication.on_difference(
        &mut copy,
        Instant::now(),
        source.difference(Instant::now(), 0, 10),
        Recency::Newer,
    );

    source.on_incarnation(ID, SECOND);
    let page = source.difference(Instant::now(), replication.seen(), 10);
    replication.on_difference(&mut copy, Instant::now(), page, Recency::Newer);

    assert_eq!(copy.get(ID), source.get(ID));
    assert_eq!(copy.get(ID).and_then(|record| record.layers), None);
}
