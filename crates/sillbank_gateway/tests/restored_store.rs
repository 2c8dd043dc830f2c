//! What a VM believes of a store that was restored from a copy, by the store and by other VMs.

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
/// Revision of the list that a VM has before the restore, and that of the copy.
const KNOWN: Revision = Revision { era: 1, number: 162 };
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

/// A VM that knows two endpoints and a configuration.
fn platform(now: Instant) -> PlatformView {
    let platform = PlatformView::new(REVOCATION);
    let parts = CatalogParts { version: 3, ..CatalogParts::default() };
    let catalog = Catalog::new(parts.clone()).expect("it is valid");
    platform.offer_catalog(catalog, parts);
    platform.confirm_catalog(now, KNOWN);
    platform.apply_listing(now, Snapshot { at: KNOWN, value: ready() });
    platform
}

fn is_usable(platform: &PlatformView, id: &str) -> bool {
    platform.endpoints(|directory| directory.usable(id).is_some())
}

/// What a leader with a directory of its own tells a VM that has seen nothing of it.
fn told(records: Vec<EndpointRecord>) -> Difference {
    let mut leader = Directory::default();
    leader.on_listing(Instant::now(), records);
    leader.difference(Instant::now(), 0, 10)
}

/// Changes of a restored store have lower numbers than what was known, and were passed over as late.
#[test]
fn an_endpoint_that_leaves_at_a_lower_number_of_a_new_era_gets_nothing_new() {
    let now = Instant::now();
    let platform = platform(now);

    platform.apply_listing(now, Snapshot { at: COPY, value: ready() });
    let changes = Snapshot { at: Revision::new(2, 146), value: vec![leaving("a")] };
    platform.apply_changes(now, changes);

    assert!(!is_usable(&platform, "a"));
    assert!(is_usable(&platform, "b"));
    assert_eq!(platform.endpoints_at(), Revision::new(2, 146));
}

/// The same by a leader that has noticed the restore before this VM.
#[test]
fn a_leader_of_a_new_era_is_believed() {
    let now = Instant::now();
    let (platform, mut replication) = (platform(now), Replication::default());
    let records = vec![record("a", Standing::Leaving), record("b", Standing::Ready)];

    platform.apply_difference(&mut replication, COPY, told(records), true);

    assert!(!is_usable(&platform, "a"));
    assert_eq!(platform.endpoints_at(), COPY);
}

#[test]
fn a_leader_of_an_era_that_is_over_is_not_believed_whatever_its_number() {
    let now = Instant::now();
    let (platform, mut replication) = (platform(now), Replication::default());
    platform.apply_listing(now, Snapshot { at: COPY, value: ready() });
    platform.apply_changes(now, Snapshot { at: COPY, value: vec![leaving("a")] });

    platform.apply_difference(&mut replication, Revision::new(1, 900), told(ready()), true);

    assert!(!is_usable(&platform, "a"));
    assert_eq!(platform.endpoints_at(), COPY);
}

#[test]
fn what_this_vm_heard_itself_outlasts_the_copy_and_a_leader_that_does_not_know() {
    let now = Instant::now();
    let (platform, mut replication) = (platform(now), Replication::default());
    platform.apply_changes(now, Snapshot { at: KNOWN, value: vec![leaving("a")] });

    platform.apply_listing(now, Snapshot { at: COPY, value: ready() });
    let by_store = is_usable(&platform, "a");
    platform.apply_difference(&mut replication, Revision::new(2, 140), told(ready()), true);

    assert!(!by_store);
    assert!(!is_usable(&platform, "a"));
    assert_eq!(platform.take_held_back(), vec!["a".to_owned()]);
}

#[test]
fn a_copy_confirms_no_configuration_until_the_operator_has_written_again() {
    let now = Instant::now();
    let platform = platform(now);
    let settled = Instant::now() + RESTORE_SETTLE_TIME;

    platform.confirm_catalog_by_store(now + Duration::from_millis(500), COPY);
    let noticed = Instant::now();
    let early = platform.catalog_confirmed();
    platform.confirm_catalog_by_store(settled - Duration::from_millis(1), COPY);
    let still_early = platform.catalog_confirmed();
    platform.confirm_catalog_by_store(noticed + RESTORE_SETTLE_TIME, COPY);

    assert_eq!((early, still_early), (Some(now), Some(now)));
    assert_eq!(platform.catalog_confirmed(), Some(noticed + RESTORE_SETTLE_TIME));
    assert_eq!(platform.catalog_at(), COPY);
}

#[test]
fn the_first_era_that_a_vm_hears_of_is_no_restore() {
    let now = Instant::now();
    let platform = PlatformView::new(REVOCATION);

    platform.confirm_catalog_by_store(now, COPY);

    assert_eq!(platform.catalog_confirmed(), Some(now));
}

/// One state of the store's list, as of an era and a number.
#[derive(Debug, Clone, Copy)]
struct Listed {
    at: Revision,
    has_left: bool,
}

/// The store is restored again and again while one endpoint leaves for good; its lists reach a VM in any order and as often as they
/// like, by the store and by leaders. It ends with the newest list, and does not use the endpoint once it has heard that it leaves.
#[test]
fn lists_of_several_eras_in_any_order_leave_the_newest_in_force() {
    for_fixed_seeds(2_000, 512, |u| {
        let now = Instant::now();
        let (platform, mut replications) =
            (platform(now), [(); 2].map(|()| Replication::default()));
        let states = states(u)?;
        let mut newest = KNOWN;
        let mut has_heard = false;
        for _ in 0..u.int_in_range(1..=30)? {
            let state = *u.choose(&states)?;
            let standing = if state.has_left { Standing::Leaving } else { Standing::Ready };
            let records = vec![record("a", standing), record("b", Standing::Ready)];
            match u.int_in_range(0..=2)? {
                2 => drop(platform.apply_listing(now, Snapshot { at: state.at, value: records })),
                leader => {
                    let replication = &mut replications[leader];
                    *replication = Replication::default();
                    platform.apply_difference(replication, state.at, told(records), true);
                }
            }
            has_heard |= state.has_left && state.at >= newest;
            newest = newest.max(state.at);
            assert_eq!(platform.endpoints_at(), newest);
            assert!(!(has_heard && is_usable(&platform, "a")), "it left and is used");
        }
        Ok(())
    });
}

/// States of a store that is restored some times; from one of them on the endpoint has left, but in copies.
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
