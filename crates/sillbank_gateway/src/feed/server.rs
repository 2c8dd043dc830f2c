//! The leader's side of the feed.

use super::messages::{
    EndpointUpdate, FeedCursor, FeedReply, FeedReplyExtension, FeedRequest, FeedRequestExtension,
    FeedUpdate,
};
use crate::freshness::LONG_POLL_WAIT;
use crate::gateway::Gateway;
use crate::links::{RELAY_PREAMBLE, serve_relay};
use crate::log_interval::LogInterval;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_fleet::prelude::*;
use sillbank_net::frames::{FrameError, read_extended_content, read_header, write_message};
use sillbank_net::metered::Metered;
use sillbank_quarantine::prelude::*;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest number of endpoint changes in one reply; the rest follows with the next request. A
/// change takes about 90 bytes, so one piece each for 60 new followers takes 0.2 s of the slowest
/// known link (20 Mbit/s), and requests run in between.
const MAX_CHANGES: usize = 100;
/// Largest number of quarantine entries in one reply, about 80 bytes each; the rest follows.
const MAX_SUSPECTS: usize = 64;
/// Largest number of suspected parts of prompts in one reply, of up to about 3 KB each; the rest follows.
const MAX_PARTS: usize = 64;
/// Largest number of endpoint limits in one reply, about 40 bytes each; the rest follows.
const MAX_LIMITS: usize = 64;
/// Idle timeout of a connection between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which refused connections are logged.
const REFUSALS_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves other VMs while the program runs.
pub async fn serve_feed<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    listener: TcpListener,
) {
    let connections = Rc::new(());
    let refusals = LogInterval::new(REFUSALS_LOG_INTERVAL);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let open = Rc::strong_count(&connections) - 1;
                let max_open = gateway.settings().max_peer_connections();
                if open >= max_open {
                    if refusals.allows(Instant::now()) {
                        tracing::warn!(%peer, max_open, "feed: Too many connections; this one is closed.");
                    }
                    continue;
                }
                let served = serve_connection(gateway.clone(), stream, connections.clone());
                gateway.executor.spawn(served).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "feed: Failed to accept a connection.");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection, which is counted as long as `counted` is held.
