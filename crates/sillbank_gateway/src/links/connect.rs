//! Opens connections to endpoints, directly or through another VM.

use super::relay_client::RelayError;
use crate::connection_pool::PooledConnection;
use crate::gateway::Gateway;
use crate::wire::Wire;
use futures_lite::future::or;
use sillbank_core::prelude::*;
use sillbank_links::prelude::*;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Time without a direct connection after which another VM is asked as well. Halls are a fraction of a millisecond apart.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Why there is no connection to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The endpoint is not reached.
    #[error("no connection: {0}")]
    Endpoint(String),
    /// This VM has lost its link to the endpoint, and no other VM connects on its behalf.
    #[error("no connection: {0}")]
    Link(String),
}

impl<W: Wire, S> Gateway<W, S> {
    /// The hall of an endpoint, if that is listed.
    pub fn hall_of(&self, endpoint: &str) -> Option<HallId> {
        self.platform.endpoints(|all| all.get(endpoint).map(|record| record.hall.clone()))
    }

    /// How a connection to an endpoint is opened.
    pub fn transit_to(&self, endpoint: &str) -> Transit {
        if !self.settings.borrow().mechanisms.relay {
            return Transit::Direct;
        }
        self.hall_of(endpoint).map_or(Transit::Direct, |hall| self.links.transit(&hall, endpoint))
    }

    /// A reply arrived on a connection. The first one on a direct connection proves the link.
    pub fn on_direct_reply(&self, endpoint: &str, connection: &PooledConnection) {
        if connection.reused || connection.is_relayed() {
            return;
        }
        if let Some(hall) = self.hall_of(endpoint) {
            let mut monitor = self.links.monitor.borrow_mut();
            monitor.on_reached(&hall, endpoint, Instant::now());
        }
    }

    /// Whether the link under an open connection is lost: it is direct, and connections to the
    /// endpoint's hall are not any more.
    pub fn has_lost_link(&self, endpoint: &str, transit: Option<Transit>) -> bool {
        transit == Some(Transit::Direct)
            && self.hall_of(endpoint).is_some_and(|hall| self.links.is_hall_lost(&hall))
    }

    /// A send over such a connection failed; if it was direct, the link is checked.
    pub fn on_send_trouble(&self, endpoint: &str, transit: Option<Transit>) {
        if transit == Some(Transit::Direct) {
            self.links.on_trouble(endpoint);
        }
    }

    /// Opens a connection to an endpoint. The other way is tried too if the preferred one fails or is slow.
    ///
    /// # Errors
    /// Why there is no connection.
    pub async fn open_connection(
        &self,
        endpoint: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, OpenError> {
        if !self.settings.borrow().mechanisms.relay {
            let direct = self.connection_pool.open(address).await;
            return direct.map_err(|error| OpenError::Endpoint(error.to_string()));
        }
        match self.transit_to(endpoint) {
            Transit::Direct => self.open_directly_first(endpoint, address).await,
            Transit::Relayed => self.open_relayed_first(endpoint, address).await,
        }
    }

    async fn open_directly_first(
        &self,
        endpoint: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, OpenError> {
        let mut direct = pin!(self.connection_pool.open(address));
        let delay = async {
            smol::Timer::after(RELAY_DELAY).await;
            None
        };
        let opened = match or(async { Some(direct.as_mut().await) }, delay).await {
            Some(Ok(connection)) => return Ok(connection),
            Some(Err(error)) => {
                let relayed = self.connect_through(endpoint, address).await;
                relayed.map_err(|relay_error| (error, relay_error))
            }
            None => first_ok(direct, self.connect_through(endpoint, address)).await,
        };
        if opened.as_ref().is_ok_and(PooledConnection::is_relayed) {
            self.links.on_trouble(endpoint);
        }
        opened.map_err(|(error, relay_error)| {
            OpenError::Endpoint(match relay_error {
                RelayError::NoVm => error.to_string(),
                relay_error => format!("{error}; through another VM: {relay_error}"),
            })
        })
    }

    async fn open_relayed_first(
        &self,
        endpoint: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, OpenError> {
        let relay_error = match self.connect_through(endpoint, address).await {
            Ok(connection) => return Ok(connection),
            Err(error) if error.is_of_endpoint() => {
                return Err(OpenError::Endpoint(error.to_string()));
            }
            Err(error) => error,
        };
        let direct = self.connection_pool.open(address).await;
        direct
            .map_err(|error| OpenError::Link(format!("{error}; through another VM: {relay_error}")))
    }
}

/// The result of whichever succeeds first, or both errors.
async fn first_ok<T, A, B>(
    first: impl Future<Output = Result<T, A>>,
    second: impl Future<Output = Result<T, B>>,
) -> Result<T, (A, B)> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    let (mut first_error, mut second_error) = (None, None);
    std::future::poll_fn(|context| {
        if first_error.is_none()
            && let Poll::Ready(ended) = first.as_mut().poll(context)
        {
            match ended {
                Ok(value) => return Poll::Ready(Ok(value)),
                Err(error) => first_error = Some(error),
            }
        }
        if second_error.is_none()
            && let Poll::Ready(ended) = second.as_mut().poll(context)
        {
            match ended {
                Ok(value) => return Poll::Ready(Ok(value)),
                Err(error) => second_error = Some(error),
            }
        }
        match (first_error.take(), second_error.take()) {
            (Some(first), Some(second)) => Poll::Ready(Err((first, second))),
            (first, second) => {
                (first_error, second_error) = (first, second);
                Poll::Pending
            }
        }
    })
    .await
}
