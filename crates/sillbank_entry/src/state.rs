//! State shared by the parts of one entry process. Everything runs on one thread.

use crate::claims::ControlClaims;
use crate::engine_link::EngineLink;
use crate::metrics::Metrics;
use crate::stop::StopState;
use sillbank_admission::AdmissionControl;
use sillbank_core::rng::SharedRng;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Version;
use sillbank_routing::prelude::*;
use sillbank_settings::prelude::*;
use sillbank_settings::process::EntrySettings;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Maximum size of a plain service's reply.
const MAX_SERVICE_REPLY_BYTES: usize = 8 << 20;

/// State of one entry process.
pub(crate) struct Entry {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) settings: EntrySettings,
    pub(crate) tree: RefCell<Tree>,
    pub(crate) in_force: Cell<Version>,
    pub(crate) table: RefCell<EndpointTable>,
    pub(crate) links: RefCell<HashMap<EndpointSlot, Rc<EngineLink>>>,
    pub(crate) policy: RefCell<AnyPolicy>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) http: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) stop: StopState,
    pub(crate) claims: ControlClaims,
    pub(crate) admission: RefCell<AdmissionControl>,
}

impl Entry {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, settings: EntrySettings) -> Rc<Self> {
        let policy = AnyPolicy::from_name(&settings.chain_policy);
        Rc::new(Self {
            http: HttpClient::new(executor.clone(), MAX_SERVICE_REPLY_BYTES),
            executor,
            settings,
            tree: RefCell::default(),
            in_force: Cell::new(0),
            table: RefCell::new(EndpointTable::new(HealthLimits::default())),
            links: RefCell::default(),
            policy: RefCell::new(policy),
            rng: RefCell::new(fastrand::Rng::with_seed(SharedRng::from_entropy().next_u64())),
            metrics: Metrics::new(),
            stop: StopState::default(),
            claims: ControlClaims::default(),
            admission: RefCell::default(),
        })
    }

    /// Whether the readiness probe succeeds: settings are in force and the VM is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.in_force.get() > 0 && !self.stop.is_stopping()
    }

    /// Chooses a chain of endpoints and counts the request at each of them.
    pub(crate) fn reserve_chain(&self, request: &ChainRequest<'_>) -> Option<Vec<ChainLink>> {
        let mut policy = self.policy.borrow_mut();
        let mut rng = self.rng.borrow_mut();
        let mut table = self.table.borrow_mut();
        let chain = choose_chain(&table, request, &mut *policy, Instant::now(), &mut rng)?;
        policy.record_choice(&chain);
        for link in &chain {
            let endpoint = table.get_mut(link.endpoint);
            endpoint.requests += 1;
            endpoint.added_since_report += 1;
        }
        Some(chain)
    }

    /// Counts a stage once more at a connected endpoint that is leaving; `None` if it is not leaving or not connected.
    /// A stage that started at a leaving endpoint is not new work for it, and no other endpoint may be able to take it.
    pub(crate) fn reserve_leaving_endpoint(&self, slot: EndpointSlot) -> Option<EndpointSlot> {
        self.link(slot)?;
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        if endpoint.health.state() != HealthState::Leaving {
            return None;
        }
        endpoint.requests += 1;
        Some(slot)
    }

    /// Updates the number of positions that an endpoint has yet to prefill.
    pub(crate) fn update_prefill(&self, slot: EndpointSlot, link: &EngineLink) {
        self.table.borrow_mut().get_mut(slot).prefill_outstanding = link.prefill_positions();
    }

    /// Counts one request fewer at an endpoint.
    pub(crate) fn release_endpoint(&self, slot: EndpointSlot) {
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        endpoint.requests = endpoint.requests.saturating_sub(1);
    }

    /// The connection to an endpoint, if it is open.
    pub(crate) fn link(&self, slot: EndpointSlot) -> Option<Rc<EngineLink>> {
        self.links.borrow().get(&slot).filter(|link| link.is_open()).cloned()
    }
}
