//! A slot: its lease, and its claims while the lease is held.

use crate::claims::Claims;
use sillbank_core::prelude::*;
use sillbank_lease::{Acquisition, Candidate, Lease, Moment};
use sillbank_protocol::once::{Claim, ClaimAnswer};
use std::time::Duration;

/// How a held slot was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAcquisition {
    /// There was never a holder, so no key was ever claimed.
    New,
    /// The last holder handed over its claims.
    HandedOver,
    /// The claims of the last holder are unknown.
    TakenOver,
}

/// A slot as seen by one VM.
#[derive(Debug)]
pub struct Slot {
    /// Its lease.
    pub lease: Lease,
    claims: Option<Claims>,
    /// Claims that another holder handed over, and when; they count once the lease is held.
    received: Option<(Claims, Moment)>,
    /// Whether this process held the slot before. It no longer has the claims from then.
    was_held: bool,
    is_handing_over: bool,
}

impl Slot {
    /// Creates a slot of which nothing is known yet.
    pub fn new(candidate: Candidate) -> Self {
        Self {
            lease: Lease::new(candidate),
            claims: None,
            received: None,
            was_held: false,
            is_handing_over: false,
        }
    }

    /// Creates or drops the claims so that they exist only while the lease is held. Must be called
    /// after every change of the lease. Returns how the slot was acquired, if it just was.
    pub fn sync_claims(&mut self, now: Moment) -> Option<SlotAcquisition> {
        if self.lease.fence(now).is_none() {
            self.claims = None;
            return None;
        }
        if self.claims.is_some() {
            return None;
        }
        let lease_acquisition = self.lease.acquisition();
        let (claims, acquisition) = match (lease_acquisition, self.received.take()) {
            (Some(Acquisition::Inherited), Some((claims, _))) => {
                (claims, SlotAcquisition::HandedOver)
            }
            (Some(Acquisition::Fresh), _) if !self.was_held => {
                (Claims::complete(), SlotAcquisition::New)
            }
            _ => (Claims::after_takeover(now.wall_ms), SlotAcquisition::TakenOver),
        };
        self.claims = Some(claims);
        self.was_held = true;
        Some(acquisition)
    }

    /// Claims a key under the number `claim_id`, if the slot is held.
    pub fn claim(
        &mut self,
        now: Moment,
        uid: RequestUid,
        minted_ms: Option<u64>,
        claim_id: u64,
        retention: Duration,
    ) -> ClaimAnswer {
        let may_grant = !self.is_handing_over && self.lease.fence(now).is_some();
        match &mut self.claims {
            Some(claims) if may_grant => {
                claims.claim(now.wall_ms, uid, minted_ms, claim_id, retention)
            }
            _ => ClaimAnswer::NotHolder,
        }
    }

    /// Records the end of a claimed call.
    pub fn end(&mut self, uid: RequestUid, claim_id: u64, run: RunState) {
        if let Some(claims) = &mut self.claims {
            claims.end(uid, claim_id, run);
        }
    }

    /// Stores the claims of a holder that hands the slot over; they count once the lease is
    /// inherited.
    pub fn receive_claims(&mut self, now: Moment, claims: Vec<Claim>, complete_from_ms: u64) {
        self.received = Some((Claims::from_handover(claims, complete_from_ms), now));
    }

    /// When claims were received that wait for the lease; `None` if there are none.
    pub fn claims_received_at(&self) -> Option<Moment> {
        self.received.as_ref().map(|(_, at)| *at)
    }

    /// Grants no more claims; returns all claims, to hand them over.
    pub fn stop_granting(&mut self) -> Option<(Vec<Claim>, u64)> {
        self.is_handing_over = true;
        self.claims.as_ref().map(Claims::export)
    }

    /// Whether the slot is being handed over.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.as_ref().map_or(0, Claims::len)
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
