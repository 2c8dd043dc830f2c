//! Stops servers in two stages: connections are closed as their callers learn of it, then all that are left.

use crate::activity::{Activity, Phase};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// Time for which a stop waits for the first byte on a new connection.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(1_000);
/// How often a connection of a stopping server that has a request checks whether it is served.
const PHASE_POLL: Duration = Duration::from_millis(20);

/// Tells servers to stop.
#[derive(Debug)]
pub struct Stopper {
    stop: smol::channel::Sender<Infallible>,
    finish: smol::channel::Sender<Infallible>,
    token: StopToken,
}

/// What servers know of a [`Stopper`].
#[derive(Debug, Clone)]
pub struct StopToken {
    stop: smol::channel::Receiver<Infallible>,
    finish: smol::channel::Receiver<Infallible>,
    open: Rc<Cell<usize>>,
    /// Those of the open connections on which nothing arrived for [`FIRST_BYTE_TIME`].
    unused: Rc<Cell<usize>>,
}

impl Default for Stopper {
    fn default() -> Self {
        let (stop, stop_receiver) = smol::channel::bounded(1);
        let (finish, finish_receiver) = smol::channel::bounded(1);
        let token = StopToken {
            stop: stop_receiver,
            finish: finish_receiver,
            open: Rc::default(),
            unused: Rc::default(),
        };
        Self { stop, finish, token }
    }
}

impl Stopper {
    /// Returns a token that learns of the stop.
    pub fn token(&self) -> StopToken {
        self.token.clone()
    }

    /// Begins the stop: replies ask callers to close their connections, and idle ones are closed.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Begins the final stage: listeners are closed, and so are connections on which no request is being served.
    pub fn finish(&self) {
        self.stop.close();
        self.finish.close();
    }
}

/// Counts a connection until dropped.
#[derive(Debug)]
pub struct CountedConnection(Rc<Cell<usize>>);

impl CountedConnection {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl StopToken {
    /// Waits for the begin of the stop.
    pub async fn stopped(&self) {
        if let Ok(never) = self.stop.recv().await {
            match never {}
        }
    }

    /// Whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_closed()
    }

    /// Waits for the final stage of the stop.
    pub async fn final_stage(&self) {
        if let Ok(never) = self.finish.recv().await {
            match never {}
        }
    }

    /// Whether the final stage has begun.
    pub fn is_final(&self) -> bool {
        self.finish.is_closed()
    }

    /// Number of open connections of all servers with this token.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Number of open connections that a stop waits for: all but those on which no request is expected any more.
    pub fn awaited_connections(&self) -> usize {
        self.open.get() - self.unused.get()
    }

    /// Counts a connection as open until the result is dropped.
    pub fn count_connection(&self) -> CountedConnection {
        CountedConnection::new(&self.open)
    }

    /// Waits until the stop closes a connection. Returns its phase.
    pub(crate) async fn closes(&self, activity: &Activity) -> Phase {
        self.stopped().await;
        let idle = async {
            let mut unused = None;
            loop {
                match activity.phase() {
                    phase @ Phase::Idle { .. } => return phase,
                    Phase::Opened { since } if since.elapsed() >= FIRST_BYTE_TIME => {
                        unused.get_or_insert_with(|| CountedConnection::new(&self.unused));
                    }
                    _ => unused = None,
                }
                smol::Timer::after(PHASE_POLL).await;
            }
        };
        let ended = async {
            self.final_stage().await;
            while matches!(activity.phase(), Phase::Serving | Phase::WritingRest | Phase::Closing) {
                smol::Timer::after(PHASE_POLL).await;
            }
            activity.phase()
        };
        futures_lite::future::or(idle, ended).await
    }
}
