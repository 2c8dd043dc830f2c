//! Bytes that a process keeps for its peers, counted and bounded over all of them.
//!
//! Two things are kept: what waits until a peer reads it ([`UnreadBytes`], one for each connection), and
//! what is held while it is worked on ([`KeptShare`]: bodies of requests, answers that are not whole yet).
//! A peer that reads nothing must not take the memory of those that read, so when the bound is reached
//! the connections on which nothing was read for longest are cut.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A connection on which nothing was read for that long gives way to a new request. Below it the new
/// one is turned away: a network that loses packets holds a reader up for a second (the first time a
/// lost packet is sent again) and two of them for three.
const STALLED: Duration = Duration::from_secs(3);

/// Number of a connection within its process.
type ConnectionId = u64;

/// The bytes that a process keeps. Clones are the same count.
#[derive(Debug, Clone)]
pub struct KeptBytes {
    ledger: Rc<Ledger>,
}

#[derive(Debug)]
struct Ledger {
    bound_bytes: Cell<usize>,
    kept_bytes: Cell<usize>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    newest: Cell<ConnectionId>,
    cut: Cell<u64>,
    passed_bytes: Cell<u64>,
}

/// What waits on one connection.
#[derive(Debug)]
struct Connection {
    /// Bytes of a body that the server has not taken yet.
    waiting_bytes: Cell<usize>,
    /// Bytes that the server has taken and not written yet.
    taken_bytes: Cell<usize>,
    /// When the peer last took some, or had nothing to take.
    read_at: Cell<Instant>,
    is_cut: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Connection {
    fn unread_bytes(&self) -> usize {
        self.waiting_bytes.get() + self.taken_bytes.get()
    }
}

impl Default for KeptBytes {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl KeptBytes {
    /// A count that is bounded by `bound_bytes`.
    pub fn new(bound_bytes: usize) -> Self {
        let ledger = Ledger {
            bound_bytes: Cell::new(bound_bytes),
            kept_bytes: Cell::new(0),
            connections: RefCell::default(),
            newest: Cell::new(0),
            cut: Cell::new(0),
            passed_bytes: Cell::new(0),
        };
        Self { ledger: Rc::new(ledger) }
    }

    /// Changes the bound; it holds from the next byte on.
    pub fn set_bound(&self, bound_bytes: usize) {
        self.ledger.bound_bytes.set(bound_bytes);
    }

    /// Most bytes that are kept.
    pub fn bound_bytes(&self) -> usize {
        self.ledger.bound_bytes.get()
    }

    /// Bytes that are kept now.
    pub fn kept_bytes(&self) -> usize {
        self.ledger.kept_bytes.get()
    }

    /// Connections that are open now.
    pub fn connections(&self) -> usize {
        self.ledger.connections.borrow().len()
    }

    /// Connections that were cut as their peers read nothing while the bound was reached.
    pub fn cut(&self) -> u64 {
        self.ledger.cut.get()
    }

    /// Bytes that went to peers and came from them since the start.
    pub fn passed_bytes(&self) -> u64 {
        self.ledger.passed_bytes.get()
    }

    /// Counts what waits on a new connection.
    pub fn open(&self) -> UnreadBytes {
        let connection = Rc::new(Connection {
            waiting_bytes: Cell::new(0),
            taken_bytes: Cell::new(0),
            read_at: Cell::new(Instant::now()),
            is_cut: Cell::new(false),
            waker: RefCell::default(),
        });
        let id = self.ledger.newest.get() + 1;
        self.ledger.newest.set(id);
        self.ledger.connections.borrow_mut().insert(id, connection.clone());
        UnreadBytes {
            open: Rc::new(OpenConnection { id, connection, ledger: self.ledger.clone() }),
        }
    }

    /// Keeps `bytes` while they are worked on, if they fit; connections that have stalled give way.
    pub fn try_keep(&self, bytes: usize) -> Option<KeptShare> {
        let mut share = KeptShare { ledger: self.ledger.clone(), bytes: 0 };
        share.try_grow(bytes).then_some(share)
    }
}

impl Ledger {
    fn add(&self, bytes: usize) {
        self.kept_bytes.set(self.kept_bytes.get().saturating_add(bytes));
    }

    fn remove(&self, bytes: usize) {
        self.kept_bytes.set(self.kept_bytes.get().saturating_sub(bytes));
    }

    fn fits(&self, more_bytes: usize) -> bool {
        self.kept_bytes.get().saturating_add(more_bytes) <= self.bound_bytes.get()
    }

