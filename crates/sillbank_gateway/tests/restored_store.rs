//! A VM's view of the platform after the store was restored from a copy, as learnt from the store
//! and from other VMs.

use arbitrary::Unstructured;
use sillbank_catalog::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_gateway::freshness::RESTORE_SETTLE_TIME;
use sillbank_gateway::platform_view::PlatformView;
use sillbank_gateway::revision::{Era, Revision};
use sillbank_gateway::store::Snapshot;
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const REVOCATION: Duration = Duration::from_secs(5);
/// Revision of the list that a VM has before the restore.
const KNOWN: Revision = Revision { era: 1, number: 162 };
/// Revision of the copy.
const COPY: Revision = Revision { era: 2, number: 136 };

fn record(id: &str, standing: Standing) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "quotes".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "a".to_owned(),
        standing,
        slots: 1,
        accelerator: None,
        layers: None,
    }
}

fn ready() -> Vec<EndpointRecord> {
    ["a", "b"].map(|id| record(id, Standing::Ready)).to_vec()
}

fn leaving(id: &str) -> Change {
    Change::Put(record(id, Standing::Leaving))
}

/// A view with two endpoints and a configuration.
fn view(now: Instant) -> PlatformView {
    let view = PlatformView::new(REVOCATION);
    let parts = CatalogParts { version: 3, ..CatalogParts::default() };
    let catalog = Catalog::new(parts.clone()).expect("it is valid");
    view.offer_catalog(catalog, parts);
    view.confirm_catalog(now, KNOWN);
    view.apply_listing(now, Snapshot { at: KNOWN, value: ready() });
    view
}

fn is_usable(view: &PlatformView, id: &str) -> bool {
    view.endpoints(|directory| directory.usable(id).is_some())
}

/// Difference sent by a leader with its own directory to a VM that knows nothing of it.
fn difference(records: Vec<EndpointRecord>) -> Difference {
    let mut leader = Directory::default();
    leader.on_listing(Instant::now(), records);
    leader.difference(Instant::now(), 0, 10)
}

/// Guards against ignoring the changes of a restored store as outdated because their numbers are lower
/// than those of the known entries.
#[test]
fn an_endpoint_that_leaves_at_a_lower_number_of_a_new_era_gets_no_work() {
    let now = Instant::now();
    let view = view(now);

    view.apply_listing(now, Snapshot { at: COPY, value: ready() });
    let changes = Snapshot { at: Revision::new(2, 146), value: vec![leaving("a")] };
    view.apply_changes(now, changes);

    assert!(!is_usable(&view, "a"));
    assert!(is_usable(&view, "b"));
    assert_eq!(view.endpoints_at(), Revision::new(2, 146));
}

/// The same change, reported by a leader that noticed the restore before this VM.
#[test]
fn a_leader_of_a_new_era_is_followed() {
    let now = Instant::now();
    let (view, mut replication) = (view(now), Replication::default());
    let records = vec![record("a", Standing::Leaving), record("b", Standing::Ready)];

    view.apply_difference(&mut replication, COPY, difference(records), true);

    assert!(!is_usable(&view, "a"));
    assert_eq!(view.endpoints_at(), COPY);
}

/// An earlier era is outdated whatever its change number.
#[test]
fn a_leader_of_an_earlier_era_is_ignored_whatever_its_number() {
    let now = Instant::now();
    let (view, mut replication) = (view(now), Replication::default());
    view.apply_listing(now, Snapshot { at: COPY, value: ready() });
    view.apply_changes(now, Snapshot { at: COPY, value: vec![leaving("a")] });

    view.apply_difference(&mut replication, Revision::new(1, 900), difference(ready()), true);

    assert!(!is_usable(&view, "a"));
    assert_eq!(view.endpoints_at(), COPY);
}

