//! Which engines this VM has just heard of by streams that pass them.
//!
//! An event of a stream shows that every engine of its path works. So when another stream stands still,
//! only the engines of its path that no stream has shown to work need to be asked.

use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;

/// Number of a stream among those of this VM.
type StreamNumber = u64;

#[derive(Debug)]
struct Heard {
    /// Engines on its path that its events show to work.
    engines: BTreeSet<EndpointId>,
    at: Instant,
}

fn engines_of(path: &LayerPath) -> BTreeSet<EndpointId> {
    path.parts().iter().map(|part| part.endpoint.clone()).collect()
}

/// Streams in progress, by what was last heard of them.
#[derive(Debug, Default)]
pub struct HeardStreams {
    streams: RefCell<BTreeMap<StreamNumber, Heard>>,
    last_number: Cell<StreamNumber>,
}

/// One stream among them, until it is dropped.
#[derive(Debug)]
pub struct HeardStream {
    all: Rc<HeardStreams>,
    number: StreamNumber,
}

impl HeardStreams {
    /// Notes a stream that was just heard of.
    pub fn begin(self: &Rc<Self>, path: &LayerPath, now: Instant) -> HeardStream {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let heard = Heard { engines: engines_of(path), at: now };
        self.streams.borrow_mut().insert(number, heard);
        HeardStream { all: self.clone(), number }
    }

    /// Engines on the paths of streams that were heard of at a moment or later.
    pub fn engines_since(&self, since: Instant) -> BTreeSet<EndpointId> {
        let streams = self.streams.borrow();
        let lively = streams.values().filter(|heard| heard.at >= since);
        lively.flat_map(|heard| heard.engines.iter().cloned()).collect()
    }

    /// An engine has started again: streams that were begun or moved before say nothing of it any more.
    pub fn on_new_life(&self, engine: &str) {
        for heard in self.streams.borrow_mut().values_mut() {
            heard.engines.remove(engine);
        }
    }
}

impl HeardStream {
    /// An event came.
    pub fn on_event(&self, now: Instant) {
        if let Some(heard) = self.all.streams.borrow_mut().get_mut(&self.number) {
            heard.at = now;
        }
    }

    /// The stream goes another way from now on; nothing was heard of it yet.
    pub fn on_moved(&self, path: &LayerPath) {
        if let Some(heard) = self.all.streams.borrow_mut().get_mut(&self.number) {
            heard.engines = engines_of(path);
        }
    }
}

impl Drop for HeardStream {
    fn drop(&mut self) {
        self.all.streams.borrow_mut().remove(&self.number);
    }
}
