//! Detects lost engines on the path of a running request and moves the request around them.

use crate::decisions::SilenceCheck;
use crate::endpoints::{Evidence, InFlightGuard, Reservation};
use crate::gateway::Gateway;
use crate::hall_reports::ReportedEngine;
use crate::job::{Job, engine_shares, path_request};
use crate::metrics::KindLabel;
use crate::paths::{choose_repaired_path, movers_per_own};
use crate::probes::{Diagnosis, EngineQueue, Probe, diagnose, probe_path, silence_means_loss};
use crate::store::MetadataStore;
use crate::wire::{OrderOutcome, Wire};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_links::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Silence after which a stream's first endpoint is asked what the request waits for. Its report is
/// about 200 ms old, so it cannot name a lost engine sooner. Callers give a stream up after two
/// seconds.
const LONG_SILENCE: Duration = Duration::from_millis(450);
/// Share of the route's gap objective after which the engines of the path are probed. The rest is
/// left for the replies, the move and the recomputation of tokens.
const SHORT_SILENCE_SHARE: f64 = 0.5;
/// Multiple of the usual pause after which the engines are probed, if that is sooner. Streams on
/// fast engines have an event every 35 ms and are probed after 90 ms, which leaves time to
/// recompute tokens.
const USUAL_PAUSE_FACTOR: f64 = 2.0;
/// Added to the multiple of the usual pause: some pauses are longer because engines read other
/// requests' prompts.
const PAUSE_MARGIN: Duration = Duration::from_millis(20);
/// Minimum silence before the engines are probed.
const SHORT_SILENCE_MIN: Duration = Duration::from_millis(50);
/// Weight of a new pause in the moving average.
const PAUSE_WEIGHT: f64 = 0.2;
/// Shorter intervals are not pauses but parts of one event, or events that arrived together.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Time limit of a call that moves a request to another path.
const MOVE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a stream has been silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// Long enough to probe the engines of its path; holds the length of the silence.
    Short(Duration),
    /// Long enough to ask the first endpoint what the request waits for.
    Long,
}

/// Decides when a silent stream is to be checked: after a short silence since its last data, then
/// after each long one.
#[derive(Debug)]
pub struct SilenceTimer {
    /// Upper bound of the short silence, used while no usual pause is known. [`LONG_SILENCE`] means
    /// that there is no short silence.
    max_short_silence: Duration,
    /// Moving average of the pauses between two events.
    usual_pause: Option<Duration>,
    /// Factor on the short silence; doubled by each false alarm.
    backoff_factor: u32,
    /// Length of the next short silence.
    short_silence: Duration,
    next_is_short: bool,
    /// Part of the long silence that has already passed.
    silent_for: Duration,
}

impl SilenceTimer {
    /// Creates a timer for a stream whose pauses should be no longer than `gap_objective`.
    pub fn new(gap_objective: Option<Duration>) -> Self {
        let first = gap_objective.map_or(LONG_SILENCE, |gap| gap.mul_f64(SHORT_SILENCE_SHARE));
        let mut timer = Self {
            max_short_silence: first.clamp(SHORT_SILENCE_MIN, LONG_SILENCE),
            usual_pause: None,
            backoff_factor: 1,
            short_silence: LONG_SILENCE,
            next_is_short: false,
            silent_for: Duration::ZERO,
        };
        timer.begin();
        timer
    }

    /// Records that data arrived, `pause` after the data before.
    pub fn on_data(&mut self, pause: Duration) {
        if pause >= MIN_PAUSE {
            let usual = self.usual_pause.unwrap_or(pause);
            let usual = usual.mul_f64(1.0 - PAUSE_WEIGHT) + pause.mul_f64(PAUSE_WEIGHT);
            self.usual_pause = Some(usual);
        }
        self.begin();
    }

