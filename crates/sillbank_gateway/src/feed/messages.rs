//! Messages of the feed, as postcard frames over TCP.

use crate::hall::{HallVms, Strength};
use crate::revision::Revision;
use crate::wire::EngineReport;
use serde::{Deserialize, Serialize};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_demand::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_pushback::prelude::*;
use sillbank_quarantine::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number that a process draws at its start: the numbers it gives changes and boards count within it only.
/// The fence of its lease would not do, as that changes with each renewal.
pub type Incarnation = u64;

/// What a VM has seen of a leader's knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenMark {
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// Newest change of the leader's directory.
    pub endpoints: ChangeNumber,
    /// Number of the newest board that was passed on.
    pub boards: u64,
    /// Newest change of requests that end their endpoints.
    pub quarantine: u64,
    /// Newest change of what endpoints said of their limits.
    pub limits: u64,
}

/// A VM asks a leader for what is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedAsk {
    /// Who asks.
    pub vm: VmId,
    /// Its hall.
    pub hall: HallId,
    /// Where it is asked if it leads.
    pub peer: SocketAddr,
    /// How fit it is to lead; 0 if it does not want to.
    pub strength: Strength,
    /// Time since its configuration was last confirmed, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Whether it leads and asks a VM of its hall, as it has lost the store.
    pub asks_source: bool,
    /// Version of the configuration it has.
    pub catalog: Option<CatalogVersion>,
    /// What it has seen of this leader.
    pub seen: Option<SeenMark>,
    /// What it was asked for in the last second, told to the leader of its own hall.
    pub demand: Option<DemandReport>,
    /// Requests under which it saw endpoints end, as far as it has not told them yet.
    pub suspects: Vec<SuspectUpdate>,
    /// What endpoints told it of their limits, as far as it has not told that yet.
    pub limits: Vec<LimitUpdate>,
    /// What it, or as a leader its hall, would send to endpoints that name limits.
    pub wants: Vec<RateDemand>,
}

/// What a leader's directory has that the asking VM lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// Revision of the store as of which it holds.
    pub at: Revision,
    /// The difference, or a piece of it.
    pub difference: Difference,
}

/// What an engine reported, or that it is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Engine.
    pub id: EndpointId,
    /// Start of the life that is told of; `None` if it is not known.
    pub born_ms: Option<BornMs>,
    /// Whether it did not answer several times.
    pub is_lost: bool,
    /// Layers it serves.
    pub layers: Option<LayerRange>,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Used part of its KV cache, in thousandths.
    pub kv_permille: u16,
    /// How many times slower than usual it is, in thousandths.
    pub pace_permille: u32,
}

/// What is known of a hall's engines, and what the hall is asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallBoard {
    /// Hall.
    pub hall: HallId,
    /// Time since the engines were asked, in milliseconds.
    pub age_ms: u64,
    /// VMs of the hall that ask its leader, and the leader.
    pub vms: u32,
    /// Where the hall's leader is asked.
    pub leader: SocketAddr,
    /// Whether all engines are told of, and those that are missing are gone. If not, those that are
    /// missing are as told before.
    pub is_whole: bool,
    /// Engines.
    pub engines: Vec<EngineState>,
    /// What the hall is asked for; `None` if its leader has not heard all VMs yet, or if the asking VM knows it.
    pub demand: Option<HallRates>,
}

/// Requests a second at all VMs of a hall.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallRates {
    /// Time since they were added up, in milliseconds.
    pub age_ms: u64,
    /// Rates by service and rank.
    pub rates: Vec<DemandRate>,
}

/// Changes of an engine's state from which it is told again.
struct TellFrom {
    /// Of its KV cache, in thousandths.
    kv_permille: u16,
    /// Of its requests.
    requests: u32,
}

/// While an engine has room to spare: the choice of paths is about the same.
const TELL_FROM: TellFrom = TellFrom { kv_permille: 40, requests: 8 };
/// While its KV cache is nearly full: what is told decides who is refused.
const TELL_FROM_NEARLY_FULL: TellFrom = TellFrom { kv_permille: 10, requests: 2 };
/// Used part of the KV cache from which an engine is nearly full, in thousandths. Costs of paths rise
/// from about there.
pub const NEARLY_FULL_PERMILLE: u16 = 600;
/// Change of an engine's pace from which it is told again, in thousandths.
const PACE_CHANGE_PERMILLE: u32 = 200;

/// Largest share and slowest pace that are told, in thousandths.
const MOST_PERMILLE: f64 = 1_000.0;
const SLOWEST_PERMILLE: f64 = 1_000_000.0;

