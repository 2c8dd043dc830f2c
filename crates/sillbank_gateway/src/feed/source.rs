//! A leader that has lost the store asks a VM of its hall that has not.

use super::client::{AskFor, Link, ask_once, take_news};
use super::messages::FeedReply;
use crate::freshness::SOURCE_CHECK_INTERVAL;
use crate::gateway::Gateway;
use crate::sources::SourceNeed;
use crate::store::MetadataStore;
use crate::wire::Wire;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Asks the leader's source for what it knows whenever this VM leads and needs one, for as long as the
/// program runs.
pub async fn follow_source<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut link: Option<Link> = None;
    let mut source: Option<SocketAddr> = None;
    loop {
        source = choose_source(&gateway, source);
        let Some(address) = source else {
            link = None;
            smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
            continue;
        };
        let sent = Instant::now();
        match ask_once(&gateway, &mut link, address, &AskFor::SourceNews).await {
            Ok(FeedReply::Update(news)) => {
                take_news(&gateway, &mut link, *news, sent, true);
            }
            Ok(FeedReply::NotLeader { .. }) => source = None,
            Err(error) => {
                tracing::info!(source = %address, %error, "feed: The source is lost.");
                link = None;
                source = None;
                smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
            }
        }
    }
}

/// The VM that this one asks, if it leads and needs one.
fn choose_source<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    asked_so_far: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let confirmed = gateway.platform.catalog_confirmed()?;
    let need = SourceNeed {
        confirmed,
        max_staleness: gateway.freshness().max_staleness,
        store_is_reached: gateway.store_is_reached(),
    };
    let chosen = need.choose(&gateway.hall, now, asked_so_far);
    if chosen.is_some() && chosen != asked_so_far {
        let confirmed_age_ms = now.saturating_duration_since(confirmed).as_millis() as u64;
        tracing::info!(
            source = ?chosen,
            store_is_reached = need.store_is_reached,
            confirmed_age_ms,
            "feed: A VM of the hall is asked for what the store tells it."
        );
    }
    chosen
}
