//! No VM is left without a source: whatever comes and goes, somebody follows the store for it.

use sillbank_gateway::sources::{SourceState, WatchKind, relies_on_leader};
use sillbank_testing::for_fixed_seeds;

const ALL_WELL: SourceState = SourceState {
    leader_is_live: true,
    leader_holds_lease: true,
    leader_is_fresh: true,
    has_catalog: true,
    store_is_reached: true,
    is_source: false,
    awaits_leader: false,
};

fn asks(followed: WatchKind, view: SourceState) -> bool {
    !relies_on_leader(followed, view)
}

#[test]
fn a_vm_whose_leader_suffices_asks_nothing() {
    assert!(!asks(WatchKind::Catalog, ALL_WELL));
    assert!(!asks(WatchKind::Endpoints, ALL_WELL));
}

#[test]
fn a_vm_that_lost_the_store_itself_is_told_endpoints_by_its_leader() {
    let view = SourceState { store_is_reached: false, ..ALL_WELL };

    assert!(!asks(WatchKind::Endpoints, view));
}

#[test]
fn a_vm_without_a_leader_asks_for_both() {
    let view = SourceState {
        leader_is_live: false,
        leader_holds_lease: false,
        leader_is_fresh: false,
        ..ALL_WELL
    };

    assert!(asks(WatchKind::Catalog, view));
    assert!(asks(WatchKind::Endpoints, view));
}

#[test]
fn a_leader_that_has_lost_the_store_is_not_waited_for() {
    let view = SourceState {
        leader_holds_lease: false,
        leader_is_fresh: false,
        has_catalog: false,
        ..ALL_WELL
    };

    assert!(asks(WatchKind::Catalog, view));
}

#[test]
fn a_vm_that_its_leader_relies_on_follows_both() {
    let view = SourceState { is_source: true, leader_holds_lease: false, ..ALL_WELL };

    assert!(asks(WatchKind::Catalog, view));
    assert!(asks(WatchKind::Endpoints, view));
}

#[test]
fn a_vm_that_its_leader_relied_on_and_that_lost_the_store_does_as_the_others() {
    let view = SourceState { is_source: true, store_is_reached: false, ..ALL_WELL };

    assert!(!asks(WatchKind::Catalog, view));
}

#[test]
fn a_vm_that_begins_waits_for_its_leader() {
    let view = SourceState {
        leader_is_live: false,
        leader_holds_lease: false,
        leader_is_fresh: false,
        has_catalog: false,
        awaits_leader: true,
        ..ALL_WELL
    };

    assert!(!asks(WatchKind::Catalog, view));
    assert!(!asks(WatchKind::Endpoints, view));
}

/// Each step is a poll of both tasks: one that asks learns whether the store answers this VM.
#[test]
fn endpoints_are_followed_two_polls_after_the_leader_fails_if_the_store_answers() {
    for_fixed_seeds(500, 128, |u| {
        let mut store_is_reached = true;
        let mut polls_without_source = 0;
        for _ in 0..u.int_in_range(1..=30)? {
            let leader_is_live: bool = u.arbitrary()?;
            let store_answers: bool = u.arbitrary()?;
            let leader_holds_lease = leader_is_live && u.arbitrary()?;
            let view = SourceState {
                leader_is_live,
                leader_holds_lease,
                leader_is_fresh: leader_is_live && u.arbitrary()?,
                has_catalog: u.arbitrary()?,
                store_is_reached,
                is_source: u.arbitrary()?,
                awaits_leader: false,
            };
            let catalog_asks = asks(WatchKind::Catalog, view);
            let endpoints_ask = asks(WatchKind::Endpoints, view);
            if catalog_asks || endpoints_ask {
                store_is_reached = store_answers;
            }
            let has_source =
                view.leader_is_fresh || endpoints_ask || (leader_holds_lease && !view.has_catalog);
            polls_without_source =
                if has_source || !store_answers { 0 } else { polls_without_source + 1 };
            assert!(polls_without_source < 2, "{view:?}");
        }
        Ok(())
    });
}
