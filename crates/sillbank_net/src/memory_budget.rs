//! Limit on the memory that a process uses for the data of its peers.
//!
//! Two kinds of data are counted: bytes that wait until a peer reads them ([`UnreadBytes`], one per connection), and
//! bytes held during processing ([`MemoryReservation`]: bodies of requests, incomplete answers). A peer that reads
//! nothing must not use up the memory of those that read, so at the limit the connections that have been stalled for
//! longest are cut.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A connection that has been stalled for this long is cut in favour of a new request. If none has, the new request is
/// refused. Packet loss alone stalls a reader for one second (the first retransmission), and two losses for three.
const MIN_STALL: Duration = Duration::from_secs(3);

/// First bytes of an answer, which may use the whole budget. What comes after them is its large part.
const SMALL_ANSWER_BYTES: usize = 64 << 10;
/// The large parts of all answers together may use the budget divided by this, so that small answers and new requests find
/// memory however long and many the large ones are.
const LARGE_DIVISOR: usize = 2;

/// Number of a connection within its process.
type ConnectionId = u64;

/// Memory budget of a process. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    state: Rc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    limit_bytes: Cell<usize>,
    used_bytes: Cell<usize>,
    /// Large parts of answers, which count as used too.
    large_bytes: Cell<usize>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    last_id: Cell<ConnectionId>,
    cut_connections: Cell<u64>,
    transferred_bytes: Cell<u64>,
}

/// Unread bytes of one connection.
#[derive(Debug)]
struct Connection {
    /// Bytes of a body that the server has not taken yet.
    queued_bytes: Cell<usize>,
    /// Bytes that the server has taken but not written to the connection yet.
    taken_bytes: Cell<usize>,
    /// When the peer last read bytes, or last had nothing to read.
    last_read: Cell<Instant>,
    is_cut: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    fn unread_bytes(&self) -> usize {
        self.queued_bytes.get() + self.taken_bytes.get()
    }
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let state = BudgetState {
            limit_bytes: Cell::new(limit_bytes),
            used_bytes: Cell::new(0),
            large_bytes: Cell::new(0),
            connections: RefCell::default(),
            last_id: Cell::new(0),
            cut_connections: Cell::new(0),
            transferred_bytes: Cell::new(0),
        };
        Self { state: Rc::new(state) }
    }

    /// Changes the limit. It applies from the next byte on.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.state.limit_bytes.set(limit_bytes);
    }

    /// Returns the limit.
    pub fn limit_bytes(&self) -> usize {
        self.state.limit_bytes.get()
    }

    /// Returns the number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.state.used_bytes.get()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.borrow().len()
    }

    /// Returns the number of connections that were cut because the limit was reached and their peers did not read.
    pub fn cut_connections(&self) -> u64 {
        self.state.cut_connections.get()
    }

    /// Returns the number of bytes sent to and received from peers since the start.
    pub fn transferred_bytes(&self) -> u64 {
        self.state.transferred_bytes.get()
    }

    /// Registers a new connection to count its unread bytes.
    pub fn register_connection(&self) -> UnreadBytes {
        let connection = Rc::new(Connection {
            queued_bytes: Cell::new(0),
            taken_bytes: Cell::new(0),
            last_read: Cell::new(Instant::now()),
            is_cut: Cell::new(false),
            waker: RefCell::default(),
        });
        let id = self.state.last_id.get() + 1;
        self.state.last_id.set(id);
        self.state.connections.borrow_mut().insert(id, connection.clone());
        UnreadBytes {
            registration: Rc::new(Registration { id, connection, state: self.state.clone() }),
        }
    }

    /// Reserves `bytes` if they fit the budget. Stalled connections are cut to make them fit.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation =
            MemoryReservation { state: self.state.clone(), bytes: 0, large_bytes: 0 };
        reservation.try_grow(bytes).then_some(reservation)
    }
}

impl BudgetState {
    fn add(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get().saturating_add(bytes));
    }

    fn remove(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get().saturating_sub(bytes));
    }

    fn fits(&self, more_bytes: usize) -> bool {
        self.used_bytes.get().saturating_add(more_bytes) <= self.limit_bytes.get()
    }

    /// Cuts connections that have been stalled for at least `min_stall`, the longest stalled first, until `more_bytes`
    /// fit.
    fn cut_stalled(&self, more_bytes: usize, min_stall: Duration) {
        while !self.fits(more_bytes) {
            let Some(connection) = self.longest_stalled() else { return };
            let unread_for = connection.last_read.get().elapsed();
            if unread_for < min_stall {
                return;
            }
            self.cut(&connection, unread_for);
        }
    }

    fn longest_stalled(&self) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        let unread = connections.values().filter(|c| !c.is_cut.get() && c.unread_bytes() > 0);
        unread.min_by_key(|connection| connection.last_read.get()).cloned()
    }

    fn cut(&self, connection: &Connection, unread_for: Duration) {
        tracing::info!(
            unread_bytes = connection.unread_bytes(),
            unread_for_ms = unread_for.as_millis() as u64,
            kept_bytes = self.used_bytes.get(),
            bound_bytes = self.limit_bytes.get(),
            "net: A connection is cut because its peer does not read."
        );
        connection.is_cut.set(true);
        self.cut_connections.set(self.cut_connections.get() + 1);
        self.remove(connection.unread_bytes());
        connection.queued_bytes.set(0);
        connection.taken_bytes.set(0);
        if let Some(waker) = connection.waker.take() {
            waker.wake();
        }
    }
}

