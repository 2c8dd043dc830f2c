//! The follower's side of the feed: VMs follow their leader, leaders follow those of other halls.

use super::followed_halls::FollowedHalls;
use super::messages::{
    EndpointUpdate, FeedCursor, FeedReply, FeedReplyExtension, FeedRequest, FeedRequestExtension,
    FeedUpdate, Incarnation,
};
use crate::gateway::Gateway;
use crate::rate_leases::LeaseGrantor;
use crate::sources::check_interval;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::frames::{FrameError, read_extended_content, read_header, write_message};
use sillbank_net::liveness::{VM_SILENCE, enable_keepalive};
use sillbank_quarantine::prelude::*;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for a reply of a leader, which includes the wait for an update.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before a leader is looked up or asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause before following a redirect. Two VMs that redirect to each other, until one has read the
/// lease, get at most 20 requests a second.
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a leader between requests to the leader of another hall, which replies when it has an
/// update.
const OTHER_HALL_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a leader checks for halls that it does not follow yet.
const NEW_HALLS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the lease of another hall is read while its leader is unknown.
const OTHER_LEASE_INTERVAL: Duration = Duration::from_millis(4_000);
/// How long the leader of a hall is looked for before the hall may be given up.
const LEADER_SEARCH_TIME: Duration = Duration::from_secs(10);
/// Largest number of suspected parts of prompts in one request, of up to about 3 KB each; the rest follows.
const MAX_SENT_PARTS: usize = 64;
/// Largest number of quarantine entries in one request, about 80 bytes each; the rest follows.
const MAX_SENT_SUSPECTS: usize = 32;

/// Largest number of endpoint limits in one request, about 40 bytes each; the rest follows.
const MAX_SENT_LIMITS: usize = 32;

/// Kind of a request to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Updates of the own hall's leader.
    OwnHall,
    /// Updates of another hall's leader.
    OtherHall(HallId),
    /// Updates of the leader's source.
    Source,
}

impl RequestKind {
    /// Who grants rate leases in reply to this request.
    fn grantor(&self) -> Option<LeaseGrantor> {
        match self {
            Self::OwnHall => Some(LeaseGrantor::OwnLeader),
            Self::OtherHall(hall) => Some(LeaseGrantor::Hall(hall.clone())),
            Self::Source => None,
        }
    }
}

/// A connection to a leader, or of a leader to its source.
pub(super) struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    /// Incarnation of the leader, and the number of its newest hall report received.
    hall_reports_seen: Option<(Incarnation, u64)>,
    endpoints: Replication,
    /// Number of requested full reads of the endpoints at the last request.
    rereads: u64,
    /// Newest change of the leader's quarantine list received.
    quarantine_seen: u64,
    /// Newest change of this VM's quarantine list sent.
    suspects_sent: u64,
    /// Newest change of the leader's suspected parts received.
    parts_seen: u64,
    /// Newest change of this VM's suspected parts sent.
    parts_sent: u64,
    /// Newest change of the leader's rate limits received.
    limits_seen: u64,
    /// Newest change of this VM's rate limits sent.
    limits_sent: u64,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream, VM_SILENCE)?;
        Ok(Self {
            stream,
            address,
            hall_reports_seen: None,
            endpoints: Replication::default(),
            rereads: 0,
            quarantine_seen: 0,
            suspects_sent: 0,
            parts_seen: 0,
            parts_sent: 0,
            limits_seen: 0,
            limits_sent: 0,
        })
    }

    /// Requests all endpoints anew if a full read was requested since the last call.
    fn reset_if_reread(&mut self, rereads: u64) {
        if std::mem::replace(&mut self.rereads, rereads) != rereads {
            self.endpoints = Replication::default();
        }
    }

    fn cursor(&self) -> Option<FeedCursor> {
        let (incarnation, hall_reports) = self.hall_reports_seen?;
        Some(FeedCursor {
            incarnation,
            endpoints: self.endpoints.seen(),
            hall_reports,
            quarantine: self.quarantine_seen,
            limits: self.limits_seen,
        })
    }

    /// Advances the cursor. If the leader's process has restarted, everything is sent to it again.
    fn on_update(&mut self, update: &FeedUpdate, extension: &FeedReplyExtension) {
        if self.hall_reports_seen.is_some_and(|(known, _)| known != update.incarnation) {
            self.endpoints = Replication::default();
            self.suspects_sent = 0;
            self.parts_sent = 0;
            self.limits_sent = 0;
        }
        self.limits_seen = update.limits.up_to;
        self.quarantine_seen = update.quarantine.up_to;
        self.parts_seen = extension.parts.up_to;
        self.hall_reports_seen = Some((update.incarnation, update.hall_reports_seen));
    }

    async fn request(
        &mut self,
        request: &(FeedRequest, FeedRequestExtension),
    ) -> Result<(FeedReply, FeedReplyExtension), FrameError> {
        write_message(&mut self.stream, request).await?;
        let header = read_header(&mut self.stream).await?;
        read_extended_content(&mut self.stream, header).await
    }
}

