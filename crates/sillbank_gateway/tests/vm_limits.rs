//! When a VM counts as near one of its limits, without a network.

use arbitrary::Unstructured;
use sillbank_gateway::vm_limits::{
    LimitMeter, Standing, VmCapacity, VmLimit, VmReading, others_suffice,
};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(100);
/// The smallest known VM: 14 Mbit/s, a quarter of 112 MB, 2,870 descriptors.
const SMALL: VmCapacity =
    VmCapacity { link_mbps: 14.0, kept_bytes: 28_000_000, connections: 1_307 };
const LINK_BYTES_PER_S: f64 = 1.75e6;

const REST: VmReading = VmReading {
    passed_bytes: 0,
    requests: 10,
    kept_bytes: 0,
    connections: 20,
    timer_lag: Duration::from_millis(5),
};

/// A VM whose resource use is read every 100 ms.
struct Vm {
    meter: LimitMeter,
    now: Instant,
    passed_bytes: f64,
}

impl Vm {
    fn new() -> Self {
        Self { meter: LimitMeter::default(), now: Instant::now(), passed_bytes: 0.0 }
    }

    /// Runs for a time at a reading and a rate; returns the state at the end.
    fn run(&mut self, seconds: f64, rate_bytes_per_s: f64, reading: VmReading) -> Standing {
        let ticks = (seconds / TICK.as_secs_f64()).round() as u32;
        for _ in 0..ticks {
            self.now += TICK;
            self.passed_bytes += rate_bytes_per_s * TICK.as_secs_f64();
            let reading = VmReading { passed_bytes: self.passed_bytes as u64, ..reading };
            self.meter.on_reading(self.now, reading, SMALL);
        }
        self.meter.standing()
    }
}

fn with_lag(lag_ms: u64) -> VmReading {
    VmReading { timer_lag: Duration::from_millis(lag_ms), ..REST }
}

#[test]
fn a_link_that_is_nearly_used_up_stops_new_requests_and_frees_them_soon_after() {
    let mut vm = Vm::new();

    let usual = vm.run(5.0, 0.5 * LINK_BYTES_PER_S, REST);
    let near = vm.run(5.0, 0.9 * LINK_BYTES_PER_S, REST);
    let full = vm.run(5.0, 1.1 * LINK_BYTES_PER_S, REST);
    let limit = vm.meter.pressures().worst().0;
    let after = vm.run(2.0, 0.3 * LINK_BYTES_PER_S, REST);

    assert_eq!([usual, near, full], [Standing::Clear, Standing::Near, Standing::Full]);
    assert_eq!(limit, VmLimit::Link);
    assert_eq!(after, Standing::Clear);
}

#[test]
fn requests_that_were_let_in_count_before_their_answers_flow() {
    let mut vm = Vm::new();
    vm.run(5.0, 0.4 * LINK_BYTES_PER_S, REST);

    let standing = vm.run(0.1, 0.4 * LINK_BYTES_PER_S, VmReading { requests: 30, ..REST });

    assert_eq!(standing, Standing::Full);
}

#[test]
fn a_vm_that_is_slowed_is_near_its_limit_within_two_seconds_and_clear_two_seconds_after() {
    let mut vm = Vm::new();

    let before = vm.run(5.0, 0.0, with_lag(20));
    let slowed = vm.run(2.0, 0.0, with_lag(140));
    let after = vm.run(2.0, 0.0, with_lag(20));

    assert_eq!([before, slowed, after], [Standing::Clear, Standing::Near, Standing::Clear]);
}

#[test]
fn a_vm_that_stood_still_once_is_not_held_for_slow() {
    let mut vm = Vm::new();
    vm.run(5.0, 0.0, with_lag(20));

    let woken = vm.run(0.1, 0.0, with_lag(4_000));

    assert_eq!(woken, Standing::Clear);
}

#[test]
fn memory_and_connections_count_at_once() {
    let kept = Vm::new().run(0.1, 0.0, VmReading { kept_bytes: 27_000_000, ..REST });
    let open = Vm::new().run(0.1, 0.0, VmReading { connections: 1_100, ..REST });

    assert_eq!([kept, open], [Standing::Full, Standing::Near]);
}

#[test]
fn a_vm_whose_connections_are_used_up_still_serves_those_who_are_connected() {
    let used_up = VmReading { connections: SMALL.connections, ..REST };

    let standing = Vm::new().run(5.0, 0.0, used_up);

    assert_eq!(standing, Standing::Near);
}

/// Guards against oscillation: a steady load has one state, whatever came before.
#[test]
fn a_steady_load_changes_the_standing_at_most_while_the_means_settle() {
    for_fixed_seeds(200, 512, |u| {
        let mut vm = Vm::new();
        for _ in 0..u.int_in_range(0..=5)? {
            vm.run(1.0, rate(u)?, with_lag(u.int_in_range(0..=300)?));
        }
        let (rate, reading) = (rate(u)?, with_lag(u.int_in_range(0..=300)?));
        let settled = vm.run(6.0, rate, reading);

        for _ in 0..30 {
            assert_eq!(vm.run(0.1, rate, reading), settled);
        }
        Ok(())
    });
}

fn rate(u: &mut Unstructured<'_>) -> arbitrary::Result<f64> {
    Ok(f64::from(u.int_in_range(0..=150)?) / 100.0 * LINK_BYTES_PER_S)
}

#[test]
fn absurd_figures_give_pressures_that_are_numbers() {
    for_fixed_seeds(200, 1_024, |u| {
        let mut meter = LimitMeter::default();
        let began = Instant::now();
        for _ in 0..10 {
            let now = began + Duration::from_millis(u.int_in_range(0..=10_000)?);
            let reading = VmReading {
                passed_bytes: u.arbitrary()?,
                requests: u.arbitrary()?,
                kept_bytes: u.arbitrary()?,
                connections: u.arbitrary()?,
                timer_lag: Duration::from_millis(u.arbitrary()?),
            };
            let capacity = VmCapacity {
                link_mbps: f64::from(u.arbitrary::<u16>()?),
                kept_bytes: u.arbitrary()?,
                connections: u.arbitrary()?,
            };
            meter.on_reading(now, reading, capacity);

            let pressures = meter.pressures().by_limit();
            assert!(pressures.iter().all(|(_, p)| p.is_finite() && *p >= 0.0), "{pressures:?}");
        }
        Ok(())
    });
}

#[test]
fn a_vm_is_not_ready_only_while_half_of_its_hall_is_fit_beside_it() {
    let suffices = [(0, 1), (0, 2), (1, 2), (1, 3), (2, 4), (23, 48)];

    let answers = suffices.map(|(fit_others, vms)| others_suffice(fit_others, vms));

    assert_eq!(answers, [false, false, true, false, true, false]);
}
