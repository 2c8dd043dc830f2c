//! The asking side of the feed: VMs ask their leader, leaders ask those of other halls.

use super::messages::{EndpointNews, FeedAsk, FeedNews, FeedReply, Incarnation, SeenMark};
use crate::gateway::Gateway;
use crate::limit_parts::PartsFrom;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::liveness::enable_keepalive;
use sillbank_quarantine::prelude::*;
use smol::net::TcpStream;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a leader may take for an answer: the wait for news, and the way.
const REPLY_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause before a leader is looked for or asked again.
const PAUSE: Duration = Duration::from_millis(200);
/// Pause before the VM is asked that another named as leader. Two that name each other, until one of them
/// has read the lease, are asked 20 times a second at most.
const REDIRECT_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a leader before it asks another hall's leader again, which answers when it has news.
const OTHER_HALL_PAUSE: Duration = Duration::from_millis(100);
/// How often a leader looks for halls that it does not follow yet.
const NEW_HALLS_INTERVAL: Duration = Duration::from_millis(500);
/// How often the lease of another hall is read while its leader is not heard of.
const OTHER_LEASE_INTERVAL: Duration = Duration::from_millis(4_000);
/// Most requests under which endpoints ended that one ask tells of, some 80 bytes each; the rest follows.
const MOST_SUSPECTS_TOLD: usize = 32;

/// Most limits of endpoints that one ask tells of, some 40 bytes each; the rest follows.
const MOST_LIMITS_TOLD: usize = 32;

/// What a VM asks another for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AskFor {
    /// What the leader of its hall tells.
    News,
    /// What the leader of another hall tells.
    NewsOfHall(HallId),
    /// What a VM of the asking leader's hall knows by itself.
    SourceNews,
}

impl AskFor {
    /// Whom parts of limits come from.
    fn parts_from(&self) -> Option<PartsFrom> {
        match self {
            Self::News => Some(PartsFrom::OwnLeader),
            Self::NewsOfHall(hall) => Some(PartsFrom::Hall(hall.clone())),
            Self::SourceNews => None,
        }
    }
}

/// A connection to one leader, or of a leader to its source.
pub(super) struct Link {
    stream: TcpStream,
    address: SocketAddr,
    /// Incarnation of the leader and the newest of its boards that was seen.
    boards_seen: Option<(Incarnation, u64)>,
    endpoints: Replication,
    /// How often all endpoints were to be read again when this was last asked.
    rereads: u64,
    /// Newest change of the leader's requests that end their endpoints that was seen.
    quarantine_seen: u64,
    /// Newest change of this VM's own that was told.
    suspects_told: u64,
    /// Newest change of what endpoints told the leader of their limits that was seen.
    limits_seen: u64,
    /// Newest change of what they told this VM that was told.
    limits_told: u64,
}

impl Link {
    async fn open(address: SocketAddr) -> Result<Self, FrameError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        Ok(Self {
            stream,
            address,
            boards_seen: None,
            endpoints: Replication::default(),
            rereads: 0,
            quarantine_seen: 0,
            suspects_told: 0,
            limits_seen: 0,
            limits_told: 0,
        })
    }

    /// Lets all endpoints be told anew, if they are to be read again since the last ask.
    fn note_rereads(&mut self, rereads: u64) {
        if std::mem::replace(&mut self.rereads, rereads) != rereads {
            self.endpoints = Replication::default();
        }
    }

    fn seen(&self) -> Option<SeenMark> {
        let (incarnation, boards) = self.boards_seen?;
        Some(SeenMark {
            incarnation,
            endpoints: self.endpoints.seen(),
            boards,
            quarantine: self.quarantine_seen,
            limits: self.limits_seen,
        })
    }

    /// Notes what a leader's news bring; what was seen of another process counts no more.
    fn on_news(&mut self, news: &FeedNews) {
        if self.boards_seen.is_some_and(|(known, _)| known != news.incarnation) {
            self.endpoints = Replication::default();
            self.suspects_told = 0;
            self.limits_told = 0;
        }
        self.limits_seen = news.limits.up_to;
        self.quarantine_seen = news.quarantine.up_to;
        self.boards_seen = Some((news.incarnation, news.boards_seen));
    }

    async fn ask(&mut self, ask: &FeedAsk) -> Result<FeedReply, FrameError> {
        write_message(&mut self.stream, ask).await?;
        read_message(&mut self.stream).await
    }
}

