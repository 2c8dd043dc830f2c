//! A leader's side of the feed.

use super::messages::{EndpointList, FeedAsk, FeedNews, FeedReply, SeenMark};
use crate::freshness::NEWS_WAIT;
use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_net::frames::{FrameError, read_message, write_message};
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most endpoints that are passed on, as a list whenever one changes. A list of 200 has some 18 KB; to
/// 24 VMs that is a fifth of a second of the smallest link known (20 Mbit/s). With 1,000 engines and 33
/// VMs in a hall lists took the leader's whole link, and 0.55 of all requests were refused.
const MAX_RELAYED: usize = 200;
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

async fn serve_one<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, mut stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "feed: A connection may wait for small packets.");
    }
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
    let term = gateway.hall.tells.get();
    let is_news = |term: u64| {
        ask.seen.is_none_or(|seen| seen.term != term || seen.generation != knowledge.generation())
    };
    if term.is_some_and(|term| !is_news(term)) {
        let wait = async {
            smol::Timer::after(NEWS_WAIT).await;
        };
        let news = futures_lite::future::or(knowledge.changed(), gateway.hall.posted());
        futures_lite::future::or(news, wait).await;
    }
    let Some(term) = gateway.hall.tells.get() else {
        return FeedReply::NotLeading;
    };
    let now = Instant::now();
    if ask.hall == gateway.settings().hall {
        gateway.hall.on_asker(&ask.vm, now);
    }
    let is_newer = knowledge.catalog().is_some_and(|known| Some(known.version()) > ask.catalog);
    let relays_endpoints = knowledge.endpoints(|directory| directory.iter().count()) <= MAX_RELAYED;
    let endpoints = (relays_endpoints && is_news(term)).then(|| EndpointList {
        at: knowledge.endpoints_at(),
        records: knowledge.endpoints(|directory| directory.iter().cloned().collect()),
    });
    let seen_boards = ask.seen.filter(|seen| seen.term == term).map_or(0, |seen| seen.boards);
    let (newest_board, boards) = gateway.hall.boards_since(seen_boards, now);
    FeedReply::News(Box::new(FeedNews {
        mark: SeenMark { term, generation: knowledge.generation(), boards: newest_board },
        holds_lease: gateway.hall.leads.get().is_some(),
        held_ms: began.elapsed().as_millis() as u64,
        confirmed_age_ms: knowledge.stamp(now).catalog_age_ms,
        confirmed_at: knowledge.catalog_at(),
        catalog: is_newer.then(|| knowledge.catalog_parts()).flatten().map(|p| (*p).clone()),
        relays_endpoints,
        endpoints: endpoints.filter(|list| list.at > 0),
        boards,
    }))
}
