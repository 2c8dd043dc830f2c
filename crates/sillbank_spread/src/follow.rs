//! Decides where a VM takes its settings from: from the platform if the VM is chosen to watch it or
//! if no other VM seems to, otherwise from peers that hold newer settings.

use sillbank_protocol::gossip::Summary;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without an answer of the platform, direct or through peers, after which a VM that was not
/// chosen watches the platform itself.
const PLATFORM_SILENCE_LIMIT: Duration = Duration::from_secs(8);
/// Minimum pause between full pulls while digests differ at the same version.
const REPAIR_INTERVAL: Duration = Duration::from_secs(10);

/// An action for the caller of [`Follower`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// Request the objects newer than a version from a peer.
    Pull {
        /// The peer.
        peer: SocketAddr,
        /// Version after which objects are requested; 0 requests all.
        after: u64,
    },
}

/// Decides from the summaries of peers when to pull and when to watch the platform.
#[derive(Debug, Default)]
pub struct Follower {
    /// When the platform is known to have answered last, here or at a peer.
    platform_answered: Option<Instant>,
    is_pulling: bool,
    /// The greatest version reported during a pull, and the peer that holds it.
    newest_during_pull: Option<(u64, SocketAddr)>,
    last_repair: Option<Instant>,
}

impl Follower {
    /// Records that the platform answered this VM.
    pub fn on_platform_answer(&mut self, now: Instant) {
        self.platform_answered = self.platform_answered.max(Some(now));
    }

    /// Handles a peer's summary of what it holds; `complete` and `digest` describe what this VM
    /// holds.
    pub fn on_peer_summary(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        theirs: &Summary,
        complete: u64,
        digest: u64,
    ) -> Option<FollowAction> {
        let age = Duration::from_millis(u64::from(theirs.platform_age_ms));
        if let Some(answered) = now.checked_sub(age)
            && theirs.platform_age_ms < u32::MAX
        {
            self.platform_answered = self.platform_answered.max(Some(answered));
        }
        if self.is_pulling {
            self.newest_during_pull = self.newest_during_pull.max(Some((theirs.complete, peer)));
            return None;
        }
        let after = match theirs.complete.cmp(&complete) {
            std::cmp::Ordering::Greater => complete,
            std::cmp::Ordering::Equal if theirs.digest != digest => self.repair(now)?,
            _ => return None,
        };
        self.is_pulling = true;
        Some(FollowAction::Pull { peer, after })
    }

    /// Handles the end of a pull, successful or not; `complete` is the version that this VM holds
    /// now. Starts the next pull at once if a peer reported something newer meanwhile.
    pub fn on_pull_end(&mut self, complete: u64) -> Option<FollowAction> {
        let newer = self.newest_during_pull.take().filter(|(version, _)| *version > complete);
        self.is_pulling = newer.is_some();
        newer.map(|(_, peer)| FollowAction::Pull { peer, after: complete })
    }

    /// Time since the platform's last answer, direct or through peers.
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        self.platform_answered.map(|answered| now.saturating_duration_since(answered))
    }

    /// Whether this VM should watch the platform, given whether it was chosen to.
    pub fn should_watch(&self, now: Instant, is_chosen: bool) -> bool {
        is_chosen || self.platform_age(now).is_none_or(|age| age > PLATFORM_SILENCE_LIMIT)
    }

    /// Handles a peer with the same version but other objects, so that one side has a gap. Returns
    /// 0, to pull everything, at most once per [`REPAIR_INTERVAL`].
    fn repair(&mut self, now: Instant) -> Option<u64> {
        let is_recent =
            self.last_repair.is_some_and(|at| now.saturating_duration_since(at) < REPAIR_INTERVAL);
        if is_recent {
            return None;
        }
        self.last_repair = Some(now);
        Some(0)
    }
}
