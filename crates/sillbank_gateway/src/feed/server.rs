//! A leader's side of the feed.

use super::messages::{EndpointNews, FeedAsk, FeedNews, FeedReply, SeenMark};
use crate::freshness::NEWS_WAIT;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_fleet::prelude::*;
use sillbank_net::frames::{FrameError, read_message, write_message};
use sillbank_net::metered::Metered;
use sillbank_quarantine::prelude::*;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most changes of endpoints in one answer; the rest follows when the VM asks again. A change has some 90
/// bytes, so 60 VMs that are new to a leader take 0.2 s of the smallest link known (20 Mbit/s) for a
/// piece each, and requests run in between.
const MOST_CHANGES: usize = 100;
/// Most requests under which endpoints ended in one answer, some 80 bytes each; the rest follows.
const MOST_SUSPECTS: usize = 64;
/// Most limits of endpoints in one answer, some 40 bytes each; the rest follows.
const MOST_LIMITS: usize = 64;
/// How long a connection may rest between asks.
const ASK_WAIT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers other VMs for as long as the program runs.
pub async fn serve_feed<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                gateway.executor.spawn(serve_one(gateway.clone(), stream)).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "feed: A connection was not accepted.");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "feed: A connection may wait for small packets.");
    }
    let mut stream = Metered::new(stream, gateway.kept.register_connection());
    loop {
        let late = async {
            smol::Timer::after(ASK_WAIT).await;
            Err(FrameError::Io(std::io::ErrorKind::TimedOut.into()))
        };
        let asked = futures_lite::future::or(read_message::<FeedAsk, _>(&mut stream), late).await;
        let ended = match asked {
            Ok(ask) => {
                let reply = answer(&gateway, &ask).await;
                write_message(&mut stream, &reply).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "feed: A connection ended.");
            return;
        }
    }
}

async fn answer<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, ask: &FeedAsk) -> FeedReply {
    let began = Instant::now();
    let knowledge = &gateway.knowledge;
    let seen = ask.seen.filter(|seen| seen.incarnation == gateway.incarnation);
    if ask.asks_source {
        gateway.hall.on_asked_as_source(began);
    }
    gateway.on_told_demand(ask, began);
    let teller = match ask.hall == gateway.settings().hall {
        true => Teller::Member,
        false => Teller::Leader,
    };
    gateway.on_told_suspects(&ask.suspects, teller);
    gateway.on_told_limits(&ask.limits, "another VM");
    let may_answer = || ask.asks_source || gateway.hall.tells.get().is_some();
    if may_answer() && !has_news(gateway, ask, seen) {
        let wait = async {
            smol::Timer::after(NEWS_WAIT).await;
        };
        let news = futures_lite::future::or(knowledge.changed(), gateway.hall.posted());
        // Whoever asks acts by how old the confirmation is, or passes it on.
        let news = futures_lite::future::or(news, knowledge.confirmed());
        futures_lite::future::or(news, wait).await;
    }
    if !may_answer() {
        return FeedReply::NotLeading { leader: gateway.hall.leader.get() };
    }
    let now = Instant::now();
    if ask.hall == gateway.settings().hall && !ask.asks_source {
        let confirmed_age = ask.confirmed_age_ms.map(Duration::from_millis);
        gateway.hall.on_asker(&ask.vm, ask.peer, ask.strength, confirmed_age, now);
    }
    let catalog = has_newer_catalog(gateway, ask).then(|| knowledge.catalog_parts()).flatten();
    let (boards_seen, boards) = gateway.hall.boards.since(seen.map_or(0, |seen| seen.boards), now);
    FeedReply::News(Box::new(FeedNews {
        incarnation: gateway.incarnation,
        boards_seen,
        holds_lease: gateway.hall.leads.get().is_some(),
        follows_store: gateway.store_is_reached() && !gateway.senior_suffices(now),
        hall_vms: gateway.hall.vm_count(now, gateway.strength()),
        held_ms: began.elapsed().as_millis() as u64,
        confirmed_age_ms: knowledge.stamp(now).catalog_age_ms,
        confirmed_at: knowledge.catalog_at(),
        catalog: catalog.map(|parts| (*parts).clone()),
        endpoints: endpoint_news(gateway, seen),
        boards,
        quarantine: gateway.quarantine.borrow().news_since(
            seen.map_or(0, |seen| seen.quarantine),
            MOST_SUSPECTS,
            now,
        ),
        limits: gateway.pushback.borrow().news_since(
            seen.map_or(0, |seen| seen.limits),
            MOST_LIMITS,
            now,
        ),
        parts: gateway.give_parts(ask, now),
    }))
}

fn has_news<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    ask: &FeedAsk,
    seen: Option<SeenMark>,
) -> bool {
    let newest = gateway.knowledge.endpoints(Directory::newest_change);
    let urgent = gateway.quarantine.borrow().newest_urgent();
    let limits = gateway.pushback.borrow().newest();
    let is_new = |seen: SeenMark| {
        seen.endpoints != newest || seen.quarantine < urgent || seen.limits < limits
    };
    has_newer_catalog(gateway, ask)
        || seen.is_none_or(is_new)
        || gateway.owes_part(ask, Instant::now())
}

fn has_newer_catalog<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, ask: &FeedAsk) -> bool {
    let known = gateway.knowledge.catalog();
    known.is_some_and(|known| Some(known.version()) > ask.catalog)
}

fn endpoint_news<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    seen: Option<SeenMark>,
) -> Option<EndpointNews> {
    let knowledge = &gateway.knowledge;
    let since = seen.map_or(0, |seen| seen.endpoints);
    let difference =
        |directory: &Directory| directory.difference(Instant::now(), since, MOST_CHANGES);
    knowledge.knows_endpoints().then(|| EndpointNews {
        at: knowledge.endpoints_at(),
        difference: knowledge.endpoints(difference),
    })
}
