//! How long endpoints take to answer this VM now, and how long they are waited for.
//!
//! A VM short of processor time, or one whose network is slow, gets all replies late. With a fixed timeout it would take all
//! endpoints for lost. Timeouts here follow the reply times of most endpoints; a single slow one does not change them, and one
//! that is lost has no reply times.

use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use bytes::Bytes;
use hyper::Request;
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_net::running_timer::running_timer;
use smol::channel::{Receiver, Sender, unbounded};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Multiple of the median reply time for which endpoints are waited for, as far as that is more than the usual timeout. Reply
/// times vary by about this factor while a VM waits for processor time.
const MEDIAN_FACTOR: u32 = 3;
/// Longest timeout. Endpoints that work may be silent for about a second.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a reply time counts. It covers two polls of an ejected endpoint.
const RETENTION: Duration = Duration::from_secs(3);
/// Endpoints with a reply time below which usual timeouts hold: of two, one may be slow.
const MIN_ENDPOINTS: usize = 3;
/// Time after which a reply is not waited for any more, also not in the background.
const MAX_LATE: Duration = Duration::from_millis(2_500);
/// Calls that are waited for in the background at the same time. Their connections stay open.
const MAX_LATE_CALLS: u32 = 64;

#[derive(Debug, Clone, Copy)]
struct ReplyTime {
    took: Duration,
    at: Instant,
}

/// The latest reply time of each endpoint.
#[derive(Debug, Default)]
pub struct ReplyTimes {
    latest: RefCell<HashMap<EndpointId, ReplyTime>>,
}

impl ReplyTimes {
    /// Records a reply, also one that arrived after the timeout.
    pub fn record(&self, endpoint: &str, took: Duration, now: Instant) {
        self.latest.borrow_mut().insert(endpoint.to_owned(), ReplyTime { took, at: now });
    }

    /// Timeout for a reply that is usually waited for `usual`.
    pub fn timeout(&self, usual: Duration, now: Instant) -> Duration {
        let stretched = self.median(now).map_or(usual, |median| median * MEDIAN_FACTOR);
        stretched.min(MAX_TIMEOUT).max(usual)
    }

    /// Whether the last reply of an endpoint is recent and took longer than `usual`: it answers late rather than not at all.
    pub fn is_slow(&self, endpoint: &str, usual: Duration, now: Instant) -> bool {
        let latest = self.latest.borrow();
        latest.get(endpoint).is_some_and(|time| {
            time.took > usual && now.saturating_duration_since(time.at) < RETENTION
        })
    }

    /// Median of the recent reply times; `None` if too few endpoints have one.
    pub fn median(&self, now: Instant) -> Option<Duration> {
        let latest = self.latest.borrow();
        let is_recent = |time: &&ReplyTime| now.saturating_duration_since(time.at) < RETENTION;
        let mut recent: Vec<Duration> =
            latest.values().filter(is_recent).map(|time| time.took).collect();
        if recent.len() < MIN_ENDPOINTS {
            return None;
        }
        let middle = recent.len() / 2;
        let (_, median, _) = recent.select_nth_unstable(middle);
        Some(*median)
    }

    /// Drops endpoints that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.latest.borrow_mut().retain(|id, _| is_known(id));
    }
}

/// Replies that arrive after their timeout.
#[derive(Debug)]
pub struct LateReplies {
    /// Calls that are waited for in the background.
    pending: Rc<Cell<u32>>,
    sender: Sender<(EndpointId, Instant)>,
    receiver: Receiver<(EndpointId, Instant)>,
}

impl Default for LateReplies {
    fn default() -> Self {
        let (sender, receiver) = unbounded();
        Self { pending: Rc::default(), sender, receiver }
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Calls an engine directly. After the timeout the reply is waited for in the background: a late one shows that the engine
    /// works, and how long replies take.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] if nothing was sent, otherwise [`CallError::Lost`].
    pub(crate) async fn call_engine_directly(
        &self,
        engine: &str,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<CallReply, CallError> {
        let started_at = Instant::now();
        let client = self.engine_calls.clone();
        let mut call =
            self.executor.spawn(async move { client.call(address, request, MAX_LATE).await });
        let late = async {
            running_timer(timeout, MAX_TIMEOUT).await;
            None
        };
        let reply = futures_lite::future::or(async { Some((&mut call).await) }, late).await;
        let Some(reply) = reply else {
            self.await_late_reply(engine, started_at, call);
            let reason = format!("it took longer than {} ms", timeout.as_millis());
            return Err(CallError::Lost { address, reason, cause: LossCause::Late });
        };
        if reply.is_ok() {
            let now = Instant::now();
            self.reply_times.record(engine, now.saturating_duration_since(started_at), now);
        }
        reply
    }

    /// Timeout for a reply that is usually waited for `usual`.
    pub(crate) fn reply_timeout(&self, usual: Duration) -> Duration {
        match self.settings.borrow().mechanisms.reply_times {
            true => self.reply_times.timeout(usual, Instant::now()),
            false => usual,
        }
    }

    /// Whether an engine answers later than after `usual`, as far as is known.
    pub(crate) fn is_slow(&self, engine: &str, usual: Duration, now: Instant) -> bool {
        self.settings.borrow().mechanisms.reply_times
            && self.reply_times.is_slow(engine, usual, now)
    }

    fn await_late_reply(
        &self,
        engine: &str,
        started_at: Instant,
        call: smol::Task<Result<CallReply, CallError>>,
    ) {
        let pending = self.late_replies.pending.clone();
        if pending.get() >= MAX_LATE_CALLS {
            return;
        }
        pending.set(pending.get() + 1);
        let (engine, sender) = (engine.to_owned(), self.late_replies.sender.clone());
        let wait = async move {
            let reply = call.await;
            pending.set(pending.get() - 1);
            if reply.is_ok() {
                // The receiver lives as long as the gateway.
                drop(sender.send((engine, started_at)).await);
            }
        };
        self.executor.spawn(wait).detach();
    }
}

/// Ends the ejection of endpoints whose replies arrive after the timeout, while the program runs.
pub async fn apply_late_replies<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let receiver = gateway.late_replies.receiver.clone();
    while let Ok((endpoint, started_at)) = receiver.recv().await {
        let now = Instant::now();
        let took = now.saturating_duration_since(started_at);
        gateway.reply_times.record(&endpoint, took, now);
        gateway.metrics.late_replies.inc();
        let reason = format!("its reply arrived after {} ms", took.as_millis());
        gateway.on_evidence(&endpoint, Evidence::Good, started_at, &reason);
    }
}
