//! For how long a request that ended its endpoints is held back and remembered.

use std::time::Duration;

/// Ends of endpoints after which a request is held back. One end is often chance, and two happen to a stream whose
/// first engine and then the next are lost; the platform's operators count from the third on.
pub const ENDS_TO_QUARANTINE: usize = 3;
/// Ends from which other VMs hear at once and the store keeps a request: one more holds it back.
pub(crate) const URGENT_ENDS: usize = ENDS_TO_QUARANTINE - 1;
/// How long a run may have lasted, since its first event, for its endpoint's end to be laid to it. Those that
/// end their endpoint do so within some 0.1 s; a run that has lasted so long is not the reason, and shows that
/// the request is sound.
pub const BEGINNING: Duration = Duration::from_secs(1);
/// How long after an end its request is kept apart from others. By then the endpoint that ended is back and holds its
/// layers again.
pub(crate) const KEPT_APART: Duration = Duration::from_secs(10);
/// First time for which a request is held back: enough for operators to see it and repair what it meets. Each
/// further end doubles it.
const FIRST_TERM: Duration = Duration::from_secs(600);
/// Longest time for which it is held back.
const LONGEST_TERM: Duration = Duration::from_secs(3_600);
/// Ends that are remembered of one request: with that many the term is the longest.
pub(crate) const MOST_ENDS: usize = 6;
/// How long after its last end a request is remembered. After its term it is let in again, and one end more
/// holds it back at once.
pub const MEMORY: Duration = Duration::from_secs(2 * 3_600);
/// Requests that are remembered at most, some 300 bytes each. Where more are suspected many endpoints ended for
/// another reason.
pub const MOST_SUSPECTS: usize = 4_096;
/// How long a first end waits before other VMs hear of it. Most requests that were beside it run elsewhere by then
/// and need not be told of.
pub const TELL_AFTER: Duration = Duration::from_millis(1_200);
/// Moments at which a request ran well that are told within so long of each other are one.
pub(crate) const SAME_RUN_WITHIN: Duration = Duration::from_secs(1);
/// Ends of one life of an endpoint that are told within so long of each other are one. VMs see it at about the same
/// moment, but the store dates it by the time of day, on which VMs disagree by seconds.
pub(crate) const SAME_END_WITHIN: Duration = Duration::from_secs(10);

/// How long a request with so many ends is held back after the last one; `None` if it is not.
pub(crate) fn term_after(ends: usize) -> Option<Duration> {
    let doublings = u32::try_from(ends.checked_sub(ENDS_TO_QUARANTINE)?).unwrap_or(u32::MAX);
    let term = FIRST_TERM.saturating_mul(2_u32.saturating_pow(doublings));
    Some(term.min(LONGEST_TERM))
}