/// Counter of the bytes on one connection that its peer has not read. Clones share the same counter.
#[derive(Debug, Clone)]
pub struct UnreadBytes {
    registration: Rc<Registration>,
}

#[derive(Debug)]
struct Registration {
    id: ConnectionId,
    connection: Rc<Connection>,
    state: Rc<BudgetState>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.state.remove(self.connection.unread_bytes());
        self.state.connections.borrow_mut().remove(&self.id);
    }
}

impl UnreadBytes {
    /// Counts bytes of a body that wait to be taken by the server.
    pub fn on_queued(&self, bytes: usize) {
        let Registration { connection, state, .. } = &*self.registration;
        if connection.is_cut.get() || bytes == 0 {
            return;
        }
        if connection.unread_bytes() == 0 {
            connection.last_read.set(Instant::now());
        }
        connection.queued_bytes.set(connection.queued_bytes.get() + bytes);
        state.add(bytes);
        // These bytes are in memory already, so at the limit a connection is cut however short its stall.
        state.cut_stalled(0, Duration::ZERO);
    }

    /// Records that the server took queued bytes.
    pub fn on_taken(&self, bytes: usize) {
        let connection = &self.registration.connection;
        let bytes = bytes.min(connection.queued_bytes.get());
        connection.queued_bytes.set(connection.queued_bytes.get() - bytes);
        connection.taken_bytes.set(connection.taken_bytes.get() + bytes);
    }

    /// Records that the rest of a body will not be taken.
    pub fn on_dropped(&self) {
        let queued = self.registration.connection.queued_bytes.take();
        self.registration.state.remove(queued);
    }

    /// Records that bytes were written to the connection, which counts as read by the peer. Heads and framing count
    /// like the body, so a few hundred bytes of the body may count as read too early.
    pub fn on_written(&self, bytes: usize) {
        let Registration { connection, state, .. } = &*self.registration;
        let read = bytes.min(connection.taken_bytes.get());
        connection.taken_bytes.set(connection.taken_bytes.get() - read);
        connection.last_read.set(Instant::now());
        state.remove(read);
    }

    /// Counts bytes transferred over the connection in either direction.
    pub fn on_transferred(&self, bytes: usize) {
        let total_bytes = &self.registration.state.transferred_bytes;
        total_bytes.set(total_bytes.get() + bytes as u64);
    }

    /// Returns the number of the connection, unique within its budget.
    pub fn connection_id(&self) -> u64 {
        self.registration.id
    }

    /// Returns the number of unread bytes of this connection.
    pub fn unread_bytes(&self) -> usize {
        self.registration.connection.unread_bytes()
    }

    /// Whether the connection was cut because its peer did not read.
    pub fn is_cut(&self) -> bool {
        self.registration.connection.is_cut.get()
    }

    /// Completes when the connection must be closed.
    pub fn poll_cut(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_cut() {
            return Poll::Ready(());
        }
        self.registration.connection.waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

/// Reservation of a part of a [`MemoryBudget`], released when dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    state: Rc<BudgetState>,
    bytes: usize,
    /// Part of `bytes` that counts as the large part of an answer.
    large_bytes: usize,
}

impl MemoryReservation {
    /// Reserves more bytes if they fit the budget. Stalled connections are cut to make them fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_resize(self.bytes.saturating_add(bytes))
    }

    /// Reserves more bytes for an answer as [`Self::try_grow`] does. Those beyond its first 64 KiB must also fit the share of
    /// the budget for large parts of answers.
    pub fn try_grow_answer(&mut self, bytes: usize) -> bool {
        let large_bytes = self.bytes.saturating_add(bytes).saturating_sub(SMALL_ANSWER_BYTES);
        let of_others = self.state.large_bytes.get().saturating_sub(self.large_bytes);
        let of_all = of_others.saturating_add(large_bytes);
        let fits = large_bytes == 0 || of_all <= self.state.limit_bytes.get() / LARGE_DIVISOR;
        if !fits || !self.try_grow(bytes) {
            return false;
        }
        self.state.large_bytes.set(of_all);
        self.large_bytes = large_bytes;
        true
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the reservation if it fits the budget. Stalled connections are cut to make it fit.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        self.state.cut_stalled(more, MIN_STALL);
        let fits = more == 0 || self.state.fits(more);
        if fits {
            self.state.add(more);
            self.state.remove(self.bytes.saturating_sub(bytes));
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.state.remove(self.bytes);
        let of_others = self.state.large_bytes.get().saturating_sub(self.large_bytes);
        self.state.large_bytes.set(of_others);
    }
}
