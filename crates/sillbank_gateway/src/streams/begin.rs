//! Begins a stream: sends its request until an endpoint takes it.

use super::attempt::{Begun, SendOnce, send_once};
use super::target::{NoTarget, choose_target};
use crate::answers::{COME_BACK_UNINFORMED, give_up, not_before};
use crate::decisions::SendEnd;
use crate::ends::{BrokenSend, on_broken_send};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::load::LoadAsk;
use crate::store::MetadataStore;
use crate::tries::Tries;
use crate::wire::{EventNumber, Wire};
use sillbank_core::prelude::*;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a stream that waits for an engine looks for one.
const LOOK_FOR_ENGINES: Duration = Duration::from_millis(100);

/// Sends a stream's request until an endpoint takes it. `avoid` are endpoints not to be used.
pub(super) async fn begin<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    resume_after: Option<EventNumber>,
    mut avoid: Vec<EndpointId>,
) -> Result<Begun, Failure> {
    let mut tries = Tries::default();
    // One that was sent before was let in then, also if no event of it had come.
    let is_new = resume_after.is_none() && job.sends.get() == 0;
    if is_new && let Err(closed) = ask_ladder(gateway, job) {
        return Err(refuse(gateway, job, closed));
    }
    loop {
        let target = choose_target(gateway, job, resume_after, &avoid);
        let withheld_for = gateway.note_withheld(job);
        let target = match target {
            Ok(target) => target,
            Err(NoTarget::Withheld) => {
                let failure = refuse(gateway, job, NoTarget::Withheld.text());
                return Err(not_before(failure, withheld_for));
            }
            // A stream that was begun waits for another engine to be back: broken off it would be lost, and it is more likely
            // to have been there by chance than to be the reason.
            Err(NoTarget::KeptApart(left)) if job.run.get().not_run_evidence().is_none() => {
                smol::Timer::after(left.min(LOOK_FOR_ENGINES)).await;
                continue;
            }
            Err(NoTarget::KeptApart(left)) => {
                let failure = refuse(gateway, job, NoTarget::KeptApart(left).text());
                return Err(not_before(failure, Some(left)));
            }
            Err(reason) => {
                return Err(refuse(gateway, job, reason.text()));
            }
        };
        tries.begin(job);
        gateway.count_against_limit(&target.endpoint);
        let sent_at = Instant::now();
        let stamp = gateway.knowledge.stamp(sent_at);
        let address = target.address;
        gateway.decisions.sent(job, &target.endpoint, target.path.as_ref(), resume_after, stamp);
        let end = match send_once(gateway, job, target, resume_after).await {
            SendOnce::Begun(begun) => {
                gateway.on_let_in(job);
                return Ok(begun);
            }
            SendOnce::Ended(end) => end,
        };
        gateway.decisions.send_failed(
            job,
            &SendEnd {
                endpoint: &end.endpoint,
                at_fault: end.at_fault.as_deref(),
                run: job.run.get().state(),
                reason: &end.reason,
                after: sent_at.elapsed(),
            },
        );
        if end.is_broken {
            let endpoint = end.endpoint.clone();
            let broke_at = Instant::now();
            let send = BrokenSend { endpoint, address, sent_at, broke_at, first_event_at: None };
            on_broken_send(gateway, job, send).await;
        }
        avoid.push(end.at_fault.unwrap_or(end.endpoint));
        let goes_on = tries.goes_on(gateway, job, end.left);
        if !goes_on {
            return Err(refuse(gateway, job, &end.reason));
        }
    }
}

/// Asks whether there is room for a request of its rank; answers why not.
fn ask_ladder<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
) -> Result<(), &'static str> {
    let Some(figures) = &job.service.engine else {
        return Ok(());
    };
    if !gateway.settings().mechanisms.ladder {
        return Ok(());
    }
    let ask = LoadAsk {
        service: &job.service,
        figures,
        route: &job.route,
        urgency: job.urgency(),
        left: job.head.time_left,
        draw: gateway.chance.next_f64(),
    };
    let admitted = gateway.load.admit(gateway.views(Instant::now()), ask);
    let metrics = &gateway.metrics.ladder;
    metrics.on_asked(&job.service.name, ask.urgency, admitted);
    if let Some(believed) = gateway.load.believed(&job.service.name) {
        metrics.show(&job.service.name, believed);
    }
    admitted.map_err(|closed| match closed.is_late {
        true => "no room for its rank, and it comes too late to be in time",
        false => "no room for its rank",
    })
}

/// Gives a request up; one that was not run is told when there may be room. A VM that does not know all
/// endpoints yet knows of no shortage: spaced out as after one, its callers came back after 2, 30, 30 s.
fn refuse<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, job: &Job, reason: &str) -> Failure {
    let failure = give_up(job.run.get(), FailureKind::NoChain, reason);
    match failure.retry_after {
        Some(_) if !gateway.knowledge.knows_endpoints() => {
            failure.retry_after(COME_BACK_UNINFORMED)
        }
        Some(_) if gateway.settings().mechanisms.return_times => {
            failure.retry_after(gateway.come_back(job))
        }
        _ => failure,
    }
}
