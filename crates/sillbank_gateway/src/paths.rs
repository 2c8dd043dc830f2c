//! Chooses a path through the layers that endpoints hold.

use crate::boards::EngineNews;
use crate::endpoints::EndpointBook;
use crate::hall::Hall;
use crate::knowledge::Knowledge;
use crate::lives::may_be_current;
use crate::mechanisms::Mechanisms;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Cost of beginning a request in another hall. The way is half a millisecond; the rest keeps a
/// hall's load at home while it has a path of its own.
const REQUEST_CROSSING_MS: f64 = 20.0;
/// Cost of handing activations over to another hall. One way out and back for a whole hall's load
/// takes 1.0 GB/s (worked out: 24 requests a second of 930 tokens, 23 KB a token), which is all that
/// the pipe carries. At a third of this it was used too much while a hall was short of engines, and
/// first events took 0.8 s. So a hole is bridged only when the other halls are nearly full.
const ACTIVATIONS_CROSSING_MS: f64 = 120.0;
/// Cost of one more part in a path, in milliseconds: the way there and an engine's pass.
const PART_COST_MS: f64 = 0.5;
/// Requests of this VM at an engine by which its time is taken to double. Engines work in passes
/// over all that waits, so their time grows with what they have.
const DOUBLING_REQUESTS: f64 = 16.0;
/// Used part of an engine's KV cache, of its places or of its time, from which it costs more: what is on its way
/// is not in its report yet, and an engine without room refuses. At 0.65 quick engines were left a third empty while
/// streams ran twice as long on slow ones, and losses met more of them: share of all worth earned while engines
/// fail, on a fleet of 60 VMs, 0.638 at 0.65, 0.690 at 0.8, 0.684 at 0.88.
const FREE_SHARE: f64 = 0.8;
/// Cost of an engine that is full, in milliseconds of predicted time: more than going to another hall.
const FULL_COST_MS: f64 = 250.0;
/// Slowest pace of an engine that is believed, as a factor on its usual times.
const MAX_PACE: f64 = 20.0;
/// Chance's part in the cost of an engine, so that VMs do not all choose alike.
const CHANCE: f64 = 0.06;

const CROSSING: CrossingCost =
    CrossingCost { request_ms: REQUEST_CROSSING_MS, activations_ms: ACTIVATIONS_CROSSING_MS };

/// Cost of handing the activations of a few requests over to another hall: the way, at each token.
const MENDING_CROSSING_MS: f64 = 5.0;

const MENDING: CrossingCost =
    CrossingCost { request_ms: MENDING_CROSSING_MS, activations_ms: MENDING_CROSSING_MS };

/// Part of an engine's KV cache and of its places that new requests may fill. The rest is for requests
/// that were begun and go on elsewhere, and for answers longer than was likely. Share of all worth that
/// was earned at twice the load that fits: 0.57 at 0.9, 0.60 at 0.95, 0.43 at 1, where engines are
/// overfilled and read prompts twice.
const NEW_LIMIT_SHARE: f64 = 0.95;
/// Longest lag of reports that is believed; a larger figure is a fault of the configuration.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// What a path is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct PathAsk<'a> {
    /// Service.
    pub service: &'a Service,
    /// Its figures.
    pub figures: &'a EngineFigures,
    /// Hall in which the request begins.
    pub home: &'a str,
    /// Endpoints that are not to be used.
    pub avoid: &'a [EndpointId],
    /// What the request takes of each engine.
    pub demand: Demand,
}

/// The cheapest path on which every engine has room for the request; engines that are left alone at
/// the moment are not used.
pub fn choose_path(views: Views<'_>, ask: PathAsk<'_>) -> Option<LayerPath> {
    let fits = |candidate: &Candidate| !views.mechanisms.room || candidate.fits(ask.demand);
    choose(views, ask, |candidate| fits(candidate) && views.may_begin_at(candidate))
}

