//! Leases stored as platform objects.
//!
//! A holder counts its term from before it sent the write, by clocks that together notice a pause
//! of the process, and stops an eighth of the term early. Another VM waits an eighth longer than
//! the term after it first read the holder's version. The object's version is the fencing token.
//!
//! A store that is restored from a copy has lost later writes, including leases. The holder keeps
//! its lease for the rest of its term and renews it as soon as it has read the object; no other VM
//! takes the lease while any holder may still rely on the old term.
//!
//! Pure: answers of the platform and the time are inputs, the writes to make are outputs.

#![forbid(unsafe_code)]

mod chart;

pub use chart::LeaseState;

use chart::{LeaseAction, LeaseEvent, chart};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_protocol::platform::Version;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest term of another holder, as a multiple of this VM's: versions of the program may differ in their terms. A longer one
/// was not written by a holder, and would keep the lease from all VMs.
const MAX_TERM_RATIO: u32 = 4;

/// A point in time on two clocks. The monotonic clock may stand still while a VM is paused from
/// outside, and the wall clock may be set, so a lease must be valid by both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic clock.
    pub monotonic: Instant,
    /// Wall clock, in milliseconds of Unix time.
    pub wall_ms: u64,
}

impl Moment {
    /// Combines readings of both clocks. A wall clock before 1970 counts as 1970.
    pub fn from_clocks(monotonic: Instant, wall: SystemTime) -> Self {
        let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self { monotonic, wall_ms: since_epoch.as_millis() as u64 }
    }

    /// Time since an earlier moment: the longer of the times by both clocks.
    pub fn since(&self, earlier: Moment) -> Duration {
        let wall = Duration::from_millis(self.wall_ms.saturating_sub(earlier.wall_ms));
        self.monotonic.saturating_duration_since(earlier.monotonic).max(wall)
    }
}

/// Content of a lease's object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder; empty if the lease is free.
    pub owner: VmId,
    /// Address at which the holder accepts connections of its peers.
    pub peer: SocketAddr,
    /// Random number of the write, by which a process recognises its own write. Another incarnation
    /// of the same VM does not mistake it for its own.
    pub mark: u64,
    /// Term, in milliseconds.
    pub term_ms: u64,
    /// Of a free lease: the VM that received the state of the last holder; empty if none did.
    pub heir: VmId,
}

impl LeaseRecord {
    /// Stands for a record that cannot be read. A holder whose record it replaced relies on the lease for the rest of its term.
    pub fn unreadable() -> Self {
        Self {
            owner: "unreadable".to_owned(),
            peer: SocketAddr::from(([0, 0, 0, 0], 0)),
            mark: 0,
            term_ms: 0,
            heir: VmId::new(),
        }
    }

    /// Address of the holder; `None` if the lease is free or the record cannot be read.
    pub fn holder_peer(&self) -> Option<SocketAddr> {
        (!self.owner.is_empty() && !self.peer.ip().is_unspecified()).then_some(self.peer)
    }
}

/// How a held lease was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// There was never a holder before.
    Fresh,
    /// The last holder named this VM as its heir.
    Inherited,
    /// The last holder's lease lapsed, or it named another heir or none.
    TakenOver,
}

/// A conditional write to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite<V = Version> {
    /// Version that the object must have, or `None` if there must be no object.
    pub expected: Option<V>,
    /// Record to write.
    pub record: LeaseRecord,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome<V = Version> {
    /// It took effect with this version.
    Written(V),
    /// The object had another version.
    Changed,
    /// It was refused or never sent, so it had no effect.
    Refused,
    /// There was no answer; it may have taken effect.
    Lost,
}

/// Identity of this VM as a possible holder.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the VM.
    pub vm: VmId,
    /// Address at which it accepts connections of its peers.
    pub peer: SocketAddr,
    /// Term of its leases.
    pub term: Duration,
}

/// A lease as seen by one VM; `V` is the version of an object.
#[derive(Debug)]
pub struct Lease<V = Version> {
    candidate: Candidate,
    state: LeaseState,
    /// The version last read or written, its record, and when it was first read or sent.
    observed: Option<(V, LeaseRecord, Moment)>,
    /// The write that is in flight or whose outcome is unknown.
    pending: Option<Pending>,
    held: Option<Held<V>>,
    reclaims_own: bool,
    /// Until this moment another VM may rely on a lease that a restored store has lost.
    takeover_blocked_until: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    mark: u64,
    /// When the write was sent.
    sent: Moment,
    acquisition: Acquisition,
}

#[derive(Debug, Clone, Copy)]
struct Held<V> {
    version: V,
    /// When the write that acquired or renewed the lease was sent.
    since: Moment,
    acquisition: Acquisition,
}

