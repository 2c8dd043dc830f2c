//! How the demand on this VM compares with that on the other VMs of its hall.
//!
//! VMs usually get about the same share of callers. A load balancer may send most of them to one VM for some seconds; what
//! that VM sends to engines is then most of what all VMs send.

use sillbank_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Interval at which the comparison is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Requests a second on this VM from which its share is compared: fewer differ by chance.
const MIN_COMPARED_PER_S: f64 = 2.0;

/// Demand on a VM and on its hall for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ComparedDemand {
    /// Requests a second on this VM.
    pub own_per_s: f64,
    /// Requests a second on all VMs of the hall.
    pub hall_per_s: f64,
    /// VMs of the hall.
    pub hall_vms: u32,
}

impl ComparedDemand {
    /// Demand on the average VM of the hall, as a multiple of that on this VM; at most 1.
    pub fn average_to_own(&self) -> f64 {
        if self.own_per_s < MIN_COMPARED_PER_S || self.hall_vms == 0 {
            return 1.0;
        }
        // The hall's figures are older, so that they may lack a part of this VM's demand.
        let hall_per_s = self.hall_per_s.max(self.own_per_s);
        (hall_per_s / f64::from(self.hall_vms) / self.own_per_s).min(1.0)
    }
}

/// The comparison for each service, as of the last renewal.
#[derive(Debug, Default)]
pub struct DemandShares {
    average_to_own: RefCell<HashMap<ServiceId, f64>>,
    renewed_at: Cell<Option<Instant>>,
}

impl DemandShares {
    /// Renews the comparison by the demand that `compare` returns, if it is due.
    pub fn renew(&self, now: Instant, compare: impl FnOnce() -> Vec<(ServiceId, ComparedDemand)>) {
        let is_due = |last: Instant| now.saturating_duration_since(last) >= RENEWAL_INTERVAL;
        if !self.renewed_at.get().is_none_or(is_due) {
            return;
        }
        self.renewed_at.set(Some(now));
        let compared = compare().into_iter();
        let ratios = compared.map(|(service, demand)| (service, demand.average_to_own()));
        *self.average_to_own.borrow_mut() = ratios.collect();
    }

    /// See [`ComparedDemand::average_to_own`]; 1 while unknown.
    pub fn average_to_own(&self, service: &str) -> f64 {
        self.average_to_own.borrow().get(service).copied().unwrap_or(1.0)
    }
}
