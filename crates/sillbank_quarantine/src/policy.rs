//! Limits and terms of the quarantine.

use std::time::Duration;

/// Crashes after which a request is quarantined. One crash is often chance, and two happen to a stream that loses its
/// first engine and then the next; the platform's operators count from the third on.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Crashes from which a request is reported to other VMs at once and kept in the store: one more quarantines it.
pub(crate) const URGENT_CRASHES: usize = CRASHES_TO_QUARANTINE - 1;
/// Time since the first event of a run within which a crash of its endpoint is attributed to it. Requests that
/// crash their endpoint do so within about 0.1 s; a longer run is not the cause, and shows that the request is
/// harmless.
pub const SUSPICION_WINDOW: Duration = Duration::from_secs(1);
/// Time since its first event within which a harmful request crashes its endpoint.
pub(crate) const CRASHING_RUN: Duration = Duration::from_millis(150);
/// Time after a crash for which the request is isolated from others. By then the crashed endpoint has restarted and
/// holds its layers again.
pub(crate) const ISOLATION_TERM: Duration = Duration::from_secs(10);
/// First quarantine term: enough for operators to notice the request and repair the fault that it triggers. Each
/// further crash doubles it.
const INITIAL_TERM: Duration = Duration::from_secs(600);
/// Longest quarantine term.
const MAX_TERM: Duration = Duration::from_secs(3_600);
/// Crashes that are stored for one request; with that many the term is the longest.
pub(crate) const MAX_CRASHES: usize = 6;
/// Time after its last crash for which a request is remembered. After its term it is admitted again, and one more
/// crash quarantines it at once.
pub const RETENTION: Duration = Duration::from_secs(2 * 3_600);
/// Maximum number of remembered requests, of about 300 bytes each. With more suspects than that, many endpoints crashed
/// for another reason.
pub const MAX_SUSPECTS: usize = 4_096;
/// Delay before a first crash is reported to other VMs. Most requests that were only present run elsewhere by then
/// and need not be reported.
pub const REPORT_DELAY: Duration = Duration::from_millis(1_200);
/// Times at which a request ran well that are closer than this are the same run.
pub(crate) const SAME_RUN_TOLERANCE: Duration = Duration::from_secs(1);
/// Crashes of the same incarnation of an endpoint that are closer than this are the same crash. VMs detect it at about
/// the same time, but the store dates it by the time of day, on which VMs disagree by seconds.
pub(crate) const SAME_CRASH_TOLERANCE: Duration = Duration::from_secs(10);

/// Different requests with a part under which endpoints must have crashed before the part is held back. With one request
/// that comes again, the request itself is the likelier cause.
pub const REQUESTS_TO_HOLD_PART: usize = 2;
/// Time within which a mass loss of endpoints takes place. Requests that go on elsewhere may meet several of them.
pub(crate) const MASS_LOSS_TIME: Duration = Duration::from_secs(1);
/// Moments, of [`MASS_LOSS_TIME`] each, at which endpoints must have crashed under a part before it is held back.
pub(crate) const MOMENTS_TO_HOLD_PART: usize = 2;
/// Endpoints that must have crashed under a part if all did within [`MASS_LOSS_TIME`]. The platform's operators limit sends from
/// this many on.
pub(crate) const CRASHES_AT_ONCE: usize = 5;
/// Time after a good run of a part within which crashes do not count against it. A part that has become harmful, as
/// with another version of a model, is suspected after this time.
pub const EXONERATION_TIME: Duration = Duration::from_secs(120);
/// Endpoints whose crashes are remembered for one part. A crash that is forgotten is not explained by the part any more, and
/// counts against other parts.
pub(crate) const MAX_ENDPOINTS_OF_PART: usize = 32;
/// Requests that are remembered for one part and one crash.
pub(crate) const MAX_REQUESTS_OF_CRASH: usize = 2;
/// Organisations whose good runs are remembered with one suspected part.
pub(crate) const MAX_PART_ORGANISATIONS: usize = 16;
/// Maximum number of suspected parts, of up to 7 KB each.
pub const MAX_PART_SUSPECTS: usize = 1_024;
/// Maximum number of parts in the store, of at most 10 KB each: an object may have 1 MB.
pub(crate) const MAX_STORED_PARTS: usize = 64;
/// Remembered good runs of parts under all organisations, of about 60 bytes each.
pub const MAX_GOOD_RUNS: usize = 32_768;
/// Remembered good runs under one organisation.
pub const MAX_GOOD_RUNS_OF_ORGANISATION: usize = 4_096;
/// How long a VM waits for the leader of the hall that observed a crash to write it to the store.
pub(crate) const OTHER_WRITER_DELAY: Duration = Duration::from_secs(1);
/// Time for which the leader of one hall may begin a trial, before it is the turn of the next hall. It is longer than a
/// trial, so that two halls rarely have one at the same time.
pub const TRIAL_TURN: Duration = Duration::from_secs(60);
/// Time that a trial may take, from when its request is admitted. Routes let requests take up to about 20 s.
pub const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after its last crash for which a request with this number of crashes is quarantined; `None` if it is not.
pub(crate) fn quarantine_term(crashes: usize) -> Option<Duration> {
    let doublings = u32::try_from(crashes.checked_sub(CRASHES_TO_QUARANTINE)?).unwrap_or(u32::MAX);
    let term = INITIAL_TERM.saturating_mul(2_u32.saturating_pow(doublings));
    Some(term.min(MAX_TERM))
}
