//! Load shedding by the engine states that leaders report and by what engines refuse to this VM.

#[path = "support/engines.rs"]
mod engines;

use engines::{LAYERS, SLOTS, service};
use sillbank_admission::shedding::Priority;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::rng::SharedRng;
use sillbank_fleet::prelude::*;
use sillbank_gateway::demand_share::DemandShares;
use sillbank_gateway::endpoints::EndpointTracker;
use sillbank_gateway::feed::{EngineState, HallReport};
use sillbank_gateway::hall::Hall;
use sillbank_gateway::load::{AdmissionRequest, FleetLoad, NotAdmitted, fleet_capacity};
use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::paths::RoutingContext;
use sillbank_gateway::platform_view::PlatformView;
use sillbank_gateway::revision::Revision;
use sillbank_gateway::shedding_metrics::{AdmissionLabel, SheddingMetrics};
use sillbank_gateway::store::Snapshot;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const LOCAL_HALL: &str = "a";
const OBJECTIVE: Duration = Duration::from_millis(500);
const USUAL_LEFT: Duration = Duration::from_secs(2);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

fn route() -> Route {
    Route {
        name: "chat".to_owned(),
        host: "chat.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: WorkKind::Call(Idempotency::Idempotent),
        timeout: Duration::from_secs(20),
        objective: OBJECTIVE,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 2,
        public: false,
    }
}

fn record(id: &str, first: u16, end: u16) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        service: "gen".to_owned(),
        address: "10.0.0.9:80".parse().expect("an address"),
        hall: LOCAL_HALL.to_owned(),
        standing: Standing::Ready,
        slots: SLOTS,
        accelerator: Some("quick".to_owned()),
        layers: Some(LayerRange { first, end }),
        born_ms: None,
    }
}

fn engine(id: &str, first: u16, end: u16, kv_permille: u16) -> EngineState {
    EngineState {
        id: id.to_owned(),
        born_ms: None,
        is_lost: false,
        layers: Some(LayerRange { first, end }),
        waiting: 0,
        running: 0,
        kv_permille,
        pace_permille: 1000,
    }
}

/// A VM that knows two engines for each half of the layers.
struct Vm {
    platform: PlatformView,
    hall: Hall,
    rng: SharedRng,
    endpoint_tracker: EndpointTracker,
    pushback: RefCell<PushbackTracker>,
    demand_shares: DemandShares,
    load: FleetLoad,
    service: Service,
    route: Route,
    start: Instant,
}

impl Vm {
    fn new() -> Self {
        let start = Instant::now();
        let platform = PlatformView::new(Duration::from_secs(60));
        let ids = [("low-1", 0), ("low-2", 0), ("high-1", 10), ("high-2", 10)];
        let value = ids.map(|(id, first)| record(id, first, first + 10)).to_vec();
        platform.apply_listing(start, Snapshot { at: Revision::new(1, 1), value });
        Self {
            platform,
            hall: Hall::new(SharedRng::with_seed(1)),
            rng: SharedRng::with_seed(1),
            endpoint_tracker: EndpointTracker::default(),
            pushback: RefCell::default(),
            demand_shares: DemandShares::default(),
            load: FleetLoad::default(),
            service: service(),
            route: route(),
            start,
        }
    }

