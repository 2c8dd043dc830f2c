//! Decides whether a request is retried after a send that brought no answer.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::Wire;
use std::time::Instant;

/// Sends of a request that may fail to reach an endpoint before it is given up.
const MAX_UNREACHED_SENDS: u32 = 3;

/// Sends of a request that may be misdirected before it is given up. The layers of engines are
/// known again within about 0.5 s, and each such send is taken from the service's retry budget.
const MAX_MISDIRECTED_SENDS: u32 = 3;

/// What is known of the request's execution after a send that brought no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailureKind {
    /// The request reached no endpoint.
    NotSent,
    /// The endpoint proved that it did not run the request.
    NotRun,
    /// The endpoint proved it, because it is not the addressed one or lacks the requested layers.
    Misdirected,
    /// The request may have run.
    MayHaveRun,
    /// The same, as the link to the endpoint was lost, or the VM that passed the connection on.
    LinkLost,
    /// The same, but the retry is taken from the budget already: this VM has closed the connection.
    LinkReleased,
}

/// Failed sends of one request so far.
#[derive(Debug, Default)]
pub struct SendAttempts {
    unreached: u32,
    misdirected: u32,
    refused: u32,
}

impl SendAttempts {
    /// Records a send that brought no answer.
    pub fn record_failure(&mut self, job: &Job, kind: SendFailureKind) {
        match kind {
            SendFailureKind::NotSent => {
                job.uncount_send();
                self.unreached += 1;
            }
            SendFailureKind::Misdirected => {
                // The endpoint could not have run the request. If this counted as one of the
                // route's sends, streams that meet two engines which have restarted, and whose
                // entries say so only later, would be aborted.
                job.uncount_send();
                self.misdirected += 1;
            }
            SendFailureKind::NotRun => {
                // A route's limit of sends bounds the endpoints that run a request. A started
                // stream would be lost if refusals used it up.
                job.uncount_send();
                self.refused += 1;
            }
            SendFailureKind::LinkLost | SendFailureKind::LinkReleased => {
                job.record_link_loss();
            }
            SendFailureKind::MayHaveRun => {}
        }
    }

    /// Whether the request may be sent again after such a send; if so, the retry is taken from the
    /// budget.
    pub fn may_retry<W: Wire, S: MetadataStore>(
        &self,
        gateway: &Gateway<W, S>,
        job: &Job,
        kind: SendFailureKind,
    ) -> bool {
        if gateway.hold_of(job).is_some() {
            return false;
        }
        match kind {
            // The request reached no endpoint, so another send is no retry.
            SendFailureKind::NotSent => self.unreached < MAX_UNREACHED_SENDS,
            SendFailureKind::Misdirected => {
                self.misdirected < MAX_MISDIRECTED_SENDS && gateway.may_send_again(job)
            }
            SendFailureKind::NotRun => {
                self.refused < job.route.max_attempts.max(1) && gateway.may_send_again(job)
            }
            SendFailureKind::LinkReleased => {
                job.is_idempotent() && job.may_send_again(Instant::now())
            }
            SendFailureKind::LinkLost | SendFailureKind::MayHaveRun => {
                job.is_idempotent() && gateway.may_send_again(job)
            }
        }
    }
}
