//! HTTP interface for health, readiness, metrics and status.

use crate::state::Entry;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use sillbank_chart::Named;
use sillbank_net::prelude::*;
use sillbank_net::telemetry::metrics_reply;
use smol::net::TcpListener;
use std::rc::Rc;

/// Serves health, readiness, metrics and status over HTTP.
pub(crate) struct AdminPlugin {
    /// Listener of the admin address.
    pub(crate) listener: TcpListener,
}

impl Plugin<Entry> for AdminPlugin {
    fn build(self, app: &App<Entry>) {
        let handler = Rc::new(AdminHandler::new(app.state()));
        let limits = ServerLimits::default();
        app.spawn(serve(app.executor(), self.listener, limits, handler));
    }
}

/// Answers the load balancer, the platform's health checks and operators.
struct AdminHandler {
    entry: Rc<Entry>,
}

impl AdminHandler {
    fn new(entry: Rc<Entry>) -> Self {
        Self { entry }
    }

    fn status(&self) -> serde_json::Value {
        let table = self.entry.table.borrow();
        let endpoints: Vec<serde_json::Value> = table
            .iter()
            .filter(|(_, endpoint)| endpoint.present)
            .map(|(_, endpoint)| {
                serde_json::json!({
                    "endpoint": endpoint.spec.id,
                    "health": endpoint.health.state().name(),
                    "connected": endpoint.connected,
                    "requests": endpoint.requests,
                    "held": endpoint.held,
                    "step_us": endpoint.cost.elapsed_us(),
                })
            })
            .collect();
        serde_json::json!({
            "vm": self.entry.settings.vm,
            "ready": self.entry.is_ready(),
            "in_force_version": self.entry.in_force.get(),
            "endpoints": endpoints,
            "in_flight": self.entry.stop.generations.status(&self.entry),
        })
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz") => text_reply(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") if self.entry.is_ready() => text_reply(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            (&Method::GET, "/metrics") => metrics_reply(&self.entry.metrics.registry),
            (&Method::GET, "/v1/status") => json_reply(StatusCode::OK, &self.status()),
            _ => text_reply(StatusCode::NOT_FOUND, "unknown path"),
        }
    }
}
