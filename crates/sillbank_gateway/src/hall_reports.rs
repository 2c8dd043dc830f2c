//! Reports of all halls, as published by their leaders: the state of engines and the demand.

use crate::feed::{EngineState, HallRates, HallReport};
use sillbank_core::prelude::*;
use sillbank_demand::prelude::*;
use sillbank_demand::{FRESH_FOR, MAX_RANKS, MAX_SERVICES};
use sillbank_fleet::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a report is used. Leaders poll engines every 700 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// State of one engine in a hall report.
#[derive(Debug, Clone, Copy)]
pub struct ReportedEngine<'a> {
    /// The engine.
    pub state: &'a EngineState,
    /// When it was polled.
    pub as_of: Instant,
    /// VMs of its hall.
    pub vms: u32,
}

/// A report and the time at which it was valid.
#[derive(Debug, Clone)]
struct StoredReport {
    as_of: Instant,
    vms: u32,
    leader: SocketAddr,
    engines: BTreeMap<EndpointId, StoredEngine>,
    demand: Option<StoredDemand>,
}

/// Demand on a hall, from its latest report that contained it.
#[derive(Debug, Clone)]
struct StoredDemand {
    as_of: Instant,
    rates: Vec<DemandRate>,
    /// Number of that report.
    number: u64,
}

/// Demand on a hall for one service.
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
struct StoredEngine {
    state: EngineState,
    /// Number of the report that changed it.
    number: u64,
}

/// Latest reports of all halls.
#[derive(Debug, Default)]
pub struct HallReports {
    by_hall: RefCell<HashMap<HallId, StoredReport>>,
    /// Number of the latest report inserted.
    newest_number: Cell<u64>,
    max_vms: Cell<u32>,
}

impl HallReports {
    /// Inserts a report unless a newer one is known.
    pub fn insert(&self, now: Instant, report: HallReport) {
        let Some(as_of) = now.checked_sub(Duration::from_millis(report.age_ms)) else {
            return;
        };
        let mut reports = self.by_hall.borrow_mut();
        let HallReport { hall, vms, leader, is_complete, engines, demand, .. } = report;
        let new = || StoredReport { as_of, vms, leader, engines: BTreeMap::new(), demand: None };
        let is_known = reports.contains_key(&hall);
        let stored = reports.entry(hall).or_insert_with(new);
        if is_known && stored.as_of >= as_of {
            return;
        }
        (stored.as_of, stored.vms, stored.leader) = (as_of, vms, leader);
        let number = self.newest_number.get() + 1;
        self.newest_number.set(number);
        if let Some(demand) = demand {
            stored.store_demand(now, demand, number);
        }
        if is_complete {
            let reported: BTreeSet<&EndpointId> = engines.iter().map(|engine| &engine.id).collect();
            stored.engines.retain(|id, _| reported.contains(id));
        }
        for state in engines {
            let known = stored.engines.get(&state.id);
            let known_incarnation = known.and_then(|known| known.state.born_ms);
            if compare_incarnations(state.born_ms, known_incarnation) == IncarnationOrder::Older {
                continue;
            }
            if known.is_none_or(|known| !known.state.is_similar(&state)) {
                stored.engines.insert(state.id.clone(), StoredEngine { state, number });
            }
        }
    }

    /// The live reports with their current ages and the engines changed after report `number`, and
    /// the number of the latest report.
    pub fn since(&self, number: u64, now: Instant) -> (u64, Vec<HallReport>) {
        let reports = self.by_hall.borrow();
        let live = reports.iter().filter(|(_, stored)| is_live(stored, now));
        let updates = live.map(|(hall, stored)| {
            let new = stored.engines.values().filter(|engine| engine.number > number);
            HallReport {
                hall: hall.clone(),
                age_ms: now.saturating_duration_since(stored.as_of).as_millis() as u64,
                vms: stored.vms,
                leader: stored.leader,
                is_complete: number == 0,
                engines: new.map(|engine| engine.state.clone()).collect(),
                demand: stored.demand_newer_than(number, now),
            }
        });
        (self.newest_number.get(), updates.collect())
    }

