//! The claimed keys of one slot, kept by its holder.

use sillbank_core::prelude::*;
use sillbank_protocol::once::{Claim, ClaimAnswer, ClaimState};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How far two VMs' wall clocks may be apart.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// The claimed keys of one slot.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<RequestUid, Claim>,
    order: VecDeque<(u64, RequestUid)>,
    /// Keys claimed before this moment may be missing here.
    complete_from_ms: u64,
}

impl Claims {
    /// The claims of a slot that was never held, or was handed over whole.
    pub fn complete() -> Self {
        Self::default()
    }

    /// The claims of a slot that was taken over at a moment without those of the holder before.
    pub fn taken_over(now_ms: u64) -> Self {
        Self { complete_from_ms: now_ms, ..Self::default() }
    }

    /// Claims that another holder hands over.
    pub fn handed_over(claims: Vec<Claim>, complete_from_ms: u64) -> Self {
        let mut all = Self { complete_from_ms, ..Self::default() };
        for claim in claims {
            all.order.push_back((claim.claimed_ms, claim.uid));
            all.claims.insert(claim.uid, claim);
        }
        all
    }

    /// Number of keys kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// All claims, and the moment from which on they are complete, to hand them over.
    pub fn all(&self) -> (Vec<Claim>, u64) {
        (self.claims.values().copied().collect(), self.complete_from_ms)
    }

    /// Claims a key, if that is safe. `retention` is how long a key is remembered, and how long
    /// after its first try a caller may try again.
    pub fn claim(
        &mut self,
        now_ms: u64,
        uid: RequestUid,
        minted_ms: Option<u64>,
        draw: u64,
        retention: Duration,
    ) -> ClaimAnswer {
        let retention_ms = retention.as_millis() as u64;
        self.forget(now_ms, retention_ms);
        if let Some(claim) = self.claims.get(&uid) {
            return ClaimAnswer::Taken(claim.state);
        }
        let margin_ms = CLOCK_MARGIN.as_millis() as u64;
        let age_ms = now_ms.saturating_sub(minted_ms.unwrap_or(now_ms));
        if age_ms > retention_ms.saturating_sub(margin_ms) {
            // It could have been claimed and forgotten.
            return ClaimAnswer::Undetermined { wait_ms: u64::MAX };
        }
        let newer = minted_ms.is_some_and(|minted| minted > self.complete_from_ms + margin_ms);
        let known_at = self.complete_from_ms + retention_ms;
        if self.complete_from_ms > 0 && !newer && now_ms < known_at {
            return ClaimAnswer::Undetermined { wait_ms: known_at - now_ms };
        }
        let claim = Claim { uid, claim: draw, claimed_ms: now_ms, state: ClaimState::Open };
        self.claims.insert(uid, claim);
        self.order.push_back((now_ms, uid));
        ClaimAnswer::Granted(draw)
    }

    /// The call under a claim has ended. One that was not run frees its key.
    pub fn end(&mut self, uid: RequestUid, claim: u64, run: RunState) {
        let Some(held) = self.claims.get_mut(&uid).filter(|held| held.claim == claim) else {
            return;
        };
        match run {
            RunState::NotRun => drop(self.claims.remove(&uid)),
            RunState::Ran => held.state = ClaimState::Ran,
            RunState::Unknown => held.state = ClaimState::Unknown,
        }
    }

    fn forget(&mut self, now_ms: u64, retention_ms: u64) {
        while let Some((claimed_ms, uid)) = self.order.front().copied() {
            if claimed_ms + retention_ms > now_ms {
                return;
            }
            self.order.pop_front();
            if self.claims.get(&uid).is_some_and(|claim| claim.claimed_ms == claimed_ms) {
                self.claims.remove(&uid);
            }
        }
    }
}
