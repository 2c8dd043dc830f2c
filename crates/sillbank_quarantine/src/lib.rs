//! Quarantine of requests, and of parts of prompts, that crash the endpoints that run them: how they are identified, when
//! they are held back, and which updates about them VMs exchange.
//!
//! [`CrashQuarantine`] is the whole: it takes evidence (crashes and good runs of requests with their [`RequestTraits`])
//! and returns a [`Verdict`].
//!
//! # Requests
//!
//! A retry of a caller has its own id and usually arrives at another VM. Requests are therefore identified by their
//! [`Fingerprint`]. A request becomes a suspect if an endpoint crashes in the first moments of running it: it may be
//! the cause, or have been there by chance. A suspect that then runs well is cleared. A request with three crashes is
//! quarantined for a term, which doubles with each further crash.
//!
//! # Parts of prompts
//!
//! Requests that share a harmful part differ in all else. A part is held back after three crashes under two requests or
//! more, each sent after the crash before, unless they look like a mass loss of endpoints. All requests at an endpoint that
//! crashes look alike, so crashes are attributed to the part that explains most of them, and parts that ran well before
//! are no suspects.
//!
//! # Exchange
//!
//! The state of a request or a part is a set of crashes and the time at which it was last seen to run well. Sets of different
//! VMs are merged; the result does not depend on the order or number of updates.
//!
//! This crate is pure: it uses no sockets, clock or threads.

#![forbid(unsafe_code)]

mod attribution;
mod crash_pattern;
mod crash_quarantine;
mod evidence;
mod fingerprint;
mod good_runs;
mod part_quarantine;
mod part_suspect;
mod part_updates;
mod policy;
mod prompt_parts;
mod quarantine;
mod request_traits;
mod suspect;
mod updates;
mod verdict;

pub use crash_quarantine::{CrashQuarantine, HoldEvent, TrialTurns};
pub use evidence::CrashEvidence;
pub use fingerprint::{Fingerprint, RequestIdentity};
pub use good_runs::GoodRuns;
pub use part_quarantine::PartEvent;
pub use part_updates::{
    GoodRunUpdate, PartCrashUpdate, PartUpdate, PartUpdates, RequestTag, StoredGoodRun, StoredPart,
    StoredPartCrash,
};
pub use policy::{
    CRASHES_TO_QUARANTINE, EXONERATION_TIME, MAX_GOOD_RUNS, MAX_GOOD_RUNS_OF_ORGANISATION,
    MAX_PART_SUSPECTS, MAX_SUSPECTS, REPORT_DELAY, REQUESTS_TO_HOLD_PART, RETENTION,
    SUSPICION_WINDOW, TRIAL_TIMEOUT, TRIAL_TURN,
};
pub use prompt_parts::{MAX_PROMPT_PARTS, PartId, PromptParts, UnreadableParts};
pub use quarantine::{Quarantine, QuarantineEvent, UpdateSource};
pub use request_traits::{OrganisationTag, PartKey, RequestTraits, ServiceTag};
pub use updates::{
    ChangeNumber, CrashUpdate, QuarantineRecord, QuarantineUpdate, StoredCrash, StoredSuspect,
    SuspectUpdate,
};
pub use verdict::{Hold, HoldCause, Verdict};

/// Commonly used types.
pub mod prelude {
    pub use crate::{
        CRASHES_TO_QUARANTINE, CrashEvidence, CrashQuarantine, Fingerprint, Hold, HoldCause,
        HoldEvent, MAX_PROMPT_PARTS, PartEvent, PartId, PartKey, PartUpdate, PartUpdates,
        PromptParts, Quarantine, QuarantineEvent, QuarantineRecord, QuarantineUpdate,
        RequestIdentity, RequestTraits, SUSPICION_WINDOW, SuspectUpdate, TrialTurns,
        UnreadableParts, UpdateSource, Verdict,
    };
}
