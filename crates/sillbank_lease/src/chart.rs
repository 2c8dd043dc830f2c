//! The chart of a lease: names, and the file they are read from.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;

named_enum! {
    /// Where a lease stands, as one VM sees it.
    pub enum LeaseState {
        /// Not held.
        Idle = "idle",
        /// A first write is on its way.
        Writing = "writing",
        /// A first write's answer was lost.
        Unsure = "unsure",
        /// Held.
        Held = "held",
        /// A renewal is on its way; held until the old term is over.
        Renewing = "renewing",
        /// A renewal's answer was lost; held until the old term is over.
        RenewUnsure = "renew_unsure",
        /// The write that frees it is on its way; not held any more.
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
