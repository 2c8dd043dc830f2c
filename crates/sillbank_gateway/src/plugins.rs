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
use std::time::{Duration, Instant};

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

/// Maximum connections of balancers, and of readers of metrics.
const MAX_OPS_CONNECTIONS: usize = 256;

/// Serves readiness and metrics.
struct OpsPlugin {
    ready: TcpListener,
    metrics: TcpListener,
}

impl<W: Wire, S: MetadataStore> Plugin<Gateway<W, S>> for OpsPlugin {
    fn build(self, app: &App<Gateway<W, S>>) {
        let ready = Rc::new(ReadyHandler { gateway: app.state() });
        let metrics = Rc::new(MetricsHandler { gateway: app.state() });
        let limits =
            ServerLimits { max_connections: MAX_OPS_CONNECTIONS, ..ServerLimits::default() };
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
        app.spawn(vm_limits::monitor_process_memory(app.state()));
        app.spawn(probes::probe_ejected(app.state()));
        app.spawn(reply_times::apply_late_replies(app.state()));
        app.spawn(quarantine::run_expiry(app.state()));
        app.spawn(pushback::run_expiry(app.state()));
        app.spawn(quarantine_store::follow_quarantine(app.state()));
        app.spawn(quarantine_store::write_quarantine(app.state()));
    }
}

/// How much longer than the grace period of a stop this program waits for its addresses, which the process before it may hold.
const LISTEN_MARGIN: Duration = Duration::from_secs(2);

/// Listeners of a gateway.
struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Listens at all addresses; at that of callers last, so that none waits for a VM that cannot serve yet.
    async fn open(settings: &GatewaySettings) -> std::io::Result<Self> {
        let until = Instant::now() + settings.stop_grace + LISTEN_MARGIN;
        Ok(Self {
            peers: listen(settings.peer_listen, until).await?,
            metrics: listen(settings.metrics_listen, until).await?,
            ready: listen(settings.ready_listen, until).await?,
            callers: listen(settings.callers_listen, until).await?,
        })
    }
}

/// Listens at all addresses; returns `None` if the program is asked to stop meanwhile.
async fn listen_unless_stopped(
    settings: &GatewaySettings,
    stop: &mut Signals,
) -> std::io::Result<Option<Listeners>> {
    let opened = async { Listeners::open(settings).await.map(Some) };
    let stopped = async {
        stop.next().await;
        Ok(None)
    };
    futures_lite::future::or(opened, stopped).await
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
    mut signals: ProcessSignals,
) -> std::io::Result<()> {
    let Some(listeners) = listen_unless_stopped(&settings, &mut signals.stop).await? else {
        tracing::info!("program: Stopped before it listened at all addresses.");
        return Ok(());
    };
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
        .add_plugin(FeedPlugin { listener: listeners.peers })
        .add_plugin(LinksPlugin)
        .add_plugin(OpsPlugin { ready: listeners.ready, metrics: listeners.metrics })
        .add_plugin(CallersPlugin { listener: listeners.callers })
        .add_plugin(MaintenancePlugin { reload: signals.reload, settings_path });
    lifecycle::stop(app.state(), signals.stop).await;
    Ok(())
}