    /// Starts a new silence.
    fn begin(&mut self) {
        let by_pauses =
            self.usual_pause.map(|usual| usual.mul_f64(USUAL_PAUSE_FACTOR) + PAUSE_MARGIN);
        let first = by_pauses.map_or(self.max_short_silence, |first| {
            first.clamp(SHORT_SILENCE_MIN.min(self.max_short_silence), self.max_short_silence)
        });
        self.short_silence = (first * self.backoff_factor).min(LONG_SILENCE);
        self.silent_for = Duration::ZERO;
        self.next_is_short = self.short_silence < LONG_SILENCE;
    }

    /// A check after a short silence found no loss, so this stream's pauses are long: the next
    /// short silence is twice as long. Slow engines would be probed all the time otherwise.
    pub fn on_false_alarm(&mut self) {
        self.backoff_factor = self.backoff_factor.saturating_mul(2);
    }

    /// Time until the next check is due.
    pub fn wait(&self) -> Duration {
        match self.next_is_short {
            true => self.short_silence,
            false => LONG_SILENCE.saturating_sub(self.silent_for),
        }
    }

    /// The wait is over; returns how long the stream has been silent.
    pub fn on_silence(&mut self) -> Silence {
        let is_short = std::mem::take(&mut self.next_is_short);
        self.silent_for = if is_short { self.short_silence } else { Duration::ZERO };
        if is_short { Silence::Short(self.short_silence) } else { Silence::Long }
    }
}

/// Engines of a path that may be lost, and the evidence for it.
#[derive(Debug, Clone)]
pub(super) struct Loss {
    /// Empty if it is not known which one.
    pub(super) engines: Vec<EndpointId>,
    pub(super) reason: String,
    /// Whether an engine refuses connections or has restarted, so that it has lost the request.
    pub(super) is_certain: bool,
    /// Whether the link to the first endpoint is lost, or the VM in between.
    pub(super) is_link: bool,
}

impl Loss {
    /// The link to the first endpoint is lost, or the VM in between.
    pub(super) fn of_link(reason: &str) -> Self {
        let reason = reason.to_owned();
        Self { engines: Vec::new(), reason, is_certain: false, is_link: true }
    }

    /// The stream has been silent for longer than an endpoint that works is.
    pub(super) fn unexplained() -> Self {
        Self::of_engines(Vec::new(), "it has been silent for too long", false)
    }

    /// Whether nothing but the silence itself shows a loss, so that no path is known to be better.
    pub(super) fn is_unexplained(&self) -> bool {
        self.engines.is_empty() && !self.is_link
    }

    /// Whether the stream cannot go on where it is, so that no longer silence is waited for.
    pub(super) fn is_pressing(&self) -> bool {
        self.is_link || self.is_certain
    }

    fn of_engines(engines: Vec<EndpointId>, reason: &str, is_certain: bool) -> Self {
        Self { engines, reason: reason.to_owned(), is_certain, is_link: false }
    }

    fn of_silent(engine: &str, reason: &str) -> Self {
        Self::of_engines(vec![engine.to_owned()], reason, false)
    }
}

/// The route of a running request.
#[derive(Debug, Clone)]
pub(super) struct ActiveRoute {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) path: Option<LayerPath>,
    /// How its connection was opened, if there is one yet.
    pub(super) transit: Option<Transit>,
    /// The VM that passes the connection on, if one does.
    pub(super) hop: Option<SocketAddr>,
    /// When the request was sent or last moved.
    pub(super) since: Instant,
    /// When the last data arrived on this route or, if none did, when the request was sent.
    pub(super) last_data_at: Instant,
}

/// Checks whether engines of the path are lost. Engines that are ejected or have restarted count at
/// once.
pub(super) async fn detect_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: &ActiveRoute,
    silence: Silence,
) -> Option<Loss> {
    if let Some(loss) = known_loss(gateway, active_route) {
        return Some(loss);
    }
    match (silence, &active_route.path) {
        (Silence::Short(silent_for), Some(path)) => {
            let loss = probe_engines(gateway, path, silent_for).await;
            if loss.is_none() {
                let finding = "all engines of the path answer, or most are silent";
                log_check(gateway, job, active_route, finding, None);
            }
            loss
        }
        (Silence::Short(_), None) => None,
        (Silence::Long, _) => ask_first_endpoint(gateway, job, active_route).await,
    }
}

