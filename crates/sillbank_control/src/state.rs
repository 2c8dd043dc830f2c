//! State shared by the parts of one control process.

use crate::platform_client::PlatformClient;
use crate::store::Store;
use sillbank_core::prelude::*;
use sillbank_membership::{Membership, MembershipConfig};
use sillbank_net::prelude::*;
use sillbank_protocol::gossip::{SealKey, Summary};
use sillbank_protocol::platform::Version;
use sillbank_settings::process::ControlSettings;
use sillbank_spread::Follower;
use smol::LocalExecutor;
use smol::net::UdpSocket;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The last summary received from another VM.
#[derive(Debug, Clone)]
pub(crate) struct PeerSummary {
    pub(crate) received_at: Instant,
    pub(crate) summary: Summary,
}

/// State of one control process.
pub(crate) struct Control {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) settings: ControlSettings,
    pub(crate) keys: Vec<SealKey>,
    pub(crate) store: Store,
    pub(crate) platform: PlatformClient,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) follower: RefCell<Follower>,
    pub(crate) peer_summaries: RefCell<HashMap<VmId, PeerSummary>>,
    pub(crate) in_force: Cell<Version>,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: crate::metrics::Metrics,
    pub(crate) http: HttpClient,
    /// Whether this VM holds the lease for the load orders of its hall.
    pub(crate) holds_orders_lease: Cell<bool>,
    pub(crate) slots: crate::once::Slots,
    /// Source of random numbers.
    pub(crate) rng: SharedRng,
}

impl Control {
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        settings: ControlSettings,
        socket: UdpSocket,
    ) -> Rc<Self> {
        let client = HttpClient::new(executor.clone(), 256 << 20);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let config = MembershipConfig {
            vm: settings.vm.clone(),
            hall: settings.hall.clone(),
            gossip: settings.gossip_listen,
            peer: settings.listen,
            seeds: settings.seeds.clone(),
            interval: settings.gossip_interval,
            incarnation: since_epoch.map_or(0, |time| time.as_millis() as u64),
        };
        let rng = SharedRng::from_entropy();
        let metrics = crate::metrics::Metrics::new();
        let mut platform = PlatformClient::new(client.clone(), settings.platform);
        platform.bytes = metrics.platform_bytes.clone();
        Rc::new(Self {
            platform,
            keys: settings.peer_keys.iter().map(|text| SealKey::from_text(text)).collect(),
            store: Store::default(),
            membership: RefCell::new(Membership::new(config, rng.next_u64())),
            follower: RefCell::default(),
            peer_summaries: RefCell::default(),
            in_force: Cell::new(0),
            metrics,
            http: client,
            holds_orders_lease: Cell::new(false),
            slots: crate::once::Slots::default(),
            rng,
            executor,
            settings,
            socket,
        })
    }

    /// A random number that is unique in the fleet.
    pub(crate) fn unique_id(&self) -> u128 {
        u128::from(self.rng.next_u64()) << u64::BITS | u128::from(self.rng.next_u64())
    }

    /// The summary that this VM gossips about itself.
    pub(crate) fn summary(&self) -> Summary {
        let age = self.follower.borrow().platform_age(Instant::now());
        let objects = self.store.objects();
        Summary {
            complete: objects.complete().unwrap_or(0),
            digest: objects.digest(),
            in_force: self.in_force.get(),
            platform_age_ms: age.map_or(u32::MAX, millis),
            members_digest: 0,
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
