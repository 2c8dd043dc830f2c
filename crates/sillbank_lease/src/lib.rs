//! Leases kept as platform objects.
//!
//! A holder counts its term from before its write left, by a clock that a pause does not fool,
//! and stops an eighth of the term early. Another VM waits an eighth longer than the term from
//! when it first saw the holder's version. The object's version is the fence.
//!
//! A store that is restored from a copy has lost what was written since, leases too. The holder keeps its lease for the
//! rest of its term and renews it as soon as it has read what is there; nobody else takes it for as long as any holder
//! may rely on the old term.
//!
//! Pure: what the platform answered and the time come in, writes to make go out.

#![forbid(unsafe_code)]

mod chart;

pub use chart::LeaseState;

use chart::{LeaseAction, LeaseEvent, chart};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_protocol::platform::Version;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A moment by two clocks. The monotonic one may stand still while a VM is paused from outside,
/// the wall clock may be set; what is held must be held by both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic clock.
    pub monotonic: Instant,
    /// Wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Moment {
    /// A moment from readings of both clocks. A wall clock before 1970 counts as 1970.
    pub fn from_clocks(monotonic: Instant, wall: SystemTime) -> Self {
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self { monotonic, wall_ms: since.as_millis() as u64 }
    }

    /// Time since an earlier moment: the longer of the two clocks' words.
    pub fn since(&self, earlier: Moment) -> Duration {
        let wall = Duration::from_millis(self.wall_ms.saturating_sub(earlier.wall_ms));
        self.monotonic.saturating_duration_since(earlier.monotonic).max(wall)
    }
}

/// Content of a lease's object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder, empty if free.
    pub owner: VmId,
    /// Where the holder's peers' connections come.
    pub peer: SocketAddr,
    /// Drawn for each write, so that a writer knows its own; another life of the same VM does not
    /// take it for its own.
    pub mark: u64,
    /// Term, in milliseconds.
    pub term_ms: u64,
    /// Of a free lease: who was given all that its last holder kept; empty if nobody was.
    pub heir: VmId,
}

/// What a holder knows of the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// There was never one.
    Fresh,
    /// It named this VM its heir.
    Inherited,
    /// It lapsed, or named nobody or another.
    TakenOver,
}

/// A conditional write to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite<V = Version> {
    /// Version that must be there, or `None` for no object.
    pub expected: Option<V>,
    /// What to write.
    pub record: LeaseRecord,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteEnd<V = Version> {
    /// It took effect with this version.
    Written(V),
    /// Something else was there.
    Changed,
    /// It was refused or never sent: nothing was done.
    Refused,
    /// There was no answer.
    Lost,
}

/// Who this VM is, as a holder.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name.
    pub vm: VmId,
    /// Where its peers' connections come.
    pub peer: SocketAddr,
    /// Term it asks for.
    pub term: Duration,
}

/// One lease as one VM sees it; `V` is the version of an object.
#[derive(Debug)]
pub struct Lease<V = Version> {
    candidate: Candidate,
    state: LeaseState,
    /// What was last read, and when this version was first seen.
    seen: Option<(V, LeaseRecord, Moment)>,
    /// The write on its way or unsure.
    pending: Option<Pending>,
    held: Option<Held<V>>,
    retakes_own: bool,
    /// Before this moment a holder may rely on a lease that a restored store has lost.
    claims_from: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    mark: u64,
    left: Moment,
    origin: Origin,
}

#[derive(Debug, Clone, Copy)]
struct Held<V> {
    version: V,
    since: Moment,
    origin: Origin,
}

impl<V: Copy + PartialEq> Lease<V> {
    /// A lease nothing is known of.
    pub fn new(candidate: Candidate) -> Self {
        Self {
            candidate,
            state: chart().initial(),
            seen: None,
            pending: None,
            held: None,
            retakes_own: false,
            claims_from: None,
        }
    }

    /// Takes a lease that names this VM and its peers' address at once, without waiting for its end.
    /// Only for a process that listens at that address: whoever wrote the record was this process or
    /// one that has ended.
    pub fn retaking_own(mut self) -> Self {
        self.retakes_own = true;
        self
    }

