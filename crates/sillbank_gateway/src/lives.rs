//! Endpoints that start again under their id: all that this VM keeps of the life before ends.
//!
//! The directory decides which life is the newest one, by entries and by the endpoints' own reports. Whatever
//! else is kept of an endpoint is cleared here when it starts again. What was begun before ends by itself, and
//! how it ended says nothing of the new life.

use crate::connection_pool::PooledConnection;
use crate::feed::HallBoard;
use crate::gateway::Gateway;
use crate::wire::Wire;
use hyper::header::HeaderMap;
use sillbank_fleet::prelude::*;
use std::time::Instant;

impl<W: Wire, S> Gateway<W, S> {
    /// An endpoint told of its life itself.
    pub fn hear_life(&self, endpoint: &str, born_ms: Option<BornMs>) {
        if let Some(born_ms) = born_ms {
            self.knowledge.hear_life(endpoint, born_ms);
            self.clear_older_lives();
        }
    }

    /// Takes the lives that a board tells of.
    pub fn hear_lives(&self, board: &HallBoard) {
        for engine in &board.engines {
            if let Some(born_ms) = engine.born_ms {
                self.knowledge.hear_life(&engine.id, born_ms);
            }
        }
        self.clear_older_lives();
    }

    /// Ends what is kept of the older lives of endpoints that have started again.
    pub fn clear_older_lives(&self) {
        let now = Instant::now();
        for id in self.knowledge.take_restarted() {
            let newest_incarnation =
                self.knowledge.endpoints(|directory| directory.newest_incarnation(&id));
            self.book.on_new_life(&id, now);
            self.connection_pool.close_idle(&id);
            self.stream_activity.on_restart(&id);
            self.pushback.borrow_mut().on_restart(&id);
            self.call_book.retain(|known| known != id);
            self.hall.boards.on_new_life(&id, newest_incarnation);
            self.metrics.renewed_endpoints.inc();
            tracing::info!(endpoint = id, born_ms = newest_incarnation, "endpoint: Started again.");
        }
    }

    /// Keeps a connection after a whole answer, unless the endpoint has started again since it was opened.
    pub fn keep_channel(&self, endpoint: &str, channel: PooledConnection, reply: &HeaderMap) {
        if !self.book.renewed_since(endpoint, channel.opened_at) {
            self.connection_pool.put_back(endpoint, channel, reply, Instant::now());
        }
    }
}

/// Whether what was told of one life of an endpoint may hold of its newest one.
pub fn may_be_current(told: Option<BornMs>, newest: Option<BornMs>) -> bool {
    compare_incarnations(told, newest) != IncarnationOrder::Older
}
