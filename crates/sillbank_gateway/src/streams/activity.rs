//! Tracks which engines have recently been confirmed alive by stream events.
//!
//! An event of a stream shows that every engine on its path works. When another stream stalls, only
//! those engines of its path that no stream has confirmed need to be probed.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

/// Number of a stream, unique within this VM.
type StreamNumber = u64;

#[derive(Debug)]
struct Activity {
    /// Engines on the stream's path that its events confirm.
    engines: BTreeSet<EndpointId>,
    last_event_at: Instant,
}

fn engines_of(path: &LayerPath) -> BTreeSet<EndpointId> {
    path.parts().iter().map(|part| part.endpoint.clone()).collect()
}

/// Streams in progress, with the time of each one's last event.
#[derive(Debug, Default)]
pub struct StreamActivity {
    streams: RefCell<BTreeMap<StreamNumber, Activity>>,
    last_number: Cell<StreamNumber>,
}

/// Registration of one stream in [`StreamActivity`]; removed on drop.
#[derive(Debug)]
pub struct ActiveStream {
    all: Rc<StreamActivity>,
    number: StreamNumber,
}

impl StreamActivity {
    /// Registers a stream that has just received data.
    pub fn register(self: &Rc<Self>, path: &LayerPath, now: Instant) -> ActiveStream {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let activity = Activity { engines: engines_of(path), last_event_at: now };
        self.streams.borrow_mut().insert(number, activity);
        ActiveStream { all: self.clone(), number }
    }

    /// Engines on the paths of streams that received data at `since` or later.
    pub fn engines_since(&self, since: Instant) -> BTreeSet<EndpointId> {
        let streams = self.streams.borrow();
        let recent = streams.values().filter(|activity| activity.last_event_at >= since);
        recent.flat_map(|activity| activity.engines.iter().cloned()).collect()
    }

    /// An engine has restarted: streams that were opened or moved before no longer confirm it.
    pub fn on_restart(&self, engine: &str) {
        for activity in self.streams.borrow_mut().values_mut() {
            activity.engines.remove(engine);
        }
    }
}

impl ActiveStream {
    /// Records an event of the stream.
    pub fn on_event(&self, now: Instant) {
        if let Some(activity) = self.all.streams.borrow_mut().get_mut(&self.number) {
            activity.last_event_at = now;
        }
    }

    /// The stream takes another path from now on; the time of its last event stays.
    pub fn on_moved(&self, path: &LayerPath) {
        if let Some(activity) = self.all.streams.borrow_mut().get_mut(&self.number) {
            activity.engines = engines_of(path);
        }
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.all.streams.borrow_mut().remove(&self.number);
    }
}