/// The cheapest path, whether or not its engines have room.
pub fn choose_any_path(views: Views<'_>, ask: PathAsk<'_>) -> Option<LayerPath> {
    choose(views, ask, |candidate| views.may_begin_at(candidate))
}

/// Whether there is a path if nothing that endpoints asked of VMs is kept.
pub fn has_withheld_path(views: Views<'_>, ask: PathAsk<'_>) -> bool {
    choose(views, ask, |_| true).is_some()
}

/// Looks at home first: the work grows with the engines that are looked at, and while those at home have
/// time to spare no path through others can cost less.
fn choose(
    views: Views<'_>,
    ask: PathAsk<'_>,
    fits: impl Fn(&Candidate) -> bool,
) -> Option<LayerPath> {
    let holders_in = |halls| {
        let candidates = candidates(views, ask, halls).into_iter().filter(&fits);
        candidates.map(|candidate| candidate.holder)
    };
    let find = |holders: &[Holder]| find_path(holders, ask.figures.layers, ask.home, CROSSING);
    let mut holders: Vec<Holder> = holders_in(Halls::Home).collect();
    if let Some(found) = find(&holders)
        && found.cost_ms <= least_cost_elsewhere_ms(ask.figures)
    {
        return Some(found.path);
    }
    holders.extend(holders_in(Halls::Others));
    find(&holders).map(|found| found.path)
}

/// Halls whose engines are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Halls {
    /// The one in which the request begins.
    Home,
    /// All but that one.
    Others,
    /// All.
    All,
}

impl Halls {
    fn includes(self, hall: &str, home: &str) -> bool {
        match self {
            Self::Home => hall == home,
            Self::Others => hall != home,
            Self::All => true,
        }
    }
}

/// Less than any path costs that begins in another hall or leaves this one.
fn least_cost_elsewhere_ms(figures: &EngineFigures) -> f64 {
    let factors = figures.accelerators.iter().map(|kind| kind.step_factor);
    let quickest = factors.min_by(f64::total_cmp).unwrap_or(0.0);
    CROSSING.request_ms.min(CROSSING.activations_ms) + figures.step_ms * quickest
}

/// A path in use with its lost part run by others. Few requests need one at a time, so handing
/// activations over to another hall costs little here.
pub fn choose_mended_path(
    views: Views<'_>,
    ask: PathAsk<'_>,
    path: &LayerPath,
    lost: &str,
) -> Option<LayerPath> {
    let holders: Vec<Holder> =
        candidates(views, ask, Halls::All).into_iter().map(|found| found.holder).collect();
    mend_path(path, lost, &holders, ask.figures.layers, ask.home, MENDING)
}

/// What paths are chosen from.
#[derive(Debug, Clone, Copy)]
pub struct Views<'a> {
    /// Endpoints as listed.
    pub knowledge: &'a Knowledge,
    /// Engines as leaders tell of them.
    pub hall: &'a Hall,
    /// Endpoints as seen.
    pub book: &'a EndpointBook,
    /// What endpoints asked of VMs.
    pub pushback: &'a RefCell<PushbackBook>,
    /// Which mechanisms are on.
    pub mechanisms: Mechanisms,
    /// What chance adds to costs is drawn here.
    pub chance: &'a SharedRng,
    /// Now.
    pub now: Instant,
}

/// Engines at which paths can begin, also those that this request has tried, in an order that is the same at all VMs.
pub fn first_engines(views: Views<'_>, ask: PathAsk<'_>) -> Vec<EndpointId> {
    let all = candidates(views, PathAsk { avoid: &[], ..ask }, Halls::All)
        .into_iter()
        .map(|candidate| candidate.holder);
    let firsts = all.filter(|holder| holder.layers.first == 0);
    let mut firsts: Vec<EndpointId> = firsts.map(|holder| holder.endpoint).collect();
    firsts.sort();
    firsts
}

