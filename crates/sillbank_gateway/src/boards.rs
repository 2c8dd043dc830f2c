//! What the leaders of halls tell of their engines, and of what the halls are asked for.

use crate::feed::{EngineState, HallBoard, HallRates};
use sillbank_core::prelude::*;
use sillbank_demand::prelude::*;
use sillbank_demand::{FRESH_FOR, MAX_RANKS, MAX_SERVICES};
use sillbank_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a board is believed. Leaders ask engines every 700 ms.
const BOARD_LIVE: Duration = Duration::from_millis(2_000);

/// What a board tells of one engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineNews<'a> {
    /// The engine.
    pub state: &'a EngineState,
    /// When it was asked.
    pub as_of: Instant,
    /// VMs of its hall.
    pub vms: u32,
}

/// A board and when it held.
#[derive(Debug, Clone)]
struct KeptBoard {
    as_of: Instant,
    vms: u32,
    leader: SocketAddr,
    engines: BTreeMap<EndpointId, KeptEngine>,
    demand: Option<KeptDemand>,
}

/// What a hall is asked for, by its last board that told it.
#[derive(Debug, Clone)]
struct KeptDemand {
    as_of: Instant,
    rates: Vec<DemandRate>,
    /// Number of the board that told it.
    number: u64,
}

/// What a hall is asked for of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct HallDemand {
    /// Hall.
    pub hall: HallId,
    /// Time since it was added up.
    pub age: Duration,
    /// VMs of the hall.
    pub vms: u32,
    /// Rates by rank, the most urgent first.
    pub rates: Vec<DemandRate>,
}

/// An engine as it is passed on.
#[derive(Debug, Clone)]
struct KeptEngine {
    state: EngineState,
    /// Rises with each state that this VM keeps.
    number: u64,
}

/// Boards of all halls.
#[derive(Debug, Default)]
pub struct Boards {
    by_hall: RefCell<HashMap<HallId, KeptBoard>>,
    /// Number of the newest that was kept.
    newest: Cell<u64>,
    most_vms: Cell<u32>,
}

impl Boards {
    /// Keeps a board unless a newer one is known.
    pub fn keep(&self, now: Instant, board: HallBoard) {
        let Some(as_of) = now.checked_sub(Duration::from_millis(board.age_ms)) else {
            return;
        };
        let mut boards = self.by_hall.borrow_mut();
        let HallBoard { hall, vms, leader, is_whole, engines, demand, .. } = board;
        let new = || KeptBoard { as_of, vms, leader, engines: BTreeMap::new(), demand: None };
        let is_known = boards.contains_key(&hall);
        let kept = boards.entry(hall).or_insert_with(new);
        if is_known && kept.as_of >= as_of {
            return;
        }
        (kept.as_of, kept.vms, kept.leader) = (as_of, vms, leader);
        let number = self.newest.get() + 1;
        self.newest.set(number);
        if let Some(demand) = demand {
            kept.keep_demand(now, demand, number);
        }
        if is_whole {
            let told: BTreeSet<&EndpointId> = engines.iter().map(|engine| &engine.id).collect();
            kept.engines.retain(|id, _| told.contains(id));
        }
        for state in engines {
            let known = kept.engines.get(&state.id);
            let known_life = known.and_then(|known| known.state.born_ms);
            if compare_incarnations(state.born_ms, known_life) == IncarnationOrder::Older {
                continue;
            }
            if known.is_none_or(|known| !known.state.is_about(&state)) {
                kept.engines.insert(state.id.clone(), KeptEngine { state, number });
            }
        }
    }

    /// The boards that are believed, with the engines that are newer than a number and their ages of now,
    /// and the number of the newest.
    pub fn since(&self, number: u64, now: Instant) -> (u64, Vec<HallBoard>) {
        let boards = self.by_hall.borrow();
        let live = boards.iter().filter(|(_, kept)| is_believed(kept, now));
        let news = live.map(|(hall, kept)| {
            let new = kept.engines.values().filter(|engine| engine.number > number);
            HallBoard {
                hall: hall.clone(),
                age_ms: now.saturating_duration_since(kept.as_of).as_millis() as u64,
                vms: kept.vms,
                leader: kept.leader,
                is_whole: number == 0,
                engines: new.map(|engine| engine.state.clone()).collect(),
                demand: kept.new_demand(number, now),
            }
        });
        (self.newest.get(), news.collect())
    }

