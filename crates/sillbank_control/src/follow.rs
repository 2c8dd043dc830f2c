//! Follows the platform's settings objects, if this VM is one of those that do.

use crate::gossip;
use crate::platform_client::PlatformError;
use crate::state::Control;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Listing;
use smol::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// First and longest pause after a failure.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(8));
/// Pause between looks at whether this VM should watch.
const LOOK: Duration = Duration::from_millis(500);
/// How long a new VM waits for peers before it asks the platform itself.
const PEERS_FIRST: Duration = Duration::from_millis(1500);

/// Follows the platform.
pub(crate) struct FollowPlugin;

impl Plugin<Control> for FollowPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(follow(app.state()));
    }
}

/// Keeps the store up to date for ever.
async fn follow(control: Rc<Control>) {
    let mut pause = BACK_OFF.0;
    let started = Instant::now();
    loop {
        if !should_watch(&control, started) {
            Timer::after(LOOK).await;
            continue;
        }
        match next_listing(&control).await {
            Ok(listing) => {
                pause = BACK_OFF.0;
                take_listing(&control, listing).await;
            }
            Err(error) => {
                tracing::warn!("control: The platform was not read: {error}.");
                control.metrics.platform_failures.inc();
                // Between a half and one and a half of the pause: its return is no stampede.
                Timer::after(pause.mul_f64(0.5 + control.chance.next_f64())).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }
}

fn should_watch(control: &Control, started: Instant) -> bool {
    let chosen = control.membership.borrow().is_chosen("watch", control.settings.watchers);
    let alone = control.membership.borrow().hall_vms().len() <= 1;
    // A VM that has just begun knows no peers yet and would choose itself.
    if alone && started.elapsed() < PEERS_FIRST && !control.settings.seeds.is_empty() {
        let only_self = control.settings.seeds == [control.settings.gossip_listen];
        return only_self;
    }
    control.follower.borrow().should_watch(Instant::now(), chosen)
}

async fn next_listing(control: &Control) -> Result<Listing, PlatformError> {
    control.metrics.platform_calls.inc();
    let complete = control.store.objects().complete();
    match complete {
        None => control.platform.list().await,
        Some(after) => control.platform.watch(after, WATCH_WAIT).await,
    }
}

async fn take_listing(control: &Rc<Control>, listing: Listing) {
    control.follower.borrow_mut().on_platform_answer(Instant::now());
    let newest = listing.objects.last().map(|object| object.version);
    let taken = listing.objects.into_iter().filter(|o| control.store.take(o.clone())).count();
    // Versions are the whole store's: only those of settings count, so that writes of other
    // kinds of objects do not look like news.
    control.store.set_complete(newest.unwrap_or(0));
    control.store.set_settled();
    if taken > 0 {
        let version = newest.unwrap_or(0);
        tracing::info!("control: {taken} objects are new, up to version {version}.");
        gossip::broadcast_news(control).await;
    }
}
