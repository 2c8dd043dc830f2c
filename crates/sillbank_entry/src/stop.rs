//! Graceful shutdown: readiness is withdrawn, requests in flight end or are handed over.

use crate::in_flight::Generations;
use crate::state::Entry;
use sillbank_chart::{Chart, named_enum};
use sillbank_net::signals::Signals;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

/// Time between checks for work in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for replies already written to reach their callers before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(100);

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

/// Work in flight, and whether the VM is stopping.
#[derive(Default)]
pub(crate) struct StopState {
    stopping: Cell<bool>,
    pub(crate) generations: Generations,
    calls: Rc<Cell<usize>>,
}

impl StopState {
    /// Whether new work is refused.
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

/// Waits for a signal, then shuts down as the state chart defines.
pub(crate) async fn wait(entry: &Entry, mut signals: Signals) {
    signals.next().await;
    let mut state = step(entry, CHART.initial(), VmEvent::Stop);
    let stop_deadline = Instant::now() + entry.settings.stop_limit;
    while state != VmState::Stopped {
        if entry.stop.is_empty() {
            state = step(entry, state, VmEvent::Empty);
        } else {
            if Instant::now() >= stop_deadline {
                state = step(entry, state, VmEvent::Limit);
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }
    Timer::after(FLUSH_TIME).await;
}

fn step(entry: &Entry, state: VmState, event: VmEvent) -> VmState {
    let Some(transition) = CHART.step(state, event) else {
        return state;
    };
    match transition.action {
        VmAction::RefuseNew => {
            entry.stop.stopping.set(true);
            tracing::info!("entry: Stopping; new work is refused.");
        }
        VmAction::HandOver => {
            tracing::info!("entry: The stop limit is reached; streams are handed over.");
            entry.stop.generations.hand_over();
        }
        VmAction::Exit => tracing::info!("entry: Nothing is in flight."),
    }
    transition.to
}
