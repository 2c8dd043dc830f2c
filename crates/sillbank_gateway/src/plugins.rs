//! The parts of the gateway as plugins of one program.

use crate::callers::CallerHandler;
use crate::gateway::Gateway;
use crate::head_limit::MAX_READ_HEAD_BYTES;
use crate::ops::{MetricsHandler, ReadyHandler};
use crate::reply_times;
use crate::settings::GatewaySettings;
use crate::store::MetadataStore;
use crate::wire::Wire;
use crate::{
    feed, follow, lifecycle, links, placement, probes, pushback, quarantine, quarantine_store,
    vm_limits,
};
use sillbank_core::rng::SharedRng;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use smol::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;

/// Largest reply of an engine to a report or an order.
const MAX_ENGINE_REPLY_BYTES: usize = 1 << 20;

/// Follows the store.
struct FollowPlugin;

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for FollowPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        app.spawn(follow::follow_catalog(app.state()));
        app.spawn(follow::follow_endpoints(app.state()));
    }
}

/// Assigns layers to engines.
struct PlacementPlugin;

/// Exchanges updates with other VMs.
struct FeedPlugin {
    listener: TcpListener,
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for FeedPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        app.spawn(feed::serve_feed(app.state(), self.listener));
        app.spawn(feed::follow_leader(app.state()));
        app.spawn(feed::follow_source(app.state()));
    }
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for PlacementPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        app.spawn(placement::place_layers(app.state()));
    }
}

/// Checks links to endpoints, and knows VMs that connect on behalf of this one.
struct LinksPlugin;

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for LinksPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        app.spawn(links::check_troubled(app.state()));
        app.spawn(links::check_returns(app.state()));
        app.spawn(links::follow_relays(app.state()));
    }
}

/// Serves readiness and metrics.
struct OpsPlugin {
    ready: TcpListener,
    metrics: TcpListener,
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for OpsPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        let ready = Rc::new(ReadyHandler { gateway: app.state() });
        let metrics = Rc::new(MetricsHandler { gateway: app.state() });
        let limits = ServerLimits::default();
        app.spawn(serve(app.executor(), self.ready, limits.clone(), ready));
        app.spawn(serve(app.executor(), self.metrics, limits, metrics));
    }
}

/// Serves callers.
struct CallersPlugin {
    listener: TcpListener,
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for CallersPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        let gateway = app.state();
        let settings = gateway.settings();
        let limits = ServerLimits {
            timeouts: gateway.caller_timeouts.clone(),
            max_head_bytes: MAX_READ_HEAD_BYTES,
            max_connections: settings.max_caller_connections(),
        };
        let memory_budget = gateway.memory_budget.clone();
        let stop = gateway.stopper.token();
        let handler = Rc::new(CallerHandler { gateway });
        app.spawn(serve_until(app.executor(), self.listener, limits, handler, stop, memory_budget));
    }
}

/// Reloads settings and runs periodic tasks.
struct MaintenancePlugin {
    reload: Signals,
    settings_path: PathBuf,
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for MaintenancePlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        app.spawn(lifecycle::reload(app.state(), self.reload, self.settings_path));
        app.spawn(lifecycle::sweep(app.state()));
        app.spawn(vm_limits::monitor_limits(app.state()));
        app.spawn(probes::probe_ejected(app.state()));
        app.spawn(reply_times::apply_late_replies(app.state()));
        app.spawn(quarantine::run_expiry(app.state()));
        app.spawn(pushback::run_expiry(app.state()));
        app.spawn(quarantine_store::follow_quarantine(app.state()));
        app.spawn(quarantine_store::write_quarantine(app.state()));
    }
}

/// Runs a gateway until it is asked to stop by one of `signals`.
///
/// # Errors
/// If the operating system refuses a listener.
pub async fn run<W: Wire, S: MetadataStore>(
    executor: Rc<LocalExecutor<'static>>,
    settings: GatewaySettings,
    settings_path: PathBuf,
    store: S,
    signals: ProcessSignals,
) -> std::io::Result<()> {
    let callers = TcpListener::bind(settings.callers_listen).await?;
    let ready = TcpListener::bind(settings.ready_listen).await?;
    let metrics = TcpListener::bind(settings.metrics_listen).await?;
    let peers = TcpListener::bind(settings.peer_listen).await?;
    tracing::info!(
        vm = settings.vm,
        hall = settings.hall,
        callers = %settings.callers_listen,
        store = %settings.store,
        mechanisms = ?settings.mechanisms,
        version = env!("CARGO_PKG_VERSION"),
        "program: Started."
    );
    let engine_calls = HttpClient::new(executor.clone(), MAX_ENGINE_REPLY_BYTES);
    let rng = SharedRng::from_entropy();
    let gateway = Gateway::<W, S>::new(settings, store, engine_calls, executor.clone(), rng);
    let app = App::new(executor, Rc::new(gateway))
        .add_plugin(FollowPlugin)
        .add_plugin(PlacementPlugin)
        .add_plugin(FeedPlugin { listener: peers })
        .add_plugin(LinksPlugin)
        .add_plugin(OpsPlugin { ready, metrics })
        .add_plugin(CallersPlugin { listener: callers })
        .add_plugin(MaintenancePlugin { reload: signals.reload, settings_path });
    lifecycle::stop(app.state(), signals.stop).await;
    Ok(())
}
