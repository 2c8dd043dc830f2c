//! Demand on this VM, its hall and the fleet.
//!
//! Each VM counts its own requests and reports them to its leader with each feed request. The
//! leader adds them up and publishes the sum in its hall report. Without a recent report, a VM
//! estimates the demand on its hall as its own rates times the VMs of the hall.

use crate::decisions::Outcome;
use crate::demand_share::ComparedDemand;
use crate::feed::{FeedRequest, HallRates, Incarnation};
use crate::gateway::Gateway;
use crate::hall_reports::HallDemand;
use crate::job::Job;
use crate::metrics::{DemandLabel, RateLabel};
use crate::wire::Wire;
use sillbank_admission::retry_after::{FleetRates, RefusedRequest, RetryScheduler};
use sillbank_core::prelude::*;
use sillbank_demand::prelude::*;
use sillbank_demand::{MAX_SERVICES, add_rates};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Counts the demand on this VM, and adds up that on its hall while it leads.
#[derive(Debug)]
pub struct DemandTracker {
    counter: RefCell<DemandCounter>,
    aggregator: RefCell<DemandAggregator>,
    retry_detector: RefCell<RetryDetector>,
    schedulers: RefCell<HashMap<ServiceId, RetryScheduler>>,
    /// Offset of this VM in the schedule of retry times, from 0 to 1, so that VMs do not schedule
    /// their first retries alike.
    phase: f64,
    is_reported: Cell<bool>,
}

/// Number of distinct phases.
const PHASES: u64 = 1_000;

impl DemandTracker {
    /// Creates an empty tracker.
    pub fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            counter: RefCell::new(DemandCounter::new(incarnation, now)),
            aggregator: RefCell::new(DemandAggregator::new(now)),
            retry_detector: RefCell::default(),
            schedulers: RefCell::default(),
            phase: (incarnation % PHASES) as f64 / PHASES as f64,
            is_reported: Cell::new(false),
        }
    }

    fn with_scheduler<T>(
        &self,
        service: &str,
        now: Instant,
        change: impl FnOnce(&mut RetryScheduler) -> T,
    ) -> T {
        let mut all = self.schedulers.borrow_mut();
        if let Some(scheduler) = all.get_mut(service) {
            return change(scheduler);
        }
        let mut scheduler = RetryScheduler::new(now, self.phase);
        let answer = change(&mut scheduler);
        all.insert(service.to_owned(), scheduler);
        answer
    }
}

/// Demand on the fleet for one service, as known to this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDemand {
    /// Rates over all halls by rank, the most urgent first.
    pub rates: Vec<DemandRate>,
    /// Age of the oldest figures among them.
    pub age: Duration,
    /// VMs of the halls that they cover.
    pub vms: u32,
    /// Whether the local hall's leader reported its rates. If not, they are estimated from this
    /// VM's own.
    pub is_reported: bool,
}