/// Engines of a path that are known to be lost: they have restarted since the request was sent or
/// moved, or were ejected since its last data arrived, which shows that they worked until then.
fn known_loss<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    active_route: &ActiveRoute,
) -> Option<Loss> {
    let tracker = &gateway.endpoint_tracker;
    let has_restarted = |id: &str| tracker.restarted_since(id, active_route.since);
    let is_ejected = |id: &str| tracker.ejected_since(id, active_route.last_data_at);
    let ids = active_route.path.iter().flat_map(LayerPath::parts).map(|part| &part.endpoint);
    let engines: Vec<EndpointId> =
        ids.filter(|id| has_restarted(id) || is_ejected(id)).cloned().collect();
    let is_certain = engines.iter().any(|id| has_restarted(id));
    let reason = "a part of the path is left alone";
    (!engines.is_empty()).then(|| Loss::of_engines(engines, reason, is_certain))
}

/// Probes all engines of a path. An engine that is leaving accepts no calls but finishes its
/// requests, so its silence does not count.
async fn probe_engines<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    path: &LayerPath,
    silent_for: Duration,
) -> Option<Loss> {
    let started_at = Instant::now();
    let mut lost = probe_path(gateway, path, silent_for).await;
    lost.retain(|(id, _)| silence_means_loss(standing(gateway, id)));
    if lost.is_empty() {
        return None;
    }
    let reason = "it takes no calls while a stream stands still";
    for (id, _) in &lost {
        gateway.on_evidence(id, Evidence::Unreachable, started_at, reason);
    }
    let is_certain = lost.iter().any(|(_, probe)| *probe == Probe::Refused);
    Some(Loss::of_engines(lost.into_iter().map(|(id, _)| id).collect(), reason, is_certain))
}

/// Asks the first endpoint what the request waits for.
async fn ask_first_endpoint<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: &ActiveRoute,
) -> Option<Loss> {
    let first = active_route.endpoint.as_str();
    let started_at = Instant::now();
    let diagnosis = diagnose(gateway, first, active_route.address, &job.head.request_id).await;
    let (finding, queue) = match &diagnosis {
        Diagnosis::Working(queue) => ("the first endpoint works on it", *queue),
        Diagnosis::Unknown => ("no VM could ask the first endpoint", None),
        Diagnosis::Silent(_) => ("the first endpoint does not answer", None),
        Diagnosis::WaitsFor(_) => ("the first endpoint waits for another one", None),
    };
    log_check(gateway, job, active_route, finding, queue);
    match diagnosis {
        Diagnosis::Working(_) | Diagnosis::Unknown => None,
        Diagnosis::Silent(_) if !silence_means_loss(standing(gateway, first)) => None,
        Diagnosis::Silent(reason) => {
            gateway.on_evidence(first, Evidence::Unreachable, started_at, &reason);
            Some(Loss::of_silent(first, &reason))
        }
        Diagnosis::WaitsFor(address) => {
            let part = active_route.path.as_ref().and_then(|path| path.part_at(address))?;
            let reason = "the first endpoint waits for it";
            gateway.on_evidence(&part.endpoint, Evidence::Unreachable, started_at, reason);
            Some(Loss::of_silent(&part.endpoint, reason))
        }
    }
}

fn log_check<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    active_route: &ActiveRoute,
    finding: &str,
    load: Option<EngineQueue>,
) {
    let fullest = active_route.path.as_ref().and_then(|path| fullest_engine(gateway, path));
    let check = SilenceCheck { endpoint: &active_route.endpoint, finding, load, fullest };
    gateway.decisions.silence_checked(job, &check);
}