/// A share in thousandths. One that is no share is told as full: nobody is sent where it is not known
/// whether there is room.
fn kv_permille(share: f64) -> u16 {
    match share >= 0.0 {
        true => (share * MOST_PERMILLE).min(MOST_PERMILLE) as u16,
        false => MOST_PERMILLE as u16,
    }
}

/// A pace in thousandths, never quicker than usual.
fn pace_permille(pace: f64) -> u32 {
    match pace > 1.0 {
        true => (pace * 1_000.0).min(SLOWEST_PERMILLE) as u32,
        false => 1_000,
    }
}

impl EngineState {
    /// An engine by its newest report; `None` if it is lost. `newest_incarnation` is the one that it tells of.
    pub fn new(
        id: EndpointId,
        newest_incarnation: Option<BornMs>,
        report: Option<&EngineReport>,
    ) -> Self {
        Self {
            id,
            born_ms: newest_incarnation,
            is_lost: report.is_none(),
            layers: report.and_then(|report| report.layers),
            waiting: report.map_or(0, |report| report.waiting),
            running: report.map_or(0, |report| report.running),
            kv_permille: report.map_or(0, |report| kv_permille(report.kv_share)),
            pace_permille: report.map_or(1_000, |report| pace_permille(report.pace)),
        }
    }

    /// Whether the choice of paths is the same by another state of the engine. Engines are told of only
    /// when they differ, so that what a leader tells does not grow with engines times VMs.
    pub fn is_about(&self, other: &Self) -> bool {
        let requests = |state: &Self| state.running.saturating_add(state.waiting);
        let is_nearly_full = self.kv_permille.max(other.kv_permille) >= NEARLY_FULL_PERMILLE;
        let tell_from = if is_nearly_full { TELL_FROM_NEARLY_FULL } else { TELL_FROM };
        self.born_ms == other.born_ms
            && self.is_lost == other.is_lost
            && self.layers == other.layers
            && (self.waiting > 0) == (other.waiting > 0)
            && self.kv_permille.abs_diff(other.kv_permille) < tell_from.kv_permille
            && requests(self).abs_diff(requests(other)) < tell_from.requests
            && self.pace_permille.abs_diff(other.pace_permille) < PACE_CHANGE_PERMILLE
    }
}

/// What a leader knows that the asking VM may not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedNews {
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// Number of the newest board that the asking VM has seen after this.
    pub boards_seen: u64,
    /// Whether the leader holds the hall's lease. If not, the store is away, or another VM may take it.
    pub holds_lease: bool,
    /// Whether the leader asks the store itself and is answered. If not, another VM does for it. Said by a
    /// leader that had lost the store, it made others rely on what they had told it themselves.
    pub follows_store: bool,
    /// VMs of the leader's hall.
    pub hall_vms: HallVms,
    /// How long the ask was held for news, in milliseconds.
    pub held_ms: u64,
    /// Time since the leader's configuration was last confirmed, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Revision of the store up to which it was confirmed.
    pub confirmed_at: Revision,
    /// The configuration, if it is newer.
    pub catalog: Option<CatalogParts>,
    /// What is new of endpoints; `None` if the leader has not read them yet.
    pub endpoints: Option<EndpointNews>,
    /// Engines of this hall and of others, as far as they are new to the asking VM.
    pub boards: Vec<HallBoard>,
    /// Requests under which endpoints ended, as far as they are new to the asking VM.
    pub quarantine: QuarantineUpdate,
    /// What endpoints said of their limits, as far as it is new to the asking VM.
    pub limits: LimitUpdates,
    /// The asking VM's parts of limits, or those of its hall if it leads another one.
    pub parts: Vec<RateLeaseGrant>,
}

impl FeedNews {
    /// When the leader's configuration was confirmed, by the clock of a VM that sent its ask at
    /// `sent` and had its answer at `answered`. The leader answered no sooner than `held_ms` after the ask.
    /// `None` if it tells no such time, or an absurd one.
    pub fn confirmed_since(&self, sent: Instant, answered: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.confirmed_age_ms?);
        self.made_at(sent, answered)?.checked_sub(age)
    }

    /// When the answer was made at the earliest, by the clock of a VM that sent its ask at `sent`.
    pub fn made_at(&self, sent: Instant, answered: Instant) -> Option<Instant> {
        let held_until = sent.checked_add(Duration::from_millis(self.held_ms))?;
        Some(held_until.min(answered))
    }
}

/// Answer to [`FeedAsk`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedReply {
    /// What is new.
    News(Box<FeedNews>),
    /// The VM does not lead its hall.
    NotLeading {
        /// Where the one that does is asked, if it knows.
        leader: Option<SocketAddr>,
    },
}
