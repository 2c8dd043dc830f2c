//! Finds out which engine of a path is lost, and moves the request around it.

use crate::doctor::{Diagnosis, Probe, diagnose, probe_path, silence_means_loss};
use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::job::{Job, path_ask};
use crate::metrics::KindLabel;
use crate::paths::choose_repaired_path;
use crate::store::MetadataStore;
use crate::wire::{OrderEnd, Wire};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Silence after which a stream's first endpoint is asked what it waits for. Its report is some 200 ms
/// old, so it tells of a part that is lost no sooner. Callers give a stream up after two seconds.
const LONG_SILENCE: Duration = Duration::from_millis(450);
/// Part of the longest pause that keeps a stream in time after which the engines of its path are asked
/// whether they are there. The rest is for the answers, the move, and reading the tokens anew. Earns 0.02 of
/// all worth on a fleet of 6 VMs while engines fail, and 0.06 on one of 300.
const SHORT_SILENCE_PART: f64 = 0.5;
/// Pauses of the usual length after which they are asked, if that is sooner. Streams on quick engines have an
/// event each 35 ms: they are asked about after 90 ms, so that there is time left for reading the tokens anew.
const USUAL_PAUSES: f64 = 2.0;
/// Added to that: some pauses are longer as engines read the prompts of others.
const PAUSE_MARGIN: Duration = Duration::from_millis(20);
/// Shortest silence after which they are asked.
const SHORT_SILENCE_MIN: Duration = Duration::from_millis(50);
/// Part of a new pause in what counts as usual.
const NEW_PAUSE_PART: f64 = 0.2;
/// Shorter than this are not pauses but parts of one event, or events that came together.
const PAUSE_LEAST: Duration = Duration::from_millis(5);
/// How long an engine may take to move a request to another path.
const MOVE_LIMIT: Duration = Duration::from_millis(400);

/// How long a stream has stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// Long enough to ask who of its path is there; how long.
    Short(Duration),
    /// Long enough to ask what it waits for.
    Long,
}

/// Says when a stream has stood still for so long that somebody should ask why: the silences since it was
/// last heard of, a short one and then long ones.
#[derive(Debug)]
pub struct SilenceTimer {
    /// Length of a short silence of a stream of which nothing else is known; no shorter than [`LONG_SILENCE`] if
    /// there is none.
    longest_first: Duration,
    /// Usual pause between two events.
    usual_pause: Option<Duration>,
    /// How many times longer it is waited because of questions in vain.
    patience: u32,
    /// Length of the next short silence.
    first: Duration,
    next_is_short: bool,
    /// Time that the stream has stood still already.
    stood: Duration,
}

impl SilenceTimer {
    /// For a stream whose pauses may be so long at most to be in time.
    pub fn new(gap_objective: Option<Duration>) -> Self {
        let first = gap_objective.map_or(LONG_SILENCE, |gap| gap.mul_f64(SHORT_SILENCE_PART));
        let mut timer = Self {
            longest_first: first.clamp(SHORT_SILENCE_MIN, LONG_SILENCE),
            usual_pause: None,
            patience: 1,
            first: LONG_SILENCE,
            next_is_short: false,
            stood: Duration::ZERO,
        };
        timer.begin();
        timer
    }

    /// The stream was heard of, so long after the time before.
    pub fn on_heard(&mut self, pause: Duration) {
        if pause >= PAUSE_LEAST {
            let usual = self.usual_pause.unwrap_or(pause);
            let usual = usual.mul_f64(1.0 - NEW_PAUSE_PART) + pause.mul_f64(NEW_PAUSE_PART);
            self.usual_pause = Some(usual);
        }
        self.begin();
    }

    /// The stream begins to stand still.
    fn begin(&mut self) {
        let by_pauses = self.usual_pause.map(|usual| usual.mul_f64(USUAL_PAUSES) + PAUSE_MARGIN);
        let first = by_pauses.map_or(self.longest_first, |first| {
            first.clamp(SHORT_SILENCE_MIN.min(self.longest_first), self.longest_first)
        });
        self.first = (first * self.patience).min(LONG_SILENCE);
        self.stood = Duration::ZERO;
        self.next_is_short = self.first < LONG_SILENCE;
    }

    /// Nobody was found lost after a short silence: pauses of this stream are long. The next is waited for
    /// twice as long. Without that, VMs asked engines 140,000 times in a minute of slow engines.
    pub fn on_false_alarm(&mut self) {
        self.patience = self.patience.saturating_mul(2);
    }

    /// Time until the next silence.
    pub fn wait(&self) -> Duration {
        match self.next_is_short {
            true => self.first,
            false => LONG_SILENCE.saturating_sub(self.stood),
        }
    }

    /// The wait is over; answers how long the stream has stood still.
    pub fn on_silence(&mut self) -> Silence {
        let is_short = std::mem::take(&mut self.next_is_short);
        self.stood = if is_short { self.first } else { Duration::ZERO };
        if is_short { Silence::Short(self.first) } else { Silence::Long }
    }
}