/// The engine of a path with the largest used share of its KV cache, as reported.
fn fullest_engine<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    path: &LayerPath,
) -> Option<(EndpointId, EngineQueue)> {
    let now = Instant::now();
    let read = |reported: ReportedEngine<'_>| EngineQueue {
        waiting: reported.state.waiting,
        running: reported.state.running,
        kv_share: f64::from(reported.state.kv_permille) / 1000.0,
    };
    let loads = path.parts().iter().filter_map(|part| {
        let hall = gateway.hall_of(&part.endpoint)?;
        let load = gateway.hall.reports.engine(&hall, &part.endpoint, now, read)?;
        Some((part.endpoint.clone(), load))
    });
    loads.max_by(|(_, one), (_, other)| one.kv_share.total_cmp(&other.kv_share))
}

/// A request's new path.
pub(super) struct Move {
    pub(super) path: LayerPath,
    /// Room at the engines that are new on it.
    pub(super) reservation: Reservation,
    /// Engines that are not on it any more.
    pub(super) left: Vec<EndpointId>,
}

/// Moves of a request whose next event has not arrived: until then its work counts at the engines
/// that it left, by which VMs tell how many streams are moved, and its room at the new ones is
/// reserved.
#[derive(Debug, Default)]
pub(super) struct PendingMoves {
    reservations: Vec<Reservation>,
    left: Vec<EndpointId>,
}

impl PendingMoves {
    /// Adds a move. Returns the request's path.
    pub(super) fn add(&mut self, moved: Move) -> LayerPath {
        self.reservations.push(moved.reservation);
        self.left.extend(moved.left);
        moved.path
    }

    /// The engines of the path have processed the request.
    pub(super) fn complete(&mut self, in_flight: &mut InFlightGuard, now: Instant) {
        for reservation in self.reservations.drain(..) {
            in_flight.absorb(reservation.into_in_flight(now));
        }
        self.left.drain(..).for_each(|engine| in_flight.end_at(&engine));
    }
}

/// Moves a request to a path on which other engines run the lost parts. Returns the move if the
/// first endpoint accepted it.
pub(super) async fn move_request<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: &ActiveRoute,
    loss: &Loss,
) -> Option<Move> {
    if !gateway.settings().mechanisms.moves {
        return None;
    }
    let path = active_route.path.as_ref()?;
    let figures = job.service.engine.as_ref()?;
    let (repaired, movers) = repaired_path(gateway, job, figures, path, &loss.engines)?;
    // Before the call, as many streams look for room in the same moment.
    let mut added = engine_shares(&repaired, job.demand(figures));
    added.retain(|part| !path.contains(&part.endpoint));
    let reservation = gateway.endpoint_tracker.reserve(added, movers, Instant::now());
    let call = W::move_call(&job.head.request_id, &repaired);
    let (first, address) = (&active_route.endpoint, active_route.address);
    let reply = gateway.call_engine(first, address, call, MOVE_TIMEOUT).await;
    let outcome = match &reply {
        Ok(reply) => W::read_order_outcome(reply.status),
        Err(_) => OrderOutcome::Refused,
    };
    let is_moved = matches!(outcome, OrderOutcome::Started | OrderOutcome::Done);
    gateway.metrics.moves.get_or_create(&KindLabel { kind: outcome.name() }).inc();
    let stamp = gateway.platform.stamp(Instant::now());
    gateway.decisions.moved(job, &loss.engines, &repaired, outcome, stamp);
    is_moved.then(|| Move { path: repaired, reservation, left: loss.engines.clone() })
}

/// Returns the path with each lost part given to other engines, and how many streams of all VMs are
/// moved for each one of this VM.
fn repaired_path<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    figures: &EngineFigures,
    path: &LayerPath,
    lost: &[EndpointId],
) -> Option<(LayerPath, f64)> {
    let local_hall = gateway.settings().hall.clone();
    let context = gateway.routing_context(Instant::now());
    let request = path_request(job, figures, &local_hall, lost);
    let movers = lost.iter().map(|lost| movers_per_own(context, request, lost)).fold(1.0, f64::max);
    let repaired = lost.iter().try_fold(path.clone(), |path, lost| {
        choose_repaired_path(context, request, &path, lost, movers)
    })?;
    Some((repaired, movers))
}

fn standing<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, id: &str) -> Option<Standing> {
    gateway.platform.endpoints(|directory| directory.get(id).map(|record| record.standing))
}
