//! A VM serves the settings it pulled once enough peers have sent a summary.

use sillbank_spread::{PeerView, may_serve};

const PULLED: PeerView = PeerView { heard: 2, known: 9, newest: Some(69), complete: Some(69) };

/// Guards against never serving when the only pull ends before enough peers have sent a summary.
#[test]
fn early_pull_is_served_once_enough_peers_were_heard() {
    assert!(!may_serve(PULLED));
    assert!(may_serve(PeerView { heard: 3, ..PULLED }));
}

/// A VM serves neither before its first pull nor while a peer holds a newer version.
#[test]
fn vm_with_no_or_older_settings_does_not_serve() {
    assert!(!may_serve(PeerView { heard: 9, complete: None, ..PULLED }));
    assert!(!may_serve(PeerView { heard: 9, complete: Some(68), ..PULLED }));
}

/// With fewer known VMs than the minimum, all of them suffice.
#[test]
fn two_peers_are_enough_if_no_others_are_known() {
    assert!(may_serve(PeerView { heard: 2, known: 2, ..PULLED }));
}
