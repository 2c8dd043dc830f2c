//! What the parts of one control process share.

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

/// What a VM last said of itself.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    pub(crate) at: Instant,
    pub(crate) summary: Summary,
}

/// One control process.
pub(crate) struct Control {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) settings: ControlSettings,
    pub(crate) keys: Vec<SealKey>,
    pub(crate) store: Store,
    pub(crate) platform: PlatformClient,
    pub(crate) membership: RefCell<Membership>,
    pub(crate) follower: RefCell<Follower>,
    pub(crate) heard: RefCell<HashMap<VmId, Heard>>,
    pub(crate) in_force: Cell<Version>,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: crate::metrics::Metrics,
    pub(crate) http: HttpClient,
    /// Whether this VM holds the lease under which its hall's engines are ordered.
    pub(crate) gives_orders: Cell<bool>,
    pub(crate) slots: crate::once::Slots,
    /// What is decided by chance is drawn here.
    pub(crate) chance: SharedRng,
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
            incarnation: since_epoch.map_or(0, |since| since.as_millis() as u64),
        };
        let chance = SharedRng::from_entropy();
        let metrics = crate::metrics::Metrics::new();
        let mut platform = PlatformClient::new(client.clone(), settings.platform);
        platform.bytes = metrics.platform_bytes.clone();
        Rc::new(Self {
            platform,
            keys: settings.peer_keys.iter().map(|text| SealKey::from_text(text)).collect(),
            store: Store::default(),
            membership: RefCell::new(Membership::new(config, chance.next_u64())),
            follower: RefCell::default(),
            heard: RefCell::default(),
            in_force: Cell::new(0),
            metrics,
            http: client,
            gives_orders: Cell::new(false),
            slots: crate::once::Slots::default(),
            chance,
            executor,
            settings,
            socket,
        })
    }

    /// A number that no other VM draws.
    pub(crate) fn draw_mark(&self) -> u128 {
        u128::from(self.chance.next_u64()) << u64::BITS | u128::from(self.chance.next_u64())
    }

    /// What this VM says of itself.
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
