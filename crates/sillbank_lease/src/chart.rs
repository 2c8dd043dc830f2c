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
        /// The object was read: no VM holds the lease.
        Free = "free",
        /// The object was read: this VM's pending write has taken effect.
        OwnFound = "own_found",
        /// The object was read: it still has the version that this VM holds.
        StillHeld = "still_held",
        /// The object was read: another VM holds the lease, or may hold it.
        Others = "others",
        /// The object was read: another VM's lease has lapsed, or the record names this
        /// VM, which may take the lease at once.
        OthersLapsed = "others_lapsed",
        /// The write took effect.
        Written = "written",
        /// The object had another version than the write expected.
        Changed = "changed",
        /// The write was refused or never sent.
        Refused = "refused",
        /// The write was not answered.
        Lost = "lost",
        /// A third of the term has passed.
        RenewDue = "renew_due",
        /// The part of the term in which this VM uses the lease is over.
        Lapsed = "lapsed",
        /// The lease is to be released or handed over.
        Release = "give_up",
        /// The store was restored from a copy.
        Restored = "restored",
        /// The object was read after a restore, and the old term is not over.
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