/// A restored entry, from the store or a leader, does not undo that an endpoint is leaving.
#[test]
fn a_known_leave_outlasts_the_copy_and_an_outdated_leader() {
    let now = Instant::now();
    let (view, mut replication) = (view(now), Replication::default());
    view.apply_changes(now, Snapshot { at: KNOWN, value: vec![leaving("a")] });

    view.apply_listing(now, Snapshot { at: COPY, value: ready() });
    let usable_after_restore = is_usable(&view, "a");
    view.apply_difference(&mut replication, Revision::new(2, 140), difference(ready()), true);

    assert!(!usable_after_restore);
    assert!(!is_usable(&view, "a"));
    assert_eq!(view.take_held_back(), vec!["a".to_owned()]);
}

/// Right after a restore the store does not confirm a configuration, as it may lack the newest.
#[test]
fn a_copy_confirms_no_configuration_until_the_operator_has_written_again() {
    let now = Instant::now();
    let view = view(now);
    let settled = Instant::now() + RESTORE_SETTLE_TIME;

    view.confirm_catalog_by_store(now + Duration::from_millis(500), COPY);
    let noticed = Instant::now();
    let early = view.catalog_confirmed();
    view.confirm_catalog_by_store(settled - Duration::from_millis(1), COPY);
    let still_early = view.catalog_confirmed();
    view.confirm_catalog_by_store(noticed + RESTORE_SETTLE_TIME, COPY);

    assert_eq!((early, still_early), (Some(now), Some(now)));
    assert_eq!(view.catalog_confirmed(), Some(noticed + RESTORE_SETTLE_TIME));
    assert_eq!(view.catalog_at(), COPY);
}

/// The first known era says nothing about a restore.
#[test]
fn the_first_known_era_is_no_restore() {
    let now = Instant::now();
    let view = PlatformView::new(REVOCATION);

    view.confirm_catalog_by_store(now, COPY);

    assert_eq!(view.catalog_confirmed(), Some(now));
}

/// One state of the store's list, with its revision.
#[derive(Debug, Clone, Copy)]
struct Listed {
    at: Revision,
    has_left: bool,
}

/// The store is restored repeatedly while one endpoint leaves for good, and its lists reach a VM in
/// any order and any number of times, from the store and from leaders. The VM ends with the newest
/// list, and does not use the endpoint once it knows that it is leaving.
#[test]
fn lists_of_several_eras_in_any_order_leave_the_newest_in_force() {
    for_fixed_seeds(2_000, 512, |u| {
        let now = Instant::now();
        let (view, mut replications) = (view(now), [(); 2].map(|()| Replication::default()));
        let states = states(u)?;
        let mut newest = KNOWN;
        let mut knows_it_left = false;
        for _ in 0..u.int_in_range(1..=30)? {
            let state = *u.choose(&states)?;
            let standing = if state.has_left { Standing::Leaving } else { Standing::Ready };
            let records = vec![record("a", standing), record("b", Standing::Ready)];
            match u.int_in_range(0..=2)? {
                2 => drop(view.apply_listing(now, Snapshot { at: state.at, value: records })),
                leader => {
                    let replication = &mut replications[leader];
                    *replication = Replication::default();
                    view.apply_difference(replication, state.at, difference(records), true);
                }
            }
            knows_it_left |= state.has_left && state.at >= newest;
            newest = newest.max(state.at);
            assert_eq!(view.endpoints_at(), newest);
            assert!(!(knows_it_left && is_usable(&view, "a")), "it left and is used");
        }
        Ok(())
    });
}

/// States of a store that is restored several times. In each era the endpoint leaves at some state;
/// copies may predate that.
fn states(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<Listed>> {
    let mut states = vec![Listed { at: KNOWN, has_left: false }];
    for era in 1..=u.int_in_range::<Era>(1..=4)? {
        let mut number = u.int_in_range(1..=200)?;
        let mut has_left = false;
        for _ in 0..u.int_in_range(1..=4)? {
            has_left |= u.ratio(1, 3)?;
            number += u.int_in_range(1..=20)?;
            states.push(Listed {
                at: Revision::new(era, number + KNOWN.number * u64::from(era == 1)),
                has_left,
            });
        }
    }
    Ok(states)
}
