//! Sends a call to one endpoint and reads its answer.

use super::{Choice, TryOutcome, whole_answer};
use crate::crashes::{BrokenSend, may_have_ended_at_close};
use crate::endpoints::{Evidence, InFlightGuard, RequestPart};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::sending::{
    Destination, SendOutcome, SendRoute, ends_with_connection, health_evidence, send,
};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// One send of a call.
pub(super) struct Attempt<W: Wire, S: MetadataStore> {
    pub(super) gateway: Rc<Gateway<W, S>>,
    pub(super) job: Rc<Job>,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    /// Whether another endpoint is available.
    pub(super) has_alternative: bool,
    pub(super) sent_at: Instant,
    /// How its connection was opened.
    pub(super) route: SendRoute,
    incarnation: String,
    _in_flight: InFlightGuard,
}

impl<W: Wire, S: MetadataStore> Attempt<W, S> {
    /// Counts and logs the send.
    pub(super) fn start(gateway: &Rc<Gateway<W, S>>, job: &Rc<Job>, choice: &Choice) -> Self {
        let sent_at = Instant::now();
        let endpoint = choice.endpoint.clone();
        job.count_send();
        gateway.count_against_limit(&endpoint);
        gateway.decisions.sent(job, &endpoint, None, None, gateway.platform.stamp(sent_at));
        let part = RequestPart { endpoint: endpoint.clone(), kv: 0.0 };
        Self {
            gateway: gateway.clone(),
            job: job.clone(),
            incarnation: gateway.incarnation_name(&endpoint),
            endpoint,
            address: choice.address,
            has_alternative: choice.has_alternative,
            sent_at,
            route: SendRoute::default(),
            _in_flight: gateway.endpoint_tracker.start(vec![part], sent_at),
        }
    }

    /// The send, as its connection breaks now.
    pub(super) fn broken_send(&self) -> BrokenSend {
        BrokenSend {
            endpoint: self.endpoint.clone(),
            address: self.address,
            incarnation: self.incarnation.clone(),
            sent_at: self.sent_at,
            broke_at: Instant::now(),
            first_event_at: None,
        }
    }

    /// Whether the link under the send counts as lost with those of its hall, and a check of this
    /// endpoint confirms it.
    pub(super) async fn has_confirmed_link_loss(&self) -> bool {
        let gateway = &self.gateway;
        if !gateway.has_lost_link(&self.endpoint, self.route.transit()) {
            return false;
        }
        let is_lost = gateway.confirms_lost_link(&self.endpoint).await;
        gateway.decisions.link_checked(&self.job, &self.endpoint, is_lost);
        is_lost
    }

    /// Sends the call and reads the whole answer.
    pub(super) async fn exchange(&self) -> TryOutcome {
        let (gateway, job, endpoint) = (&self.gateway, &self.job, self.endpoint.as_str());
        let to = Destination { endpoint, address: self.address, path: None, route: &self.route };
        let timer = gateway.call_tracker.start_timer(&job.service.name, endpoint, Instant::now());
        let sent = send(gateway, job, to, None).await;
        if let Some(evidence) = health_evidence(&sent) {
            gateway.on_evidence(endpoint, evidence, self.sent_at, "a call");
        }
        match sent {
            SendOutcome::Success(reply, connection) => {
                match whole_answer(gateway, endpoint, reply, connection).await {
                    Ok(whole) => {
                        timer.record_answer();
                        self.confirm(TryOutcome::Success(whole)).await
                    }
                    Err(lost) => lost,
                }
            }
            SendOutcome::Failure(reply, connection) => {
                match whole_answer(gateway, endpoint, reply, connection).await {
                    Ok(whole) => self.confirm(TryOutcome::Failed(whole)).await,
                    Err(lost) => lost,
                }
            }
            SendOutcome::NotRun(refusal) => {
                let reason = format!("the endpoint refused with status {}", refusal.status);
                if !refusal.misdirected {
                    timer.record_full();
                    return TryOutcome::NotRun(reason);
                }
                timer.discard();
                gateway.on_evidence(endpoint, Evidence::Unreachable, self.sent_at, "misdirected");
                TryOutcome::Misdirected(reason)
            }
            SendOutcome::NotSent(reason) | SendOutcome::NoLink(reason) => {
                timer.discard();
                TryOutcome::NotSent(reason)
            }
            SendOutcome::Lost(reason) => {
                gateway.on_send_trouble(endpoint, self.route.transit());
                TryOutcome::Lost(reason)
            }
            SendOutcome::HopLost(reason) => TryOutcome::LinkLost(reason),
        }
    }

    /// An answer that only the end of the connection ends is whole if the endpoint goes on.
    async fn confirm(&self, outcome: TryOutcome) -> TryOutcome {
        let (TryOutcome::Success(whole) | TryOutcome::Failed(whole)) = &outcome else {
            return outcome;
        };
        if ends_with_connection(&whole.head)
            && may_have_ended_at_close(&self.gateway, &self.broken_send()).await
        {
            let reason = "the endpoint may have ended when it closed the connection".to_owned();
            return TryOutcome::Lost(reason);
        }
        outcome
    }
}