    /// Where it stands.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The fence if the lease is held at this moment. Ask right before each use.
    pub fn fence(&self, now: Moment) -> Option<V> {
        let held = self.held?;
        (now.since(held.since) < self.usable()).then_some(held.version)
    }

    /// What is known of the holder before; of a held lease.
    pub fn origin(&self) -> Option<Origin> {
        self.held.map(|held| held.origin)
    }

    /// What was last read: the holder, if there is one.
    pub fn holder(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|(_, record, _)| record).filter(|record| !record.owner.is_empty())
    }

    /// When the lease of another VM will have lapsed, unless it was renewed since it was last read. `None`
    /// if it is free, held here or was never read.
    pub fn lapses_at(&self) -> Option<Instant> {
        if self.held.is_some() {
            return None;
        }
        let is_owned = |record: &LeaseRecord| !record.owner.is_empty();
        let seen = self.seen.as_ref().filter(|(_, record, _)| is_owned(record));
        let lapses = seen.map(|(_, record, first_seen)| first_seen.monotonic + lapse_time(record));
        lapses.max(self.claims_from)
    }

    /// The store was restored from a copy. What this VM holds it keeps for the rest of its term; what it does not hold
    /// it does not take while another may still do so. Call while no write is on its way.
    pub fn on_restored(&mut self, now: Moment) {
        // Whoever holds the lease wrote before the restore, so its term began before now.
        let term_ms = self.candidate.term.as_millis() as u64;
        self.claims_from = Some(now.monotonic + lapse_time_of(term_ms));
        self.pending = None;
        self.step(now, LeaseEvent::Restored, 0);
    }

    /// Whether the object should be read before anything else.
    pub fn wants_read(&self) -> bool {
        matches!(
            self.state,
            LeaseState::Idle | LeaseState::Unsure | LeaseState::RenewUnsure | LeaseState::Restored
        )
    }

    /// The object was read, and answers the write to make, if any; `mark` is drawn anew.
    pub fn on_read(
        &mut self,
        now: Moment,
        read: Option<(V, LeaseRecord)>,
        mark: u64,
    ) -> Option<LeaseWrite<V>> {
        if self.state == LeaseState::Restored {
            return self.on_reread(now, read.map(|(version, _)| version), mark);
        }
        let event = self.classify(now, read);
        self.step(now, event, mark)
    }

    /// Renews over whatever a restored store holds, if the old term is not over.
    fn on_reread(&mut self, now: Moment, version: Option<V>, mark: u64) -> Option<LeaseWrite<V>> {
        if self.fence(now).is_none() {
            return self.step(now, LeaseEvent::Lapsed, mark);
        }
        let write = self.step(now, LeaseEvent::Reread, mark)?;
        Some(LeaseWrite { expected: version, ..write })
    }

    /// A write has ended.
    pub fn on_write_end(&mut self, now: Moment, end: WriteEnd<V>) {
        match end {
            WriteEnd::Written(version) => {
                if matches!(self.state, LeaseState::Writing | LeaseState::Renewing) {
                    self.hold(version);
                }
                self.step(now, LeaseEvent::Written, 0);
            }
            WriteEnd::Changed => drop(self.step(now, LeaseEvent::Changed, 0)),
            WriteEnd::Refused => drop(self.step(now, LeaseEvent::Refused, 0)),
            WriteEnd::Lost => drop(self.step(now, LeaseEvent::Lost, 0)),
        }
    }

    /// Time has passed; answers the renewal to make, if it is due.
    pub fn on_tick(&mut self, now: Moment, mark: u64) -> Option<LeaseWrite<V>> {
        let since = self.held?.since;
        if now.since(since) >= self.usable() {
            return self.step(now, LeaseEvent::Lapsed, mark);
        }
        if now.since(since) >= self.candidate.term / 3 {
            return self.step(now, LeaseEvent::RenewDue, mark);
        }
        None
    }

    /// This VM wants to be rid of the lease; answers the write that frees it, if it is held.
    /// `heir` was given all that this VM kept under it.
    pub fn give_up(&mut self, now: Moment, mark: u64, heir: Option<VmId>) -> Option<LeaseWrite<V>> {
        let mut write = self.step(now, LeaseEvent::GiveUp, mark)?;
        write.record.heir = heir.unwrap_or_default();
        Some(write)
    }

    /// This VM wants another to hold the lease; answers the write that names it, if the lease is held. The
    /// other finds itself named and takes it, if it retakes what is its own; if not, it lapses.
    pub fn hand_over(
        &mut self,
        now: Moment,
        mark: u64,
        vm: VmId,
        peer: SocketAddr,
    ) -> Option<LeaseWrite<V>> {
        let mut write = self.step(now, LeaseEvent::GiveUp, mark)?;
        write.record.owner = vm;
        write.record.peer = peer;
        Some(write)
    }

    fn hold(&mut self, version: V) {
        if let Some(Pending { left, origin, mark }) = self.pending {
            self.held = Some(Held { version, since: left, origin });
            let record = self.write(self.candidate.vm.clone(), mark).record;
            self.seen = Some((version, record, left));
        }
    }

    fn usable(&self) -> Duration {
        self.candidate.term * 7 / 8
    }

    fn classify(&mut self, now: Moment, read: Option<(V, LeaseRecord)>) -> LeaseEvent {
        let may_claim = self.claims_from.is_none_or(|from| now.monotonic >= from);
        let Some((version, record)) = read else {
            self.seen = None;
            return if may_claim { LeaseEvent::Free } else { LeaseEvent::Others };
        };
        let first_seen = match &self.seen {
            Some((seen, _, at)) if *seen == version => *at,
            _ => now,
        };
        self.seen = Some((version, record.clone(), first_seen));
        let own = self.pending.is_some_and(|pending| pending.mark == record.mark)
            && record.owner == self.candidate.vm;
        if own {
            self.hold(version);
            return LeaseEvent::OwnFound;
        }
        if self.held.is_some_and(|held| held.version == version) {
            return LeaseEvent::StillHeld;
        }
        if !may_claim {
            return LeaseEvent::Others;
        }
        if record.owner.is_empty() {
            return LeaseEvent::Free;
        }
        let names_own = record.owner == self.candidate.vm && record.peer == self.candidate.peer;
        if self.retakes_own && names_own {
            return LeaseEvent::OthersLapsed;
        }
        let seen_for = now.monotonic.saturating_duration_since(first_seen.monotonic);
        match seen_for >= lapse_time(&record) {
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
                let origin = self.held.map_or_else(|| self.next_origin(), |held| held.origin);
                self.pending = Some(Pending { mark, left: now, origin });
                Some(self.write(self.candidate.vm.clone(), mark))
            }
            LeaseAction::WriteFree => {
                self.pending = None;
                let write = self.write(VmId::new(), mark);
                // From here on nothing may be done under the lease.
                self.held = None;
                Some(write)
            }
        }
    }

    fn write(&self, owner: VmId, mark: u64) -> LeaseWrite<V> {
        let seen = self.seen.as_ref().map(|(version, ..)| *version);
        let record = LeaseRecord {
            owner,
            peer: self.candidate.peer,
            mark,
            term_ms: self.candidate.term.as_millis() as u64,
            heir: VmId::new(),
        };
        LeaseWrite { expected: self.held.map(|held| held.version).or(seen), record }
    }

    fn next_origin(&self) -> Origin {
        match &self.seen {
            None => Origin::Fresh,
            Some((_, r, _)) if r.owner.is_empty() && r.heir == self.candidate.vm => {
                Origin::Inherited
            }
            Some(_) => Origin::TakenOver,
        }
    }
}

/// How long a version of the lease must have been seen before it counts as lapsed.
fn lapse_time(record: &LeaseRecord) -> Duration {
    lapse_time_of(record.term_ms)
}

fn lapse_time_of(term_ms: u64) -> Duration {
    Duration::from_millis(term_ms) * 9 / 8
}
