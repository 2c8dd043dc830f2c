//! When a VM may serve settings that it pulled from peers, without an answer of the platform.

/// Number of VMs that must have sent a summary; if fewer are known, all of them must have.
pub const MIN_PEERS_HEARD: usize = 3;

/// What a VM knows of its peers' settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerView {
    /// Number of VMs that have sent a summary.
    pub heard: usize,
    /// Number of known live VMs, without this one.
    pub known: usize,
    /// Newest version in recent summaries.
    pub newest: Option<u64>,
    /// Version up to which this VM holds every change; `None` before the first pull.
    pub complete: Option<u64>,
}

/// Whether enough VMs have sent a summary and none of them holds a newer version. Must be checked
/// after each pull and after each summary, since the only pull may end before enough summaries
/// arrived.
pub fn may_serve(view: PeerView) -> bool {
    let holds_newest = |complete| view.newest.is_none_or(|newest| newest <= complete);
    view.heard >= MIN_PEERS_HEARD.min(view.known) && view.complete.is_some_and(holds_newest)
}
