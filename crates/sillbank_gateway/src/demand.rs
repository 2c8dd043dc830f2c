//! What this VM, its hall and the fleet are asked for.
//!
//! Each VM counts its own requests and tells its leader with each ask; the leader adds them up and tells the
//! sum on with its board. While that is not believed, a VM takes its own rates times the VMs of its hall.

use crate::boards::HallDemand;
use crate::decisions::Outcome;
use crate::feed::{FeedAsk, HallRates, Incarnation};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::{DemandLabel, RateLabel};
use crate::wire::Wire;
use sillbank_admission::retry_after::{FleetRates, RefusedRequest, RetryScheduler};
use sillbank_core::prelude::*;
use sillbank_demand::prelude::*;
use sillbank_demand::{MAX_SERVICES, add_rates};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a VM counts, and what it adds up while it leads its hall.
#[derive(Debug)]
pub struct DemandBook {
    counter: RefCell<DemandCounter>,
    sum: RefCell<DemandAggregator>,
    route_times: RefCell<RetryDetector>,
    returns: RefCell<HashMap<ServiceId, RetryScheduler>>,
    /// Where this VM stands among those that tell their first callers to come back, from 0 to 1.
    phase: f64,
    is_told: Cell<bool>,
}

/// Parts that a VM's phase is told apart in.
const PHASES: u64 = 1_000;

impl DemandBook {
    /// Nothing counted and nothing heard.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            counter: RefCell::new(DemandCounter::new(incarnation, now)),
            sum: RefCell::new(DemandAggregator::new(now)),
            route_times: RefCell::default(),
            returns: RefCell::default(),
            phase: (incarnation % PHASES) as f64 / PHASES as f64,
            is_told: Cell::new(false),
        }
    }

    fn with_returns<T>(
        &self,
        service: &str,
        now: Instant,
        change: impl FnOnce(&mut RetryScheduler) -> T,
    ) -> T {
        let mut all = self.returns.borrow_mut();
        if let Some(returns) = all.get_mut(service) {
            return change(returns);
        }
        let mut returns = RetryScheduler::new(now, self.phase);
        let answer = change(&mut returns);
        all.insert(service.to_owned(), returns);
        answer
    }
}

/// What the fleet is asked for of one service, as this VM believes it.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDemand {
    /// Rates over all halls by rank, the most urgent first.
    pub rates: Vec<DemandRate>,
    /// Age of the oldest figures among them.
    pub age: Duration,
    /// VMs of the halls that they are of.
    pub vms: u32,
    /// Whether leaders told them; if not, those of this hall are this VM's own times its VMs.
    pub is_told: bool,
}

