//! An endpoint that starts again under its id: what is known is of its newest life.

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

/// One piece of news of the endpoint, by any of the ways on which they come.
fn take_news(directory: &mut Directory, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let now = Instant::now();
    let of_first = [
        Change::Put(record(FIRST, Standing::Ready)),
        Change::Put(record(FIRST, Standing::Leaving)),
        removed(Some(FIRST)),
    ];
    match u.int_in_range(0..=4)? {
        0 => drop(directory.on_change(now, u.choose(&of_first)?.clone())),
        1 => drop(directory.on_told_change(Instant::now(), u.choose(&of_first)?.clone())),
        2 => directory.on_life(ID, *u.choose(&[FIRST, SECOND])?),
        3 => drop(directory.on_listing(now, vec![record(FIRST, Standing::Ready)])),
        _ => drop(
            directory.on_told_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready))),
        ),
    }
    Ok(())
}

#[test]
fn whatever_order_news_come_in_the_newest_life_is_believed() {
    for_fixed_seeds(500, 128, |u| {
        let mut directory = Directory::default();
        for _ in 0..u.int_in_range(0..=8)? {
            take_news(&mut directory, u)?;
        }
        directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));
        for _ in 0..u.int_in_range(0..=8)? {
            take_news(&mut directory, u)?;
        }

        assert_eq!(directory.usable(ID), Some(&record(SECOND, Standing::Ready)));
        assert_eq!(directory.newest_life(ID), Some(SECOND));
        Ok(())
    });
}

#[test]
fn an_endpoint_that_starts_again_is_told_of_once() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));

    directory.on_life(ID, SECOND);
    directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));

    assert_eq!(directory.take_renewed(), vec![ID.to_owned()]);
    assert!(directory.take_renewed().is_empty());
}

#[test]
fn an_endpoint_that_starts_again_after_its_entry_went_is_told_of() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));
    directory.on_change(Instant::now(), removed(Some(FIRST)));

    directory.on_change(Instant::now(), Change::Put(record(SECOND, Standing::Ready)));

    assert_eq!(directory.take_renewed(), vec![ID.to_owned()]);
}

#[test]
fn a_newer_life_that_only_reported_ends_what_the_entry_says_of_layers() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));

    directory.on_life(ID, SECOND);
    directory.on_change(Instant::now(), Change::Put(record(FIRST, Standing::Leaving)));

    let known = directory.get(ID).expect("it is listed");
    assert_eq!((known.layers, known.standing), (None, Standing::Leaving));
}

/// The store has no entry of the newer life, so nobody may be sent there.
#[test]
fn an_entry_that_goes_before_the_newer_life_wrote_one_ends_the_endpoint() {
    let mut directory = directory_of(record(FIRST, Standing::Ready));
    directory.on_life(ID, SECOND);

    let removal = directory.on_change(Instant::now(), removed(Some(FIRST)));

    assert_eq!(removal, Some(Removal::Gone));
    assert!(directory.get(ID).is_none());
}

/// A copy of the store listed the older life of an endpoint; when that entry was removed, the newer life was never evicted.
#[test]
fn removing_the_entry_of_an_older_life_lapses_the_endpoint() {
    let now = Instant::now();
    let mut directory = directory_of(record(SECOND, Standing::Ready));
    directory.on_restored(now);
    directory.on_listing(now, vec![record(FIRST, Standing::Ready)]);

    let removal = directory.on_change(now, removed(Some(FIRST)));
    let early = directory.on_time(now + LAPSE_GRACE - Duration::from_millis(1));
    let late = directory.on_time(now + LAPSE_GRACE);

    assert_eq!(removal, Some(Removal::OlderLife));
    assert!(early.is_empty());
    assert_eq!(late, vec![ID.to_owned()]);
}

#[test]
fn a_newer_life_that_is_listed_after_the_older_one_was_removed_stays() {
    let now = Instant::now();
    let mut directory = directory_of(record(SECOND, Standing::Ready));

    directory.on_change(now, removed(Some(FIRST)));
    directory.on_change(now, Change::Put(record(SECOND, Standing::Ready)));
    let gone = directory.on_time(now + LAPSE_GRACE);

    assert!(gone.is_empty());
    assert!(directory.usable(ID).is_some());
}

#[test]
fn entries_that_name_no_life_are_taken_as_they_come() {
    let unnamed = |standing| EndpointRecord { born_ms: None, ..record(FIRST, standing) };
    let mut directory = directory_of(unnamed(Standing::Ready));

    directory.on_change(Instant::now(), Change::Put(unnamed(Standing::Leaving)));
    assert!(directory.usable(ID).is_none());
    directory.on_change(Instant::now(), Change::Put(unnamed(Standing::Ready)));

    assert_eq!(directory.usable(ID), Some(&unnamed(Standing::Ready)));
    assert!(directory.take_renewed().is_empty());
    assert_eq!(directory.on_change(Instant::now(), removed(None)), Some(Removal::Gone));
}

#[test]
fn a_copy_that_is_told_in_differences_knows_the_same_life() {
    let mut source = directory_of(record(FIRST, Standing::Ready));
    let (mut replication, mut copy) = (Replication::default(), Directory::default());
    replication.on_difference(
        &mut copy,
        Instant::now(),
        source.difference(Instant::now(), 0, 10),
        Recency::Newer,
    );

    source.on_life(ID, SECOND);
    let piece = source.difference(Instant::now(), replication.seen(), 10);
    replication.on_difference(&mut copy, Instant::now(), piece, Recency::Newer);

    assert_eq!(copy.get(ID), source.get(ID));
    assert_eq!(copy.get(ID).and_then(|record| record.layers), None);
}
