//! Reconciles the layers of this hall's engines with the settings. Only the holder of the hall's lease gives orders.

use crate::lease_io::{LeaseIo, moment};
use crate::state::Control;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use sillbank_core::hash::rendezvous;
use sillbank_core::prelude::*;
use sillbank_lease::{Lease, LeaseState};
use sillbank_net::client::request;
use sillbank_net::prelude::*;
use sillbank_orders::{EngineView, MAX_ORDER_TRANSIT, OrderRateLimiter, Report, next_order};
use sillbank_protocol::engine::{EngineState, LoadOrder, ORDERS_PATH, STATE_PATH};
use smol::Timer;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two rounds of reconciliation.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of engines queried in turn in each round; at most as many changing engines are queried besides. Limits the
/// traffic of the lease holder.
const ENGINES_PER_ROUND: usize = 3;
/// Timeout of the query for an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// A new VM waits this long before it tries to acquire the lease.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// Gives load orders to this hall's engines.
pub(crate) struct OrdersPlugin;

impl Plugin<Control> for OrdersPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// State of the reconciliation.
struct Reconciler {
    control: Rc<Control>,
    lease: Lease,
    key: String,
    held_since: Option<Instant>,
    reports: HashMap<EndpointId, Report>,
    rate_limiter: OrderRateLimiter,
    next_engine: usize,
}

/// Keeps the lease up to date and reconciles while this VM holds it.
async fn run(control: Rc<Control>) {
    let candidate = LeaseIo::new(&control).candidate(control.settings.orders_term);
    let mut reconciler = Reconciler {
        lease: Lease::new(candidate),
        key: format!("lease/orders-{}", control.settings.hall),
        held_since: None,
        reports: HashMap::new(),
        rate_limiter: OrderRateLimiter::default(),
        next_engine: 0,
        control,
    };
    Timer::after(STARTUP_DELAY).await;
    loop {
        Timer::after(RECONCILE_INTERVAL).await;
        reconciler.update_lease().await;
        if reconciler.is_held() {
            reconciler.reconcile().await;
        }
    }
}

impl Reconciler {
    /// Whether the lease is held now; tracks when that changed.
    fn is_held(&mut self) -> bool {
        let held = self.lease.fence(moment()).is_some();
        match (held, self.held_since) {
            (true, None) => {
                self.held_since = Some(Instant::now());
                self.control.holds_orders_lease.set(true);
                tracing::info!(
                    "control: This VM now holds the lease for the load orders of its hall."
                );
            }
            (false, Some(_)) => {
                self.held_since = None;
                self.control.holds_orders_lease.set(false);
                self.reports.clear();
            }
            _ => {}
        }
        held
    }

    /// Reads, acquires or renews the lease as its state requires.
    async fn update_lease(&mut self) {
        let is_preferred = {
            let membership = self.control.membership.borrow();
            let vms = membership.hall_vms();
            rendezvous("orders", vms.into_iter(), 1) == [self.control.settings.vm.as_str()]
        };
        if self.lease.state() == LeaseState::Idle && !is_preferred {
            return;
        }
        let control = self.control.clone();
        let io = LeaseIo::new(&control);
        let write = match self.lease.needs_read() {
            true => match io.read(&self.key).await {
                Ok(read) => self.lease.on_read(moment(), read, io.new_mark()),
                Err(_) => None,
            },
            false => self.lease.on_tick(moment(), io.new_mark()),
        };
        if let Some(write) = write {
            let outcome = io.write(&self.key, &write).await;
            self.lease.on_write_outcome(moment(), outcome);
        }
    }

    /// Queries the state of some engines and gives at most one order.
    async fn reconcile(&mut self) {
        let mut engines = self.engines();
        self.query_states(&engines).await;
        for (view, _) in &mut engines {
            view.report = self.reports.get(&view.id).copied();
        }
        let views: Vec<EngineView> = engines.iter().map(|(view, _)| view.clone()).collect();
        let now = Instant::now();
        let held_for = self.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let pause = self.control.settings.orders_pause;
        let Some(view) = next_order(&views, &self.rate_limiter, now, held_for, pause).cloned()
        else {
            return;
        };
        let address = engines.iter().find(|(other, _)| other.id == view.id).map(|(_, a)| a.clone());
        if let Some(address) = address {
            self.rate_limiter.record_order(&view.pipeline, now);
            self.send_order(&view, &address).await;
        }
    }