/// Which first engine is risked for a request that may be what ends engines: one, the same at all VMs, so that the others
/// go on; none if there is only one, or all were tried.
pub fn risked_engine<'a>(firsts: &'a [EndpointId], tried: &[EndpointId]) -> Option<&'a EndpointId> {
    let is_only_one = firsts.len() <= 1;
    firsts.iter().find(|first| !is_only_one && !tried.contains(first))
}

/// VMs that are taken to share what an endpoint takes while leaders have not told of them.
const ASSUMED_VMS: u32 = 16;
/// Shares that are left to VMs of which leaders have not told yet.
const SPARE_SHARES: u32 = 1;

impl Views<'_> {
    /// Whether what an endpoint asked of VMs lets a request be sent to it.
    pub fn may_send(&self, endpoint: &str) -> bool {
        let mut pushback = self.pushback.borrow_mut();
        if !self.mechanisms.pushback || pushback.is_empty() {
            return true;
        }
        let vms = match self.hall.boards.most_fleet_vms() {
            0 => ASSUMED_VMS,
            told => told,
        };
        pushback.may_send(endpoint, vms + SPARE_SHARES, self.now)
    }

    /// The same for an engine as the first of a path: the others are not sent the request.
    fn may_begin_at(&self, candidate: &Candidate) -> bool {
        candidate.holder.layers.first != 0 || self.may_send(&candidate.holder.endpoint)
    }
}

/// An engine that may be part of a path.
struct Candidate {
    /// Its layers and costs.
    holder: Holder,
    /// Its KV cache; `None` if the service's figures do not tell it.
    room: Option<KvRoom>,
    /// Taken part of its places, where paths begin; else 0.
    places_share: f64,
}

impl Candidate {
    fn fits(&self, demand: Demand) -> bool {
        let more = demand.kv_tokens() * self.holder.layers.len() as f64;
        let has_kv = self.room.is_none_or(|room| room.fits(more, NEW_LIMIT_SHARE));
        has_kv && self.places_share < NEW_LIMIT_SHARE
    }
}

/// Engines that may be part of a path, with their costs.
fn candidates(views: Views<'_>, ask: PathAsk<'_>, halls: Halls) -> Vec<Candidate> {
    views.knowledge.endpoints(|directory| {
        directory
            .usable_of(&ask.service.name)
            .filter(|record| halls.includes(&record.hall, ask.home))
            .filter(|record| !ask.avoid.contains(&record.id) && views.book.may_run_part(&record.id))
            .filter_map(|record| candidate(views, ask, record, directory.newest_life(&record.id)))
            .collect()
    })
}