    fn routing_context(&self, after: Duration) -> RoutingContext<'_> {
        let (platform, hall, endpoint_tracker) =
            (&self.platform, &self.hall, &self.endpoint_tracker);
        let mechanisms = Mechanisms::default();
        let (rng, now) = (&self.rng, self.start + after);
        RoutingContext {
            platform,
            hall,
            endpoint_tracker,
            pushback: &self.pushback,
            demand_shares: &self.demand_shares,
            mechanisms,
            rng,
            now,
        }
    }

    /// Reports the same used share for all engines.
    fn report_all(&self, after: Duration, kv_permille: u16) {
        let ids = [("low-1", 0), ("low-2", 0), ("high-1", 10), ("high-2", 10)];
        let engines = ids.map(|(id, first)| engine(id, first, first + 10, kv_permille)).to_vec();
        self.report_engines(after, "10.0.0.1:7000", engines);
    }

    fn report_engines(&self, after: Duration, leader: &str, engines: Vec<EngineState>) {
        let leader = leader.parse().expect("an address");
        let hall = LOCAL_HALL.to_owned();
        let report = HallReport {
            hall,
            age_ms: 0,
            vms: 1,
            leader,
            is_complete: true,
            engines,
            demand: None,
        };
        self.hall.reports.insert(self.start + after, report);
    }

    fn request(&self, after: Duration, rank: u8, time_left: Duration) -> Result<(), NotAdmitted> {
        let figures = self.service.engine.as_ref().expect("it has one");
        let request = AdmissionRequest {
            service: &self.service,
            figures,
            route: &self.route,
            priority: Priority { organisation: rank, route: 0 },
            time_left: Some(time_left),
            draw: 0.5,
        };
        self.load.admit(self.routing_context(after), request)
    }

    /// Requests of three ranks for some quarters of a second. Returns the last decision for each.
    fn request_all(&self, quarters: std::ops::Range<u32>) -> [Result<(), NotAdmitted>; 3] {
        let mut answers = [Ok(()); 3];
        for quarter in quarters {
            answers =
                [0, 1, 2].map(|rank| self.request(REPORT_INTERVAL * quarter, rank, USUAL_LEFT));
        }
        answers
    }

    fn fullness(&self, after: Duration) -> Option<f64> {
        let figures = self.service.engine.as_ref().expect("it has one");
        fleet_capacity(self.routing_context(after), &self.service, figures).fullness()
    }
}

/// When all engines are full for two seconds, the least urgent requests are shed.
#[test]
fn full_engines_shed_the_least_urgent_requests() {
    let vm = Vm::new();
    let mut answers = [Ok(()); 3];
    for quarter in 0..8 {
        vm.report_all(REPORT_INTERVAL * quarter, 1_000);
        answers = vm.request_all(quarter..quarter + 1);
    }

    assert_eq!(answers[0], Ok(()));
    assert_eq!(answers[2], Err(NotAdmitted { fullness: 1.0, is_late: false }));
    let estimate = vm.load.estimate("gen").expect("it was asked");
    assert_eq!(estimate.fullness, 1.0);
    assert!((0.3..0.7).contains(&estimate.share), "{estimate:?}");
}

/// Nothing is shed while engines have room.
#[test]
fn engines_with_room_shed_nothing() {
    let vm = Vm::new();
    let mut answers = [Ok(()); 3];
    for quarter in 0..20 {
        vm.report_all(REPORT_INTERVAL * quarter, 600);
        answers = vm.request_all(quarter..quarter + 1);
    }

    assert_eq!(answers, [Ok(()); 3]);
}

/// A request whose remaining time is shorter than usual for its route by more than the objective is
/// shed first.
#[test]
fn late_requests_are_shed_before_the_least_urgent() {
    let vm = Vm::new();
    for quarter in 0..10 {
        vm.report_all(REPORT_INTERVAL * quarter, if quarter < 5 { 800 } else { 1_000 });
        let _ = vm.request_all(quarter..quarter + 1);
    }

    let late = vm.request(REPORT_INTERVAL * 10, 0, USUAL_LEFT - OBJECTIVE * 2);
    let in_time = vm.request(REPORT_INTERVAL * 10, 0, USUAL_LEFT - OBJECTIVE / 2);

    assert_eq!(late, Err(NotAdmitted { fullness: 1.0, is_late: true }));
    assert_eq!(in_time, Ok(()));
}

