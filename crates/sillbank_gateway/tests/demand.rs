//! The demand on the fleet as a VM computes it from hall reports.

use sillbank_demand::prelude::*;
use sillbank_gateway::demand::FleetDemand;
use sillbank_gateway::feed::{HallRates, HallReport};
use sillbank_gateway::hall_reports::HallReports;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn rate(rank: Rank, offered_per_s: f64) -> DemandRate {
    DemandRate { offered_per_s, ..DemandRate::zero("quotes", rank) }
}

fn some_rates(rates: Vec<DemandRate>) -> Option<HallRates> {
    Some(HallRates { age_ms: 0, rates })
}

fn report(hall: &str, demand: Option<HallRates>) -> HallReport {
    HallReport {
        hall: hall.to_owned(),
        age_ms: 0,
        vms: 20,
        leader: "10.0.0.1:7000".parse().expect("an address"),
        is_complete: true,
        engines: Vec::new(),
        demand,
    }
}

/// Demand as computed by a VM of hall `a` that itself sees two requests a second.
fn fleet_demand(reports: &HallReports, now: Instant) -> FleetDemand {
    FleetDemand::new(reports.demand("quotes", now), "a", || (vec![rate(0, 2.0)], 20))
}

fn offered(fleet: &FleetDemand) -> Vec<(Rank, f64)> {
    fleet.rates.iter().map(|rate| (rate.rank, rate.offered_per_s)).collect()
}

/// Rates of all halls are summed by rank, with the age of the oldest.
#[test]
fn the_demand_on_all_halls_adds_up_by_rank() {
    let (reports, now) = (HallReports::default(), Instant::now());
    reports.insert(now, report("a", some_rates(vec![rate(0, 30.0), rate(2, 10.0)])));
    reports.insert(now, report("b", some_rates(vec![rate(2, 50.0)])));

    let fleet = fleet_demand(&reports, now + MS * 300);

    assert_eq!(offered(&fleet), [(0, 30.0), (2, 60.0)]);
    assert_eq!((fleet.age, fleet.vms, fleet.is_reported), (MS * 300, 40, true));
}

/// Reported rates expire after two seconds; then the VM's own rates times its hall's VMs are used.
#[test]
fn rates_of_a_silent_leader_are_used_for_two_seconds() {
    let (reports, now) = (HallReports::default(), Instant::now());
    reports.insert(now, report("a", some_rates(vec![rate(0, 30.0)])));

    let before = fleet_demand(&reports, now + MS * 1_900);
    let after = fleet_demand(&reports, now + MS * 2_000);

    assert_eq!(offered(&before), [(0, 30.0)]);
    assert_eq!(offered(&after), [(0, 40.0)], "its own two a second times twenty VMs");
    assert!(!after.is_reported);
}

/// A new leader's report without demand keeps the rates of the previous leader.
#[test]
fn rates_of_the_previous_leader_are_kept_until_the_next_has_heard_from_its_vms() {
    let (reports, now) = (HallReports::default(), Instant::now());
    reports.insert(now, report("a", some_rates(vec![rate(0, 30.0)])));

    reports.insert(now + MS * 500, report("a", None));

    assert_eq!(offered(&fleet_demand(&reports, now + MS * 600)), [(0, 30.0)]);
}

/// An empty list of rates counts as reported, not as missing.
#[test]
fn a_hall_without_requests_is_known_to_be_idle() {
    let (reports, now) = (HallReports::default(), Instant::now());
    reports.insert(now, report("a", some_rates(vec![rate(0, 30.0)])));

    reports.insert(now + MS * 500, report("a", some_rates(Vec::new())));
    let fleet = fleet_demand(&reports, now + MS * 600);

    assert_eq!((offered(&fleet), fleet.is_reported), (Vec::new(), true));
}

/// Rates keep their age when passed on, also if the hall report that held them is sent again, and
/// are sent to a follower only once.
#[test]
fn demand_is_passed_on_once_with_its_age() {
    let (leader, vm, now) = (HallReports::default(), HallReports::default(), Instant::now());
    leader.insert(now, report("b", some_rates(vec![rate(1, 30.0)])));
    leader.insert(now + MS * 400, report("b", None));

    let (seen, first) = leader.since(0, now + MS * 500);
    let (_, second) = leader.since(seen, now + MS * 600);
    first.into_iter().for_each(|report| vm.insert(now + MS * 500, report));

    assert_eq!(vm.demand("quotes", now + MS * 600)[0].age, MS * 600);
    assert_eq!(vm.demand("quotes", now + MS * 2_000), Vec::new());
    assert!(second.iter().all(|report| report.demand.is_none()), "{second:?}");
}
