//! Streams: opened on a path, relayed event by event, resumed on another path when the first one
//! breaks.

mod activity;
mod attempt;
mod continuation;
mod loss;
mod open;
mod relay;
mod running;
mod target;
mod watch;

pub use activity::{ActiveStream, StreamActivity};
pub use loss::{Silence, SilenceTimer};
pub use running::{CutStream, EndpointState, RunningStream, RunningStreams};

use crate::answers::{deadline_failure, failure_outcome, failure_response};
use crate::decisions::Outcome;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::sending::strip_reply_headers;
use crate::store::MetadataStore;
use crate::wire::Wire;
use attempt::UpstreamReply;
use futures_lite::FutureExt;
use hyper::Response;
use open::start_stream;
use relay::StreamRelay;
use sillbank_net::prelude::*;
use std::rc::Rc;

/// Answers a stream's request.
pub async fn answer<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Response<ReplyBody> {
    let running = gateway.running_streams.add(job);
    let mut guard = StreamGuard::new(gateway, job);
    let timeout = async {
        smol::Timer::at(job.deadline).await;
        Err(deadline_failure(job.run.get()))
    };
    let at_exit = async { Err(gateway.reply_at_exit(|| job.run.get()).await) };
    match start_stream(gateway, job).or(timeout).or(at_exit).await {
        Ok(UpstreamReply::Stream(upstream, status)) => {
            gateway.on_first_answer(job);
            let (outbox, body) = Outbox::new();
            running.set_outbox(&outbox);
            let mut reply = Response::new(ReplyBody::Stream(body));
            *reply.status_mut() = status;
            *reply.headers_mut() = upstream.head.clone();
            let relay = StreamRelay {
                gateway: gateway.clone(),
                job: job.clone(),
                outbox,
                running,
                partial_event_memory: None,
                last_number: job.head.resume_after,
                events: 0,
                unnumbered_bytes: 0,
            };
            gateway.executor.spawn(relay.run(*upstream, guard)).detach();
            strip_reply_headers(reply)
        }
        Ok(UpstreamReply::Failure(reply)) => {
            guard.end(Outcome::Answered, reply.status().as_u16(), 0, "the endpoint's own failure");
            reply
        }
        Err(failure) => {
            let status = failure.kind.http_status();
            guard.end(failure_outcome(&failure), status, 0, &failure.reason);
            failure_response::<W>(&failure)
        }
    }
}

/// Counts a stream as in progress until dropped, and logs how it ended. If it is dropped before an
/// end was recorded, the caller left.
struct StreamGuard<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    ended: bool,
}

impl<W: Wire, S: MetadataStore> StreamGuard<W, S> {
    fn new(gateway: &Rc<Gateway<W, S>>, job: &Rc<Job>) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        Self { gateway: gateway.clone(), job: job.clone(), ended: false }
    }

    fn end(&mut self, outcome: Outcome, status: u16, events: u64, reason: &str) {
        self.ended = true;
        self.gateway.on_end(&self.job, outcome, status, events, reason);
    }
}

impl<W: Wire, S: MetadataStore> Drop for StreamGuard<W, S> {
    fn drop(&mut self) {
        self.gateway.in_progress.set(self.gateway.in_progress.get() - 1);
        if !self.ended {
            self.end(Outcome::CallerLeft, 0, 0, "the caller left");
        }
    }
}