/// Engines of a path that are lost, and why they are taken for that.
#[derive(Debug)]
pub(super) struct Loss {
    /// At least one.
    pub(super) engines: Vec<EndpointId>,
    pub(super) reason: String,
    /// Whether the request is given up where it is if it cannot be moved. If not, it may still go on.
    pub(super) is_certain: bool,
}

impl Loss {
    fn of(engine: &str, reason: &str) -> Self {
        Self { engines: vec![engine.to_owned()], reason: reason.to_owned(), is_certain: true }
    }
}

/// The way of a request that runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct ActiveRoute<'a> {
    pub(super) endpoint: &'a str,
    pub(super) address: SocketAddr,
    pub(super) path: Option<&'a LayerPath>,
    /// When it was sent or moved.
    pub(super) since: Instant,
}

/// Asks whether endpoints of a path are lost; one that others found lost already counts.
pub(super) async fn look_for_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: ActiveRoute<'_>,
    silence: Silence,
) -> Option<Loss> {
    let known = active_route
        .path
        .map_or_else(Vec::new, |path| left_alone(gateway, path, active_route.since));
    if !known.is_empty() {
        let reason = "a part of the path is left alone".to_owned();
        return Some(Loss { engines: known, reason, is_certain: silence == Silence::Long });
    }
    match (silence, active_route.path) {
        (Silence::Short(stood), Some(path)) => probe_parts(gateway, path, stood).await,
        (Silence::Short(_), None) => None,
        (Silence::Long, _) => ask_first(gateway, job, active_route).await,
    }
}

fn left_alone<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    path: &LayerPath,
    since: Instant,
) -> Vec<EndpointId> {
    let is_lost = |part: &&PathPart| {
        let (id, book) = (&part.endpoint, &gateway.endpoint_tracker);
        book.ejected_since(id, since) || book.restarted_since(id, since)
    };
    path.parts().iter().filter(is_lost).map(|part| part.endpoint.clone()).collect()
}

/// Asks all engines of a path whether they are there. One that leaves takes no calls any more but ends
/// what it has.
async fn probe_parts<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    path: &LayerPath,
    stood: Duration,
) -> Option<Loss> {
    let began = Instant::now();
    let mut lost = probe_path(gateway, path, stood).await;
    lost.retain(|(id, _)| silence_means_loss(standing(gateway, id)));
    if lost.is_empty() {
        return None;
    }
    let reason = "it takes no calls while a stream stands still";
    for (id, _) in &lost {
        gateway.on_evidence(id, Evidence::Unreachable, began, reason);
    }
    let is_certain = lost.iter().any(|(_, probe)| *probe == Probe::Refused);
    let engines = lost.into_iter().map(|(id, _)| id).collect();
    Some(Loss { engines, reason: reason.to_owned(), is_certain })
}

/// Asks the first endpoint what the request waits for.
async fn ask_first<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: ActiveRoute<'_>,
) -> Option<Loss> {
    let first = active_route.endpoint;
    let began = Instant::now();
    match diagnose(gateway, active_route.address, &job.head.request_id).await {
        Diagnosis::Working => None,
        Diagnosis::Silent(_) if !silence_means_loss(standing(gateway, first)) => None,
        Diagnosis::Silent(reason) => {
            gateway.on_evidence(first, Evidence::Unreachable, began, &reason);
            Some(Loss::of(first, &reason))
        }
        Diagnosis::WaitsFor(address) => {
            let part = active_route.path.and_then(|path| path.part_at(address))?;
            let reason = "the first endpoint waits for it";
            gateway.on_evidence(&part.endpoint, Evidence::Unreachable, began, reason);
            Some(Loss::of(&part.endpoint, reason))
        }
    }
}

/// Moves a request to a path on which others run the lost parts; answers the path if that was taken.
pub(super) async fn move_request<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    active_route: ActiveRoute<'_>,
    loss: &Loss,
) -> Option<LayerPath> {
    if !gateway.settings().mechanisms.moves {
        return None;
    }
    let mended = mended_path(gateway, job, active_route.path?, &loss.engines)?;
    let call = W::move_call(&job.head.request_id, &mended);
    let ended = gateway.engine_calls.call(active_route.address, call, MOVE_LIMIT).await;
    let end = match &ended {
        Ok(reply) => W::read_order_end(reply.status),
        Err(_) => OrderEnd::Refused,
    };
    let is_moved = matches!(end, OrderEnd::Begun | OrderEnd::Done);
    gateway.metrics.moves.get_or_create(&KindLabel { kind: end.name() }).inc();
    let stamp = gateway.platform.stamp(Instant::now());
    gateway.decisions.moved(job, &loss.engines, &mended, end, stamp);
    is_moved.then_some(mended)
}

/// The path with each lost part run by others.
fn mended_path<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    path: &LayerPath,
    lost: &[EndpointId],
) -> Option<LayerPath> {
    let figures = job.service.engine.as_ref()?;
    let home = gateway.settings().hall.clone();
    let views = gateway.routing_context(Instant::now());
    let ask = path_ask(job, figures, &home, lost);
    lost.iter().try_fold(path.clone(), |path, lost| choose_repaired_path(views, ask, &path, lost))
}

fn standing<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, id: &str) -> Option<Standing> {
    gateway.platform.endpoints(|directory| directory.get(id).map(|record| record.standing))
}