impl FleetDemand {
    /// Adds up the demand on all halls. If `local_hall` is not among them, `own` supplies the rates
    /// of this VM and the number of VMs of its hall.
    pub fn new(
        halls: Vec<HallDemand>,
        local_hall: &str,
        own: impl FnOnce() -> (Vec<DemandRate>, u32),
    ) -> Self {
        let is_reported = halls.iter().any(|reported| reported.hall == local_hall);
        let mut fleet = Self { rates: Vec::new(), age: Duration::ZERO, vms: 0, is_reported };
        for reported in &halls {
            add_rates(&mut fleet.rates, &reported.rates);
            fleet.age = fleet.age.max(reported.age);
            fleet.vms += reported.vms;
        }
        if !is_reported {
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
    /// Counts a request on arrival.
    pub fn count_offered(&self, job: &Job) {
        let mut retry_detector = self.demand.retry_detector.borrow_mut();
        let is_retry =
            retry_detector.is_retry(job.received_at, &job.route.name, job.head.time_left);
        let event = if is_retry { DemandEvent::Retried } else { DemandEvent::Offered };
        self.count_demand(job, event);
    }

    /// Records that an endpoint accepted a stream's request. When the stream is resumed later, it
    /// is not counted for the fleet again.
    pub fn on_admitted(&self, job: &Job) {
        let now = Instant::now();
        self.load.on_sent(&job.service.name, true, now);
        let record = |scheduler: &mut RetryScheduler| scheduler.record_admitted(now, job.rank());
        self.demand.with_scheduler(&job.service.name, now, record);
        self.count_once(job, DemandEvent::Admitted);
    }

    /// Counts the outcome of a finished request.
    pub fn count_end(&self, job: &Job, outcome: Outcome) {
        match outcome {
            Outcome::Refused => self.count_once(job, DemandEvent::Refused),
            Outcome::Answered | Outcome::Failed | Outcome::Aborted => {
                self.count_once(job, DemandEvent::Admitted);
            }
            Outcome::CallerLeft => {}
        }
    }

    /// When the caller of a request that is refused for lack of capacity should retry.
    pub fn retry_after(&self, job: &Job) -> Duration {
        let now = Instant::now();
        let refusal =
            RefusedRequest { rank: job.rank(), time_left: job.time_left(now), caller: job.caller };
        self.retry_after_for(&job.service.name, refusal, now)
    }

    /// When the caller of a refused request of a service should retry.
    pub fn retry_after_for(
        &self,
        service: &str,
        refusal: RefusedRequest,
        now: Instant,
    ) -> Duration {
        let fleet = self.fleet_demand(service, now);
        let is_used = fleet.is_reported && self.settings.borrow().mechanisms.fleet_demand;
        let fleet_rates = is_used.then_some(FleetRates { rates: &fleet.rates, vms: fleet.vms });
        let schedule =
            |scheduler: &mut RetryScheduler| scheduler.schedule_retry(now, refusal, fleet_rates);
        self.demand.with_scheduler(service, now, schedule)
    }

    /// Demand on the fleet for a service.
    pub fn fleet_demand(&self, service: &str, now: Instant) -> FleetDemand {
        let halls = self.hall.reports.demand(service, now);
        let own = || {
            let rates = self.demand.counter.borrow().report(now).rates();
            let of_service = rates.into_iter().filter(|rate| rate.service == service);
            (of_service.collect(), self.hall.max_hall_vms().max(1))
        };
        let fleet = FleetDemand::new(halls, &self.settings.borrow().hall, own);
        self.log_source_change(&fleet);
        fleet
    }

    /// Demand on this VM and on its hall, for the services whose demand on the hall is known.
    pub fn compared_demand(&self, now: Instant) -> Vec<(ServiceId, ComparedDemand)> {
        if !self.settings.borrow().mechanisms.fleet_demand {
            return Vec::new();
        }
        let own = self.demand.counter.borrow().report(now).rates();
        let services: BTreeSet<&ServiceId> = own.iter().map(|rate| &rate.service).collect();
        let compare = |service: &&ServiceId| {
            let halls = self.hall.reports.demand(service, now);
            let hall = halls.iter().find(|demand| demand.hall == self.settings.borrow().hall)?;
            let of_service = own.iter().filter(|rate| rate.service == **service);
            let compared = ComparedDemand {
                own_per_s: of_service.map(|rate| rate.offered_per_s).sum(),
                hall_per_s: hall.rates.iter().map(|rate| rate.offered_per_s).sum(),
                hall_vms: hall.vms,
            };
            Some(((*service).clone(), compared))
        };
        services.iter().filter_map(compare).collect()
    }

    /// Demand report of this VM for the leader of its hall; `None` if it leads itself.
    pub fn demand_report(&self, is_own_hall_request: bool) -> Option<DemandReport> {
        let reports = is_own_hall_request && self.hall.acting_fence.get().is_none();
        let is_on = self.settings.borrow().mechanisms.fleet_demand;
        (reports && is_on).then(|| self.demand.counter.borrow().report(Instant::now()))
    }

    /// Applies the demand report in a feed request, if this VM leads the hall of the sender.
    pub fn on_reported_demand(&self, request: &FeedRequest, now: Instant) {
        let Some(report) = &request.demand else {
            return;
        };
        let is_of_hall = request.hall == self.settings.borrow().hall;
        if is_of_hall && self.hall.acting_fence.get().is_some() {
            self.demand.aggregator.borrow_mut().on_report(now, &request.vm, report);
        }
    }

    /// Demand on this VM's hall, for its hall report while this VM leads.
    pub fn hall_demand(&self, now: Instant) -> Option<HallRates> {
        let settings = self.settings.borrow();
        if !settings.mechanisms.fleet_demand {
            return None;
        }
        let own = self.demand.counter.borrow().report(now);
        let mut aggregator = self.demand.aggregator.borrow_mut();
        aggregator.on_report(now, &settings.vm, &own);
        Some(HallRates { age_ms: 0, rates: aggregator.rates(now)? })
    }

    /// Updates the gauges of the fleet's demand.
    pub fn update_demand_metrics(&self, now: Instant) {
        let Some(catalog) = self.platform.catalog() else {
            return;
        };
        self.metrics.fleet_demand_per_s.clear();
        self.metrics.fleet_demand_age_s.clear();
        for service in catalog.services().take(MAX_SERVICES) {
            let fleet = self.fleet_demand(&service.name, now);
            fleet.rates.iter().for_each(|rate| self.update_rate_metrics(rate));
            let label =
                RateLabel { service: service.name.clone(), is_told: u8::from(fleet.is_reported) };
            self.metrics.fleet_demand_age_s.get_or_create(&label).set(fleet.age.as_secs_f64());
        }
    }

    fn update_rate_metrics(&self, rate: &DemandRate) {
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

    /// Logs when reported figures become available or outdated.
    fn log_source_change(&self, fleet: &FleetDemand) {
        if self.demand.is_reported.replace(fleet.is_reported) == fleet.is_reported {
            return;
        }
        let (age_ms, vms) = (fleet.age.as_millis() as u64, fleet.vms);
        match fleet.is_reported {
            true => tracing::info!(age_ms, vms, "demand: Figures of the hall's leader are used."),
            false => tracing::info!(
                vms,
                reason = "the hall's leader has reported none for 2 s",
                "demand: The hall's demand is estimated from this VM's own figures."
            ),
        }
    }
}