async fn serve_connection<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    stream: TcpStream,
    counted: Rc<()>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "feed: Failed to set TCP_NODELAY on a connection.");
    }
    let mut stream = Metered::new(stream, gateway.memory_budget.register_connection());
    let mut confirmations_sent = None;
    loop {
        let header = match or_timeout(read_header(&mut stream)).await {
            Ok(RELAY_PREAMBLE) => {
                // Connections that are passed on have a limit of their own.
                drop(counted);
                return serve_relay(&gateway, stream).await;
            }
            Ok(header) => header,
            Err(error) => {
                tracing::debug!(%error, "feed: A connection was closed.");
                return;
            }
        };
        let request = or_timeout(read_extended_content(&mut stream, header)).await;
        let result = match request {
            Ok((request, extension)) => {
                let reply = answer(&gateway, &request, &extension, &mut confirmations_sent).await;
                let cursor = known_cursor(&gateway, &request);
                let reply_extension = reply_extension(&gateway, &reply, cursor, &extension);
                write_message(&mut stream, &(reply, reply_extension)).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = result {
            tracing::debug!(%error, "feed: A connection was closed.");
            return;
        }
    }
}

/// The result of a read, or a timeout error after [`IDLE_TIMEOUT`].
async fn or_timeout<T>(read: impl Future<Output = Result<T, FrameError>>) -> Result<T, FrameError> {
    let timeout = async {
        smol::Timer::after(IDLE_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    futures_lite::future::or(read, timeout).await
}

/// Answers a request once there is something new, or after the wait of a long poll.
/// `confirmations_sent` is the number of confirmations announced before the previous answer on the
/// same connection; `None` before the first one.
async fn answer<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    request: &FeedRequest,
    extension: &FeedRequestExtension,
    confirmations_sent: &mut Option<u64>,
) -> FeedReply {
    let received_at = Instant::now();
    let platform = &gateway.platform;
    let cursor = known_cursor(gateway, request);
    if request.is_source_request {
        gateway.hall.on_source_request(received_at);
    }
    gateway.on_reported_demand(request, received_at);
    let source = match request.hall == gateway.settings().hall {
        true => UpdateSource::Member,
        false => UpdateSource::Leader,
    };
    gateway.on_reported_suspects(&request.suspects, source);
    gateway.on_reported_parts(&extension.parts, source);
    gateway.on_reported_limits(&request.limits, "another VM");
    // A confirmation between two requests of a follower must not wait until the second one times
    // out, as `OTHER_HALL_DELAY` does not cover that.
    let seen = confirmations_sent.unwrap_or(platform.confirmations());
    let may_reply = || request.is_source_request || gateway.hall.acting_fence.get().is_some();
    if may_reply() && !has_updates(gateway, request, cursor, extension) {
        let wait = async {
            smol::Timer::after(LONG_POLL_WAIT).await;
        };
        let update = futures_lite::future::or(platform.changed(), gateway.hall.report_published());
        // Followers act on the age of the confirmation, or pass it on.
        let update = futures_lite::future::or(update, platform.confirmed_after(seen));
        futures_lite::future::or(update, wait).await;
    }
    if !may_reply() {
        return FeedReply::NotLeader { leader: gateway.hall.leader.get() };
    }
    *confirmations_sent = Some(platform.confirmations());
    let now = Instant::now();
    if request.hall == gateway.settings().hall && !request.is_source_request {
        let confirmed_age = request.confirmed_age_ms.map(Duration::from_millis);
        gateway.hall.on_follower(
            &request.vm,
            request.peer,
            request.leader_score,
            confirmed_age,
            now,
        );
    }
    let catalog = has_newer_catalog(gateway, request).then(|| platform.catalog_parts()).flatten();
    let (hall_reports_seen, hall_reports) =
        gateway.hall.reports.since(cursor.map_or(0, |cursor| cursor.hall_reports), now);
    FeedReply::Update(Box::new(FeedUpdate {
        incarnation: gateway.incarnation,
        hall_reports_seen,
        holds_lease: gateway.hall.lease_fence.get().is_some(),
        follows_store: gateway.store_is_reached() && !gateway.upstream_is_fresh(now),
        hall_vms: gateway.hall.vm_count(now, gateway.leader_score()),
        held_ms: received_at.elapsed().as_millis() as u64,
        confirmed_age_ms: platform.stamp(now).catalog_age_ms,
        confirmed_at: platform.catalog_at(),
        catalog: catalog.map(|parts| (*parts).clone()),
        endpoints: endpoint_update(gateway, cursor),
        hall_reports,
        quarantine: gateway.quarantine.borrow().request_updates_since(
            cursor.map_or(0, |cursor| cursor.quarantine),
            MAX_SUSPECTS,
            now,
        ),
        limits: gateway.pushback.borrow().updates_since(
            cursor.map_or(0, |cursor| cursor.limits),
            MAX_LIMITS,
            now,
        ),
        rate_leases: gateway.grant_leases(request, now),
    }))
}

/// The follower's position, if it refers to this process.
fn known_cursor<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    request: &FeedRequest,
) -> Option<FeedCursor> {
    request.cursor.filter(|cursor| cursor.incarnation == gateway.incarnation)
}

/// Changes of suspected parts, with an update.
fn reply_extension<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    reply: &FeedReply,
    cursor: Option<FeedCursor>,
    request: &FeedRequestExtension,
) -> FeedReplyExtension {
    if matches!(reply, FeedReply::NotLeader { .. }) {
        return FeedReplyExtension::default();
    }
    let since = cursor.map_or(0, |_| request.parts_seen);
    let quarantine = gateway.quarantine.borrow();
    FeedReplyExtension { parts: quarantine.part_updates_since(since, MAX_PARTS, Instant::now()) }
}

fn has_updates<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    request: &FeedRequest,
    cursor: Option<FeedCursor>,
    extension: &FeedRequestExtension,
) -> bool {
    let newest = gateway.platform.endpoints(Directory::newest_change);
    let (urgent, urgent_parts) = gateway.quarantine.borrow().newest_urgent();
    let limits = gateway.pushback.borrow().newest_change();
    let is_new = |cursor: FeedCursor| {
        cursor.endpoints != newest
            || cursor.quarantine < urgent
            || extension.parts_seen < urgent_parts
            || cursor.limits < limits
    };
    has_newer_catalog(gateway, request)
        || cursor.is_none_or(is_new)
        || gateway.owes_lease(request, Instant::now())
}

fn has_newer_catalog<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    request: &FeedRequest,
) -> bool {
    let known = gateway.platform.catalog();
    known.is_some_and(|known| Some(known.version()) > request.catalog)
}

fn endpoint_update<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    cursor: Option<FeedCursor>,
) -> Option<EndpointUpdate> {
    let platform = &gateway.platform;
    let since = cursor.map_or(0, |cursor| cursor.endpoints);
    let difference =
        |directory: &Directory| directory.difference(Instant::now(), since, MAX_CHANGES);
    platform.knows_endpoints().then(|| EndpointUpdate {
        at: platform.endpoints_at(),
        difference: platform.endpoints(difference),
    })
}
