//! Waits for room on a path, for a moment.

use super::begin::{NoTarget, Target, choose_target};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use sillbank_admission::line::Ticket;
use sillbank_core::prelude::*;
use std::time::{Duration, Instant};

/// Part of a route's objective that a request may wait for room. The first event takes about as long
/// again when engines are full, so the answer is still in time; and a caller who is refused after all
/// learns it early.
const WAIT_SHARE: f64 = 0.25;
/// How often the first in line looks for room. Requests of a VM end some tens of milliseconds apart.
const LOOK: Duration = Duration::from_millis(15);

/// Chooses a target, and waits for room if its turn comes soon. Requests that go on elsewhere are not
/// kept waiting: their callers hear nothing meanwhile.
pub(super) async fn find_target<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    resume_after: Option<EventNumber>,
    avoid: &[EndpointId],
) -> Result<Target, NoTarget> {
    let is_first_try = resume_after.is_none() && avoid.is_empty();
    let others_wait = || {
        let lines = gateway.lines.borrow();
        lines.get(&job.service.name).is_some_and(|line| !line.is_empty())
    };
    if !is_first_try || !others_wait() {
        match choose_target(gateway, job, resume_after, avoid) {
            Err(NoTarget::NoRoom) if is_first_try => {}
            chosen => return chosen,
        }
    }
    let longest = job.route.objective.mul_f64(WAIT_SHARE);
    let Some(place) = Place::join(gateway, job, longest) else {
        return Err(NoTarget::NoRoom);
    };
    let until = Instant::now() + longest;
    while Instant::now() < until {
        smol::Timer::after(LOOK).await;
        if !place.is_first() {
            continue;
        }
        match choose_target(gateway, job, resume_after, avoid) {
            Err(NoTarget::NoRoom) => {}
            chosen => return chosen,
        }
    }
    Err(NoTarget::NoRoom)
}

/// A request's place in its service's line; left when dropped.
struct Place<'a, W: Wire, S: MetadataStore> {
    gateway: &'a Gateway<W, S>,
    service: &'a str,
    ticket: Ticket,
}

impl<'a, W: Wire, S: MetadataStore> Place<'a, W, S> {
    fn join(gateway: &'a Gateway<W, S>, job: &'a Job, longest: Duration) -> Option<Self> {
        let service = job.service.name.as_str();
        let per_s = gateway.let_in_per_s(service);
        let mut lines = gateway.lines.borrow_mut();
        let ticket = lines.entry(service.to_owned()).or_default().join(per_s, longest)?;
        Some(Self { gateway, service, ticket })
    }

    fn is_first(&self) -> bool {
        let lines = self.gateway.lines.borrow();
        lines.get(self.service).is_some_and(|line| line.is_first(self.ticket))
    }
}

impl<W: Wire, S: MetadataStore> Drop for Place<'_, W, S> {
    fn drop(&mut self) {
        if let Some(line) = self.gateway.lines.borrow_mut().get_mut(self.service) {
            line.leave(self.ticket);
        }
    }
}
