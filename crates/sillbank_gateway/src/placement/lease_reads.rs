//! Decides when a VM reads the lease of its hall, or peeks at it for a tenth of the price.
//!
//! When a hall loses its leader, only some of its VMs read the lease at once and so learn when it
//! lapses. One of them takes it. The others peek at it afterwards and find the new leader. If each
//! VM read the lease when it was lost and again when it had lapsed, the calls for each change of
//! the leader would grow with the hall.

use crate::hall::LeaderScore;
use crate::turns::{ASSUMED_HALL_VMS, is_among_first, late_turn};
use sillbank_core::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Shortest interval between lease reads by a VM, as each read is billed. The last holder reads at
/// this interval, so that it takes the lease again once the store is back.
pub(super) const LEASE_READ_INTERVAL: Duration = Duration::from_millis(400);
/// How long a VM waits for a reply of the leader recorded in the store before it reads the lease. A
/// live leader replies within 100 ms.
const RECORDED_LEADER_WAIT: Duration = Duration::from_millis(500);
/// Number of VMs of a hall that read a lost lease at once. If a third of the VMs have lost the
/// store, one of 16 still reaches it in all but 5 of 10^8 cases.
const FIRST_READERS: u32 = 16;
/// The same for VMs that are fit to lead, as one of them should take the lease: if a twentieth of a
/// hall of 200 VMs is, one of these 10 reads first in 97 of 100 cases.
const FIT_FIRST_READERS: u32 = 64;
/// Link that a leader needs for each VM of its hall, in Mbit/s: it sends each of them 18 to 25 KB a
/// second in a hall of 600 engines. With a smaller link requests of followers time out.
const LEADING_MBPS_PER_VM: f64 = 0.2;
/// Time between the reads of two VMs after the lease has lapsed, which covers a read and a write.
const STAGGER_PER_VM: Duration = Duration::from_millis(10);
/// Shortest time over which these reads are spread.
const MIN_STAGGER: Duration = Duration::from_millis(200);
/// Delay of the reads of VMs that are not fit to lead. VMs notice a lost leader at checks 250 ms
/// apart, so those that are fit read up to 450 ms after the first one could.
const UNFIT_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a VM checks its lease.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which those VMs of a hall without a recorded leader look again that are fit to lead.
/// The first one has the lease 20 to 60 ms after its turn.
const FIT_LOOK_UP_SPREAD: Duration = Duration::from_millis(100);
/// Time after which the others do. By then a fit VM leads, if there is one.
const UNFIT_LOOK_UP_DELAY: Duration = Duration::from_millis(200);
/// Time over which the others look again.
const UNFIT_LOOK_UP_SPREAD: Duration = Duration::from_millis(150);
/// Time over which the VMs that do not read a lost lease at once peek at it.
const PEEK_SPREAD: Duration = Duration::from_millis(250);

/// Whether a VM with this leader score and link is fit to lead a hall of `vms` VMs; 0 if their number
/// is unknown.
pub fn is_fit_to_lead(score: LeaderScore, link_mbps: f64, vms: u32) -> bool {
    let vms = if vms == 0 { ASSUMED_HALL_VMS } else { vms };
    score > 0.0 && link_mbps >= LEADING_MBPS_PER_VM * f64::from(vms)
}

/// What a VM does about its hall's lease now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseCall {
    /// Nothing.
    Nothing,
    /// Read who holds the lease, at the lower price.
    Peek,
    /// Read the lease.
    Read,
}

/// What a VM found when it peeked at the lease, possibly some seconds late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peeked {
    /// Another VM is recorded as the holder.
    Leader(SocketAddr),
    /// This VM is recorded: its previous process held the lease and may take it again at once.
    Own,
    /// No VM is recorded.
    Free,
    /// The call failed.
    Failed,
}

/// What a VM knows when it decides about a call.
#[derive(Debug, Clone, Copy)]
pub struct LeaseNeed {
    /// Whether the leader recently reported that it holds the lease.
    pub leader_holds_lease: bool,
    /// Whether the leader is live and this VM has lost the store, as the leader may have.
    pub store_is_unreachable: bool,
    /// Whether this VM acts as leader.
    pub is_acting: bool,
    /// Whether the previous leader handed its lease to this VM.
    pub is_nominated: bool,
    /// When the lease lapses, as far as it was read.
    pub lapses_at: Option<Instant>,
    /// Size of the hall; 0 if it is unknown.
    pub vms: u32,
    /// Whether this VM is fit to lead it.
    pub is_fit: bool,
}

/// State of the search for a leader at the start of a VM.
#[derive(Debug, Clone, Copy)]
enum LookUp {
    /// The lease has to be peeked at.
    First,
    /// No leader was recorded; the lease has to be peeked at again at this time.
    Again(Instant),
    /// Done.
    Done,
}

/// A time without a known leader that holds the lease.
#[derive(Debug, Clone, Copy)]
struct Leaderless {
    /// Whether this VM reads the lease at once.
    reads_first: bool,
    /// When it peeks at the lease otherwise.
    peek_at: Instant,
    /// Whether it has read the lease since.
    has_read: bool,
    /// The lost leader.
    lost: Option<SocketAddr>,
}

/// When a VM reads its hall's lease, or peeks at it.
#[derive(Debug)]
pub struct LeaseReads {
    rng: SharedRng,
    /// Time that another VM's lease takes to lapse after it was first read.
    takeover_delay: Duration,
    look_up: LookUp,
    /// Earliest time of the next call.
    next_at: Instant,
    /// Time after the end of the lease at which this VM reads it.
    stagger: Duration,
    leaderless: Option<Leaderless>,
    /// When the next call is due, if that is known.
    call_at: Option<Instant>,
}