/// Follows the hall's leader, or as the leader those of other halls, while the program runs.
pub async fn follow_leader<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut connection: Option<Connection> = None;
    let followed = Rc::<RefCell<FollowedHalls>>::default();
    loop {
        if gateway.hall.acting_fence.get().is_some() {
            connection = None;
            follow_new_halls(&gateway, &followed);
            smol::Timer::after(NEW_HALLS_INTERVAL).await;
            continue;
        }
        let Some(leader) = gateway.hall.leader.get() else {
            let awaits_leader = crate::follow::awaits_leader(&gateway, Instant::now());
            smol::Timer::after(check_interval(awaits_leader)).await;
            continue;
        };
        let sent = Instant::now();
        match request_once(&gateway, &mut connection, leader, &RequestKind::OwnHall).await {
            Ok(FeedReply::Update(update)) => {
                apply_grants(&gateway, &update, &LeaseGrantor::OwnLeader, sent);
                let holds_lease = update.holds_lease;
                gateway.hall.on_hall_vms(update.hall_vms);
                let confirmed = apply_update(&gateway, &mut connection, *update, sent, true);
                gateway.hall.on_leader_update(Instant::now(), confirmed, holds_lease);
            }
            Ok(FeedReply::NotLeader { leader: Some(other) }) if other != leader => {
                gateway.hall.on_redirect(other, gateway.settings().peer_listen);
                smol::Timer::after(REDIRECT_PAUSE).await;
            }
            Ok(FeedReply::NotLeader { .. }) => {
                gateway.hall.on_redirect_failed();
                smol::Timer::after(RETRY_PAUSE).await;
            }
            Err(error) => {
                connection = None;
                if gateway.hall.leader_is_live(Instant::now()) {
                    tracing::info!(%leader, %error, "feed: The leader does not answer.");
                }
                gateway.hall.on_leader_lost();
                gateway.hall.on_redirect_failed();
                smol::Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

pub(super) async fn request_once<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    connection: &mut Option<Connection>,
    address: SocketAddr,
    kind: &RequestKind,
) -> Result<FeedReply, FrameError> {
    let timeout = async {
        smol::Timer::after(REPLY_TIMEOUT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    let exchange = async {
        if connection.as_ref().is_none_or(|connection| connection.address != address) {
            *connection = Some(Connection::open(address).await?);
        }
        let Some(connection) = connection else {
            return Err(FrameError::Io(std::io::ErrorKind::NotConnected.into()));
        };
        connection.reset_if_reread(gateway.platform.rereads());
        let settings = gateway.settings();
        let new_suspects = gateway.quarantine.borrow().observed_request_updates_since(
            connection.suspects_sent,
            MAX_SENT_SUSPECTS,
            Instant::now(),
        );
        let new_parts = gateway.quarantine.borrow().observed_part_updates_since(
            connection.parts_sent,
            MAX_SENT_PARTS,
            Instant::now(),
        );
        let (now, grantor) = (Instant::now(), kind.grantor());
        let new_limits = gateway.pushback.borrow().observed_updates_since(
            connection.limits_sent,
            MAX_SENT_LIMITS,
            now,
        );
        let request = FeedRequest {
            vm: settings.vm.clone(),
            hall: settings.hall.clone(),
            peer: settings.peer_listen,
            leader_score: gateway.leader_score(),
            confirmed_age_ms: gateway.platform.stamp(Instant::now()).catalog_age_ms,
            is_source_request: *kind == RequestKind::Source,
            catalog: gateway.platform.catalog().map(|catalog| catalog.version()),
            cursor: connection.cursor(),
            demand: gateway.demand_report(*kind == RequestKind::OwnHall),
            suspects: new_suspects.suspects,
            limits: new_limits.limits,
            rate_demands: grantor
                .map(|from| gateway.rate_demands_of(&from, now))
                .unwrap_or_default(),
        };
        let extension =
            FeedRequestExtension { parts: new_parts.parts, parts_seen: connection.parts_seen };
        let (reply, extension) = connection.request(&(request, extension)).await?;
        if let FeedReply::Update(update) = &reply {
            connection.on_update(update, &extension);
            gateway.on_reported_parts(&extension.parts.parts, UpdateSource::Leader);
            connection.suspects_sent = new_suspects.up_to;
            connection.parts_sent = new_parts.up_to;
            connection.limits_sent = new_limits.up_to;
        }
        Ok(reply)
    };
    futures_lite::future::or(exchange, timeout).await
}

/// Applies an update of a leader or source. Returns when the configuration now in force was
/// confirmed.
pub(super) fn apply_update<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    connection: &mut Option<Connection>,
    update: FeedUpdate,
    sent: Instant,
    takes_endpoints: bool,
) -> Option<Instant> {
    let now = Instant::now();
    let confirmed = update.local_confirmation_time(sent, now);
    let confirmed = confirmed.filter(|_| !gateway.platform.was_suspended_since(sent));
    if let Some(parts) = update.catalog {
        let version = parts.version;
        match Catalog::new(parts.clone()) {
            Ok(catalog) => {
                gateway.offer_catalog(catalog, parts, update.confirmed_at);
            }
            Err(error) => {
                tracing::error!(version, %error, "feed: The received configuration is invalid.");
                return None;
            }
        }
    }
    if let (Some(connection), Some(endpoints)) = (connection, update.endpoints) {
        let EndpointUpdate { at, difference } = endpoints;
        gateway.on_reported_endpoints(&mut connection.endpoints, at, difference, takes_endpoints);
    }
    gateway.on_reported_suspects(&update.quarantine.suspects, UpdateSource::Leader);
    if gateway.hall.acting_fence.get().is_none() {
        gateway.on_quarantine_loaded();
    }
    let own = gateway.settings().hall.clone();
    for report in update.hall_reports {
        if report.hall == own {
            gateway.hall.record_hall_vms(report.vms);
        }
        gateway.on_reported_incarnations(&report);
        gateway.hall.reports.insert(now, report);
    }
    gateway.platform.confirm_catalog(confirmed?, update.confirmed_at);
    confirmed
}

/// Applies the rate leases in a leader's update. The limits come first, as a lease for an unknown
/// limit would be ignored.
fn apply_grants<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    update: &FeedUpdate,
    from: &LeaseGrantor,
    sent: Instant,
) {
    gateway.on_reported_limits(&update.limits.limits, "a leader");
    if let Some(granted_at) = update.local_creation_time(sent, Instant::now()) {
        gateway.apply_grants(&update.rate_leases, from, granted_at);
    }
}

/// Starts to follow the leaders of halls in which endpoints are listed.
fn follow_new_halls<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    followed: &Rc<RefCell<FollowedHalls>>,
) {
    let own = gateway.settings().hall.clone();
    let new_halls = followed.borrow_mut().take_next(&gateway.platform.halls(), &own);
    for hall in new_halls {
        let follow = follow_other_hall(gateway.clone(), hall.clone(), followed.clone());
        gateway.executor.spawn(follow).detach();
    }
}

/// Follows the leader of another hall whenever this VM leads its own. Each hall has its own task, so that one that does not
/// answer does not delay the updates of others. Ends if its leader stays unknown while the hall is not listed any more, or
/// others wait for their turn.
async fn follow_other_hall<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    hall: HallId,
    followed: Rc<RefCell<FollowedHalls>>,
) {
    let mut other =
        OtherHall { hall, connection: None, leader: None, lost: None, lease_read_at: None };
    let mut leader_known_at = Instant::now();
    loop {
        if other.leader.is_some() {
            leader_known_at = Instant::now();
        }
        let goes_on = || followed.borrow().goes_on(&other.hall, &gateway.platform.halls());
        if leader_known_at.elapsed() > LEADER_SEARCH_TIME && !goes_on() {
            followed.borrow_mut().on_ended(&other.hall);
            return;
        }
        if gateway.hall.acting_fence.get().is_some() {
            other.request(&gateway).await;
            smol::Timer::after(OTHER_HALL_PAUSE).await;
        } else {
            other.connection = None;
            smol::Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// A leader's connection to the leader of another hall.
struct OtherHall {
    hall: HallId,
    connection: Option<Connection>,
    leader: Option<SocketAddr>,
    /// The leader that was lost last.
    lost: Option<SocketAddr>,
    lease_read_at: Option<Instant>,
}

impl OtherHall {
    async fn request<W: Wire, S: MetadataStore>(&mut self, gateway: &Rc<Gateway<W, S>>) {
        let Some(leader) = self.leader else {
            self.find_leader(gateway).await;
            return;
        };
        let sent = Instant::now();
        let kind = RequestKind::OtherHall(self.hall.clone());
        match request_once(gateway, &mut self.connection, leader, &kind).await {
            Ok(FeedReply::Update(update)) => {
                apply_grants(gateway, &update, &LeaseGrantor::Hall(self.hall.clone()), sent);
                let takes_endpoints =
                    !gateway.store_is_reached() || gateway.upstream_is_fresh(sent);
                let follows_store = update.follows_store;
                let confirmed =
                    apply_update(gateway, &mut self.connection, *update, sent, takes_endpoints);
                let now = Instant::now();
                gateway.hall.on_other_leader_update(&self.hall, now, confirmed, follows_store);
            }
            Ok(FeedReply::NotLeader { leader }) => {
                self.leader = leader;
                gateway.hall.on_other_leader_lost(&self.hall);
            }
            Err(error) => {
                self.connection = None;
                self.leader = None;
                self.lost = Some(leader);
                let hall = &self.hall;
                gateway.hall.on_other_leader_lost(hall);
                tracing::debug!(hall, %leader, %error, "feed: The leader of another hall does not answer.");
            }
        }
    }

    /// Finds the leader of the hall by the reports of other halls' leaders, which works also while
    /// the store is unreachable, or by the hall's lease unless that was read recently.
    async fn find_leader<W: Wire, S: MetadataStore>(&mut self, gateway: &Rc<Gateway<W, S>>) {
        let now = Instant::now();
        let reported = gateway.hall.reports.leader(&self.hall, now);
        if reported.is_some() && reported != self.lost {
            self.leader = reported;
            return;
        }
        let is_due = |at: Instant| now.saturating_duration_since(at) >= OTHER_LEASE_INTERVAL;
        if !self.lease_read_at.is_none_or(is_due) {
            return;
        }
        self.lease_read_at = Some(now);
        let hall = &self.hall;
        match gateway.store.read_lease(&crate::placement::lease_name(hall)).await {
            Ok(Some((_, record))) if !record.owner.is_empty() => self.leader = Some(record.peer),
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(hall, %error, "lease: The lease of another hall could not be read.")
            }
        }
    }
}
