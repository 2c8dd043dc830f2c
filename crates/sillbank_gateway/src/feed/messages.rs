//! Messages of the feed, sent as postcard frames over TCP.

use crate::hall::{HallVms, LeaderScore};
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

/// Random number that a process draws at its start. Its change numbers and report numbers are only
/// valid within it. The fence of its lease would not do, as that changes with each renewal.
pub type Incarnation = u64;

/// Position of a follower in a leader's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCursor {
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// Newest change of the leader's directory.
    pub endpoints: ChangeNumber,
    /// Newest number of a hall report.
    pub hall_reports: u64,
    /// Newest change of the quarantine list.
    pub quarantine: u64,
    /// Newest change of the endpoints' rate limits.
    pub limits: u64,
}

/// A VM requests updates from a leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Requesting VM.
    pub vm: VmId,
    /// Its hall.
    pub hall: HallId,
    /// Its address for followers if it leads.
    pub peer: SocketAddr,
    /// How fit it is to lead; 0 if it should not.
    pub leader_score: LeaderScore,
    /// Time since its configuration was last confirmed, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Whether it leads, has lost the store, and uses the receiver as its source.
    pub is_source_request: bool,
    /// Version of its configuration.
    pub catalog: Option<CatalogVersion>,
    /// Its position in the changes of this leader.
    pub cursor: Option<FeedCursor>,
    /// Demand on it in the last second, for the leader of its own hall.
    pub demand: Option<DemandReport>,
    /// Crashes under requests that it witnessed and has not reported yet.
    pub suspects: Vec<SuspectUpdate>,
    /// Rate limits that endpoints sent it and that it has not reported yet.
    pub limits: Vec<LimitUpdate>,
    /// Rates that it, or as a leader its hall, would send to endpoints with a limit.
    pub rate_demands: Vec<RateDemand>,
}

/// What follows a [`FeedRequest`]. A VM of an older version neither sends nor reads it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FeedRequestExtension {
    /// Crashes and good runs of parts of prompts that the VM witnessed and has not reported yet.
    pub parts: Vec<PartUpdate>,
    /// Newest change of the leader's suspected parts that the VM received.
    pub parts_seen: u64,
}

/// What follows a [`FeedReply`]. A VM of an older version neither sends nor reads it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FeedReplyExtension {
    /// Changes of suspected parts of prompts that are new to the follower.
    pub parts: PartUpdates,
}

/// Changes of the leader's directory that the follower lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Revision of the store as of which they are valid.
    pub at: Revision,
    /// The difference, or a piece of it.
    pub difference: Difference,
}

/// State of an engine as reported, or that it is lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Engine id.
    pub id: EndpointId,
    /// Incarnation that the state belongs to; `None` if unknown.
    pub born_ms: Option<BornMs>,
    /// Whether it failed to report several times.
    pub is_lost: bool,
    /// Layers that it serves.
    pub layers: Option<LayerRange>,
    /// Waiting requests.
    pub waiting: u32,
    /// Running requests.
    pub running: u32,
    /// Used share of its KV cache, in thousandths.
    pub kv_permille: u16,
    /// Slowdown against its usual speed, in thousandths.
    pub pace_permille: u32,
}

/// State of a hall's engines, and the demand on the hall.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallReport {
    /// Hall.
    pub hall: HallId,
    /// Time since the engines were polled, in milliseconds.
    pub age_ms: u64,
    /// Followers of the hall's leader, and the leader.
    pub vms: u32,
    /// Address of the hall's leader.
    pub leader: SocketAddr,
    /// Whether all engines are listed. If so, missing ones are gone; if not, they are unchanged.
    pub is_complete: bool,
    /// Engines.
    pub engines: Vec<EngineState>,
    /// Demand on the hall; `None` if its leader has not heard from all VMs yet, or if the follower
    /// knows it already.
    pub demand: Option<HallRates>,
}

/// Request rates of all VMs of a hall.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HallRates {
    /// Time since they were added up, in milliseconds.
    pub age_ms: u64,
    /// Rates by service and rank.
    pub rates: Vec<DemandRate>,
}

/// Changes of an engine's state from which it is reported again.
struct ChangeThresholds {
    /// Change of the used KV cache, in thousandths.
    kv_permille: u16,
    /// Change of the number of requests.
    requests: u32,
}

/// Thresholds while an engine has free KV cache: smaller changes hardly affect the choice of paths.
const THRESHOLDS: ChangeThresholds = ChangeThresholds { kv_permille: 40, requests: 8 };
/// Thresholds while its KV cache is nearly full: VMs refuse requests by what is reported.
const NEARLY_FULL_THRESHOLDS: ChangeThresholds = ChangeThresholds { kv_permille: 10, requests: 2 };
/// Used share of the KV cache from which an engine is nearly full, in thousandths. Path costs rise
/// from about there.
pub const NEARLY_FULL_PERMILLE: u16 = 600;
/// Change of an engine's slowdown from which it is reported again, in thousandths.
const PACE_CHANGE_PERMILLE: u32 = 200;

