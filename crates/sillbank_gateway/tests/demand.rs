//! What a VM believes of the fleet's demand.

use sillbank_demand::prelude::*;
use sillbank_gateway::boards::Boards;
use sillbank_gateway::demand::FleetDemand;
use sillbank_gateway::feed::{HallBoard, HallRates};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn rate(rank: Rank, offered_per_s: f64) -> DemandRate {
    DemandRate { offered_per_s, ..DemandRate::zero("quotes", rank) }
}

fn told(rates: Vec<DemandRate>) -> Option<HallRates> {
    Some(HallRates { age_ms: 0, rates })
}

fn board(hall: &str, demand: Option<HallRates>) -> HallBoard {
    HallBoard {
        hall: hall.to_owned(),
        age_ms: 0,
        vms: 20,
        leader: "10.0.0.1:7000".parse().expect("an address"),
        is_whole: true,
        engines: Vec::new(),
        demand,
    }
}

/// What a VM of the hall `a` believes, which sees two requests a second itself.
fn believed(boards: &Boards, now: Instant) -> FleetDemand {
    FleetDemand::new(boards.demand("quotes", now), "a", || (vec![rate(0, 2.0)], 20))
}

fn offered(fleet: &FleetDemand) -> Vec<(Rank, f64)> {
    fleet.rates.iter().map(|rate| (rate.rank, rate.offered_per_s)).collect()
}

#[test]
fn what_halls_are_asked_for_adds_up_by_rank() {
    let (boards, now) = (Boards::default(), Instant::now());
    boards.keep(now, board("a", told(vec![rate(0, 30.0), rate(2, 10.0)])));
    boards.keep(now, board("b", told(vec![rate(2, 50.0)])));

    let fleet = believed(&boards, now + MS * 300);

    assert_eq!(offered(&fleet), [(0, 30.0), (2, 60.0)]);
    assert_eq!((fleet.age, fleet.vms, fleet.is_told), (MS * 300, 40, true));
}

#[test]
fn figures_of_a_silent_leader_are_believed_for_two_seconds() {
    let (boards, now) = (Boards::default(), Instant::now());
    boards.keep(now, board("a", told(vec![rate(0, 30.0)])));

    let before = believed(&boards, now + MS * 1_900);
    let after = believed(&boards, now + MS * 2_000);

    assert_eq!(offered(&before), [(0, 30.0)]);
    assert_eq!(offered(&after), [(0, 40.0)], "its own two a second times twenty VMs");
    assert!(!after.is_told);
}

#[test]
fn the_figures_of_a_leader_before_stand_until_the_next_has_heard_its_vms() {
    let (boards, now) = (Boards::default(), Instant::now());
    boards.keep(now, board("a", told(vec![rate(0, 30.0)])));

    boards.keep(now + MS * 500, board("a", None));

    assert_eq!(offered(&believed(&boards, now + MS * 600)), [(0, 30.0)]);
}

#[test]
fn a_hall_that_nobody_asks_is_known_to_be_idle() {
    let (boards, now) = (Boards::default(), Instant::now());
    boards.keep(now, board("a", told(vec![rate(0, 30.0)])));

    boards.keep(now + MS * 500, board("a", told(Vec::new())));
    let fleet = believed(&boards, now + MS * 600);

    assert_eq!((offered(&fleet), fleet.is_told), (Vec::new(), true));
}

/// Figures go from hall to hall with their age, also when the board that brought them has been told again.
#[test]
fn demand_is_passed_on_once_with_its_age() {
    let (leader, vm, now) = (Boards::default(), Boards::default(), Instant::now());
    leader.keep(now, board("b", told(vec![rate(1, 30.0)])));
    leader.keep(now + MS * 400, board("b", None));

    let (seen, first) = leader.since(0, now + MS * 500);
    let (_, second) = leader.since(seen, now + MS * 600);
    first.into_iter().for_each(|board| vm.keep(now + MS * 500, board));

    assert_eq!(vm.demand("quotes", now + MS * 600)[0].age, MS * 600);
    assert_eq!(vm.demand("quotes", now + MS * 2_000), Vec::new());
    assert!(second.iter().all(|board| board.demand.is_none()), "{second:?}");
}
