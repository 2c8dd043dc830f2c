//! From when on a VM serves the settings that it pulled from peers, without the platform's own word.

/// VMs that must have been heard, if so many are known.
pub const HEARD_ENOUGH: usize = 3;

/// What a VM has heard of its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerView {
    /// VMs that were heard.
    pub heard: usize,
    /// VMs that are known and live, this one included.
    pub known: usize,
    /// Newest version that was heard of lately.
    pub newest: Option<u64>,
    /// Version up to which this VM holds everything; `None` before the first pull.
    pub complete: Option<u64>,
}

/// Whether enough VMs were heard and none of them holds more. To be asked after each pull and whenever
/// a peer is heard: the only pull may end before enough peers were.
pub fn may_serve(view: PeerView) -> bool {
    let holds_newest = |complete| view.newest.is_none_or(|newest| newest <= complete);
    view.heard >= HEARD_ENOUGH.min(view.known) && view.complete.is_some_and(holds_newest)
}
