//! No VM is left without a source: in every state either its leader or the store keeps it up to
//! date.

use sillbank_gateway::sources::{SourceState, WatchKind, relies_on_leader};
use sillbank_testing::for_fixed_seeds;

const NORMAL: SourceState = SourceState {
    leader_is_live: true,
    leader_holds_lease: true,
    leader_is_fresh: true,
    has_catalog: true,
    store_is_reached: true,
    is_source: false,
    awaits_leader: false,
};

/// Whether the VM calls the store itself.
fn asks(kind: WatchKind, state: SourceState) -> bool {
    !relies_on_leader(kind, state)
}

/// A VM with a fresh leader makes no calls to the store.
#[test]
fn a_vm_with_a_fresh_leader_asks_nothing() {
    assert!(!asks(WatchKind::Catalog, NORMAL));
    assert!(!asks(WatchKind::Endpoints, NORMAL));
}

/// A VM that cannot reach the store gets endpoints from its leader.
#[test]
fn a_vm_that_lost_the_store_gets_endpoints_from_its_leader() {
    let state = SourceState { store_is_reached: false, ..NORMAL };

    assert!(!asks(WatchKind::Endpoints, state));
}

/// Without a leader a VM gets both the configuration and the endpoints from the store itself.
#[test]
fn a_vm_without_a_leader_gets_both_from_the_store() {
    let state = SourceState {
        leader_is_live: false,
        leader_holds_lease: false,
        leader_is_fresh: false,
        ..NORMAL
    };

    assert!(asks(WatchKind::Catalog, state));
    assert!(asks(WatchKind::Endpoints, state));
}

/// A VM without a configuration does not wait for a leader that has lost the store.
#[test]
fn a_leader_that_has_lost_the_store_is_not_waited_for() {
    let state = SourceState {
        leader_holds_lease: false,
        leader_is_fresh: false,
        has_catalog: false,
        ..NORMAL
    };

    assert!(asks(WatchKind::Catalog, state));
}

/// A source, from which its leader gets updates, follows both in the store even while the leader is
/// fresh.
#[test]
fn a_source_follows_configuration_and_endpoints() {
    let state = SourceState { is_source: true, leader_holds_lease: false, ..NORMAL };

    assert!(asks(WatchKind::Catalog, state));
    assert!(asks(WatchKind::Endpoints, state));
}

/// A source that has lost the store behaves like other followers.
#[test]
fn a_source_that_lost_the_store_behaves_like_the_others() {
    let state = SourceState { is_source: true, store_is_reached: false, ..NORMAL };

    assert!(!asks(WatchKind::Catalog, state));
}

/// A VM that starts makes no calls before the wait for its leader is over.
#[test]
fn a_vm_that_starts_waits_for_its_leader() {
    let state = SourceState {
        leader_is_live: false,
        leader_holds_lease: false,
        leader_is_fresh: false,
        has_catalog: false,
        awaits_leader: true,
        ..NORMAL
    };

    assert!(!asks(WatchKind::Catalog, state));
    assert!(!asks(WatchKind::Endpoints, state));
}

/// In each step both tasks check where to get updates. A task that calls the store learns whether it
/// answers this VM.
#[test]
fn endpoints_are_followed_two_checks_after_the_leader_fails_if_the_store_answers() {
    for_fixed_seeds(500, 128, |u| {
        let mut store_is_reached = true;
        let mut checks_without_source = 0;
        for _ in 0..u.int_in_range(1..=30)? {
            let leader_is_live: bool = u.arbitrary()?;
            let store_answers: bool = u.arbitrary()?;
            let leader_holds_lease = leader_is_live && u.arbitrary()?;
            let state = SourceState {
                leader_is_live,
                leader_holds_lease,
                leader_is_fresh: leader_is_live && u.arbitrary()?,
                has_catalog: u.arbitrary()?,
                store_is_reached,
                is_source: u.arbitrary()?,
                awaits_leader: false,
            };
            let catalog_asks = asks(WatchKind::Catalog, state);
            let endpoints_ask = asks(WatchKind::Endpoints, state);
            if catalog_asks || endpoints_ask {
                store_is_reached = store_answers;
            }
            let has_source = state.leader_is_fresh
                || endpoints_ask
                || (leader_holds_lease && !state.has_catalog);
            checks_without_source =
                if has_source || !store_answers { 0 } else { checks_without_source + 1 };
            assert!(checks_without_source < 2, "{state:?}");
        }
        Ok(())
    });
}
