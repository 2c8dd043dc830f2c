//! A leader that has lost the store follows a VM of its hall that has not, its source.

use super::client::{Connection, RequestKind, apply_update, request_once};
use super::messages::FeedReply;
use crate::freshness::{MIN_CONFIRMATION_STEP, SOURCE_CHECK_INTERVAL};
use crate::gateway::Gateway;
use crate::sources::SourceNeed;
use crate::store::MetadataStore;
use crate::wire::Wire;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Follows a source whenever this VM leads and needs one, while the program runs.
pub async fn follow_source<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut connection: Option<Connection> = None;
    let mut source: Option<SocketAddr> = None;
    loop {
        source = choose_source(&gateway, source);
        let Some(address) = source else {
            connection = None;
            smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
            continue;
        };
        let sent = Instant::now();
        match request_once(&gateway, &mut connection, address, &RequestKind::Source).await {
            Ok(FeedReply::Update(update)) => {
                let known = gateway.platform.catalog_confirmed();
                let confirmed = apply_update(&gateway, &mut connection, *update, sent, true);
                if !is_newer(confirmed, known) && is_stale(&gateway) {
                    source = None;
                    smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
                }
            }
            Ok(FeedReply::NotLeader { .. }) => {
                source = None;
                smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
            }
            Err(error) => {
                tracing::info!(source = %address, %error, "feed: The source does not answer.");
                connection = None;
                source = None;
                smol::Timer::after(SOURCE_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Whether this VM's confirmation is too old. A source that has no newer one is then given up, and
/// another one is chosen after a pause, as the whole hall may have lost the store.
fn is_stale<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>) -> bool {
    let age = |confirmed: Instant| confirmed.elapsed();
    let max_staleness = gateway.freshness().max_staleness;
    gateway.platform.catalog_confirmed().is_none_or(|confirmed| age(confirmed) >= max_staleness)
}

/// Whether a source's confirmation is another one than the known one.
fn is_newer(confirmed: Option<Instant>, known: Option<Instant>) -> bool {
    match (confirmed, known) {
        (Some(confirmed), Some(known)) => confirmed >= known + MIN_CONFIRMATION_STEP,
        (confirmed, None) => confirmed.is_some(),
        (None, Some(_)) => false,
    }
}

/// The VM to follow, if this VM leads and needs a source.
fn choose_source<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    current: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let confirmed = gateway.platform.catalog_confirmed()?;
    let need = SourceNeed {
        confirmed,
        max_staleness: gateway.freshness().max_staleness,
        store_is_reached: gateway.store_is_reached(),
    };
    let chosen = need.choose(&gateway.hall, now, current);
    if chosen.is_some() && chosen != current {
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