impl<V: Copy + PartialEq> Lease<V> {
    /// Creates a lease of which nothing is known yet.
    pub fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            state: chart().initial(),
            observed: None,
            pending: None,
            held: None,
            reclaims_own: false,
            takeover_blocked_until: None,
        }
    }

    /// Takes over a lease that names this VM and its peer address at once, without waiting for it
    /// to lapse. Only valid for a process that listens at that address: the record was then written
    /// by this process or by one that has ended.
    pub fn reclaiming_own(mut self) -> Self {
        self.reclaims_own = true;
        self
    }

    /// Current state.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The fencing token if the lease is held now. Call it right before each use of the lease.
    pub fn fence(&self, now: Moment) -> Option<V> {
        let held = self.held?;
        (now.since(held.since) < self.usable_term()).then_some(held.version)
    }

    /// How the lease was acquired; `None` if it is not held.
    pub fn acquisition(&self) -> Option<Acquisition> {
        self.held.map(|held| held.acquisition)
    }

    /// The record last read, if it names a holder.
    pub fn holder(&self) -> Option<&LeaseRecord> {
        self.observed
            .as_ref()
            .map(|(_, record, _)| record)
            .filter(|record| !record.owner.is_empty())
    }

    /// When the lease of another VM lapses, unless it was renewed since it was last read. `None` if
    /// it is free, held by this VM, or was never read.
    pub fn lapses_at(&self) -> Option<Instant> {
        if self.held.is_some() {
            return None;
        }
        let is_owned = |record: &LeaseRecord| !record.owner.is_empty();
        let observed = self.observed.as_ref().filter(|(_, record, _)| is_owned(record));
        let lapses = observed
            .map(|(_, record, first_read)| first_read.monotonic + self.takeover_delay(record));
        lapses.max(self.takeover_blocked_until)
    }

    /// Records that the store was restored from a copy. If this VM holds the lease, it keeps it for
    /// the rest of the term; if not, it does not take it while another VM may still hold it. Must
    /// not be called while a write is in flight.
    pub fn on_restored(&mut self, now: Moment) {
        // A holder wrote the lease before the restore, so its term began before now.
        self.takeover_blocked_until = Some(now.monotonic + takeover_delay_of(self.candidate.term));
        self.pending = None;
        self.step(now, LeaseEvent::Restored, 0);
    }

    /// Whether the object has to be read before anything else.
    pub fn needs_read(&self) -> bool {
        matches!(
            self.state,
            LeaseState::Idle | LeaseState::Unsure | LeaseState::RenewUnsure | LeaseState::Restored
        )
    }

    /// Handles the object as it was read; returns the write to make, if any. `mark` must be a new
    /// random number.
    pub fn on_read(
        &mut self,
        now: Moment,
        read: Option<(V, LeaseRecord)>,
        mark: u64,
    ) -> Option<LeaseWrite<V>> {
        if self.state == LeaseState::Restored {
            return self.on_reread(now, read.map(|(version, _)| version), mark);
        }
        let event = self.classify_read(now, read);
        self.step(now, event, mark)
    }

    /// Renews the lease over whatever a restored store holds, unless the old term is over.
    fn on_reread(&mut self, now: Moment, version: Option<V>, mark: u64) -> Option<LeaseWrite<V>> {
        if self.fence(now).is_none() {
            return self.step(now, LeaseEvent::Lapsed, mark);
        }
        let write = self.step(now, LeaseEvent::Reread, mark)?;
        Some(LeaseWrite { expected: version, ..write })
    }

    /// Handles the outcome of a write.
    pub fn on_write_outcome(&mut self, now: Moment, outcome: WriteOutcome<V>) {
        match outcome {
            WriteOutcome::Written(version) => {
                if matches!(self.state, LeaseState::Writing | LeaseState::Renewing) {
                    self.record_held(version);
                }
                self.step(now, LeaseEvent::Written, 0);
            }
            WriteOutcome::Changed => drop(self.step(now, LeaseEvent::Changed, 0)),
            WriteOutcome::Refused => drop(self.step(now, LeaseEvent::Refused, 0)),
            WriteOutcome::Lost => drop(self.step(now, LeaseEvent::Lost, 0)),
        }
    }

    /// Handles the passing of time; returns the renewal to write, if it is due.
    pub fn on_tick(&mut self, now: Moment, mark: u64) -> Option<LeaseWrite<V>> {
        let since = self.held?.since;
        if now.since(since) >= self.usable_term() {
            return self.step(now, LeaseEvent::Lapsed, mark);
        }
        if now.since(since) >= self.candidate.term / 3 {
            return self.step(now, LeaseEvent::RenewDue, mark);
        }
        None
    }

    /// Releases the lease; returns the write that frees it, if it is held. `heir` is the VM that
    /// received the state which this VM kept under the lease.
    pub fn release(&mut self, now: Moment, mark: u64, heir: Option<VmId>) -> Option<LeaseWrite<V>> {
        let mut write = self.step(now, LeaseEvent::Release, mark)?;
        write.record.heir = heir.unwrap_or_default();
        Some(write)
    }

    /// Hands the lease over to another VM; returns the write that names it, if the lease is held.
    /// The other VM takes the lease when it reads its name, if it was created with
    /// [`reclaiming_own`](Self::reclaiming_own); otherwise the lease lapses.
    pub fn hand_over(
        &mut self,
        now: Moment,
        mark: u64,
        vm: VmId,
        peer: SocketAddr,
    ) -> Option<LeaseWrite<V>> {
        let mut write = self.step(now, LeaseEvent::Release, mark)?;
        write.record.owner = vm;
        write.record.peer = peer;
        Some(write)
    }

    fn record_held(&mut self, version: V) {
        if let Some(Pending { sent, acquisition, mark }) = self.pending {
            self.held = Some(Held { version, since: sent, acquisition });
            let record = self.write(self.candidate.vm.clone(), mark).record;
            self.observed = Some((version, record, sent));
        }
    }

    /// Part of the term during which the holder uses the lease.
    fn usable_term(&self) -> Duration {
        self.candidate.term * 7 / 8
    }

    fn classify_read(&mut self, now: Moment, read: Option<(V, LeaseRecord)>) -> LeaseEvent {
        let may_take_over = self.takeover_blocked_until.is_none_or(|until| now.monotonic >= until);
        let Some((version, record)) = read else {
            self.observed = None;
            return if may_take_over { LeaseEvent::Free } else { LeaseEvent::Others };
        };
        let first_read = match &self.observed {
            Some((observed, _, at)) if *observed == version => *at,
            _ => now,
        };
        self.observed = Some((version, record.clone(), first_read));
        let is_own = self.pending.is_some_and(|pending| pending.mark == record.mark)
            && record.owner == self.candidate.vm;
        if is_own {
            self.record_held(version);
            return LeaseEvent::OwnFound;
        }
        if self.held.is_some_and(|held| held.version == version) {
            return LeaseEvent::StillHeld;
        }
        if !may_take_over {
            return LeaseEvent::Others;
        }
        if record.owner.is_empty() {
            return LeaseEvent::Free;
        }
        let names_own = record.owner == self.candidate.vm && record.peer == self.candidate.peer;
        if self.reclaims_own && names_own {
            return LeaseEvent::OthersLapsed;
        }
        let observed_for = now.monotonic.saturating_duration_since(first_read.monotonic);
        match observed_for >= self.takeover_delay(&record) {
            true => LeaseEvent::OthersLapsed,
            false => LeaseEvent::Others,
        }
    }

    fn step(&mut self, now: Moment, event: LeaseEvent, mark: u64) -> Option<LeaseWrite<V>> {
        let transition = chart().step(self.state, event)?;
        self.state = transition.to;
        match transition.action {
            LeaseAction::Nothing | LeaseAction::Watch => None,
            LeaseAction::Hold => {
                self.pending = None;
                None
            }
            LeaseAction::Drop => {
                self.held = None;
                None
            }
            LeaseAction::WriteOwn => {
                let acquisition =
                    self.held.map_or_else(|| self.next_acquisition(), |held| held.acquisition);
                self.pending = Some(Pending { mark, sent: now, acquisition });
                Some(self.write(self.candidate.vm.clone(), mark))
            }
            LeaseAction::WriteFree => {
                self.pending = None;
                let write = self.write(VmId::new(), mark);
                // From now on the lease must not be used.
                self.held = None;
                Some(write)
            }
        }
    }

    fn write(&self, owner: VmId, mark: u64) -> LeaseWrite<V> {
        let observed = self.observed.as_ref().map(|(version, ..)| *version);
        let record = LeaseRecord {
            owner,
            peer: self.candidate.peer,
            mark,
            term_ms: self.candidate.term.as_millis() as u64,
            heir: VmId::new(),
        };
        LeaseWrite { expected: self.held.map(|held| held.version).or(observed), record }
    }

    /// How long after its first read a version of the lease counts as lapsed. No holder has a shorter term than this VM.
    fn takeover_delay(&self, record: &LeaseRecord) -> Duration {
        let own = self.candidate.term;
        takeover_delay_of(Duration::from_millis(record.term_ms).clamp(own, own * MAX_TERM_RATIO))
    }

    fn next_acquisition(&self) -> Acquisition {
        match &self.observed {
            None => Acquisition::Fresh,
            Some((_, r, _)) if r.owner.is_empty() && r.heir == self.candidate.vm => {
                Acquisition::Inherited
            }
            Some(_) => Acquisition::TakenOver,
        }
    }
}

fn takeover_delay_of(term: Duration) -> Duration {
    term * 9 / 8
}
