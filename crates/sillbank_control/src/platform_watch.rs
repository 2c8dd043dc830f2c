//! Watches the platform's settings objects if this VM is one of the chosen watchers.

use crate::gossip;
use crate::platform_client::PlatformError;
use crate::state::Control;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Listing;
use smol::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that one watch call waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Minimum and maximum backoff after a failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(8));
/// Time between checks whether this VM should watch.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a new VM waits for peers before it watches the platform itself.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Watches the platform's settings objects.
pub(crate) struct PlatformWatchPlugin;

impl Plugin<Control> for PlatformWatchPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// Keeps the store up to date while this VM is a watcher.
async fn run(control: Rc<Control>) {
    let mut pause = BACKOFF.0;
    let started = Instant::now();
    loop {
        if !should_watch(&control, started) {
            Timer::after(WATCH_CHECK_INTERVAL).await;
            continue;
        }
        match next_listing(&control).await {
            Ok(listing) => {
                pause = BACKOFF.0;
                apply_listing(&control, listing).await;
            }
            Err(error) => {
                tracing::warn!("control: Reading the platform failed: {error}.");
                control.metrics.platform_failures.inc();
                // Jitter from 0.5 to 1.5 of the pause prevents a thundering herd when the platform recovers.
                Timer::after(pause.mul_f64(0.5 + control.rng.next_f64())).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Whether this VM should watch the platform now.
fn should_watch(control: &Control, started: Instant) -> bool {
    let chosen = control.membership.borrow().is_chosen("watch", control.settings.watchers);
    let alone = control.membership.borrow().hall_vms().len() <= 1;
    // A VM that has just started knows no peers yet and would choose itself.
    if alone && started.elapsed() < PEER_DISCOVERY_TIME && !control.settings.seeds.is_empty() {
        let only_self = control.settings.seeds == [control.settings.gossip_listen];
        return only_self;
    }
    control.follower.borrow().should_watch(Instant::now(), chosen)
}

/// Lists all settings on the first call, then waits for changes.
async fn next_listing(control: &Control) -> Result<Listing, PlatformError> {
    control.metrics.platform_calls.inc();
    let complete = control.store.objects().complete();
    match complete {
        None => control.platform.list().await,
        Some(after) => control.platform.watch(after, WATCH_WAIT).await,
    }
}

async fn apply_listing(control: &Rc<Control>, listing: Listing) {
    control.follower.borrow_mut().on_platform_answer(Instant::now());
    let newest = listing.objects.last().map(|object| object.version);
    let new_objects =
        listing.objects.into_iter().filter(|o| control.store.apply(o.clone())).count();
    // Versions are shared by all kinds of objects. Only versions of settings count, so that writes of
    // other kinds do not look like new settings.
    control.store.set_complete(newest.unwrap_or(0));
    control.store.set_ready();
    if new_objects > 0 {
        let version = newest.unwrap_or(0);
        tracing::info!("control: {new_objects} new objects were read, up to version {version}.");
        gossip::broadcast_news(control).await;
    }
}
