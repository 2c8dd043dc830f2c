//! Quarantine of requests that crash the endpoints that run them: how such requests are identified, when they are
//! quarantined, and which updates about them VMs exchange.
//!
//! A retry of a caller has its own id and usually arrives at another VM. Requests are therefore identified by their
//! [`Fingerprint`]. A request becomes a suspect if an endpoint crashes in the first moments of running it: it may be
//! the cause, or have been there by chance. A suspect that then runs well is cleared. A request with three crashes is
//! quarantined for a term, which doubles with each further crash.
//!
//! The state of a request is a set of crashes and the time at which it was last seen to run well. Sets of different
//! VMs are merged; the result does not depend on the order or number of updates.
//!
//! This crate is pure: it uses no sockets, clock or threads.

#![forbid(unsafe_code)]

mod fingerprint;
mod policy;
mod prompt_parts;
mod quarantine;
mod suspect;
mod updates;

pub use fingerprint::{Fingerprint, RequestIdentity};
pub use policy::{CRASHES_TO_QUARANTINE, MAX_SUSPECTS, REPORT_DELAY, RETENTION, SUSPICION_WINDOW};
pub use prompt_parts::{MAX_PROMPT_PARTS, PartId, PromptParts, UnreadableParts};
pub use quarantine::{Quarantine, QuarantineEvent, UpdateSource};
pub use updates::{
    ChangeNumber, CrashUpdate, QuarantineRecord, QuarantineUpdate, StoredCrash, StoredSuspect,
    SuspectUpdate,
};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        CRASHES_TO_QUARANTINE, Fingerprint, MAX_PROMPT_PARTS, PartId, PromptParts, Quarantine,
        QuarantineEvent, QuarantineRecord, QuarantineUpdate, RequestIdentity, SUSPICION_WINDOW,
        SuspectUpdate, UnreadableParts, UpdateSource,
    };
}
