//! `sillbank-entry`: accepts callers' requests, runs them through the pipeline stages at the
//! endpoints and streams the answers back.

#![forbid(unsafe_code)]

mod admin;
mod callers;
mod chat;
mod claims;
mod control_link;
mod engine_link;
mod execution;
mod in_flight;
mod mailbox;
mod metrics;
mod request_input;
mod resume;
mod services;
mod sink;
mod state;
mod stop;
mod sweep;
mod trace;

use argh::FromArgs;
use sillbank_net::prelude::*;
use sillbank_settings::process::{EntrySettings, ProcessSettings, read_role};
use smol::LocalExecutor;
use smol::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// The entry process of one VM: callers' HTTP interface, admission control, routing, retries and answers.
/// Exit codes: 0 stopped by SIGTERM without cutting off a request, 1 failed, 2 wrong arguments or settings.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML); see examples/entry.toml
    #[argh(option)]
    settings: Option<PathBuf>,
    /// print the version
    #[argh(switch)]
    version: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("sillbank-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = arguments.settings.unwrap_or_else(|| "entry.toml".into());
    let settings = match read_role(&path, "entry", ProcessSettings::entry) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(2);
        }
    };
    sillbank_net::telemetry::init_logging(settings.log.is_json(), &settings.log.filter);
    run_program("entry", |executor| run(executor, settings))
}

async fn run(executor: Rc<LocalExecutor<'static>>, settings: EntrySettings) -> std::io::Result<()> {
    let signals = sillbank_net::signals::Signals::stop()?;
    let callers = TcpListener::bind(settings.listen).await?;
    let admin = TcpListener::bind(settings.admin_listen).await?;
    let limits = ServerLimits {
        timeouts: SharedTimeouts::new(Timeouts::uniform(settings.head_timeout)),
        max_head_bytes: settings.max_head_bytes,
        ..ServerLimits::default()
    };
    tracing::info!("entry: VM {} in hall {} has started.", settings.vm, settings.hall);
    let entry = state::Entry::new(executor.clone(), settings);
    let _app = App::new(executor, entry.clone())
        .add_plugin(control_link::ControlLinkPlugin)
        .add_plugin(sweep::SweepPlugin)
        .add_plugin(admin::AdminPlugin { listener: admin })
        .add_plugin(callers::CallersPlugin { listener: callers, limits });
    stop::wait(&entry, signals).await;
    tracing::info!("entry: Stopped.");
    Ok(())
}
