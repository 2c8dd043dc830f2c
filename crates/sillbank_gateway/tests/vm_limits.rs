//! When a VM counts as near one of its limits, without a network.

use arbitrary::Unstructured;
use sillbank_gateway::vm_limits::{
    LimitMeter, LimitState, VmCapacity, VmLimit, VmReading, others_suffice,
};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(100);
/// The smallest known VM: 14 Mbit/s, a quarter of 112 MB, 2,870 descriptors.
const SMALL: VmCapacity =
    VmCapacity { link_mbps: 14.0, max_buffered_bytes: 28_000_000, max_connections: 1_307 };
const LINK_BYTES_PER_S: f64 = 1.75e6;

const IDLE: VmReading = VmReading {
    transferred_bytes: 0,
    requests: 10,
    buffered_bytes: 0,
    connections: 20,
    timer_lag: Duration::from_millis(5),
};

/// A VM whose resource use is read every 100 ms.
struct Vm {
    meter: LimitMeter,
    now: Instant,
    transferred_bytes: f64,
}

impl Vm {
    fn new() -> Self {
        Self { meter: LimitMeter::default(), now: Instant::now(), transferred_bytes: 0.0 }
    }

    /// Runs for a time at a reading and a rate; returns the state at the end.
    fn run(&mut self, seconds: f64, rate_bytes_per_s: f64, reading: VmReading) -> LimitState {
        let ticks = (seconds / TICK.as_secs_f64()).round() as u32;
        for _ in 0..ticks {
            self.now += TICK;
            self.transferred_bytes += rate_bytes_per_s * TICK.as_secs_f64();
            let reading = VmReading { transferred_bytes: self.transferred_bytes as u64, ..reading };
            self.meter.on_reading(self.now, reading, SMALL);
        }
        self.meter.state()
    }
}

fn reading_with_lag(lag_ms: u64) -> VmReading {
    VmReading { timer_lag: Duration::from_millis(lag_ms), ..IDLE }
}

/// A saturated link stops new requests; two seconds after the load drops they are accepted again.
#[test]
fn saturated_link_refuses_requests_and_recovers() {
    let mut vm = Vm::new();

    let usual = vm.run(5.0, 0.5 * LINK_BYTES_PER_S, IDLE);
    let near = vm.run(5.0, 0.9 * LINK_BYTES_PER_S, IDLE);
    let full = vm.run(5.0, 1.1 * LINK_BYTES_PER_S, IDLE);
    let limit = vm.meter.pressures().worst().0;
    let after = vm.run(2.0, 0.3 * LINK_BYTES_PER_S, IDLE);

    assert_eq!([usual, near, full], [LimitState::Clear, LimitState::Near, LimitState::Full]);
    assert_eq!(limit, VmLimit::Link);
    assert_eq!(after, LimitState::Clear);
}

/// A burst of admitted requests counts as link load before their answers are sent.
#[test]
fn admitted_requests_count_before_their_answers() {
    let mut vm = Vm::new();
    vm.run(5.0, 0.4 * LINK_BYTES_PER_S, IDLE);

    let state = vm.run(0.1, 0.4 * LINK_BYTES_PER_S, VmReading { requests: 30, ..IDLE });

    assert_eq!(state, LimitState::Full);
}

/// Late timers put a VM near its limit within two seconds, and it is clear again two seconds after.
#[test]
fn slow_vm_is_near_its_limit_within_two_seconds() {
    let mut vm = Vm::new();

    let before = vm.run(5.0, 0.0, reading_with_lag(20));
    let slowed = vm.run(2.0, 0.0, reading_with_lag(140));
    let after = vm.run(2.0, 0.0, reading_with_lag(20));

    assert_eq!([before, slowed, after], [LimitState::Clear, LimitState::Near, LimitState::Clear]);
}

/// A single stall of four seconds does not put a VM near its limit.
#[test]
fn single_stall_does_not_count_as_slow() {
    let mut vm = Vm::new();
    vm.run(5.0, 0.0, reading_with_lag(20));

    let woken = vm.run(0.1, 0.0, reading_with_lag(4_000));

    assert_eq!(woken, LimitState::Clear);
}

/// Memory and connections change the state with the first reading.
#[test]
fn memory_and_connections_are_not_averaged() {
    let buffering = Vm::new().run(0.1, 0.0, VmReading { buffered_bytes: 27_000_000, ..IDLE });
    let open = Vm::new().run(0.1, 0.0, VmReading { connections: 1_100, ..IDLE });

    assert_eq!([buffering, open], [LimitState::Full, LimitState::Near]);
}

/// A VM without free connections still accepts requests on the existing ones.
#[test]
fn exhausted_connections_do_not_refuse_requests() {
    let used_up = VmReading { connections: SMALL.max_connections, ..IDLE };

    let state = Vm::new().run(5.0, 0.0, used_up);

    assert_eq!(state, LimitState::Near);
}

/// Guards against oscillation: a steady load has one state, whatever came before.
#[test]
fn steady_load_does_not_oscillate() {
    for_fixed_seeds(200, 512, |u| {
        let mut vm = Vm::new();
        for _ in 0..u.int_in_range(0..=5)? {
            vm.run(1.0, rate(u)?, reading_with_lag(u.int_in_range(0..=300)?));
        }
        let (rate, reading) = (rate(u)?, reading_with_lag(u.int_in_range(0..=300)?));
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

/// Any reading and capacity, however extreme, give finite pressures of at least 0.
#[test]
fn extreme_readings_give_finite_pressures() {
    for_fixed_seeds(200, 1_024, |u| {
        let mut meter = LimitMeter::default();
        let began = Instant::now();
        for _ in 0..10 {
            let now = began + Duration::from_millis(u.int_in_range(0..=10_000)?);
            let reading = VmReading {
                transferred_bytes: u.arbitrary()?,
                requests: u.arbitrary()?,
                buffered_bytes: u.arbitrary()?,
                connections: u.arbitrary()?,
                timer_lag: Duration::from_millis(u.arbitrary()?),
            };
            let capacity = VmCapacity {
                link_mbps: f64::from(u.arbitrary::<u16>()?),
                max_buffered_bytes: u.arbitrary()?,
                max_connections: u.arbitrary()?,
            };
            meter.on_reading(now, reading, capacity);

            let pressures = meter.pressures().by_limit();
            assert!(pressures.iter().all(|(_, p)| p.is_finite() && *p >= 0.0), "{pressures:?}");
        }
        Ok(())
    });
}

/// Others suffice if at least one is fit and they are at least half of the hall's VMs.
#[test]
fn enough_others_means_half_of_the_hall() {
    let suffices = [(0, 1), (0, 2), (1, 2), (1, 3), (2, 4), (23, 48)];

    let answers = suffices.map(|(fit_others, vms)| others_suffice(fit_others, vms));

    assert_eq!(answers, [false, false, true, false, true, false]);
}
