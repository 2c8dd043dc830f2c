//! Connects to endpoints on behalf of other VMs.

use super::messages::{HopNumber, RelayRefusal, RelayReply, RelayRequest};
use super::tunnel::{TunnelActivity, pass_back, pass_forward};
use crate::gateway::{Gateway, LifecycleState};
use crate::metrics::KindLabel;
use crate::store::MetadataStore;
use crate::vm_limits::LimitState;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_links::prelude::*;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::liveness::{ENDPOINT_SILENCE, enable_keepalive};
use sillbank_net::metered::Metered;
use smol::io::split;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit for a request to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit of connections to other endpoints after a failure. The VM that asked waits for both.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(60);
/// Other endpoints that are tried: some of them may have failed too.
const MAX_CONTROLS: usize = 4;
/// How often a tunnel checks whether it is to be closed because this VM stops.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of VMs in one list.
const MAX_LISTED_VMS: u32 = 16;

/// Serves one connection of another VM, whose preamble was read.
pub async fn serve_relay<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    mut vm_stream: Metered<TcpStream>,
) {
    let late = async {
        smol::Timer::after(REQUEST_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    let request = futures_lite::future::or(read_message(&mut vm_stream), late).await;
    let served = match request {
        Ok(RelayRequest::ListVms { limit, .. }) => {
            write_message(&mut vm_stream, &list_vms(gateway, limit)).await
        }
        Ok(RelayRequest::Connect { vm, endpoint, address, hop }) => {
            let wanted = Wanted { vm, endpoint, address, hop };
            serve_connect(gateway, vm_stream, &wanted).await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = served {
        tracing::debug!(%error, "links: A connection of another VM was closed.");
    }
}

/// VMs of this hall that may connect on behalf of others.
fn list_vms<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, limit: u32) -> RelayReply {
    if gateway.hall.acting_fence.get().is_none() {
        return RelayReply::Refused(RelayRefusal::NotLeader);
    }
    RelayReply::Vms(gateway.fit_vms(limit.min(MAX_LISTED_VMS) as usize, Instant::now()))
}

/// A connection that another VM asks for.
struct Wanted {
    vm: VmId,
    endpoint: EndpointId,
    address: SocketAddr,
    hop: HopNumber,
}

async fn serve_connect<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    mut vm_stream: Metered<TcpStream>,
    wanted: &Wanted,
) -> Result<(), FrameError> {
    let (endpoint_stream, activity) = match connect(gateway, wanted).await {
        Ok(connected) => connected,
        Err(refusal) => {
            record(gateway, refusal.name());
            tracing::info!(
                vm = wanted.vm,
                endpoint = wanted.endpoint,
                hop = wanted.hop,
                reason = %refusal,
                "links: Refused to connect for another VM."
            );
            return write_message(&mut vm_stream, &RelayReply::Refused(refusal)).await;
        }
    };
    record(gateway, "connected");
    tracing::info!(
        vm = wanted.vm,
        endpoint = wanted.endpoint,
        hop = wanted.hop,
        "links: Connected for another VM."
    );
    write_message(&mut vm_stream, &RelayReply::Connected).await?;
    let (from_vm, to_vm) = split(vm_stream);
    let back = pass_back(endpoint_stream.clone(), to_vm, &activity);
    let forward = pass_forward(from_vm, endpoint_stream, &activity);
    // The VM closes its side when its caller leaves; the endpoint has to see that at once.
    let passed = futures_lite::future::or(back, forward);
    let idle = async {
        idle_while_stopping(gateway, &activity).await;
        Ok(())
    };
    Ok(futures_lite::future::or(passed, idle).await?)
}

/// Waits until this VM stops and a tunnel is idle: the VM that asked for it must not send the next request through it.
async fn idle_while_stopping<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    activity: &TunnelActivity,
) {
    loop {
        smol::Timer::after(IDLE_POLL_INTERVAL).await;
        let is_stopping = gateway.lifecycle.get() != LifecycleState::Serving;
        if is_stopping && activity.is_idle(Instant::now()) {
            return;
        }
    }
}

fn record<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, end: &'static str) {
    gateway.metrics.relayed_for_others.get_or_create(&KindLabel { kind: end }).inc();
}

async fn connect<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    wanted: &Wanted,
) -> Result<(TcpStream, Rc<TunnelActivity>), RelayRefusal> {
    let settings = gateway.settings();
    if !settings.mechanisms.relay {
        return Err(RelayRefusal::Disabled);
    }
    let record = gateway.platform.endpoints(|all| all.get(&wanted.endpoint).cloned());
    let record = record.filter(|record| record.address == wanted.address);
    let record = record.ok_or(RelayRefusal::NotListed)?;
    if gateway.links.transit(&record.hall, &record.id) == Transit::Relayed {
        return Err(RelayRefusal::LinkLost);
    }
    let is_serving = gateway.lifecycle.get() == LifecycleState::Serving;
    if !is_serving || gateway.limit_state() == LimitState::Full {
        return Err(RelayRefusal::Busy);
    }
    let activity = gateway.links.try_pass_on(&settings, Instant::now());
    let activity = activity.ok_or(RelayRefusal::Busy)?;
    match open(record.address, CONNECT_TIMEOUT).await {
        Ok(stream) => Ok((stream, activity)),
        Err(refusal) if reaches_others(gateway, &record).await => Err(refusal),
        Err(_) => {
            gateway.links.on_trouble(&record.id);
            Err(RelayRefusal::LinkLost)
        }
    }
}

/// Whether this VM reaches another endpoint. If not, it may have lost its links as well, and cannot vouch that the endpoint
/// is at fault: VMs that were cut at the same moment would confirm each other's belief.
async fn reaches_others<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    failed: &EndpointRecord,
) -> bool {
    let mut others = gateway.sample_addresses(Some(&failed.hall), &failed.id, MAX_CONTROLS);
    if others.len() < MAX_CONTROLS {
        others = gateway.sample_addresses(None, &failed.id, MAX_CONTROLS);
    }
    let attempts: Vec<_> = others
        .into_iter()
        .map(|address| gateway.executor.spawn(open(address, CONTROL_TIMEOUT)))
        .collect();
    for attempt in attempts {
        if attempt.await.is_ok() {
            return true;
        }
    }
    false
}

async fn open(address: SocketAddr, timeout: Duration) -> Result<TcpStream, RelayRefusal> {
    let late = async {
        smol::Timer::after(timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = futures_lite::future::or(TcpStream::connect(address), late).await;
    let stream = stream.map_err(|error| match error.kind() {
        std::io::ErrorKind::TimedOut => RelayRefusal::EndpointSilent,
        _ => RelayRefusal::EndpointRefuses,
    })?;
    let options =
        stream.set_nodelay(true).and_then(|()| enable_keepalive(&stream, ENDPOINT_SILENCE));
    if let Err(error) = options {
        tracing::debug!("links: Options of a connection to {address} cannot be set: {error}.");
    }
    Ok(stream)
}