/// Largest share that is reported, in thousandths.
const MAX_PERMILLE: f64 = 1_000.0;
/// Largest slowdown that is reported, in thousandths.
const MAX_PACE_PERMILLE: f64 = 1_000_000.0;

/// Converts a share to thousandths. An invalid share is reported as full, so that nothing is sent
/// where free space is unknown.
fn kv_permille(share: f64) -> u16 {
    match share >= 0.0 {
        true => (share * MAX_PERMILLE).min(MAX_PERMILLE) as u16,
        false => MAX_PERMILLE as u16,
    }
}

/// Converts a slowdown to thousandths, at least 1000.
fn pace_permille(pace: f64) -> u32 {
    match pace > 1.0 {
        true => (pace * 1_000.0).min(MAX_PACE_PERMILLE) as u32,
        false => 1_000,
    }
}

impl EngineState {
    /// Builds the state from an engine's latest report, which is `None` if the engine is lost.
    /// `newest_incarnation` is the engine's incarnation.
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

    /// Whether the choice of paths is about the same for another state of the engine. Only
    /// differing states are passed on, so that the traffic of a leader does not grow with engines
    /// times VMs.
    pub fn is_similar(&self, other: &Self) -> bool {
        let requests = |state: &Self| state.running.saturating_add(state.waiting);
        let is_nearly_full = self.kv_permille.max(other.kv_permille) >= NEARLY_FULL_PERMILLE;
        let thresholds = if is_nearly_full { NEARLY_FULL_THRESHOLDS } else { THRESHOLDS };
        self.born_ms == other.born_ms
            && self.is_lost == other.is_lost
            && self.layers == other.layers
            && (self.waiting > 0) == (other.waiting > 0)
            && self.kv_permille.abs_diff(other.kv_permille) < thresholds.kv_permille
            && requests(self).abs_diff(requests(other)) < thresholds.requests
            && self.pace_permille.abs_diff(other.pace_permille) < PACE_CHANGE_PERMILLE
    }
}

/// What has changed at a leader since a follower's last request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// Incarnation of the leader's process.
    pub incarnation: Incarnation,
    /// Number of the newest hall report in this update.
    pub hall_reports_seen: u64,
    /// Whether the leader holds the hall's lease. If not, the store is unreachable or another VM
    /// may take it.
    pub holds_lease: bool,
    /// Whether the leader follows the store itself and is answered. If not, another VM does so for
    /// it. If a leader that had lost the store set this, others would rely on what they had
    /// reported to it themselves.
    pub follows_store: bool,
    /// Number of VMs in the leader's hall.
    pub hall_vms: HallVms,
    /// How long the request was held until there was an update, in milliseconds.
    pub held_ms: u64,
    /// Time since the leader's configuration was last confirmed, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Revision of the store as of which it was confirmed.
    pub confirmed_at: Revision,
    /// The configuration, if it is newer than the follower's.
    pub catalog: Option<CatalogParts>,
    /// Changes of endpoints; `None` if the leader has not read them yet.
    pub endpoints: Option<EndpointUpdate>,
    /// Reports of all halls, as far as they are new to the follower.
    pub hall_reports: Vec<HallReport>,
    /// Changes of the quarantine list that are new to the follower.
    pub quarantine: QuarantineUpdate,
    /// Rate limits of endpoints that are new to the follower.
    pub limits: LimitUpdates,
    /// Rate leases of the follower, or those of its hall if it leads another one.
    pub rate_leases: Vec<RateLeaseGrant>,
}

impl FeedUpdate {
    /// When the leader's configuration was confirmed, by the clock of a VM that sent its request at
    /// `sent` and received the reply at `answered`. The leader replied no sooner than `held_ms`
    /// after the request. `None` if the update holds no such time, or an absurd one.
    pub fn local_confirmation_time(&self, sent: Instant, answered: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.confirmed_age_ms?);
        self.local_creation_time(sent, answered)?.checked_sub(age)
    }

    /// Earliest time at which the reply was created, by the clock of a VM that sent its request at
    /// `sent`.
    pub fn local_creation_time(&self, sent: Instant, answered: Instant) -> Option<Instant> {
        let held_until = sent.checked_add(Duration::from_millis(self.held_ms))?;
        Some(held_until.min(answered))
    }
}

/// Reply to a [`FeedRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FeedReply {
    /// What has changed.
    Update(Box<FeedUpdate>),
    /// The VM does not lead its hall.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
}
