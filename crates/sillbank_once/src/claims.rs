//! The claimed keys of one slot, kept by the slot's holder.

use sillbank_core::prelude::*;
use sillbank_protocol::once::{Claim, ClaimAnswer, ClaimState};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum difference between the wall clocks of two VMs.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// The claimed keys of one slot.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<RequestUid, Claim>,
    /// Keys with the times of their claims, oldest first. Claims that were handed over are in no
    /// particular order, so some of them are kept longer than the retention.
    by_time: VecDeque<(u64, RequestUid)>,
    /// Unix time in milliseconds; keys claimed before it may be missing.
    complete_from_ms: u64,
}

impl Claims {
    /// The empty claims of a slot that was never held before.
    pub fn complete() -> Self {
        Self::default()
    }

    /// The claims of a slot that was taken over at `now_ms` without those of the previous holder.
    pub fn after_takeover(now_ms: u64) -> Self {
        Self { complete_from_ms: now_ms, ..Self::default() }
    }

    /// Claims that the previous holder handed over.
    pub fn from_handover(claims: Vec<Claim>, complete_from_ms: u64) -> Self {
        let mut all = Self { complete_from_ms, ..Self::default() };
        for claim in claims {
            all.by_time.push_back((claim.claimed_ms, claim.uid));
            all.claims.insert(claim.uid, claim);
        }
        all
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// All claims, and the time from which they are complete, to hand them over.
    pub fn export(&self) -> (Vec<Claim>, u64) {
        (self.claims.values().copied().collect(), self.complete_from_ms)
    }

    /// Claims a key under the number `claim_id`, if that is safe. `retention` is how long a claim
    /// is kept, and how long after its first attempt a caller may retry.
    pub fn claim(
        &mut self,
        now_ms: u64,
        uid: RequestUid,
        minted_ms: Option<u64>,
        claim_id: u64,
        retention: Duration,
    ) -> ClaimAnswer {
        let retention_ms = retention.as_millis() as u64;
        self.remove_expired(now_ms, retention_ms);
        if let Some(claim) = self.claims.get(&uid) {
            return ClaimAnswer::Taken(claim.state);
        }
        let skew_ms = MAX_CLOCK_SKEW.as_millis() as u64;
        let age_ms = now_ms.saturating_sub(minted_ms.unwrap_or(now_ms));
        if age_ms > retention_ms.saturating_sub(skew_ms) {
            // The key may have been claimed, and that claim removed since.
            return ClaimAnswer::Undetermined { wait_ms: u64::MAX };
        }
        let is_newer = minted_ms.is_some_and(|minted| minted > self.complete_from_ms + skew_ms);
        let complete_at = self.complete_from_ms + retention_ms;
        if self.complete_from_ms > 0 && !is_newer && now_ms < complete_at {
            return ClaimAnswer::Undetermined { wait_ms: complete_at - now_ms };
        }
        let claim = Claim { uid, claim: claim_id, claimed_ms: now_ms, state: ClaimState::Open };
        self.claims.insert(uid, claim);
        self.by_time.push_back((now_ms, uid));
        ClaimAnswer::Granted(claim_id)
    }

    /// Records the end of the call under a claim. A call that was not run frees its key.
    pub fn end(&mut self, uid: RequestUid, claim_id: u64, run: RunState) {
        let Some(claim) = self.claims.get_mut(&uid).filter(|claim| claim.claim == claim_id) else {
            return;
        };
        match run {
            RunState::NotRun => drop(self.claims.remove(&uid)),
            RunState::Ran => claim.state = ClaimState::Ran,
            RunState::Unknown => claim.state = ClaimState::Unknown,
        }
    }

    fn remove_expired(&mut self, now_ms: u64, retention_ms: u64) {
        while let Some((claimed_ms, uid)) = self.by_time.front().copied() {
            if claimed_ms + retention_ms > now_ms {
                return;
            }
            self.by_time.pop_front();
            if self.claims.get(&uid).is_some_and(|claim| claim.claimed_ms == claimed_ms) {
                self.claims.remove(&uid);
            }
        }
    }
}
