//! Who is let in, from what leaders tell of engines and what engines refuse to this VM.

#[path = "support/engines.rs"]
mod engines;

use engines::{LAYERS, SLOTS, service};
use sillbank_admission::ladder::Urgency;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::rng::SharedRng;
use sillbank_fleet::prelude::*;
use sillbank_gateway::endpoints::EndpointBook;
use sillbank_gateway::feed::{EngineState, HallBoard};
use sillbank_gateway::hall::Hall;
use sillbank_gateway::knowledge::Knowledge;
use sillbank_gateway::ladder_metrics::{AskedLabel, LadderMetrics};
use sillbank_gateway::load::{FleetLoad, LoadAsk, NotLetIn, fleet_room};
use sillbank_gateway::mechanisms::Mechanisms;
use sillbank_gateway::paths::Views;
use sillbank_gateway::revision::Revision;
use sillbank_gateway::store::Snapshot;
use sillbank_pushback::prelude::*;
use std::cell::RefCell;
use std::time::{Duration, Instant};

const HOME: &str = "a";
const OBJECTIVE: Duration = Duration::from_millis(500);
const USUAL_LEFT: Duration = Duration::from_secs(2);
const NEWS: Duration = Duration::from_millis(250);

fn route() -> Route {
    Route {
        name: "chat".to_owned(),
        host: "chat.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: WorkKind::Call(Repeat::Safe),
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
        hall: HOME.to_owned(),
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

/// A VM that knows of two engines for each half of the layers.
struct Vm {
    knowledge: Knowledge,
    hall: Hall,
    chance: SharedRng,
    book: EndpointBook,
    pushback: RefCell<PushbackBook>,
    load: FleetLoad,
    service: Service,
    route: Route,
    start: Instant,
}

impl Vm {
    fn new() -> Self {
        let start = Instant::now();
        let knowledge = Knowledge::new(Duration::from_secs(60));
        let ids = [("low-1", 0), ("low-2", 0), ("high-1", 10), ("high-2", 10)];
        let value = ids.map(|(id, first)| record(id, first, first + 10)).to_vec();
        knowledge.take_endpoints(start, Snapshot { at: Revision::new(1, 1), value });
        Self {
            knowledge,
            hall: Hall::new(SharedRng::with_seed(1)),
            chance: SharedRng::with_seed(1),
            book: EndpointBook::default(),
            pushback: RefCell::default(),
            load: FleetLoad::default(),
            service: service(),
            route: route(),
            start,
        }
    }

    fn views(&self, after: Duration) -> Views<'_> {
        let (knowledge, hall, book) = (&self.knowledge, &self.hall, &self.book);
        let mechanisms = Mechanisms::default();
        let (chance, now) = (&self.chance, self.start + after);
        Views { knowledge, hall, book, pushback: &self.pushback, mechanisms, chance, now }
    }

    /// Tells that all engines are so full.
    fn tell(&self, after: Duration, kv_permille: u16) {
        let ids = [("low-1", 0), ("low-2", 0), ("high-1", 10), ("high-2", 10)];
        let engines = ids.map(|(id, first)| engine(id, first, first + 10, kv_permille)).to_vec();
        self.tell_engines(after, "10.0.0.1:7000", engines);
    }

    fn tell_engines(&self, after: Duration, leader: &str, engines: Vec<EngineState>) {
        let leader = leader.parse().expect("an address");
        let hall = HOME.to_owned();
        let board =
            HallBoard { hall, age_ms: 0, vms: 1, leader, is_whole: true, engines, demand: None };
        self.hall.boards.keep(self.start + after, board);
    }

    fn ask(&self, after: Duration, rank: u8, left: Duration) -> Result<(), NotLetIn> {
        let figures = self.service.engine.as_ref().expect("it has one");
        let ask = LoadAsk {
            service: &self.service,
            figures,
            route: &self.route,
            urgency: Urgency { organisation: rank, route: 0 },
            left: Some(left),
            draw: 0.5,
        };
        self.load.admit(self.views(after), ask)
    }

    /// Requests of three ranks for some quarters of a second; answers what the last of them got.
    fn ask_all(&self, quarters: std::ops::Range<u32>) -> [Result<(), NotLetIn>; 3] {
        let mut answers = [Ok(()); 3];
        for quarter in quarters {
            answers = [0, 1, 2].map(|rank| self.ask(NEWS * quarter, rank, USUAL_LEFT));
        }
        answers
    }

    fn fullness(&self, after: Duration) -> Option<f64> {
        let figures = self.service.engine.as_ref().expect("it has one");
        fleet_room(self.views(after), &self.service, figures).fullness()
    }
}

/// All engines are full for two seconds.
#[test]
fn full_engines_hold_the_least_urgent_back() {
    let vm = Vm::new();
    let mut answers = [Ok(()); 3];
    for quarter in 0..8 {
        vm.tell(NEWS * quarter, 1_000);
        answers = vm.ask_all(quarter..quarter + 1);
    }

    assert_eq!(answers[0], Ok(()));
    assert_eq!(answers[2], Err(NotLetIn { fullness: 1.0, is_late: false }));
    let believed = vm.load.believed("gen").expect("it was asked");
    assert_eq!(believed.fullness, 1.0);
    assert!((0.3..0.7).contains(&believed.share), "{believed:?}");
}

#[test]
fn engines_with_room_hold_nobody_back() {
    let vm = Vm::new();
    let mut answers = [Ok(()); 3];
    for quarter in 0..20 {
        vm.tell(NEWS * quarter, 600);
        answers = vm.ask_all(quarter..quarter + 1);
    }

    assert_eq!(answers, [Ok(()); 3]);
}

/// The caller comes back with less time than others of its route have, after the objective.
#[test]
fn who_comes_too_late_goes_behind_the_least_urgent() {
    let vm = Vm::new();
    for quarter in 0..10 {
        vm.tell(NEWS * quarter, if quarter < 5 { 800 } else { 1_000 });
        let _ = vm.ask_all(quarter..quarter + 1);
    }

    let late = vm.ask(NEWS * 10, 0, USUAL_LEFT - OBJECTIVE * 2);
    let in_time = vm.ask(NEWS * 10, 0, USUAL_LEFT - OBJECTIVE / 2);

    assert_eq!(late, Err(NotLetIn { fullness: 1.0, is_late: true }));
    assert_eq!(in_time, Ok(()));
}

/// The leader falls silent: its last board tells of full engines, and is believed for two seconds.
#[test]
fn an_old_board_leaves_a_vm_to_its_own_evidence() {
    let (vm, refused) = (Vm::new(), Vm::new());
    for vm in [&vm, &refused] {
        vm.tell(Duration::ZERO, 1_000);
        let _ = vm.ask_all(0..8);
        assert_eq!(vm.fullness(NEWS * 7), Some(1.0));
        assert_eq!(vm.fullness(NEWS * 8), None);
    }

    let let_in = vm.ask_all(8..20);
    let mut held_back = [Ok(()); 3];
    for quarter in 8..20 {
        (0..5).for_each(|_| refused.load.on_sent("gen", false, refused.start + NEWS * quarter));
        held_back = refused.ask_all(quarter..quarter + 1);
    }

    assert_eq!(let_in, [Ok(()); 3]);
    assert_eq!(held_back[2], Err(NotLetIn { fullness: 1.0, is_late: false }));
}

#[test]
fn room_of_a_lost_engine_does_not_count() {
    let vm = Vm::new();
    let lost = EngineState { is_lost: true, ..engine("low-2", 0, 10, 0) };
    let high = engine("high-1", 10, LAYERS, 0);

    let beside = |low: EngineState| {
        let engines = vec![engine("low-1", 0, 10, 1_000), low, high.clone()];
        let vm = Vm::new();
        vm.tell_engines(Duration::ZERO, "10.0.0.1:7000", engines);
        vm.fullness(Duration::ZERO)
    };

    assert_eq!(beside(lost), Some(1.0));
    assert_eq!(beside(engine("low-2", 0, 10, 0)), Some(0.0));
    assert_eq!(vm.fullness(Duration::ZERO), None);
}

/// An engine that began again under its id, as its own entry tells, holds nothing of what was told of it before.
#[test]
fn what_was_told_of_an_older_life_does_not_count() {
    let vm = Vm::new();
    let mut records: Vec<EndpointRecord> = vec![record("low-1", 0, 10), record("high-1", 10, 20)];
    records[0].born_ms = Some(2);
    vm.knowledge.take_endpoints(vm.start, Snapshot { at: Revision::new(1, 2), value: records });

    let told_of = |born_ms| {
        let low = EngineState { born_ms, ..engine("low-1", 0, 10, 500) };
        let engines = vec![low, engine("high-1", 10, LAYERS, 500)];
        let after = Duration::from_millis(born_ms.unwrap_or(0));
        vm.tell_engines(after, "10.0.0.1:7000", engines);
        vm.fullness(after)
    };

    assert_eq!(told_of(Some(1)), None);
    assert_eq!(told_of(Some(2)), Some(0.5));
}

/// Its leader tells that an engine holds layers that the model does not have: no path uses it.
#[test]
fn an_engine_with_layers_that_the_model_does_not_have_does_not_count() {
    let vm = Vm::new();
    let absurd = engine("high-2", 10, LAYERS + 5, 0);
    let engines = vec![engine("low-1", 0, 10, 500), engine("high-1", 10, LAYERS, 1_000), absurd];

    vm.tell_engines(Duration::ZERO, "10.0.0.1:7000", engines);

    assert_eq!(vm.fullness(Duration::ZERO), Some(1.0));
}

/// Engines that no request can pass whole have no room to share out.
#[test]
fn engines_that_leave_a_layer_out_hold_nobody_back() {
    let vm = Vm::new();
    for quarter in 0..20 {
        vm.tell_engines(NEWS * quarter, "10.0.0.1:7000", vec![engine("low-1", 0, 10, 1_000)]);
        let answers = vm.ask_all(quarter..quarter + 1);
        assert_eq!(answers, [Ok(()); 3]);
    }
}

#[test]
fn without_figures_everybody_is_let_in() {
    let mut vm = Vm::new();
    vm.service.engine.as_mut().expect("it has one").accelerators.clear();

    for quarter in 0..20 {
        vm.tell(NEWS * quarter, 1_000);
        let answers = vm.ask_all(quarter..quarter + 1);
        assert_eq!(answers, [Ok(()); 3]);
    }
}

/// An old leader and a new one tell of the same hall for a while; the newest board counts, whoever tells it.
#[test]
fn two_boards_of_one_hall_count_once() {
    let vm = Vm::new();
    let figures = vm.service.engine.as_ref().expect("it has one");
    let room = |after| fleet_room(vm.views(after), &vm.service, figures);
    let whole = |kv_permille| {
        vec![engine("low-1", 0, 10, kv_permille), engine("high-1", 10, LAYERS, kv_permille)]
    };
    let (first, second) = (Duration::from_millis(1), Duration::from_millis(2));

    vm.tell_engines(first, "10.0.0.1:7000", whole(200));
    let of_one = room(second);
    vm.tell_engines(second, "10.0.0.2:7000", whole(800));
    vm.tell_engines(first, "10.0.0.1:7000", whole(200));
    let of_two = room(second);

    assert_eq!(of_two.capacity, of_one.capacity);
    assert_eq!(of_two.fullness().map(|part| (part * 1_000.0).round()), Some(800.0));
}

/// Whatever number was drawn: with room nobody is refused by chance.
#[test]
fn no_draw_refuses_a_request_that_has_room() {
    let vm = Vm::new();
    let figures = vm.service.engine.as_ref().expect("it has one");
    for draw in [0.0, 1.0, f64::NAN] {
        let urgency = Urgency { organisation: 9, route: 9 };
        let (service, route) = (&vm.service, &vm.route);
        let ask = LoadAsk { service, figures, route, urgency, left: None, draw };

        assert_eq!(vm.load.admit(vm.views(Duration::ZERO), ask), Ok(()), "{draw}");
    }
}

#[test]
fn requests_are_counted_by_rank_and_end_and_absurd_ranks_as_the_last() {
    let metrics = LadderMetrics::default();
    let late = NotLetIn { fullness: 1.0, is_late: true };
    let of = |organisation| Urgency { organisation, route: 0 };

    metrics.on_asked("gen", of(1), Ok(()));
    metrics.on_asked("gen", of(1), Err(NotLetIn { is_late: false, ..late }));
    (0..200).for_each(|rank| metrics.on_asked("gen", of(50 + rank), Err(late)));

    let count = |rank, end| {
        let label = AskedLabel { service: "gen".to_owned(), rank, end };
        metrics.asked.get_or_create(&label).get()
    };
    assert_eq!((count(1, "let_in"), count(1, "refused_rank")), (1, 1));
    assert_eq!(count(15, "refused_late"), 200);
}

/// Requests that have just begun hold little memory: they count as what they use, and by their places.
#[test]
fn engines_are_as_full_as_their_memory_or_their_places() {
    let fullness = |running, kv_permille| {
        let vm = Vm::new();
        let ids = [("low-1", 0), ("high-1", 10)];
        let of =
            |(id, first)| EngineState { running, ..engine(id, first, first + 10, kv_permille) };
        vm.tell_engines(Duration::ZERO, "10.0.0.1:7000", ids.map(of).to_vec());
        vm.fullness(Duration::ZERO).expect("boards tell of engines")
    };

    let [young, placed] = [fullness(SLOTS / 2, 600), fullness(SLOTS, 600)];

    assert!((young - 0.6).abs() < 1e-9, "{young}");
    assert!((placed - 1.0).abs() < 1e-9, "{placed}");
}
