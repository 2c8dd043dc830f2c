//! A small fake of a fleet under load: VMs that decide by the ladder, engines that fill, callers who come back.

use sillbank_admission::ladder::{Ladder, Rung, Urgency};
use sillbank_admission::level::Level;
use std::time::{Duration, Instant};

pub(crate) const STEPS_PER_S: usize = 100;
/// Requests a second that the engines serve when 0.9 of them is taken: a load of 1.
const FITS_PER_S: f64 = 240.0;
/// Requests that the engines hold at once.
const CAPACITY: f64 = 608.0;
const VMS: usize = 8;
/// Steps between news of the engines, and their age.
const NEWS_STEPS: (usize, usize) = (25, 35);

/// Requests of one rank in one step.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) asked: f64,
    pub(crate) let_in: f64,
    /// Let in while the engines had room.
    pub(crate) served: f64,
}

/// What was seen in one step; counts by rank, of new callers and of those who came back.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Step {
    pub(crate) fullness: f64,
    pub(crate) counts: [[Counts; 2]; 3],
}

/// The fleet at one moment.
pub(crate) struct Fleet {
    vms: Vec<(Ladder, Level)>,
    /// When each running request ends.
    ends: Vec<Instant>,
    /// Callers who come back in each step, by rank.
    back: Vec<[usize; 3]>,
    seed: u64,
}

impl Fleet {
    /// Plays a load by second and rank. The part of the engines that is there follows from the second too, and the
    /// first half of the VMs begins in the given one.
    pub(crate) fn play(
        seed: u64,
        seconds: usize,
        load: impl Fn(f64, usize) -> f64,
        engines: impl Fn(f64) -> f64,
        half_begins_s: f64,
    ) -> Vec<Step> {
        let back = vec![[0; 3]; (seconds + 4) * STEPS_PER_S];
        let mut fleet = Self { vms: vec![Default::default(); VMS], ends: Vec::new(), back, seed };
        let (start, mut owed, mut steps) = (Instant::now(), [0.0; 3], Vec::<Step>::new());
        for at in 0..seconds * STEPS_PER_S {
            let now_s = at as f64 / STEPS_PER_S as f64;
            let now = start + Duration::from_secs_f64(now_s);
            let capacity = CAPACITY * engines(now_s);
            let vms = if now_s < half_begins_s { VMS / 2..VMS } else { 0..VMS };
            if at % NEWS_STEPS.0 == 0 && at >= NEWS_STEPS.1 {
                let told = steps[at - NEWS_STEPS.1].fullness;
                let running = &mut fleet.vms[vms.clone()];
                running.iter_mut().for_each(|(_, level)| level.on_fullness(now, told));
            }
            fleet.ends.retain(|end| *end > now);
            let fullness = fleet.ends.len() as f64 / capacity;
            let mut step = Step { fullness, ..Step::default() };
            for (rank, owed) in owed.iter_mut().enumerate() {
                *owed += load(now_s, rank) * FITS_PER_S / STEPS_PER_S as f64;
                for (late, asked) in [(false, *owed as usize), (true, fleet.back[at][rank])] {
                    for _ in 0..asked {
                        let vm = vms.start + (fleet.draw() * vms.len() as f64) as usize;
                        let seen = fleet.ask(vm, now, rung(rank as u8, late), capacity);
                        step.counts[rank][usize::from(late)].add(seen);
                        if seen.served == 0.0 && !late {
                            fleet.come_back(at, rank);
                        }
                    }
                }
                *owed = owed.fract();
            }
            steps.push(step);
        }
        steps
    }

    /// A caller who was refused in a step comes back one to three seconds later.
    fn come_back(&mut self, at: usize, rank: usize) {
        let after = 1.0 + 2.0 * self.draw();
        self.back[at + (after * STEPS_PER_S as f64) as usize][rank] += 1;
    }

    /// A request asks one VM, and the engines if it lets it in. It runs for longer the fuller they are.
    fn ask(&mut self, vm: usize, now: Instant, rung: Rung, capacity: f64) -> Counts {
        let (ladder, level) = &mut self.vms[vm];
        ladder.on_asked(now, rung);
        let share = ladder.share(rung, level.share());
        let is_let_in = self.draw() < share;
        let fullness = self.ends.len() as f64 / capacity;
        let is_served = is_let_in && fullness < 1.0;
        if is_served {
            let alone_s = 0.4 - 0.8 * (1.0 - self.draw()).ln();
            self.ends.push(now + Duration::from_secs_f64(alone_s * (1.0 + fullness)));
        }
        Counts { asked: 1.0, let_in: f64::from(is_let_in), served: f64::from(is_served) }
    }

    /// A number from 0 to 1 from a fixed seed.
    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.seed >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.let_in += other.let_in;
        self.served += other.served;
    }
}

pub(crate) fn rung(rank: u8, is_late: bool) -> Rung {
    Rung { is_late, urgency: Urgency { organisation: rank, route: 0 } }
}
