//! Messages of the feed, as postcard frames over TCP.

use crate::hall::{HallVms, Strength};
use serde::{Deserialize, Serialize};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
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
}

/// What a leader's directory has that the asking VM lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNews {
    /// Revision of the store as of which it holds.
    pub at: u64,
    /// The difference, or a piece of it.
    pub difference: Difference,
}

/// What an engine reported, or that it is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Engine.
    pub id: EndpointId,
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

/// What is known of a hall's engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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

impl EngineState {
    /// Whether the choice of paths is the same by another state of the engine. Engines are told of only
    /// when they differ, so that what a leader tells does not grow with engines times VMs.
    pub fn is_about(&self, other: &Self) -> bool {
        let requests = |state: &Self| state.running + state.waiting;
        let is_nearly_full = self.kv_permille.max(other.kv_permille) >= NEARLY_FULL_PERMILLE;
        let tell_from = if is_nearly_full { TELL_FROM_NEARLY_FULL } else { TELL_FROM };
        self.is_lost == other.is_lost
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
    pub confirmed_at: u64,
    /// The configuration, if it is newer.
    pub catalog: Option<CatalogParts>,
    /// What is new of endpoints; `None` if the leader has not read them yet.
    pub endpoints: Option<EndpointNews>,
    /// Engines of this hall and of others, as far as they are new to the asking VM.
    pub boards: Vec<HallBoard>,
}

impl FeedNews {
    /// When the leader's configuration was confirmed, by the clock of a VM that sent its ask at
    /// `sent` and had its answer at `answered`. The leader answered no sooner than `held_ms` after the ask.
    /// `None` if it tells no such time, or an absurd one.
    pub fn confirmed_since(&self, sent: Instant, answered: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.confirmed_age_ms?);
        let held_until = sent.checked_add(Duration::from_millis(self.held_ms))?;
        held_until.min(answered).checked_sub(age)
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