impl LeaseReads {
    /// Creates the state of a VM that starts at `now`.
    pub fn new(now: Instant, takeover_delay: Duration, rng: SharedRng) -> Self {
        Self {
            rng,
            takeover_delay,
            look_up: LookUp::First,
            next_at: now,
            stagger: Duration::ZERO,
            leaderless: None,
            call_at: None,
        }
    }

    /// Time until the next check: the regular one, or an earlier turn. A turn that has passed while
    /// this VM did not ask for its next call, as it was about to stop, shortens nothing.
    pub fn time_to_check(&self, now: Instant) -> Duration {
        let turn = match self.look_up {
            LookUp::Again(at) => Some(at),
            LookUp::First | LookUp::Done => self.call_at,
        };
        let time_left = turn.filter(|at| *at > now).map(|at| at - now);
        time_left.map_or(CHECK_INTERVAL, |left| left.min(CHECK_INTERVAL))
    }

    /// The call to make at `now`. `leader` is the VM that this one follows.
    pub fn next_call(
        &mut self,
        now: Instant,
        need: LeaseNeed,
        leader: Option<SocketAddr>,
    ) -> LeaseCall {
        self.call_at = None;
        if need.is_nominated {
            return LeaseCall::Read;
        }
        if need.leader_holds_lease {
            self.leaderless = None;
            self.look_up = LookUp::Done;
            return LeaseCall::Nothing;
        }
        match self.look_up {
            LookUp::First => return LeaseCall::Peek,
            LookUp::Again(at) if now < at => return LeaseCall::Nothing,
            LookUp::Again(_) => return LeaseCall::Peek,
            LookUp::Done => {}
        }
        if need.store_is_unreachable || now < self.next_at {
            return LeaseCall::Nothing;
        }
        if need.is_acting {
            return LeaseCall::Read;
        }
        let leaderless = match self.leaderless {
            Some(leaderless) => leaderless,
            None => self.begin_leaderless(now, need, leader),
        };
        if !leaderless.reads_first {
            self.call_at = Some(leaderless.peek_at).filter(|at| now < *at);
            return if self.call_at.is_some() { LeaseCall::Nothing } else { LeaseCall::Peek };
        }
        let lapses_at = need.lapses_at.filter(|_| leaderless.has_read);
        self.call_at = lapses_at.map(|at| at + self.stagger).filter(|at| now < *at);
        if self.call_at.is_some() { LeaseCall::Nothing } else { LeaseCall::Read }
    }

    /// Decides whether this VM reads the lease of the lost leader at once or peeks at it later.
    fn begin_leaderless(
        &mut self,
        now: Instant,
        need: LeaseNeed,
        lost: Option<SocketAddr>,
    ) -> Leaderless {
        let first_readers = if need.is_fit { FIT_FIRST_READERS } else { FIRST_READERS };
        let taken_at = now + self.takeover_delay + UNFIT_DELAY + MIN_STAGGER + CHECK_INTERVAL;
        let leaderless = Leaderless {
            reads_first: is_among_first(first_readers, need.vms, self.rng.next_f64()),
            peek_at: taken_at + PEEK_SPREAD.mul_f64(self.rng.next_f64()),
            has_read: false,
            lost,
        };
        *self.leaderless.insert(leaderless)
    }

    /// Records what this VM found when it peeked at `now`, in a hall of `vms` VMs (0 if unknown).
    /// Returns the leader to follow, if any.
    pub fn on_peek(
        &mut self,
        now: Instant,
        peeked: Peeked,
        vms: u32,
        is_fit: bool,
    ) -> Option<SocketAddr> {
        let lost = self.leaderless.and_then(|leaderless| leaderless.lost);
        let is_first = matches!(self.look_up, LookUp::First);
        self.look_up = LookUp::Done;
        match peeked {
            Peeked::Leader(leader) if Some(leader) != lost => {
                self.next_at = now + RECORDED_LEADER_WAIT;
                self.leaderless = None;
                return Some(leader);
            }
            Peeked::Free if is_first => {
                let turn = late_turn(vms, self.rng.next_f64());
                let delay = match is_fit {
                    true => FIT_LOOK_UP_SPREAD.mul_f64(turn),
                    false => UNFIT_LOOK_UP_DELAY + UNFIT_LOOK_UP_SPREAD.mul_f64(turn),
                };
                self.look_up = LookUp::Again(now + delay);
            }
            // Nobody took the lease that was lost, so this VM reads it too.
            _ => {
                if let Some(leaderless) = &mut self.leaderless {
                    leaderless.reads_first = true;
                }
            }
        }
        None
    }

    /// Draws, before a read, how long after the end of the lease this VM reads it again. A VM that
    /// is not fit to lead comes after all others.
    pub fn on_read_sent(&mut self, vms: u32, is_fit: bool) {
        let max_stagger = (STAGGER_PER_VM * vms.min(FIRST_READERS)).max(MIN_STAGGER);
        let before = if is_fit { Duration::ZERO } else { UNFIT_DELAY };
        self.stagger = before + max_stagger.mul_f64(self.rng.next_f64());
    }

    /// Records the end of a read, after which this VM makes no other call for `pause`.
    pub fn on_read(&mut self, now: Instant, pause: Duration) {
        self.next_at = now + pause;
        if let Some(leaderless) = &mut self.leaderless {
            leaderless.has_read = true;
        }
    }
}