    /// Cuts connections on which nothing was read for longest, and for at least `stalled`, until
    /// `more_bytes` fit.
    fn make_room(&self, more_bytes: usize, stalled: Duration) {
        while !self.fits(more_bytes) {
            let Some(connection) = self.longest_unread() else { return };
            let unread_for = connection.read_at.get().elapsed();
            if unread_for < stalled {
                return;
            }
            self.cut_off(&connection, unread_for);
        }
    }

    fn longest_unread(&self) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        let unread = connections.values().filter(|c| !c.is_cut.get() && c.unread_bytes() > 0);
        unread.min_by_key(|connection| connection.read_at.get()).cloned()
    }

    fn cut_off(&self, connection: &Connection, unread_for: Duration) {
        tracing::info!(
            unread_bytes = connection.unread_bytes(),
            unread_for_ms = unread_for.as_millis() as u64,
            kept_bytes = self.kept_bytes.get(),
            bound_bytes = self.bound_bytes.get(),
            "net: A peer that does not read is cut off."
        );
        connection.is_cut.set(true);
        self.cut.set(self.cut.get() + 1);
        self.remove(connection.unread_bytes());
        connection.waiting_bytes.set(0);
        connection.taken_bytes.set(0);
        if let Some(waker) = connection.waker.take() {
            waker.wake();
        }
    }
}

/// What waits on one connection until its peer reads it. Clones are the same count.
#[derive(Debug, Clone)]
pub struct UnreadBytes {
    open: Rc<OpenConnection>,
}

#[derive(Debug)]
struct OpenConnection {
    id: ConnectionId,
    connection: Rc<Connection>,
    ledger: Rc<Ledger>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.ledger.remove(self.connection.unread_bytes());
        self.ledger.connections.borrow_mut().remove(&self.id);
    }
}

impl UnreadBytes {
    /// Bytes of a body wait to be taken by the server.
    pub fn on_waiting(&self, bytes: usize) {
        let OpenConnection { connection, ledger, .. } = &*self.open;
        if connection.is_cut.get() || bytes == 0 {
            return;
        }
        if connection.unread_bytes() == 0 {
            connection.read_at.set(Instant::now());
        }
        connection.waiting_bytes.set(connection.waiting_bytes.get() + bytes);
        ledger.add(bytes);
        ledger.make_room(0, Duration::ZERO);
    }

    /// The server took bytes that waited.
    pub fn on_taken(&self, bytes: usize) {
        let connection = &self.open.connection;
        let bytes = bytes.min(connection.waiting_bytes.get());
        connection.waiting_bytes.set(connection.waiting_bytes.get() - bytes);
        connection.taken_bytes.set(connection.taken_bytes.get() + bytes);
    }

    /// The rest of a body will not be taken.
    pub fn on_dropped(&self) {
        let waiting = self.open.connection.waiting_bytes.take();
        self.open.ledger.remove(waiting);
    }

    /// The peer took bytes. Heads and framing count like the body, so that a peer may be held to have
    /// read some hundred bytes more of it than it has, until it has read all.
    pub fn on_read(&self, bytes: usize) {
        let OpenConnection { connection, ledger, .. } = &*self.open;
        let read = bytes.min(connection.taken_bytes.get());
        connection.taken_bytes.set(connection.taken_bytes.get() - read);
        connection.read_at.set(Instant::now());
        ledger.remove(read);
    }

    /// Bytes passed over the connection, either way.
    pub fn on_passed(&self, bytes: usize) {
        let passed = &self.open.ledger.passed_bytes;
        passed.set(passed.get() + bytes as u64);
    }

    /// Number of the connection among those that are counted together.
    pub fn number(&self) -> u64 {
        self.open.id
    }

    /// Bytes that wait on this connection.
    pub fn unread_bytes(&self) -> usize {
        self.open.connection.unread_bytes()
    }

    /// Whether the connection was cut as its peer read nothing.
    pub fn is_cut(&self) -> bool {
        self.open.connection.is_cut.get()
    }

    /// Ready when the connection is to be cut.
    pub fn poll_cut(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_cut() {
            return Poll::Ready(());
        }
        self.open.connection.waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

/// Bytes that are kept until this is dropped.
#[derive(Debug)]
pub struct KeptShare {
    ledger: Rc<Ledger>,
    bytes: usize,
}

impl KeptShare {
    /// Keeps more bytes, if they fit; connections that have stalled give way.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_resize(self.bytes.saturating_add(bytes))
    }

    /// Keeps as many bytes as said, if they fit; connections that have stalled give way.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        self.ledger.make_room(more, STALLED);
        let fits = more == 0 || self.ledger.fits(more);
        if fits {
            self.ledger.add(more);
            self.ledger.remove(self.bytes.saturating_sub(bytes));
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for KeptShare {
    fn drop(&mut self) {
        self.ledger.remove(self.bytes);
    }
}
