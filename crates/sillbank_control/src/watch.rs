//! Follows the platform's settings objects.

use crate::platform_client::{PlatformClient, PlatformError};
use crate::store::Store;
use sillbank_protocol::platform::Listing;
use std::rc::Rc;
use std::time::Duration;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First and longest pause after a failure.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Keeps the store up to date for ever.
pub(crate) async fn follow(platform: PlatformClient, store: Rc<Store>) {
    let mut pause = BACK_OFF.0;
    loop {
        match next_listing(&platform, &store).await {
            Ok(listing) => {
                pause = BACK_OFF.0;
                take_listing(&store, listing);
            }
            Err(error) => {
                tracing::warn!("control: The platform was not read: {error}.");
                smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }
}

async fn next_listing(platform: &PlatformClient, store: &Store) -> Result<Listing, PlatformError> {
    match store.complete() {
        None => platform.list("").await,
        Some(after) => platform.watch("", after, WATCH_WAIT).await,
    }
}

fn take_listing(store: &Store, listing: Listing) {
    let taken = listing.objects.into_iter().filter(|o| store.take(o.clone())).count();
    if taken > 0 {
        tracing::info!("control: {taken} objects are new, up to version {}.", listing.version);
    }
    store.set_complete(listing.version);
}
