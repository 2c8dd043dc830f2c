//! A planned stop: readiness falls, what is in flight ends or is handed over.

use crate::in_flight::Generations;
use crate::state::Entry;
use sillbank_chart::{Chart, named_enum};
use sillbank_net::signals::Signals;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

/// Time between looks at what is still in flight.
const LOOK: Duration = Duration::from_millis(10);
/// Time that replies already written have to leave.
const FLUSH: Duration = Duration::from_millis(100);

named_enum! {
    enum VmState {
        Serving = "serving",
        Draining = "draining",
        HandingOver = "handing_over",
        Stopped = "stopped",
    }
}

named_enum! {
    enum VmEvent {
        Stop = "stop",
        Empty = "empty",
        Limit = "limit",
    }
}

named_enum! {
    enum VmAction {
        RefuseNew = "refuse_new",
        HandOver = "hand_over",
        Exit = "exit",
    }
}

static CHART: LazyLock<Chart<VmState, VmEvent, VmAction>> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/vm_stop.toml"))
        .expect("the built-in chart is checked by a test")
});

/// What is in flight, and whether the VM stops.
#[derive(Default)]
pub(crate) struct StopState {
    stopping: Cell<bool>,
    pub(crate) generations: Generations,
    calls: Rc<Cell<usize>>,
}

impl StopState {
    /// Whether no new work is taken.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Counts a service call until the guard is dropped.
    pub(crate) fn count_call(&self) -> CallGuard {
        self.calls.set(self.calls.get() + 1);
        CallGuard(self.calls.clone())
    }

    fn is_empty(&self) -> bool {
        self.generations.is_empty() && self.calls.get() == 0
    }
}

/// One service call in flight.
pub(crate) struct CallGuard(Rc<Cell<usize>>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits for a signal, then stops as the chart says.
pub(crate) async fn wait(entry: &Entry, mut signals: Signals) {
    signals.next().await;
    let mut state = step(entry, CHART.initial(), VmEvent::Stop);
    let limit = Instant::now() + entry.settings.stop_limit;
    while state != VmState::Stopped {
        if entry.stop.is_empty() {
            state = step(entry, state, VmEvent::Empty);
        } else {
            if Instant::now() >= limit {
                state = step(entry, state, VmEvent::Limit);
            }
            Timer::after(LOOK).await;
        }
    }
    Timer::after(FLUSH).await;
}

fn step(entry: &Entry, state: VmState, event: VmEvent) -> VmState {
    let Some(transition) = CHART.step(state, event) else {
        return state;
    };
    match transition.action {
        VmAction::RefuseNew => {
            entry.stop.stopping.set(true);
            tracing::info!("entry: Stopping; no new work is taken.");
        }
        VmAction::HandOver => {
            tracing::info!("entry: The stop limit is reached; streams are handed over.");
            entry.stop.generations.hand_over();
        }
        VmAction::Exit => tracing::info!("entry: Nothing is in flight."),
    }
    transition.to
}
