//! A VM serves what it pulled as soon as enough peers were heard, also after its only pull.

use sillbank_spread::{PeerView, may_serve};

const PULLED: PeerView = PeerView { heard: 2, known: 9, newest: Some(69), complete: Some(69) };

#[test]
fn a_pull_that_ends_before_enough_peers_were_heard_is_served_when_they_are() {
    assert!(!may_serve(PULLED));
    assert!(may_serve(PeerView { heard: 3, ..PULLED }));
}

#[test]
fn a_vm_that_holds_nothing_or_less_than_a_peer_does_not_serve() {
    assert!(!may_serve(PeerView { heard: 9, complete: None, ..PULLED }));
    assert!(!may_serve(PeerView { heard: 9, complete: Some(68), ..PULLED }));
}

#[test]
fn a_hall_of_two_needs_no_third_to_be_heard() {
    assert!(may_serve(PeerView { heard: 2, known: 2, ..PULLED }));
}
