//! Tests of how the demand on a VM compares with that on the others of its hall.

use sillbank_gateway::demand_share::{ComparedDemand, DemandShares};
use std::time::{Duration, Instant};

fn average_to_own(own_per_s: f64, hall_per_s: f64, hall_vms: u32) -> f64 {
    ComparedDemand { own_per_s, hall_per_s, hall_vms }.average_to_own()
}

/// A VM that gets all callers stands for all VMs; one that gets fewer than the others is taken for average.
#[test]
fn average_is_compared_with_the_own_demand() {
    assert_eq!(average_to_own(20.0, 60.0, 3), 1.0);
    assert_eq!(average_to_own(60.0, 60.0, 3), 1.0 / 3.0);
    assert_eq!(average_to_own(30.0, 60.0, 3), 2.0 / 3.0);
    assert_eq!(average_to_own(5.0, 60.0, 3), 1.0);
}

/// Figures that are old, missing or few do not make a VM think that it is alone.
#[test]
fn old_missing_or_few_figures_are_harmless() {
    assert_eq!(average_to_own(60.0, 20.0, 3), 1.0 / 3.0);
    assert_eq!(average_to_own(1.0, 1.0, 3), 1.0);
    assert_eq!(average_to_own(60.0, 60.0, 0), 1.0);
    assert_eq!(average_to_own(f64::NAN, 60.0, 3), 1.0);
}

/// The comparison is renewed four times a second, and is even while nothing is known.
#[test]
fn comparison_is_renewed_in_intervals() {
    // Arrange
    let (shares, start) = (DemandShares::default(), Instant::now());
    let compare = |own_per_s| {
        move || {
            let demand = ComparedDemand { own_per_s, hall_per_s: 60.0, hall_vms: 3 };
            vec![("engines".to_owned(), demand)]
        }
    };

    // Act
    let unknown = shares.average_to_own("engines");
    shares.renew(start, compare(60.0));
    let first = shares.average_to_own("engines");
    shares.renew(start + Duration::from_millis(249), compare(20.0));
    let too_soon = shares.average_to_own("engines");
    shares.renew(start + Duration::from_millis(250), compare(20.0));
    let renewed = shares.average_to_own("engines");

    // Assert
    assert_eq!((unknown, first, too_soon, renewed), (1.0, 1.0 / 3.0, 1.0 / 3.0, 1.0));
    assert_eq!(shares.average_to_own("another"), 1.0);
}
