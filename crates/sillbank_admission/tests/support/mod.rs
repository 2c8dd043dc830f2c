//! Small simulation of a fleet under load: VMs that shed load by priority, engines that fill up, callers that retry.

use sillbank_admission::share_controller::ShareController;
use sillbank_admission::shedding::{Priority, PriorityClass, PriorityShedder};
use std::time::{Duration, Instant};

pub(crate) const STEPS_PER_S: usize = 100;
/// Requests per second that the engines serve at a fullness of 0.9; corresponds to a load of 1.
const CAPACITY_PER_S: f64 = 240.0;
/// Requests that the engines hold concurrently.
const CAPACITY: f64 = 608.0;
const VMS: usize = 8;
/// Steps between reports of the engines' fullness, and the age of a report in steps.
const REPORT_STEPS: (usize, usize) = (25, 35);

/// Requests of one rank in one step.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) requested: f64,
    pub(crate) admitted: f64,
    /// Admitted while the engines had free capacity.
    pub(crate) served: f64,
}

/// Result of one step; counts by rank, of new requests and of retries.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Step {
    pub(crate) fullness: f64,
    pub(crate) counts: [[Counts; 2]; 3],
}

/// State of the simulated fleet.
pub(crate) struct Fleet {
    vms: Vec<(PriorityShedder, ShareController)>,
    /// End of each running request.
    ends: Vec<Instant>,
    /// Retries in each step, by rank.
    retries: Vec<[usize; 3]>,
    seed: u64,
}

impl Fleet {
    /// Simulates a load given by second and rank. `engines` is the available part of the engines by second; the
    /// first half of the VMs starts at `half_starts_at_s`.
    pub(crate) fn simulate(
        seed: u64,
        seconds: usize,
        load: impl Fn(f64, usize) -> f64,
        engines: impl Fn(f64) -> f64,
        half_starts_at_s: f64,
    ) -> Vec<Step> {
        let retries = vec![[0; 3]; (seconds + 4) * STEPS_PER_S];
        let mut fleet =
            Self { vms: vec![Default::default(); VMS], ends: Vec::new(), retries, seed };
        let (start, mut pending, mut steps) = (Instant::now(), [0.0; 3], Vec::<Step>::new());
        for step_index in 0..seconds * STEPS_PER_S {
            let now_s = step_index as f64 / STEPS_PER_S as f64;
            let now = start + Duration::from_secs_f64(now_s);
            let capacity = CAPACITY * engines(now_s);
            let vms = if now_s < half_starts_at_s { VMS / 2..VMS } else { 0..VMS };
            if step_index % REPORT_STEPS.0 == 0 && step_index >= REPORT_STEPS.1 {
                let reported = steps[step_index - REPORT_STEPS.1].fullness;
                let running = &mut fleet.vms[vms.clone()];
                running.iter_mut().for_each(|(_, controller)| controller.update(now, reported));
            }
            fleet.ends.retain(|end| *end > now);
            let fullness = fleet.ends.len() as f64 / capacity;
            let mut step = Step { fullness, ..Step::default() };
            for (rank, pending) in pending.iter_mut().enumerate() {
                *pending += load(now_s, rank) * CAPACITY_PER_S / STEPS_PER_S as f64;
                for (is_late, count) in
                    [(false, *pending as usize), (true, fleet.retries[step_index][rank])]
                {
                    for _ in 0..count {
                        let vm = vms.start + (fleet.draw() * vms.len() as f64) as usize;
                        let counts = fleet.request(vm, now, class(rank as u8, is_late), capacity);
                        step.counts[rank][usize::from(is_late)].add(counts);
                        if counts.served == 0.0 && !is_late {
                            fleet.schedule_retry(step_index, rank);
                        }
                    }
                }
                *pending = pending.fract();
            }
            steps.push(step);
        }
        steps
    }

    /// Schedules the retry of a caller refused in a step, one to three seconds later.
    fn schedule_retry(&mut self, step_index: usize, rank: usize) {
        let after = 1.0 + 2.0 * self.draw();
        self.retries[step_index + (after * STEPS_PER_S as f64) as usize][rank] += 1;
    }

    /// Sends a request to one VM, which forwards it to the engines if it admits it. It runs longer the fuller they are.
    fn request(&mut self, vm: usize, now: Instant, class: PriorityClass, capacity: f64) -> Counts {
        let (shedder, controller) = &mut self.vms[vm];
        shedder.record_request(now, class);
        let share = shedder.admitted_share(class, controller.share());
        let is_admitted = self.draw() < share;
        let fullness = self.ends.len() as f64 / capacity;
        let is_served = is_admitted && fullness < 1.0;
        if is_served {
            let unloaded_s = 0.4 - 0.8 * (1.0 - self.draw()).ln();
            self.ends.push(now + Duration::from_secs_f64(unloaded_s * (1.0 + fullness)));
        }
        Counts { requested: 1.0, admitted: f64::from(is_admitted), served: f64::from(is_served) }
    }

    /// Pseudo-random number from 0 to 1, from the fixed seed.
    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.requested += other.requested;
        self.admitted += other.admitted;
        self.served += other.served;
    }
}

pub(crate) fn class(rank: u8, is_late: bool) -> PriorityClass {
    PriorityClass { is_late, priority: Priority { organisation: rank, route: 0 } }
}
