//! Whether a request is sent once more after a send that brought no answer.

use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::Wire;

/// How often a request may fail to reach an endpoint before it is given up.
const MAX_UNREACHED: u32 = 3;

/// How often a request may be misdirected before it is given up. What engines hold is known anew within some
/// 0.5 s, and each such send counts as a repeat of the service.
const MAX_MISDIRECTED: u32 = 3;

/// What is known of the work after a send that brought no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    /// It did not arrive anywhere.
    NotSent,
    /// The endpoint proved that it did not run it.
    NotRun,
    /// So it did, as it is not the one that was meant, or does not hold what was asked of it.
    Misdirected,
    /// It may have run.
    MayHaveRun,
}

/// The sends of one request so far.
#[derive(Debug, Default)]
pub struct Tries {
    unreached: u32,
    misdirected: u32,
}

impl Tries {
    /// Notes that the request is sent.
    pub fn begin(&self, job: &Job) {
        job.sends.set(job.sends.get() + 1);
    }

    /// Whether it may be sent once more, which then counts as done.
    pub fn goes_on<W: Wire, S: MetadataStore>(
        &mut self,
        gateway: &Gateway<W, S>,
        job: &Job,
        left: Left,
    ) -> bool {
        if left != Left::NotSent && gateway.quarantined_for(job).is_some() {
            return false;
        }
        match left {
            Left::NotSent => {
                // It did not arrive anywhere, so it is no repeat.
                job.sends.set(job.sends.get() - 1);
                self.unreached += 1;
                self.unreached < MAX_UNREACHED
            }
            Left::Misdirected => {
                // It was not at an endpoint that could run it. Counted as one of the route's sends, it broke off
                // streams that met two engines which had started again and told of it in their entries later.
                job.sends.set(job.sends.get() - 1);
                self.misdirected += 1;
                self.misdirected < MAX_MISDIRECTED && gateway.may_send_again(job)
            }
            Left::NotRun => gateway.may_send_again(job),
            Left::MayHaveRun => job.may_repeat() && gateway.may_send_again(job),
        }
    }
}
