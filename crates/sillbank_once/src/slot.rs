//! One slot: its lease, and its claims while the lease is held.

use crate::claims::Claims;
use sillbank_core::prelude::*;
use sillbank_lease::{Candidate, Lease, Moment, Acquisition};
use sillbank_protocol::once::{Claim, ClaimAnswer};
use std::time::Duration;

/// How a slot came to be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tenure {
    /// There was never a holder: no key was ever claimed.
    New,
    /// The last holder handed its claims over.
    HandedOver,
    /// The claims of the last holder are not known.
    TakenOver,
}

/// One slot as one VM sees it.
#[derive(Debug)]
pub struct Slot {
    /// Its lease.
    pub lease: Lease,
    claims: Option<Claims>,
    inherited: Option<(Claims, Moment)>,
    /// Whether this process held it before: claims it had then are gone.
    held_before: bool,
    leaving: bool,
}

impl Slot {
    /// A slot nothing is known of.
    pub fn new(candidate: Candidate) -> Self {
        Self {
            lease: Lease::new(candidate),
            claims: None,
            inherited: None,
            held_before: false,
            leaving: false,
        }
    }

    /// Makes the claims fit the lease: there are some just while it is held. Call it after every
    /// change of the lease. Answers how the slot came to be held, if it just did.
    pub fn settle(&mut self, now: Moment) -> Option<Tenure> {
        if self.lease.fence(now).is_none() {
            self.claims = None;
            return None;
        }
        if self.claims.is_some() {
            return None;
        }
        let origin = self.lease.acquisition();
        let (claims, tenure) = match (origin, self.inherited.take()) {
            (Some(Acquisition::Inherited), Some((claims, _))) => (claims, Tenure::HandedOver),
            (Some(Acquisition::Fresh), _) if !self.held_before => (Claims::complete(), Tenure::New),
            _ => (Claims::taken_over(now.wall_ms), Tenure::TakenOver),
        };
        self.claims = Some(claims);
        self.held_before = true;
        Some(tenure)
    }

    /// Decides a claim, if the slot is held.
    pub fn decide(
        &mut self,
        now: Moment,
        uid: RequestUid,
        minted_ms: Option<u64>,
        draw: u64,
        retention: Duration,
    ) -> ClaimAnswer {
        let held = !self.leaving && self.lease.fence(now).is_some();
        match &mut self.claims {
            Some(claims) if held => claims.claim(now.wall_ms, uid, minted_ms, draw, retention),
            _ => ClaimAnswer::NotHolder,
        }
    }

    /// A claimed call has ended.
    pub fn end(&mut self, uid: RequestUid, claim: u64, run: RunState) {
        if let Some(claims) = &mut self.claims {
            claims.end(uid, claim, run);
        }
    }

    /// Takes the claims of a holder that leaves; they count once the lease is inherited.
    pub fn inherit(&mut self, now: Moment, claims: Vec<Claim>, complete_from_ms: u64) {
        self.inherited = Some((Claims::handed_over(claims, complete_from_ms), now));
    }

    /// When claims were handed over that wait for the lease.
    pub fn inherited_at(&self) -> Option<Moment> {
        self.inherited.as_ref().map(|(_, at)| *at)
    }

    /// Grants nothing more; answers all claims, to hand them over.
    pub fn freeze(&mut self) -> Option<(Vec<Claim>, u64)> {
        self.leaving = true;
        self.claims.as_ref().map(Claims::all)
    }

    /// Whether the slot is being handed over.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of keys kept.
    pub fn len(&self) -> usize {
        self.claims.as_ref().map_or(0, Claims::len)
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