    /// What a board tells of an engine of a hall, if it is believed.
    pub fn engine<T>(
        &self,
        hall: &str,
        id: &str,
        now: Instant,
        look: impl FnOnce(EngineNews<'_>) -> T,
    ) -> Option<T> {
        let boards = self.by_hall.borrow();
        let kept = boards.get(hall).filter(|kept| is_believed(kept, now))?;
        let engine = kept.engines.get(id)?;
        Some(look(EngineNews { state: &engine.state, as_of: kept.as_of, vms: kept.vms }))
    }

    /// What each hall is asked for of a service, as far as that is believed.
    pub fn demand(&self, service: &str, now: Instant) -> Vec<HallDemand> {
        let boards = self.by_hall.borrow();
        let of_service = |(hall, kept): (&HallId, &KeptBoard)| {
            let demand = kept.believed_demand(now)?;
            let rates = demand.rates.iter().filter(|rate| rate.service == service);
            Some(HallDemand {
                hall: hall.clone(),
                age: now.saturating_duration_since(demand.as_of),
                vms: kept.vms,
                rates: rates.cloned().collect(),
            })
        };
        boards.iter().filter_map(of_service).collect()
    }

    /// Where the leader of a hall is asked, by its board, if that is believed.
    pub fn leader(&self, hall: &str, now: Instant) -> Option<SocketAddr> {
        let boards = self.by_hall.borrow();
        boards.get(hall).filter(|kept| is_believed(kept, now)).map(|kept| kept.leader)
    }

    /// The most VMs that the leaders of all `halls` have told of at a time; `None` if they have not.
    /// Some may be missing in what is told now, but they go on serving.
    pub fn fleet_vms(&self, halls: &BTreeSet<HallId>, now: Instant) -> Option<u32> {
        let boards = self.by_hall.borrow();
        let live = |hall: &HallId| boards.get(hall).filter(|kept| is_believed(kept, now));
        if !halls.is_empty() && halls.iter().all(|hall| live(hall).is_some()) {
            let vms: u32 = halls.iter().filter_map(live).map(|kept| kept.vms).sum();
            self.most_vms.set(self.most_vms.get().max(vms));
        }
        (self.most_vms.get() > 0).then_some(self.most_vms.get())
    }

    /// The most VMs of the fleet that leaders have told of at a time; 0 if they have not.
    pub fn most_fleet_vms(&self) -> u32 {
        self.most_vms.get()
    }

    /// Forgets what was told of the lives of an engine before its newest one.
    pub fn on_new_life(&self, id: &str, newest_incarnation: Option<BornMs>) {
        let is_older = |state: &EngineState| {
            state.id == id
                && compare_incarnations(state.born_ms, newest_incarnation)
                    == IncarnationOrder::Older
        };
        for kept in self.by_hall.borrow_mut().values_mut() {
            kept.engines.retain(|_, engine| !is_older(&engine.state));
        }
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        for kept in self.by_hall.borrow_mut().values_mut() {
            kept.engines.retain(|id, _| is_known(id));
        }
    }
}

impl KeptBoard {
    /// Keeps what a board tells of demand, unless newer is known.
    fn keep_demand(&mut self, now: Instant, demand: HallRates, number: u64) {
        let Some(as_of) = now.checked_sub(Duration::from_millis(demand.age_ms)) else {
            return;
        };
        if self.demand.as_ref().is_none_or(|kept| kept.as_of < as_of) {
            let rates = demand.rates.into_iter().take(MAX_SERVICES * MAX_RANKS).collect();
            self.demand = Some(KeptDemand { as_of, rates, number });
        }
    }

    /// What is believed of demand, if the asking VM has not been told.
    fn new_demand(&self, told: u64, now: Instant) -> Option<HallRates> {
        let demand = self.believed_demand(now).filter(|demand| demand.number > told)?;
        let age_ms = now.saturating_duration_since(demand.as_of).as_millis() as u64;
        Some(HallRates { age_ms, rates: demand.rates.clone() })
    }

    fn believed_demand(&self, now: Instant) -> Option<&KeptDemand> {
        let age = |demand: &&KeptDemand| now.saturating_duration_since(demand.as_of);
        self.demand.as_ref().filter(|demand| age(demand) < FRESH_FOR)
    }
}

fn is_believed(kept: &KeptBoard, now: Instant) -> bool {
    now.saturating_duration_since(kept.as_of) < BOARD_LIVE
}