/// When the leader falls silent, its last report is used for two seconds, and then the VM's own
/// refusals.
#[test]
fn without_recent_reports_a_vm_uses_its_own_refusals() {
    let (vm, refused) = (Vm::new(), Vm::new());
    for vm in [&vm, &refused] {
        vm.report_all(Duration::ZERO, 1_000);
        let _ = vm.request_all(0..8);
        assert_eq!(vm.fullness(REPORT_INTERVAL * 7), Some(1.0));
        assert_eq!(vm.fullness(REPORT_INTERVAL * 8), None);
    }

    let admitted = vm.request_all(8..20);
    let mut shed = [Ok(()); 3];
    for quarter in 8..20 {
        (0..5).for_each(|_| {
            refused.load.on_sent("gen", false, refused.start + REPORT_INTERVAL * quarter)
        });
        shed = refused.request_all(quarter..quarter + 1);
    }

    assert_eq!(admitted, [Ok(()); 3]);
    assert_eq!(shed[2], Err(NotAdmitted { fullness: 1.0, is_late: false }));
}

/// Guards against refusals by an idle fleet whose leader is suspended now and then: the fullness that is assumed without
/// reports was taken for engines that fill up.
#[test]
fn idle_fleet_sheds_nothing_while_reports_stop_and_return() {
    let vm = Vm::new();
    for quarter in 0..80 {
        let is_suspended = quarter % 16 >= 4;
        if !is_suspended {
            vm.report_all(REPORT_INTERVAL * quarter, 0);
        }

        let answers = vm.request_all(quarter..quarter + 1);

        let estimate = vm.load.estimate("gen").expect("it was asked");
        assert_eq!((answers, estimate.share), ([Ok(()); 3], 1.0), "quarter {quarter}");
    }
}

/// The capacity of a lost engine is not counted.
#[test]
fn a_lost_engine_does_not_count() {
    let vm = Vm::new();
    let lost = EngineState { is_lost: true, ..engine("low-2", 0, 10, 0) };
    let high = engine("high-1", 10, LAYERS, 0);

    let with = |low: EngineState| {
        let engines = vec![engine("low-1", 0, 10, 1_000), low, high.clone()];
        let vm = Vm::new();
        vm.report_engines(Duration::ZERO, "10.0.0.1:7000", engines);
        vm.fullness(Duration::ZERO)
    };

    assert_eq!(with(lost), Some(1.0));
    assert_eq!(with(engine("low-2", 0, 10, 0)), Some(0.0));
    assert_eq!(vm.fullness(Duration::ZERO), None);
}

/// Reports on an engine from before its restart are not counted.
#[test]
fn reports_of_an_earlier_incarnation_do_not_count() {
    let vm = Vm::new();
    let mut records: Vec<EndpointRecord> = vec![record("low-1", 0, 10), record("high-1", 10, 20)];
    records[0].born_ms = Some(2);
    vm.platform.apply_listing(vm.start, Snapshot { at: Revision::new(1, 2), value: records });

    let fullness_reported_by = |born_ms| {
        let low = EngineState { born_ms, ..engine("low-1", 0, 10, 500) };
        let engines = vec![low, engine("high-1", 10, LAYERS, 500)];
        let after = Duration::from_millis(born_ms.unwrap_or(0));
        vm.report_engines(after, "10.0.0.1:7000", engines);
        vm.fullness(after)
    };

    assert_eq!(fullness_reported_by(Some(1)), None);
    assert_eq!(fullness_reported_by(Some(2)), Some(0.5));
}

/// An engine that reports layers beyond the model is not counted, as no path uses it.
#[test]
fn an_engine_with_layers_that_the_model_does_not_have_does_not_count() {
    let vm = Vm::new();
    let absurd = engine("high-2", 10, LAYERS + 5, 0);
    let engines = vec![engine("low-1", 0, 10, 500), engine("high-1", 10, LAYERS, 1_000), absurd];

    vm.report_engines(Duration::ZERO, "10.0.0.1:7000", engines);

    assert_eq!(vm.fullness(Duration::ZERO), Some(1.0));
}

/// If a layer is missing, no path exists and no capacity is known, so nothing is shed.
#[test]
fn engines_with_a_missing_layer_shed_nothing() {
    let vm = Vm::new();
    for quarter in 0..20 {
        vm.report_engines(
            REPORT_INTERVAL * quarter,
            "10.0.0.1:7000",
            vec![engine("low-1", 0, 10, 1_000)],
        );
        let answers = vm.request_all(quarter..quarter + 1);
        assert_eq!(answers, [Ok(()); 3]);
    }
}

