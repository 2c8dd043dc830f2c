//! Streams whose answers have not been written completely, so that an exit can name those that it cuts.

use crate::decisions::DecisionLog;
use crate::job::Job;
use sillbank_core::prelude::*;
use sillbank_drain::prelude::*;
use sillbank_net::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of events from which the mean time between them counts as the pace of a stream.
const MIN_PACE_EVENTS: u64 = 8;

/// What the endpoint of a stream was last known to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It has not answered yet.
    Awaited,
    /// It sends events.
    AtWork,
    /// It is silent, and another endpoint is looked for.
    Doubted,
    /// The connection to it has ended, and another endpoint is looked for.
    Lost,
    /// It has sent the whole answer.
    Done,
}

impl EndpointState {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Awaited => "awaited",
            Self::AtWork => "at_work",
            Self::Doubted => "doubted",
            Self::Lost => "lost",
            Self::Done => "done",
        }
    }
}

/// A stream whose answer has not been written completely.
#[derive(Debug)]
pub struct RunningStream {
    registry: Rc<RunningStreams>,
    number: u64,
    entry: Rc<Entry>,
}

#[derive(Debug)]
struct Entry {
    job: Rc<Job>,
    endpoint: RefCell<EndpointId>,
    state: Cell<EndpointState>,
    outbox: RefCell<Option<Outbox>>,
}

impl RunningStream {
    /// The answer is written to this outbox from now on.
    pub(super) fn set_outbox(&self, outbox: &Outbox) {
        self.entry.outbox.replace(Some(outbox.clone()));
    }

    /// An endpoint sends events of the stream.
    pub(super) fn on_endpoint(&self, endpoint: &str) {
        self.entry.endpoint.replace(endpoint.to_owned());
        self.set_state(EndpointState::AtWork);
    }

    /// The state of the endpoint changed.
    pub(super) fn set_state(&self, state: EndpointState) {
        self.entry.state.set(state);
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.registry.streams.borrow_mut().remove(&self.number);
    }
}

/// All running streams of a VM.
#[derive(Debug, Default)]
pub struct RunningStreams {
    streams: RefCell<BTreeMap<u64, Rc<Entry>>>,
    next_number: Cell<u64>,
}

impl RunningStreams {
    /// Adds a stream, until the result is dropped.
    pub(super) fn add(self: &Rc<Self>, job: &Rc<Job>) -> RunningStream {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let entry = Rc::new(Entry {
            job: job.clone(),
            endpoint: RefCell::default(),
            state: Cell::new(EndpointState::Awaited),
            outbox: RefCell::default(),
        });
        self.streams.borrow_mut().insert(number, entry.clone());
        RunningStream { registry: self.clone(), number, entry }
    }

    /// Pace of the streams of a service that run now: the mean time between their events, and the longest time to their first
    /// event; `None` if none has enough events. It stands in for a forecast where no engine reports its load.
    pub fn pace(&self, service: &str) -> Option<StreamPace> {
        let streams = self.streams.borrow();
        let deliveries = streams.values().map(|entry| &entry.job).filter_map(|job| {
            let has_pace = job.service.name == service && job.delivery.events() >= MIN_PACE_EVENTS;
            has_pace.then_some(&job.delivery)
        });
        let known: Vec<_> =
            deliveries.filter_map(|d| Some((d.first()?, d.mean_interval()?))).collect();
        let count = u32::try_from(known.len()).ok().filter(|count| *count > 0)?;
        let first_event = known.iter().map(|(first_event, _)| *first_event).max()?;
        let intervals: Duration = known.iter().map(|(_, interval)| *interval).sum();
        Some(StreamPace { first_event, event_interval: intervals / count })
    }

    /// Logs each stream that the exit of this process cuts.
    pub fn log_cut(&self, decisions: &DecisionLog, plan: &DrainPlan, now: Instant) {
        for entry in self.streams.borrow().values() {
            let unwritten_bytes = entry.outbox.borrow().as_ref().map_or(0, Outbox::buffered_bytes);
            let (endpoint, state) = (entry.endpoint.borrow(), entry.state.get());
            let cut = CutStream { endpoint: &endpoint, state, unwritten_bytes };
            decisions.cut_by_exit(&entry.job, &cut, plan, now);
        }
    }
}

/// A stream that the exit cuts.
#[derive(Debug, Clone, Copy)]
pub struct CutStream<'a> {
    /// Endpoint of the stream.
    pub endpoint: &'a str,
    /// What it was last known to do.
    pub state: EndpointState,
    /// Bytes of the answer that are not written yet, without those in the buffers of the connection.
    pub unwritten_bytes: usize,
}
