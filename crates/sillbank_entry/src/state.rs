//! What the parts of one entry process share. All of it lives on one thread.

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

/// Longest answer of a plain service.
const MAX_SERVICE_REPLY_BYTES: usize = 8 << 20;

/// One entry process.
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

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.in_force.get() > 0 && !self.stop.is_stopping()
    }

    /// Chooses a chain for a whole pipeline and counts it in.
    pub(crate) fn take_chain(&self, request: &ChainRequest<'_>) -> Option<Vec<ChainLink>> {
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

    /// Counts a stage once more at an endpoint that leaves and can be reached; `None` if it does not leave or cannot. A
    /// stage that began there is no new work for it, and nobody else may take it.
    pub(crate) fn take_leaving_endpoint(&self, slot: EndpointSlot) -> Option<EndpointSlot> {
        self.link(slot)?;
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        if endpoint.health.state() != HealthState::Leaving {
            return None;
        }
        endpoint.requests += 1;
        Some(slot)
    }

    /// Notes what is to be prefilled at an endpoint.
    pub(crate) fn note_prefill(&self, slot: EndpointSlot, link: &EngineLink) {
        self.table.borrow_mut().get_mut(slot).prefill_outstanding = link.prefill_positions();
    }

    /// Counts one request less at an endpoint.
    pub(crate) fn leave_endpoint(&self, slot: EndpointSlot) {
        let mut table = self.table.borrow_mut();
        let endpoint = table.get_mut(slot);
        endpoint.requests = endpoint.requests.saturating_sub(1);
    }

    /// The connection to an endpoint, if it stands.
    pub(crate) fn link(&self, slot: EndpointSlot) -> Option<Rc<EngineLink>> {
        self.links.borrow().get(&slot).filter(|link| link.is_open()).cloned()
    }
}
