//! State of one answer, as in the state chart `charts/answer.toml`.

use crate::refusal::Refusal;
use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

/// Pause after the first refusal, before another endpoint is looked for again; each further refusal
/// doubles it.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a refusal by an endpoint, which counts as an arrival there. Callers give a
/// stream up after two seconds without an event.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause after a refusal that reached no endpoint: a look for another one costs processor
/// time only.
const MAX_LOCAL_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Share of a pause by which it varies in both directions, as one silence stops many answers at once.
const RETRY_JITTER: f64 = 0.5;
/// Time after which the connection to a doubted endpoint may be closed where no other one could take
/// the answer while it holds it.
const RELEASE_AFTER: Duration = Duration::from_millis(1_000);

named_enum! {
    /// State of an answer at its endpoint.
    pub enum AnswerState {
        /// The endpoint sends events, or has not been silent for long.
        Flowing = "flowing",
        /// The endpoint may be lost or may go on.
        Doubted = "doubted",
        /// The connection to the endpoint has ended.
        Lost = "lost",
    }
}

named_enum! {
    enum AnswerEvent {
        Sent = "sent",
        Doubt = "doubt",
        Loss = "loss",
        Replaced = "replaced",
    }
}

named_enum! {
    enum AnswerAction {
        Nothing = "nothing",
        /// Looks for another endpoint at once.
        Seek = "seek",
        /// The same, unless one is being tried.
        Retry = "retry",
        /// Needs no other endpoint any more.
        Cancel = "cancel",
    }
}

type AnswerChart = Chart<AnswerState, AnswerEvent, AnswerAction>;

static CHART: LazyLock<AnswerChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/answer.toml"))
        .expect("the built-in chart is checked by a test")
});

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait for the endpoint, or for the endpoint that is being tried, and ask again at this time.
    Wait(Option<Instant>),
    /// Try another endpoint. The connection to the present one is kept if it is open.
    Open,
    /// Close the connection to the present endpoint, as all paths start there, and send the answer
    /// over another path at once: what the last try found holds at this moment only.
    Release,
    /// End the answer.
    GiveUp(Refusal),
}

/// Decides what happens to one answer.
#[derive(Debug, Clone)]
pub struct Failover {
    state: AnswerState,
    /// When the endpoint was doubted, or the answer last moved since then.
    doubted_at: Option<Instant>,
    /// Whether another endpoint is being tried.
    is_opening: bool,
    /// Refusals since another endpoint was first looked for.
    refusals: u32,
    last_refusal: Option<Refusal>,
    /// When the last refusal was found.
    refused_at: Option<Instant>,
    /// When another endpoint is tried again; `None`: at once.
    next_try_at: Option<Instant>,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            state: CHART.initial(),
            doubted_at: None,
            is_opening: false,
            refusals: 0,
            last_refusal: None,
            refused_at: None,
            next_try_at: None,
        }
    }
}

impl Failover {
    /// State of the answer.
    pub fn state(&self) -> AnswerState {
        self.state
    }

    /// The endpoint sent an event. A try of another endpoint is to be cancelled. Returns whether the
    /// endpoint was doubted.
    pub fn on_sent(&mut self) -> bool {
        self.apply(AnswerEvent::Sent)
    }

    /// There is evidence that the endpoint, or an engine behind it, is lost. Returns whether it is the
    /// first.
    pub fn on_doubt(&mut self, now: Instant) -> bool {
        let is_first = self.apply(AnswerEvent::Doubt);
        if is_first {
            self.doubted_at = Some(now);
        }
        is_first
    }

    /// The endpoint accepted another path for the answer.
    pub fn on_moved(&mut self, now: Instant) {
        if self.state == AnswerState::Doubted {
            self.doubted_at = Some(now);
        }
    }

    /// The connection to the endpoint has ended.
    pub fn on_lost(&mut self) {
        self.apply(AnswerEvent::Loss);
    }

    /// Another endpoint continues the answer.
    pub fn on_replaced(&mut self) {
        self.apply(AnswerEvent::Replaced);
    }

    /// Another endpoint is being tried.
    pub fn on_opening(&mut self) {
        self.is_opening = true;
    }

    /// No other endpoint took the answer. `random` is a random number from 0 to 1.
    pub fn on_refused(&mut self, refusal: Refusal, now: Instant, random: f64) {
        let doubled = FIRST_RETRY_PAUSE.saturating_mul(1 << self.refusals.min(8));
        let max_pause = if refusal.is_local() { MAX_LOCAL_RETRY_PAUSE } else { MAX_RETRY_PAUSE };
        let jitter = 1.0 + RETRY_JITTER * (2.0 * random.clamp(0.0, 1.0) - 1.0);
        self.is_opening = false;
        self.refusals += 1;
        self.last_refusal = Some(refusal);
        self.refused_at = Some(now);
        self.next_try_at = Some(now + doubled.min(max_pause).mul_f64(jitter));
    }

    /// What to do next.
    pub fn next(&self, now: Instant) -> Step {
        if self.state == AnswerState::Flowing || self.is_opening {
            return Step::Wait(None);
        }
        match self.last_refusal {
            Some(refusal) if refusal.is_permanent() && self.state == AnswerState::Lost => {
                Step::GiveUp(refusal)
            }
            Some(refusal) if refusal.is_permanent() => Step::Wait(None),
            last_refusal => match self.next_try_at {
                Some(at) if now < at => match last_refusal {
                    Some(Refusal::OnlyHere) if self.may_release() => Step::Release,
                    _ => Step::Wait(Some(at)),
                },
                _ => Step::Open,
            },
        }
    }

    /// Whether the endpoint had been doubted for long when the last refusal was found. An earlier one
    /// does not show what is possible now.
    fn may_release(&self) -> bool {
        let times = self.doubted_at.zip(self.refused_at);
        let is_long = times.is_some_and(|(doubted_at, refused_at)| {
            refused_at.saturating_duration_since(doubted_at) >= RELEASE_AFTER
        });
        self.state == AnswerState::Doubted && is_long
    }

    /// Applies an event. Returns whether it changes the state.
    fn apply(&mut self, event: AnswerEvent) -> bool {
        let Some(transition) = CHART.step(self.state, event) else {
            return false;
        };
        let before = std::mem::replace(&mut self.state, transition.to);
        match transition.action {
            AnswerAction::Nothing => {}
            AnswerAction::Seek | AnswerAction::Cancel => {
                let state = self.state;
                *self = Self { state, ..Self::default() };
            }
            AnswerAction::Retry => {
                self.next_try_at = None;
                self.last_refusal = None;
            }
        }
        before != self.state
    }
}