    /// Reads the state of an engine of a hall, if the hall's report is live.
    pub fn engine<T>(
        &self,
        hall: &str,
        id: &str,
        now: Instant,
        read: impl FnOnce(ReportedEngine<'_>) -> T,
    ) -> Option<T> {
        let reports = self.by_hall.borrow();
        let stored = reports.get(hall).filter(|stored| is_live(stored, now))?;
        let engine = stored.engines.get(id)?;
        Some(read(ReportedEngine { state: &engine.state, as_of: stored.as_of, vms: stored.vms }))
    }

    /// Demand on each hall for a service, as far as it is recent.
    pub fn demand(&self, service: &str, now: Instant) -> Vec<HallDemand> {
        let reports = self.by_hall.borrow();
        let of_service = |(hall, stored): (&HallId, &StoredReport)| {
            let demand = stored.recent_demand(now)?;
            let rates = demand.rates.iter().filter(|rate| rate.service == service);
            Some(HallDemand {
                hall: hall.clone(),
                age: now.saturating_duration_since(demand.as_of),
                vms: stored.vms,
                rates: rates.cloned().collect(),
            })
        };
        reports.iter().filter_map(of_service).collect()
    }

    /// Address of a hall's leader, if its report is live.
    pub fn leader(&self, hall: &str, now: Instant) -> Option<SocketAddr> {
        let reports = self.by_hall.borrow();
        reports.get(hall).filter(|stored| is_live(stored, now)).map(|stored| stored.leader)
    }

    /// The largest number of VMs that the leaders of all `halls` have reported at a time; `None` if
    /// they have not. VMs missing in the current reports may still be serving.
    pub fn fleet_vms(&self, halls: &BTreeSet<HallId>, now: Instant) -> Option<u32> {
        let reports = self.by_hall.borrow();
        let live = |hall: &HallId| reports.get(hall).filter(|stored| is_live(stored, now));
        if !halls.is_empty() && halls.iter().all(|hall| live(hall).is_some()) {
            let vms: u32 = halls.iter().filter_map(live).map(|stored| stored.vms).sum();
            self.max_vms.set(self.max_vms.get().max(vms));
        }
        (self.max_vms.get() > 0).then_some(self.max_vms.get())
    }

    /// The largest number of VMs in the fleet that leaders have reported at a time; 0 if they have
    /// not.
    pub fn max_fleet_vms(&self) -> u32 {
        self.max_vms.get()
    }

    /// Drops states of earlier incarnations of an engine.
    pub fn on_restart(&self, id: &str, newest_incarnation: Option<BornMs>) {
        let is_older = |state: &EngineState| {
            state.id == id
                && compare_incarnations(state.born_ms, newest_incarnation)
                    == IncarnationOrder::Older
        };
        for stored in self.by_hall.borrow_mut().values_mut() {
            stored.engines.retain(|_, engine| !is_older(&engine.state));
        }
    }

    /// Drops engines that are no longer listed.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        for stored in self.by_hall.borrow_mut().values_mut() {
            stored.engines.retain(|id, _| is_known(id));
        }
    }
}

impl StoredReport {
    /// Stores the demand in a report unless newer demand is known.
    fn store_demand(&mut self, now: Instant, demand: HallRates, number: u64) {
        let Some(as_of) = now.checked_sub(Duration::from_millis(demand.age_ms)) else {
            return;
        };
        if self.demand.as_ref().is_none_or(|stored| stored.as_of < as_of) {
            let rates = demand.rates.into_iter().take(MAX_SERVICES * MAX_RANKS).collect();
            self.demand = Some(StoredDemand { as_of, rates, number });
        }
    }

    /// Recent demand, unless the follower has received it already.
    fn demand_newer_than(&self, number: u64, now: Instant) -> Option<HallRates> {
        let demand = self.recent_demand(now).filter(|demand| demand.number > number)?;
        let age_ms = now.saturating_duration_since(demand.as_of).as_millis() as u64;
        Some(HallRates { age_ms, rates: demand.rates.clone() })
    }

    fn recent_demand(&self, now: Instant) -> Option<&StoredDemand> {
        let age = |demand: &&StoredDemand| now.saturating_duration_since(demand.as_of);
        self.demand.as_ref().filter(|demand| age(demand) < FRESH_FOR)
    }
}

fn is_live(stored: &StoredReport, now: Instant) -> bool {
    now.saturating_duration_since(stored.as_of) < REPORT_TIMEOUT
}
