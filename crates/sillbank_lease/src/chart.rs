//! The state chart of a lease: its states, events and actions, and the file that defines it.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;

named_enum! {
    /// State of a lease as seen by one VM.
    pub enum LeaseState {
        /// Not held.
        Idle = "idle",
        /// A first write is in flight.
        Writing = "writing",
        /// The answer to a first write was lost; the write may have taken effect.
        Unsure = "unsure",
        /// Held.
        Held = "held",
        /// A renewal is in flight; held until the old term is over.
        Renewing = "renewing",
        /// The answer to a renewal was lost; held until the old term is over.
        RenewUnsure = "renew_unsure",
        /// The write that frees it is in flight; no longer held.
        Releasing = "releasing",
        /// The store was restored from a copy; held until the old term is over.
        Restored = "restored",
    }
}

named_enum! {
    pub(crate) enum LeaseEvent {
        Free = "free",
        OwnFound = "own_found",
        StillHeld = "still_held",
        Others = "others",
        OthersLapsed = "others_lapsed",
        Written = "written",
        Changed = "changed",
        Refused = "refused",
        Lost = "lost",
        RenewDue = "renew_due",
        Lapsed = "lapsed",
        GiveUp = "give_up",
        Restored = "restored",
        Reread = "reread",
    }
}

named_enum! {
    pub(crate) enum LeaseAction {
        Nothing = "nothing",
        Watch = "watch",
        WriteOwn = "write_own",
        WriteFree = "write_free",
        Hold = "hold",
        Drop = "drop",
    }
}

static CHART: LazyLock<Chart<LeaseState, LeaseEvent, LeaseAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/lease.toml"))
        .expect("the built-in chart is checked by a test")
});

pub(crate) fn chart() -> &'static Chart<LeaseState, LeaseEvent, LeaseAction> {
    &CHART
}