/// An engine with its costs; `None` if it holds no layers. What was told of an older life is not believed.
fn candidate(
    views: Views<'_>,
    ask: PathAsk<'_>,
    record: &EndpointRecord,
    newest_life: Option<BornMs>,
) -> Option<Candidate> {
    let Views { hall, book, mechanisms, chance, now, .. } = views;
    let figures = ask.figures;
    let read = |news: EngineNews<'_>| {
        may_be_current(news.state.born_ms, newest_life).then(|| Told::new(news, figures))
    };
    let told = hall.boards.engine(&record.hall, &record.id, now, read).flatten();
    // What the hall's leader heard from the engine is newer than its entry in the store.
    let layers = told.as_ref().map_or(record.layers, |told| told.layers);
    // Layers that the model does not have are told by an engine that is not to be believed.
    let is_of_model = |held: &LayerRange| !held.is_empty() && held.end <= figures.layers;
    let layers = layers.filter(is_of_model)?;
    let told = told.unwrap_or_default();
    let kind = record.accelerator.as_deref().and_then(|kind| figures.accelerator(kind));
    let factor = kind.map_or(1.0, |kind| kind.step_factor);
    let busy = 1.0 + f64::from(book.in_flight(&record.id)) / DOUBLING_REQUESTS;
    let layer_ms = figures.step_ms / f64::from(figures.layers.max(1));
    let drawn = 1.0 + CHANCE * chance.next_f64();
    let unseen = unseen(views, ask, record, &told);
    let capacity = kind.and_then(|kind| kv_capacity(figures, kind, layers.len()));
    let room = capacity.map(|capacity| KvRoom::new(capacity, told.kv_share, unseen.kv));
    let places_share = match layers.first {
        0 => (told.requests + unseen.requests) / f64::from(record.slots.max(1)),
        _ => 0.0,
    };
    let time = kind.filter(|_| mechanisms.time_share).map_or(0.0, |kind| {
        time_share(figures, told.requests, work_ms(figures, kind, layers.len(), told.pace))
    });
    // What it is shortest of decides.
    let kv_share = room.map_or(told.kv_share, |room| room.taken_share());
    let taken_share = kv_share.max(places_share).max(time);
    let crowd_ms = if mechanisms.crowd_cost { crowd_cost_ms(taken_share) } else { 0.0 };
    let health_ms = match mechanisms.health_cost {
        true => book.use_cost_ms(&record.id, now),
        false => 0.0,
    };
    let holder = Holder {
        endpoint: record.id.clone(),
        address: record.address,
        hall: record.hall.clone(),
        layers,
        use_cost_ms: PART_COST_MS + crowd_ms + health_ms,
        layer_cost_ms: layer_ms * factor * told.pace * busy * drawn,
    };
    Some(Candidate { holder, room, places_share })
}

/// What an engine was sent since the state that it reported, by all VMs.
fn unseen(views: Views<'_>, ask: PathAsk<'_>, record: &EndpointRecord, told: &Told) -> Unseen {
    let reported_at = told.reported_at.unwrap_or(views.now);
    if !views.mechanisms.unseen_sends {
        return Unseen::default();
    }
    let own = views.book.sent_since(&record.id, reported_at);
    // Like VMs get like shares of callers and choose by the same reports: those of this hall at its
    // engines, and those of all other halls at the engines of a hall that has room left.
    let senders = match record.hall == ask.home {
        true => told.vms,
        false => views.hall.boards.most_fleet_vms().saturating_sub(told.vms),
    };
    own.times(f64::from(senders.max(1)))
}

/// What a hall's leader tells of an engine, as far as it bears on paths.
#[derive(Debug)]
struct Told {
    layers: Option<LayerRange>,
    /// Used part of its KV cache.
    kv_share: f64,
    /// Requests that run or wait there.
    requests: f64,
    /// Factor on its usual times.
    pace: f64,
    /// When its report held.
    reported_at: Option<Instant>,
    /// VMs of its hall.
    vms: u32,
}

impl Default for Told {
    /// An engine of which nothing was told is taken for idle and well.
    fn default() -> Self {
        Self { layers: None, kv_share: 0.0, requests: 0.0, pace: 1.0, reported_at: None, vms: 1 }
    }
}

impl Told {
    fn new(news: EngineNews<'_>, figures: &EngineFigures) -> Self {
        let engine = news.state;
        let lag_s = figures.report_lag_ms.clamp(0.0, MAX_REPORT_LAG.as_millis() as f64) / 1000.0;
        let lag = Duration::from_secs_f64(lag_s);
        Self {
            layers: (!engine.is_lost).then_some(engine.layers).flatten(),
            kv_share: f64::from(engine.kv_permille) / 1000.0,
            requests: f64::from(engine.running) + f64::from(engine.waiting),
            pace: (f64::from(engine.pace_permille) / 1000.0).clamp(1.0, MAX_PACE),
            reported_at: news.as_of.checked_sub(lag),
            vms: news.vms,
        }
    }
}

/// Cost of an engine by the part that is taken of what it is shortest of.
fn crowd_cost_ms(share: f64) -> f64 {
    let over = (share - FREE_SHARE).max(0.0) / (1.0 - FREE_SHARE);
    over * over * FULL_COST_MS
}
