//! Asks another VM to connect to an endpoint.

use super::messages::{HopNumber, RELAY_PREAMBLE, RelayRefusal, RelayReply, RelayRequest};
use super::tunnel::TunnelReader;
use crate::connection_pool::{Hop, PooledConnection};
use crate::gateway::Gateway;
use crate::metrics::KindLabel;
use crate::reply_times::MAX_TIMEOUT;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::liveness::{VM_SILENCE, enable_keepalive};
use sillbank_net::running_timer::running_timer;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of one VM's attempt, which may take the VM 160 ms.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);
/// VMs that are asked for one connection.
const MAX_ATTEMPTS: usize = 3;

/// Why no VM has connected on behalf of this one.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// No other VM is known that has not failed lately.
    #[error("no other VM can be asked")]
    NoVm,
    /// The VM that was asked last refused.
    #[error("VM {0}: {1}")]
    Refused(SocketAddr, RelayRefusal),
    /// The VM that was asked last did not answer.
    #[error("VM {0}: {1}")]
    NoAnswer(SocketAddr, String),
}

impl RelayError {
    /// Whether another VM has tried to reach the endpoint.
    pub fn is_of_endpoint(&self) -> bool {
        matches!(self, Self::Refused(_, refusal) if refusal.is_of_endpoint())
    }

    /// Whether another VM found that the endpoint refuses connections.
    pub fn endpoint_refuses(&self) -> bool {
        matches!(self, Self::Refused(_, RelayRefusal::EndpointRefuses))
    }
}

impl<W: Wire, S> Gateway<W, S> {
    /// Opens a connection to an endpoint through another VM.
    ///
    /// # Errors
    /// What the VM that was asked last replied.
    pub async fn connect_through(
        &self,
        endpoint: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, RelayError> {
        self.connect_through_another(endpoint, address, &mut Vec::new()).await
    }

    /// Opens a connection to an endpoint through a VM that is not in `tried`, and adds those that were asked.
    pub(super) async fn connect_through_another(
        &self,
        endpoint: &str,
        address: SocketAddr,
        tried: &mut Vec<SocketAddr>,
    ) -> Result<PooledConnection, RelayError> {
        let mut last_error = RelayError::NoVm;
        for _ in 0..MAX_ATTEMPTS {
            let now = Instant::now();
            let next = self.links.relays.borrow().next(tried, self.rng.next_f64(), now);
            let Some(vm) = next else { break };
            tried.push(vm);
            match self.ask(vm, endpoint, address).await {
                Ok(connection) => {
                    self.links.on_relay_worked(vm, Instant::now());
                    self.record_relayed("connected");
                    return Ok(connection);
                }
                Err(error @ RelayError::Refused(_, refusal)) if refusal.is_of_endpoint() => {
                    // The VM reaches other endpoints, so this one is at fault.
                    self.record_relayed(refusal.name());
                    return Err(error);
                }
                Err(error) => {
                    self.links.relays.borrow_mut().on_failed(vm, now);
                    self.record_relayed(match &error {
                        RelayError::Refused(_, refusal) => refusal.name(),
                        RelayError::NoVm | RelayError::NoAnswer(..) => "no_answer",
                    });
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }

    /// Whether the VM that passes a silent connection on is lost: it does not answer a new request either. It may be suspended or
    /// have lost power, which no reset tells.
    pub async fn hop_is_lost(&self, vm: SocketAddr, endpoint: &str, address: SocketAddr) -> bool {
        let Err(RelayError::NoAnswer(_, reason)) = self.ask(vm, endpoint, address).await else {
            return false;
        };
        self.links.relays.borrow_mut().on_failed(vm, Instant::now());
        self.connection_pool.close_through(vm);
        tracing::info!(%vm, reason, "links: A VM that passes connections on does not answer.");
        true
    }

    fn record_relayed(&self, end: &'static str) {
        self.metrics.relayed.get_or_create(&KindLabel { kind: end }).inc();
    }

    async fn ask(
        &self,
        vm: SocketAddr,
        endpoint: &str,
        address: SocketAddr,
    ) -> Result<PooledConnection, RelayError> {
        let hop = self.rng.next_u64();
        let request = RelayRequest::Connect {
            vm: self.settings().vm.clone(),
            endpoint: endpoint.to_owned(),
            address,
            hop,
        };
        let late = async {
            running_timer(self.reply_timeout(ATTEMPT_TIMEOUT), MAX_TIMEOUT).await;
            Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
        };
        let exchanged = futures_lite::future::or(exchange(vm, &request), late).await;
        match exchanged {
            Ok((RelayReply::Connected, stream)) => {
                self.start_relayed(vm, hop, address, stream).await.map_err(|error| {
                    RelayError::NoAnswer(vm, format!("HTTP cannot be started: {error}"))
                })
            }
            Ok((RelayReply::Refused(refusal), _)) => Err(RelayError::Refused(vm, refusal)),
            Ok((RelayReply::Vms(_), _)) => {
                Err(RelayError::NoAnswer(vm, "the reply is of another kind".to_owned()))
            }
            Err(error) => Err(RelayError::NoAnswer(vm, error.to_string())),
        }
    }

    async fn start_relayed(
        &self,
        vm: SocketAddr,
        hop: HopNumber,
        address: SocketAddr,
        stream: TcpStream,
    ) -> std::io::Result<PooledConnection> {
        let is_lost = Rc::new(Cell::new(false));
        let tunnel = TunnelReader::new(stream, is_lost.clone());
        self.connection_pool.start_relayed(address, tunnel, Hop { vm, number: hop, is_lost }).await
    }
}

/// Sends one request to another VM on a new connection. Returns the reply and the connection.
pub(super) async fn exchange(
    vm: SocketAddr,
    request: &RelayRequest,
) -> Result<(RelayReply, TcpStream), FrameError> {
    let mut stream = TcpStream::connect(vm).await?;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream, VM_SILENCE)?;
    stream.write_all(&RELAY_PREAMBLE).await?;
    write_message(&mut stream, request).await?;
    let reply = read_message(&mut stream).await?;
    Ok((reply, stream))
}

/// Asks the leader of a hall for VMs that may connect on behalf of this one.
///
/// # Errors
/// If the leader does not answer or does not lead any more.
pub(super) async fn list_vms(
    vm: VmId,
    leader: SocketAddr,
    limit: u32,
) -> Result<Vec<SocketAddr>, RelayError> {
    let late = async {
        smol::Timer::after(ATTEMPT_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    let request = RelayRequest::ListVms { vm, limit };
    match futures_lite::future::or(exchange(leader, &request), late).await {
        Ok((RelayReply::Vms(vms), _)) => Ok(vms),
        Ok((RelayReply::Refused(refusal), _)) => Err(RelayError::Refused(leader, refusal)),
        Ok((RelayReply::Connected, _)) => {
            Err(RelayError::NoAnswer(leader, "the reply is of another kind".to_owned()))
        }
        Err(error) => Err(RelayError::NoAnswer(leader, error.to_string())),
    }
}