impl FleetDemand {
    /// Adds up what halls are asked for. If `home` is not among them, `own` stands for it: the rates of this VM,
    /// and the VMs of its hall.
    pub fn new(
        halls: Vec<HallDemand>,
        home: &str,
        own: impl FnOnce() -> (Vec<DemandRate>, u32),
    ) -> Self {
        let is_told = halls.iter().any(|told| told.hall == home);
        let mut fleet = Self { rates: Vec::new(), age: Duration::ZERO, vms: 0, is_told };
        for told in &halls {
            add_rates(&mut fleet.rates, &told.rates);
            fleet.age = fleet.age.max(told.age);
            fleet.vms += told.vms;
        }
        if !is_told {
            let (rates, vms) = own();
            let all: Vec<DemandRate> =
                rates.into_iter().map(|rate| rate.scaled(f64::from(vms))).collect();
            add_rates(&mut fleet.rates, &all);
            fleet.vms += vms;
        }
        fleet
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Counts a request that came.
    pub fn count_offered(&self, job: &Job) {
        let mut route_times = self.demand.route_times.borrow_mut();
        let is_returning =
            route_times.is_retry(job.received_at, &job.route.name, job.head.time_left);
        let event = if is_returning { DemandEvent::Retried } else { DemandEvent::Offered };
        self.count_demand(job, event);
    }

    /// An endpoint took a stream's request. One that it takes up again counts no more for the fleet.
    pub fn on_let_in(&self, job: &Job) {
        let now = Instant::now();
        self.load.on_sent(&job.service.name, true, now);
        let note = |returns: &mut RetryScheduler| returns.record_admitted(now, job.rank());
        self.demand.with_returns(&job.service.name, now, note);
        self.count_once(job, DemandEvent::Admitted);
    }

    /// Counts what became of a request that has ended.
    pub fn count_end(&self, job: &Job, outcome: Outcome) {
        match outcome {
            Outcome::Refused => self.count_once(job, DemandEvent::Refused),
            Outcome::Answered | Outcome::Failed | Outcome::BrokenOff => {
                self.count_once(job, DemandEvent::Admitted);
            }
            Outcome::CallerLeft => {}
        }
    }

    /// When the caller of a request that is refused for want of room should come back.
    pub fn come_back(&self, job: &Job) -> Duration {
        let now = Instant::now();
        let refusal =
            RefusedRequest { rank: job.rank(), time_left: job.time_left(now), caller: job.caller };
        self.come_back_after(&job.service.name, refusal, now)
    }

    /// When the caller of a refused request of a service should come back.
    pub fn come_back_after(
        &self,
        service: &str,
        refusal: RefusedRequest,
        now: Instant,
    ) -> Duration {
        let fleet = self.fleet_demand(service, now);
        let is_used = fleet.is_told && self.settings.borrow().mechanisms.fleet_demand;
        let flow = is_used.then_some(FleetRates { rates: &fleet.rates, vms: fleet.vms });
        let tell = |returns: &mut RetryScheduler| returns.schedule_retry(now, refusal, flow);
        self.demand.with_returns(service, now, tell)
    }

    /// What the fleet is asked for of a service.
    pub fn fleet_demand(&self, service: &str, now: Instant) -> FleetDemand {
        let halls = self.hall.boards.demand(service, now);
        let own = || {
            let rates = self.demand.counter.borrow().report(now).rates();
            let of_service = rates.into_iter().filter(|rate| rate.service == service);
            (of_service.collect(), self.hall.most_hall_vms().max(1))
        };
        let fleet = FleetDemand::new(halls, &self.settings.borrow().hall, own);
        self.note_told(&fleet);
        fleet
    }

    /// What this VM tells the leader of its hall with an ask for news; nothing if it leads itself.
    pub fn demand_report(&self, asks_news: bool) -> Option<DemandReport> {
        let tells = asks_news && self.hall.tells.get().is_none();
        let is_on = self.settings.borrow().mechanisms.fleet_demand;
        (tells && is_on).then(|| self.demand.counter.borrow().report(Instant::now()))
    }

    /// A VM asked for news and told what it is asked for; counts if this VM leads its hall.
    pub fn on_told_demand(&self, ask: &FeedAsk, now: Instant) {
        let Some(report) = &ask.demand else {
            return;
        };
        let is_of_hall = ask.hall == self.settings.borrow().hall;
        if is_of_hall && self.hall.tells.get().is_some() {
            self.demand.sum.borrow_mut().on_report(now, &ask.vm, report);
        }
    }

    /// What this VM's hall is asked for, to be told with its board while this VM leads.
    pub fn hall_demand(&self, now: Instant) -> Option<HallRates> {
        let settings = self.settings.borrow();
        if !settings.mechanisms.fleet_demand {
            return None;
        }
        let own = self.demand.counter.borrow().report(now);
        let mut sum = self.demand.sum.borrow_mut();
        sum.on_report(now, &settings.vm, &own);
        Some(HallRates { age_ms: 0, rates: sum.rates(now)? })
    }

    /// Brings the gauges of what the fleet is asked for up to date.
    pub fn show_demand(&self, now: Instant) {
        let Some(catalog) = self.knowledge.catalog() else {
            return;
        };
        self.metrics.fleet_demand_per_s.clear();
        self.metrics.fleet_demand_age_s.clear();
        for service in catalog.services().take(MAX_SERVICES) {
            let fleet = self.fleet_demand(&service.name, now);
            fleet.rates.iter().for_each(|rate| self.show_rate(rate));
            let label =
                RateLabel { service: service.name.clone(), is_told: u8::from(fleet.is_told) };
            self.metrics.fleet_demand_age_s.get_or_create(&label).set(fleet.age.as_secs_f64());
        }
    }

    fn show_rate(&self, rate: &DemandRate) {
        let set = |what: &'static str, per_s: f64| {
            let label = DemandLabel { service: rate.service.clone(), rank: rate.rank, what };
            self.metrics.fleet_demand_per_s.get_or_create(&label).set(per_s);
        };
        set("offered", rate.offered_per_s);
        set("let_in", rate.admitted_per_s);
        set("refused", rate.refused_per_s);
        set("returning", rate.retries_per_s);
    }

    fn count_once(&self, job: &Job, event: DemandEvent) {
        if !job.is_counted.replace(true) {
            self.count_demand(job, event);
        }
    }

    fn count_demand(&self, job: &Job, event: DemandEvent) {
        let (service, rank) = (&job.service.name, clamp_rank(job.rank()));
        if !self.demand.counter.borrow_mut().count(Instant::now(), service, rank, event) {
            return;
        }
        let count = |what: &'static str| {
            let label = DemandLabel { service: service.clone(), rank, what };
            self.metrics.demand.get_or_create(&label).inc();
        };
        match event {
            DemandEvent::Offered => count("offered"),
            DemandEvent::Retried => {
                count("offered");
                count("returning");
            }
            DemandEvent::Admitted => count("let_in"),
            DemandEvent::Refused => count("refused"),
        }
    }

    /// Logs when figures of the fleet begin or cease to be believed.
    fn note_told(&self, fleet: &FleetDemand) {
        if self.demand.is_told.replace(fleet.is_told) == fleet.is_told {
            return;
        }
        let (age_ms, vms) = (fleet.age.as_millis() as u64, fleet.vms);
        match fleet.is_told {
            true => tracing::info!(age_ms, vms, "demand: The fleet's figures are believed."),
            false => tracing::info!(
                vms,
                reason = "the hall's leader has told none for 2 s",
                "demand: This VM's own figures times its hall's VMs stand for the hall."
            ),
        }
    }
}