/// Without engine figures nothing is shed.
#[test]
fn without_figures_every_request_is_admitted() {
    let mut vm = Vm::new();
    vm.service.engine.as_mut().expect("it has one").accelerators.clear();

    for quarter in 0..20 {
        vm.report_all(REPORT_INTERVAL * quarter, 1_000);
        let answers = vm.request_all(quarter..quarter + 1);
        assert_eq!(answers, [Ok(()); 3]);
    }
}

/// When an old and a new leader report on the same hall, only the newest report counts.
#[test]
fn two_reports_of_one_hall_count_once() {
    let vm = Vm::new();
    let figures = vm.service.engine.as_ref().expect("it has one");
    let room = |after| fleet_capacity(vm.routing_context(after), &vm.service, figures);
    let whole = |kv_permille| {
        vec![engine("low-1", 0, 10, kv_permille), engine("high-1", 10, LAYERS, kv_permille)]
    };
    let (first, second) = (Duration::from_millis(1), Duration::from_millis(2));

    vm.report_engines(first, "10.0.0.1:7000", whole(200));
    let of_one = room(second);
    vm.report_engines(second, "10.0.0.2:7000", whole(800));
    vm.report_engines(first, "10.0.0.1:7000", whole(200));
    let of_two = room(second);

    assert_eq!(of_two.capacity, of_one.capacity);
    assert_eq!(of_two.fullness().map(|part| (part * 1_000.0).round()), Some(800.0));
}

/// No random number leads to shedding while there is room.
#[test]
fn no_random_number_refuses_a_request_that_fits() {
    let vm = Vm::new();
    let figures = vm.service.engine.as_ref().expect("it has one");
    for draw in [0.0, 1.0, f64::NAN] {
        let priority = Priority { organisation: 9, route: 9 };
        let (service, route) = (&vm.service, &vm.route);
        let request = AdmissionRequest { service, figures, route, priority, time_left: None, draw };

        assert_eq!(vm.load.admit(vm.routing_context(Duration::ZERO), request), Ok(()), "{draw}");
    }
}

/// Requests are counted by rank and outcome; ranks beyond the last are counted as the last.
#[test]
fn requests_are_counted_by_rank_and_outcome_and_absurd_ranks_as_the_last() {
    let metrics = SheddingMetrics::default();
    let late = NotAdmitted { fullness: 1.0, is_late: true };
    let of = |organisation| Priority { organisation, route: 0 };

    metrics.record_admission("gen", of(1), Ok(()));
    metrics.record_admission("gen", of(1), Err(NotAdmitted { is_late: false, ..late }));
    (0..200).for_each(|rank| metrics.record_admission("gen", of(50 + rank), Err(late)));

    let count = |rank, end| {
        let label = AdmissionLabel { service: "gen".to_owned(), rank, end };
        metrics.asked.get_or_create(&label).get()
    };
    assert_eq!((count(1, "let_in"), count(1, "refused_rank")), (1, 1));
    assert_eq!(count(15, "refused_late"), 200);
}

/// Fullness is the larger of the used shares of memory and slots, as requests that have just started
/// use little memory.
#[test]
fn engines_are_as_full_as_their_memory_or_their_slots() {
    let fullness = |running, kv_permille| {
        let vm = Vm::new();
        let ids = [("low-1", 0), ("high-1", 10)];
        let of =
            |(id, first)| EngineState { running, ..engine(id, first, first + 10, kv_permille) };
        vm.report_engines(Duration::ZERO, "10.0.0.1:7000", ids.map(of).to_vec());
        vm.fullness(Duration::ZERO).expect("reports list engines")
    };

    let [young, placed] = [fullness(SLOTS / 2, 600), fullness(SLOTS, 600)];

    assert!((young - 0.6).abs() < 1e-9, "{young}");
    assert!((placed - 1.0).abs() < 1e-9, "{placed}");
}
