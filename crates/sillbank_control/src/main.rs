//! `sillbank-control`: runs once on each VM, replicates the fleet's settings and passes them to the entry process.

#![forbid(unsafe_code)]

mod admin;
mod entry_link;
mod fleet_status;
mod gossip;
mod lease_io;
mod metrics;
mod once;
mod orders;
mod peers;
mod platform_client;
mod platform_watch;
mod requests;
mod state;
mod store;
mod write;

use argh::FromArgs;
use sillbank_net::prelude::*;
use sillbank_settings::process::{ControlSettings, ProcessSettings, read_role};
use smol::LocalExecutor;
use smol::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Time limit for handing over slots at shutdown.
const HAND_OVER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// The control process of one VM: settings, membership, health, leases and status.
/// Exit codes: 0 stopped by SIGTERM, 1 failed, 2 wrong arguments or settings.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML); see examples/control.toml
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print the version
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("sillbank-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = arguments.settings.unwrap_or_else(|| "control.toml".into());
    let settings = match read_role(&path, "control", ProcessSettings::control) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(2);
        }
    };
    sillbank_net::telemetry::init_logging(settings.log.is_json(), &settings.log.filter);
    run_program("control", |executor| run(executor, settings))
}

async fn run(
    executor: Rc<LocalExecutor<'static>>,
    settings: ControlSettings,
) -> std::io::Result<()> {
    let mut stop = sillbank_net::signals::Signals::stop()?;
    let peers = TcpListener::bind(settings.listen).await?;
    let admin = TcpListener::bind(settings.admin_listen).await?;
    let socket = UdpSocket::bind(settings.gossip_listen).await?;
    tracing::info!("control: VM {} in hall {} has started.", settings.vm, settings.hall);
    let control = state::Control::new(executor.clone(), settings, socket);
    let _app = App::new(executor, control.clone())
        .add_plugin(peers::PeersPlugin { listener: peers })
        .add_plugin(gossip::GossipPlugin)
        .add_plugin(platform_watch::PlatformWatchPlugin)
        .add_plugin(once::OncePlugin)
        .add_plugin(orders::OrdersPlugin)
        .add_plugin(fleet_status::FleetStatusPlugin)
        .add_plugin(admin::AdminPlugin { listener: admin });
    stop.next().await;
    let timeout = smol::Timer::after(HAND_OVER_TIMEOUT);
    futures_lite::future::or(once::hand_over_all(&control), async {
        timeout.await;
    })
    .await;
    gossip::leave(&control).await;
    tracing::info!("control: Stopped.");
    Ok(())
}
