//! Endpoints that restart under the same id: discards what this VM keeps of earlier incarnations.
//!
//! The directory decides which incarnation is the newest, by entries and by the endpoints' own
//! reports. Everything else kept of an endpoint is discarded here when it restarts. Exchanges begun
//! before end by themselves, and their outcome says nothing about the new incarnation.

use crate::connection_pool::PooledConnection;
use crate::feed::HallReport;
use crate::gateway::Gateway;
use crate::wire::Wire;
use hyper::header::HeaderMap;
use sillbank_fleet::prelude::*;
use std::time::Instant;

impl<W: Wire, S> Gateway<W, S> {
    /// Records an incarnation that an endpoint itself reported.
    pub fn on_reported_incarnation(&self, endpoint: &str, born_ms: Option<BornMs>) {
        if let Some(born_ms) = born_ms {
            self.platform.on_reported_incarnation(endpoint, born_ms);
            self.reset_restarted_endpoints();
        }
    }

    /// Records the incarnations listed in a hall report.
    pub fn on_reported_incarnations(&self, report: &HallReport) {
        for engine in &report.engines {
            if let Some(born_ms) = engine.born_ms {
                self.platform.on_reported_incarnation(&engine.id, born_ms);
            }
        }
        self.reset_restarted_endpoints();
    }

    /// Discards what is kept of earlier incarnations of restarted endpoints.
    pub fn reset_restarted_endpoints(&self) {
        let now = Instant::now();
        for id in self.platform.take_restarted() {
            let newest_incarnation =
                self.platform.endpoints(|directory| directory.newest_incarnation(&id));
            self.endpoint_tracker.on_restart(&id, now);
            self.connection_pool.close_idle(&id);
            self.stream_activity.on_restart(&id);
            self.pushback.borrow_mut().on_restart(&id);
            self.call_tracker.retain(|known| known != id);
            self.hall.reports.on_restart(&id, newest_incarnation);
            self.metrics.renewed_endpoints.inc();
            tracing::info!(endpoint = id, born_ms = newest_incarnation, "endpoint: Started again.");
        }
    }

    /// Returns a connection to the pool after a whole answer, unless the endpoint has restarted
    /// since it was opened.
    pub fn keep_connection(&self, endpoint: &str, connection: PooledConnection, reply: &HeaderMap) {
        connection.inner.bounds.end_reply();
        if !self.endpoint_tracker.restarted_since(endpoint, connection.opened_at) {
            self.connection_pool.put_back(endpoint, connection, reply, Instant::now());
        }
    }
}

/// Whether a report on incarnation `reported` may apply to the newest one.
pub fn may_be_current(reported: Option<BornMs>, newest: Option<BornMs>) -> bool {
    compare_incarnations(reported, newest) != IncarnationOrder::Older
}