/// Asks the hall's leader, or as the leader the leaders of other halls, for as long as the program
/// runs.
pub async fn follow_leader<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut link: Option<Link> = None;
    let mut followed = BTreeSet::new();
    loop {
        if gateway.hall.tells.get().is_some() {
            link = None;
            follow_new_halls(&gateway, &mut followed);
            smol::Timer::after(NEW_HALLS_INTERVAL).await;
            continue;
        }
        let Some(leader) = gateway.hall.leader.get() else {
            smol::Timer::after(PAUSE).await;
            continue;
        };
        let sent = Instant::now();
        match ask_once(&gateway, &mut link, leader, &AskFor::News).await {
            Ok(FeedReply::News(news)) => {
                take_parts(&gateway, &news, &PartsFrom::OwnLeader, sent);
                let holds_lease = news.holds_lease;
                gateway.hall.on_told_vms(news.hall_vms);
                let confirmed = take_news(&gateway, &mut link, *news, sent, true);
                gateway.hall.on_news(Instant::now(), confirmed, holds_lease);
            }
            Ok(FeedReply::NotLeading { leader: Some(other) }) if other != leader => {
                gateway.hall.on_redirect(other, gateway.settings().peer_listen);
                smol::Timer::after(REDIRECT_PAUSE).await;
            }
            Ok(FeedReply::NotLeading { .. }) => {
                gateway.hall.on_redirect_failed();
                smol::Timer::after(PAUSE).await;
            }
            Err(error) => {
                link = None;
                if gateway.hall.leader_is_live(Instant::now()) {
                    tracing::info!(%leader, %error, "feed: The leader is lost.");
                }
                gateway.hall.on_leader_lost();
                gateway.hall.on_redirect_failed();
                smol::Timer::after(PAUSE).await;
            }
        }
    }
}

pub(super) async fn ask_once<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    link: &mut Option<Link>,
    address: SocketAddr,
    ask_for: &AskFor,
) -> Result<FeedReply, FrameError> {
    let late = async {
        smol::Timer::after(REPLY_LIMIT).await;
        Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    let exchange = async {
        if link.as_ref().is_none_or(|link| link.address != address) {
            *link = Some(Link::open(address).await?);
        }
        let Some(link) = link else {
            return Err(FrameError::Io(std::io::ErrorKind::NotConnected.into()));
        };
        link.note_rereads(gateway.knowledge.rereads());
        let settings = gateway.settings();
        let told = gateway.quarantine.borrow().witnessed_since(
            link.suspects_told,
            MOST_SUSPECTS_TOLD,
            Instant::now(),
        );
        let (now, parts_from) = (Instant::now(), ask_for.parts_from());
        let told_limits =
            gateway.pushback.borrow().witnessed_since(link.limits_told, MOST_LIMITS_TOLD, now);
        let ask = FeedAsk {
            vm: settings.vm.clone(),
            hall: settings.hall.clone(),
            peer: settings.peer_listen,
            strength: gateway.strength(),
            confirmed_age_ms: gateway.knowledge.stamp(Instant::now()).catalog_age_ms,
            asks_source: *ask_for == AskFor::SourceNews,
            catalog: gateway.knowledge.catalog().map(|catalog| catalog.version()),
            seen: link.seen(),
            demand: gateway.demand_report(*ask_for == AskFor::News),
            suspects: told.suspects,
            limits: told_limits.limits,
            wants: parts_from.map(|from| gateway.wants_of(&from, now)).unwrap_or_default(),
        };
        let reply = link.ask(&ask).await?;
        if let FeedReply::News(news) = &reply {
            link.on_news(news);
            link.suspects_told = told.up_to;
            link.limits_told = told_limits.up_to;
        }
        Ok(reply)
    };
    futures_lite::future::or(exchange, late).await
}

/// Takes what a leader or a source tells; answers when the configuration that is in force now was confirmed.
pub(super) fn take_news<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    link: &mut Option<Link>,
    news: FeedNews,
    sent: Instant,
    takes_endpoints: bool,
) -> Option<Instant> {
    let now = Instant::now();
    let confirmed = news.confirmed_since(sent, now);
    let confirmed = confirmed.filter(|_| !gateway.knowledge.was_suspended_since(sent));
    if let Some(parts) = news.catalog {
        let version = parts.version;
        match Catalog::new(parts.clone()) {
            Ok(catalog) => {
                gateway.offer_catalog(catalog, parts, news.confirmed_at);
            }
            Err(error) => {
                tracing::error!(version, %error, "feed: A configuration cannot be used.");
                return None;
            }
        }
    }
    if let (Some(link), Some(endpoints)) = (link, news.endpoints) {
        let EndpointNews { at, difference } = endpoints;
        gateway.on_told_endpoints(&mut link.endpoints, at, difference, takes_endpoints);
    }
    gateway.on_told_suspects(&news.quarantine.suspects, Teller::Leader);
    if gateway.hall.tells.get().is_none() {
        gateway.on_quarantine_known();
    }
    let own = gateway.settings().hall.clone();
    for board in news.boards {
        if board.hall == own {
            gateway.hall.note_hall_vms(board.vms);
        }
        gateway.hear_lives(&board);
        gateway.hall.boards.keep(now, board);
    }
    gateway.knowledge.confirm_catalog(confirmed?, news.confirmed_at);
    confirmed
}

