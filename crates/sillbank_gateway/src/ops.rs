//! HTTP handlers for the balancer and operators: readiness and metrics.

use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use sillbank_net::prelude::*;
use sillbank_net::telemetry::metrics_reply;
use std::rc::Rc;
use std::time::Instant;

/// Reports whether the VM is ready.
#[derive(Debug)]
pub struct ReadyHandler<W, S> {
    /// The gateway.
    pub gateway: Rc<Gateway<W, S>>,
}

impl<W: Wire, S: MetadataStore> Handler for ReadyHandler<W, S> {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ReplyBody> {
        match self.gateway.is_ready(Instant::now()) {
            true => text_reply(StatusCode::OK, "ready"),
            false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }
}

/// Serves the metrics.
#[derive(Debug)]
pub struct MetricsHandler<W, S> {
    /// The gateway.
    pub gateway: Rc<Gateway<W, S>>,
}

impl<W: Wire, S: MetadataStore> Handler for MetricsHandler<W, S> {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ReplyBody> {
        self.gateway.update_demand_metrics(Instant::now());
        metrics_reply(self.gateway.metrics.registry())
    }
}
