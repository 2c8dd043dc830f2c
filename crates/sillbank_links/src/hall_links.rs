//! A VM's links to the endpoints of one hall, as in the state chart `charts/hall_links.toml`.

use sillbank_chart::{Chart, named_enum};
use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

/// Lost links, without a direct success since the first, from which all links to a hall count as lost. A verdict on fewer
/// would follow from two lost packets.
const MIN_LOST_LINKS: usize = 3;
/// Time within which they have to be found.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which all checks have to succeed before connections are direct again.
const MIN_HOLD_TIME: Duration = Duration::from_secs(1);
/// Longest such time; it doubles each time the links are lost again soon.
const MAX_HOLD_TIME: Duration = Duration::from_secs(8);
/// Time after a return within which another loss doubles the hold time.
const FLAP_WINDOW: Duration = Duration::from_secs(10);

named_enum! {
    /// State of the links to a hall.
    pub enum HallLinkState {
        /// Connections are direct, but for single endpoints.
        Good = "good",
        /// All connections go through other VMs.
        Lost = "lost",
        /// They still do, but all checks of direct connections succeed.
        Returning = "returning",
    }
}

named_enum! {
    /// Events that change the state.
    pub(crate) enum HallLinkEvent {
        /// Enough links of the hall are lost.
        ProvedLost = "proved_lost",
        /// All endpoints that were checked answered directly.
        AllAnswered = "all_answered",
        /// An endpoint that was checked did not answer directly.
        CheckFailed = "check_failed",
        /// The checks have succeeded for the hold time.
        HoldTimeOver = "hold_time_over",
    }
}

named_enum! {
    enum HallLinkAction {
        Nothing = "nothing",
        SetHoldTime = "set_hold_time",
        ForgetLosses = "forget_losses",
    }
}

type HallLinkChart = Chart<HallLinkState, HallLinkEvent, HallLinkAction>;

static CHART: LazyLock<HallLinkChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/hall_links.toml"))
        .expect("the built-in chart is checked by a test")
});

/// Links to the endpoints of one hall.
#[derive(Debug, Clone)]
pub struct HallLinks {
    state: HallLinkState,
    /// When the state was entered.
    since: Instant,
    /// Endpoints whose links are lost, and when that was last found.
    lost: HashMap<EndpointId, Instant>,
    /// When an endpoint of the hall was last reached directly.
    reached_at: Option<Instant>,
    hold_time: Duration,
    returned_at: Option<Instant>,
}

impl HallLinks {
    /// Creates links that are good.
    pub fn new(now: Instant) -> Self {
        Self {
            state: CHART.initial(),
            since: now,
            lost: HashMap::new(),
            reached_at: None,
            hold_time: MIN_HOLD_TIME,
            returned_at: None,
        }
    }

    /// Current state.
    pub fn state(&self) -> HallLinkState {
        self.state
    }

    /// When the state was entered.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Endpoints whose links are lost.
    pub fn lost(&self) -> impl Iterator<Item = &EndpointId> {
        self.lost.keys()
    }

    /// Whether the link to one endpoint is lost.
    pub fn is_lost(&self, endpoint: &str) -> bool {
        self.lost.contains_key(endpoint)
    }

    pub(crate) fn on_link_lost(&mut self, endpoint: &str, listed: usize, now: Instant) {
        self.lost.insert(endpoint.to_owned(), now);
        let is_evidence = |at: &&Instant| {
            now.saturating_duration_since(**at) <= EVIDENCE_WINDOW
                && self.reached_at.is_none_or(|reached| **at > reached)
        };
        if self.lost.values().filter(is_evidence).count() >= MIN_LOST_LINKS.min(listed.max(1)) {
            self.apply(HallLinkEvent::ProvedLost, now);
        }
    }

    pub(crate) fn on_reached(&mut self, endpoint: &str, now: Instant) {
        self.lost.remove(endpoint);
        self.reached_at = Some(now);
    }

    pub(crate) fn on_check(&mut self, all_answered: bool, now: Instant) {
        if !all_answered {
            self.apply(HallLinkEvent::CheckFailed, now);
            return;
        }
        self.apply(HallLinkEvent::AllAnswered, now);
        let held_for = now.saturating_duration_since(self.since);
        if self.state == HallLinkState::Returning && held_for >= self.hold_time {
            self.apply(HallLinkEvent::HoldTimeOver, now);
        }
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.lost.retain(|endpoint, _| is_known(endpoint));
    }

    fn apply(&mut self, event: HallLinkEvent, now: Instant) {
        let Some(transition) = CHART.step(self.state, event) else { return };
        if transition.to != self.state {
            self.since = now;
        }
        self.state = transition.to;
        match transition.action {
            HallLinkAction::SetHoldTime => self.hold_time = self.next_hold_time(now),
            HallLinkAction::ForgetLosses => {
                self.lost.clear();
                self.returned_at = Some(now);
            }
            HallLinkAction::Nothing => {}
        }
    }

    fn next_hold_time(&self, now: Instant) -> Duration {
        let has_flapped = |at: Instant| now.saturating_duration_since(at) <= FLAP_WINDOW;
        match self.returned_at.is_some_and(has_flapped) {
            true => (self.hold_time * 2).min(MAX_HOLD_TIME),
            false => MIN_HOLD_TIME,
        }
    }
}
