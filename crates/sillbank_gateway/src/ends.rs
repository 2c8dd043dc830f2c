//! Whether an endpoint ended under a request, or only the connection to it broke.
//!
//! A connection that breaks under a request says little: networks reset connections, and endpoints lose answers.
//! An endpoint that has ended refuses new connections, or has started again. One that was leaving ends by plan,
//! under whatever it had not finished.

use crate::doctor::silence_means_loss;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_net::liveness::refuses_connections;
use smol::lock::Mutex;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an endpoint may take to refuse or accept a connection. One that has ended refuses within a
/// millisecond; what waits for this is the next send of a request that has lost its endpoint.
const LOOK_LIMIT: Duration = Duration::from_millis(100);

/// A send whose connection broke before the whole answer came.
#[derive(Debug, Clone, Copy)]
pub struct BrokenSend<'a> {
    /// Endpoint, or the first of a path.
    pub endpoint: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// When the request was sent there.
    pub sent_at: Instant,
    /// When the first event came from there.
    pub first_event_at: Option<Instant>,
}

/// Ends of endpoints that this VM has found.
#[derive(Debug, Default)]
pub struct EndedEndpoints {
    ended_at: RefCell<HashMap<EndpointId, Instant>>,
    /// One look at a time at each endpoint: many requests lose it at the same moment.
    looks: RefCell<HashMap<EndpointId, Rc<Mutex<()>>>>,
}

impl EndedEndpoints {
    fn ended_since(&self, endpoint: &str, since: Instant) -> bool {
        self.ended_at.borrow().get(endpoint).is_some_and(|at| *at >= since)
    }

    fn look(&self, endpoint: &str) -> Rc<Mutex<()>> {
        self.looks.borrow_mut().entry(endpoint.to_owned()).or_default().clone()
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.ended_at.borrow_mut().retain(|id, _| is_known(id));
        self.looks.borrow_mut().retain(|id, look| Rc::strong_count(look) > 1 || is_known(id));
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Finds out whether an endpoint has ended under a request, and logs it.
    pub async fn on_broken_send(&self, job: &Job, send: BrokenSend<'_>) {
        let standing = self.knowledge.endpoints(|all| all.get(send.endpoint).map(|e| e.standing));
        if !silence_means_loss(standing) || !self.has_ended(send).await {
            return;
        }
        self.decisions.ended_under(job, &send);
    }

    async fn has_ended(&self, send: BrokenSend<'_>) -> bool {
        let look = self.ends.look(send.endpoint);
        let _turn = look.lock().await;
        if self.ends.ended_since(send.endpoint, send.sent_at)
            || self.book.renewed_since(send.endpoint, send.sent_at)
        {
            return true;
        }
        if !refuses_connections(send.address, LOOK_LIMIT).await {
            return false;
        }
        self.ends.ended_at.borrow_mut().insert(send.endpoint.to_owned(), Instant::now());
        self.metrics.ended_endpoints.inc();
        true
    }
}
