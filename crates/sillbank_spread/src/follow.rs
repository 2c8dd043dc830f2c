//! Where one VM takes its settings from: the platform if it is chosen to watch it or if nobody
//! else seems to, else peers that hold newer ones.

use sillbank_protocol::gossip::Summary;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Without word from the platform, direct or through peers, for so long, a VM that was not
/// chosen tries the platform itself.
const ORPHANED: Duration = Duration::from_secs(8);
/// Pause between pulls while digests differ at the same version.
const REPAIR_PAUSE: Duration = Duration::from_secs(10);

/// What the driver has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// Ask a peer for what is newer than a version.
    Pull {
        /// The peer.
        peer: SocketAddr,
        /// Version after which objects are wanted; 0 asks for all.
        after: u64,
    },
}

/// Decides from what is heard.
#[derive(Debug, Default)]
pub struct Follower {
    platform_heard: Option<Instant>,
    pulling: bool,
    /// The greatest version heard of during a pull, and who holds it.
    heard_meanwhile: Option<(u64, SocketAddr)>,
    repaired_at: Option<Instant>,
}

impl Follower {
    /// The platform answered this VM.
    pub fn on_platform(&mut self, now: Instant) {
        self.platform_heard = self.platform_heard.max(Some(now));
    }

    /// A peer told what it holds; `complete` and `digest` are what this VM holds.
    pub fn on_peer(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        theirs: &Summary,
        complete: u64,
        digest: u64,
    ) -> Option<FollowAction> {
        let age = Duration::from_millis(u64::from(theirs.platform_age_ms));
        if let Some(heard) = now.checked_sub(age)
            && theirs.platform_age_ms < u32::MAX
        {
            self.platform_heard = self.platform_heard.max(Some(heard));
        }
        if self.pulling {
            self.heard_meanwhile = self.heard_meanwhile.max(Some((theirs.complete, peer)));
            return None;
        }
        let after = match theirs.complete.cmp(&complete) {
            std::cmp::Ordering::Greater => complete,
            std::cmp::Ordering::Equal if theirs.digest != digest => self.repair(now)?,
            _ => return None,
        };
        self.pulling = true;
        Some(FollowAction::Pull { peer, after })
    }

    /// A pull has ended, well or not; `complete` is what this VM holds now. Goes on at once if
    /// something newer was heard of meanwhile.
    pub fn on_pulled(&mut self, complete: u64) -> Option<FollowAction> {
        let newer = self.heard_meanwhile.take().filter(|(version, _)| *version > complete);
        self.pulling = newer.is_some();
        newer.map(|(_, peer)| FollowAction::Pull { peer, after: complete })
    }

    /// Age of the last word from the platform, direct or through peers.
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        self.platform_heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether this VM should ask the platform, given whether it was chosen to.
    pub fn should_watch(&self, now: Instant, chosen: bool) -> bool {
        chosen || self.platform_age(now).is_none_or(|age| age > ORPHANED)
    }

    /// Same version but other objects: one side has a gap; asks for everything, but seldom.
    fn repair(&mut self, now: Instant) -> Option<u64> {
        let recent =
            self.repaired_at.is_some_and(|at| now.saturating_duration_since(at) < REPAIR_PAUSE);
        if recent {
            return None;
        }
        self.repaired_at = Some(now);
        Some(0)
    }
}
