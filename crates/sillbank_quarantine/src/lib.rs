//! Requests that end the endpoints that run them: how they are recognised, when they are held back, and what VMs
//! tell each other of them.
//!
//! A caller's next try has an id of its own and mostly comes to another VM. What tells that it is the same request
//! is its [`Fingerprint`]. A request under which an endpoint ended in its beginning is suspected: it may be the reason or
//! have been there by chance. One that then runs well is cleared. One under which three endpoints ended is held back
//! for a term, which doubles with each further end.
//!
//! What is known of a request is a set of ends and the moment at which it was last seen to run well. Sets of several
//! VMs are united, in any order and as often as they are told.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod fingerprint;
mod news;
mod quarantine;
mod suspect;
mod terms;

pub use fingerprint::{Fingerprint, RequestParts};
pub use news::{
    ChangeNumber, EndNews, QuarantineNews, QuarantineRecord, StoredEnd, StoredSuspect, SuspectNews,
};
pub use quarantine::{Quarantine, QuarantineEvent, Teller};
pub use terms::{BEGINNING, ENDS_TO_QUARANTINE, MEMORY, MOST_SUSPECTS, TELL_AFTER};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        BEGINNING, Fingerprint, Quarantine, QuarantineEvent, QuarantineNews, QuarantineRecord,
        RequestParts, SuspectNews, Teller,
    };
}