    /// The engines of this hall with their addresses, as the settings define them.
    fn engines(&self) -> Vec<(EngineView, String)> {
        let tree = self.control.store.tree();
        let local = tree.endpoints().filter(|(_, e)| e.hall == self.control.settings.hall);
        local
            .map(|(id, endpoint)| {
                let view = EngineView {
                    id: id.clone(),
                    pipeline: endpoint.pipeline.clone(),
                    assigned: endpoint.layers,
                    checks_fences: endpoint.checks_fences,
                    report: None,
                };
                (view, endpoint.address.clone())
            })
            .collect()
    }

    /// Queries the state of engines that are changing, and of some of the others in turn.
    async fn query_states(&mut self, engines: &[(EngineView, String)]) {
        if engines.is_empty() {
            return;
        }
        // Engines that are about to change are queried in every round, the others in turn.
        let changing = engines.iter().filter(|(view, _)| {
            let report = self.reports.get(&view.id);
            report.is_some_and(|report| report.loading || report.layers != view.assigned)
        });
        let first = self.next_engine;
        self.next_engine += ENGINES_PER_ROUND;
        let in_turn = (0..ENGINES_PER_ROUND).map(|n| &engines[(first + n) % engines.len()]);
        let queried: Vec<(EndpointId, String)> = changing
            .take(ENGINES_PER_ROUND)
            .chain(in_turn)
            .map(|(view, address)| (view.id.clone(), address.clone()))
            .collect();
        for (id, address) in queried {
            match self.query_state(&address).await {
                Some(state) => {
                    let at = Instant::now();
                    let report = Report { layers: state.layers, loading: state.loading, at };
                    self.reports.insert(id, report);
                }
                None => drop(self.reports.remove(&id)),
            }
        }
    }

    /// Queries the state of one engine.
    async fn query_state(&self, address: &str) -> Option<EngineState> {
        let call = request(Method::GET, STATE_PATH, Bytes::new());
        let address = address.parse().ok()?;
        let reply = self.control.http.call(address, call, STATE_TIMEOUT).await.ok()?;
        reply.status.is_success().then(|| reply.json().ok()).flatten()
    }

    /// Sends an order. The fence is read right before sending.
    async fn send_order(&mut self, view: &EngineView, address: &str) {
        let Ok(address) = address.parse() else {
            return;
        };
        let Some(fence) = self.lease.fence(moment()) else {
            return;
        };
        let order = LoadOrder { fence, layers: view.assigned };
        let body = match serde_json::to_vec(&order) {
            Ok(body) => body,
            Err(error) => {
                tracing::error!(%error, "orders: An order could not be serialized and was not sent.");
                return;
            }
        };
        let call = request(Method::POST, ORDERS_PATH, body.into());
        let (first, end) = (view.assigned.first, view.assigned.end);
        match self.control.http.call(address, call, MAX_ORDER_TRANSIT).await {
            Ok(reply) if reply.status.is_success() => {
                self.control.metrics.orders.inc();
                tracing::info!(
                    "control: Engine {} accepted the order to load layers {first}..{end}.",
                    view.id
                );
            }
            Ok(reply) if reply.status == StatusCode::CONFLICT => {
                tracing::warn!(
                    "control: Engine {} rejected an order: it has seen a greater fence.",
                    view.id
                );
            }
            Ok(reply) => {
                tracing::warn!("control: Engine {} returned {} to an order.", view.id, reply.status)
            }
            // The next report shows whether the order was accepted.
            Err(error) => {
                tracing::warn!("control: The order to engine {} got no reply: {error}.", view.id)
            }
        }
    }
}