/// Takes the parts of limits that a leader's answer gives. What endpoints said comes first: a part of a limit that is
/// not known would be left.
fn take_parts<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    news: &FeedNews,
    from: &PartsFrom,
    sent: Instant,
) {
    gateway.on_told_limits(&news.limits.limits, "a leader");
    if let Some(given_at) = news.made_at(sent, Instant::now()) {
        gateway.take_parts(&news.parts, from, given_at);
    }
}

/// Begins to follow the leaders of halls that endpoints are listed in.
fn follow_new_halls<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    followed: &mut BTreeSet<HallId>,
) {
    let own = gateway.settings().hall.clone();
    let halls = gateway.knowledge.halls();
    for hall in halls.iter().filter(|hall| **hall != own) {
        if followed.insert(hall.clone()) {
            gateway.executor.spawn(follow_other_hall(gateway.clone(), hall.clone())).detach();
        }
    }
}

/// Asks the leader of another hall whenever this VM leads its own, for as long as the program runs.
/// Each hall is asked apart: one that does not answer keeps no news of the others back.
async fn follow_other_hall<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, hall: HallId) {
    let mut other = OtherHall { hall, link: None, leader: None, lost: None, lease_read_at: None };
    loop {
        if gateway.hall.tells.get().is_some() {
            other.ask(&gateway).await;
            smol::Timer::after(OTHER_HALL_PAUSE).await;
        } else {
            other.link = None;
            smol::Timer::after(PAUSE).await;
        }
    }
}

/// A leader's link to the leader of another hall.
struct OtherHall {
    hall: HallId,
    link: Option<Link>,
    leader: Option<SocketAddr>,
    /// The leader that was lost last.
    lost: Option<SocketAddr>,
    lease_read_at: Option<Instant>,
}

impl OtherHall {
    async fn ask<W: Wire, S: MetadataStore>(&mut self, gateway: &Rc<Gateway<W, S>>) {
        let Some(leader) = self.leader else {
            self.look_up(gateway).await;
            return;
        };
        let sent = Instant::now();
        let ask_for = AskFor::NewsOfHall(self.hall.clone());
        match ask_once(gateway, &mut self.link, leader, &ask_for).await {
            Ok(FeedReply::News(news)) => {
                take_parts(gateway, &news, &PartsFrom::Hall(self.hall.clone()), sent);
                let takes_endpoints = !gateway.store_is_reached() || gateway.senior_suffices(sent);
                let follows_store = news.follows_store;
                let confirmed = take_news(gateway, &mut self.link, *news, sent, takes_endpoints);
                let now = Instant::now();
                gateway.hall.on_other_news(&self.hall, now, confirmed, follows_store);
            }
            Ok(FeedReply::NotLeading { leader }) => {
                self.leader = leader;
                gateway.hall.on_other_lost(&self.hall);
            }
            Err(error) => {
                self.link = None;
                self.leader = None;
                self.lost = Some(leader);
                let hall = &self.hall;
                gateway.hall.on_other_lost(hall);
                tracing::debug!(hall, %leader, %error, "feed: Another hall's leader is lost.");
            }
        }
    }

    /// Finds out who leads the hall, by what the leaders of further halls tell, which works also while the
    /// store is away, or by its lease, if that was not read lately.
    async fn look_up<W: Wire, S: MetadataStore>(&mut self, gateway: &Rc<Gateway<W, S>>) {
        let now = Instant::now();
        let told = gateway.hall.boards.leader(&self.hall, now);
        if told.is_some() && told != self.lost {
            self.leader = told;
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
            Err(error) => tracing::debug!(hall, %error, "lease: It could not be read."),
        }
    }
}
