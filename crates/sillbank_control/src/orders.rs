//! Brings engines of this hall from what they report to what settings ask, under a lease.

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

/// Pause between looks.
const LOOK: Duration = Duration::from_millis(500);
/// Engines asked for their state in one look: bounds the bytes a second of the holder.
const ASKED_IN_A_LOOK: usize = 3;
/// Time an engine has to tell its state.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// A new VM waits so long before it wants the lease.
const FIRST_LOOK: Duration = Duration::from_secs(2);

/// Orders this hall's engines.
pub(crate) struct OrdersPlugin;

impl Plugin<Control> for OrdersPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// What the holder of the lease knows.
struct Reconciler {
    control: Rc<Control>,
    lease: Lease,
    key: String,
    held_since: Option<Instant>,
    reports: HashMap<EndpointId, Report>,
    pace: OrderRateLimiter,
    turn: usize,
}

/// Reconciles for ever.
async fn run(control: Rc<Control>) {
    let candidate = LeaseIo::new(&control).candidate(control.settings.orders_term);
    let mut reconciler = Reconciler {
        lease: Lease::new(candidate),
        key: format!("lease/orders-{}", control.settings.hall),
        held_since: None,
        reports: HashMap::new(),
        pace: OrderRateLimiter::default(),
        turn: 0,
        control,
    };
    Timer::after(FIRST_LOOK).await;
    loop {
        Timer::after(LOOK).await;
        reconciler.tend_lease().await;
        if reconciler.is_held() {
            reconciler.look().await;
        }
    }
}

impl Reconciler {
    fn is_held(&mut self) -> bool {
        let held = self.lease.fence(moment()).is_some();
        match (held, self.held_since) {
            (true, None) => {
                self.held_since = Some(Instant::now());
                self.control.gives_orders.set(true);
                tracing::info!("control: This VM gives the orders of its hall.");
            }
            (false, Some(_)) => {
                self.held_since = None;
                self.control.gives_orders.set(false);
                self.reports.clear();
            }
            _ => {}
        }
        held
    }

    /// Reads, takes or renews the lease as it says.
    async fn tend_lease(&mut self) {
        let wanted = {
            let membership = self.control.membership.borrow();
            let vms = membership.hall_vms();
            rendezvous("orders", vms.into_iter(), 1) == [self.control.settings.vm.as_str()]
        };
        if self.lease.state() == LeaseState::Idle && !wanted {
            return;
        }
        let control = self.control.clone();
        let io = LeaseIo::new(&control);
        let write = match self.lease.needs_read() {
            true => match io.read(&self.key).await {
                Ok(read) => self.lease.on_read(moment(), read, io.mark()),
                Err(_) => None,
            },
            false => self.lease.on_tick(moment(), io.mark()),
        };
        if let Some(write) = write {
            let end = io.write(&self.key, &write).await;
            self.lease.on_write_outcome(moment(), end);
        }
    }

    /// Asks some engines for their state and gives at most one order.
    async fn look(&mut self) {
        let mut engines = self.engines();
        self.ask_some(&engines).await;
        for (view, _) in &mut engines {
            view.report = self.reports.get(&view.id).copied();
        }
        let views: Vec<EngineView> = engines.iter().map(|(view, _)| view.clone()).collect();
        let now = Instant::now();
        let held_for = self.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let pause = self.control.settings.orders_pause;
        let Some(view) = next_order(&views, &self.pace, now, held_for, pause).cloned() else {
            return;
        };
        let address = engines.iter().find(|(other, _)| other.id == view.id).map(|(_, a)| a.clone());
        if let Some(address) = address {
            self.pace.record_order(&view.pipeline, now);
            self.order(&view, &address).await;
        }
    }

    /// The engines of this hall, as settings have them.
    fn engines(&self) -> Vec<(EngineView, String)> {
        let tree = self.control.store.tree();
        let own = tree.endpoints().filter(|(_, e)| e.hall == self.control.settings.hall);
        own.map(|(id, endpoint)| {
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

    async fn ask_some(&mut self, engines: &[(EngineView, String)]) {
        if engines.is_empty() {
            return;
        }
        // One that is about to change is asked each time, the others in turn.
        let changing = engines.iter().filter(|(view, _)| {
            let report = self.reports.get(&view.id);
            report.is_some_and(|report| report.loading || report.layers != view.assigned)
        });
        let turn = self.turn;
        self.turn += ASKED_IN_A_LOOK;
        let in_turn = (0..ASKED_IN_A_LOOK).map(|n| &engines[(turn + n) % engines.len()]);
        let asked: Vec<(EndpointId, String)> = changing
            .take(ASKED_IN_A_LOOK)
            .chain(in_turn)
            .map(|(view, address)| (view.id.clone(), address.clone()))
            .collect();
        for (id, address) in asked {
            match self.state_of(&address).await {
                Some(state) => {
                    let at = Instant::now();
                    let report = Report { layers: state.layers, loading: state.loading, at };
                    self.reports.insert(id, report);
                }
                None => drop(self.reports.remove(&id)),
            }
        }
    }

    async fn state_of(&self, address: &str) -> Option<EngineState> {
        let call = request(Method::GET, STATE_PATH, Bytes::new());
        let address = address.parse().ok()?;
        let reply = self.control.http.call(address, call, ASK_TIMEOUT).await.ok()?;
        reply.status.is_success().then(|| reply.json().ok()).flatten()
    }

    /// Gives an order. The fence is looked at right before it leaves.
    async fn order(&mut self, view: &EngineView, address: &str) {
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
                tracing::error!(%error, "orders: An order cannot be written; it is not given.");
                return;
            }
        };
        let call = request(Method::POST, ORDERS_PATH, body.into());
        let (first, end) = (view.assigned.first, view.assigned.end);
        match self.control.http.call(address, call, MAX_ORDER_TRANSIT).await {
            Ok(reply) if reply.status.is_success() => {
                self.control.metrics.orders.inc();
                tracing::info!("control: {} was told to load layers {first}..{end}.", view.id);
            }
            Ok(reply) if reply.status == StatusCode::CONFLICT => {
                tracing::warn!("control: {} has seen a greater fence; nothing was done.", view.id);
            }
            Ok(reply) => {
                tracing::warn!("control: {} answered {} to an order.", view.id, reply.status)
            }
            // Whether it was taken shows in the next report.
            Err(error) => {
                tracing::warn!("control: The order to {} has no answer: {error}.", view.id)
            }
        }
    }
}
