//! `sillbank-standin`: test doubles of the external systems of sillbank, with fault injection.
//!
//! Each serves `/admin/...` over HTTP: `GET /admin/ledger` returns what ran, `POST /admin/faults`
//! with a JSON object sets the faults to inject.

#![forbid(unsafe_code)]

mod engine;
mod link;
mod platform;
mod service;

use argh::FromArgs;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use smol::net::TcpListener;
use std::rc::Rc;

/// Test doubles of the platform, model engines, plain services and network links.
/// Exit codes: 0 stopped by SIGTERM, 1 failed, 2 wrong arguments.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    role: Option<Role>,
    /// print the version
    #[argh(switch)]
    version: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Platform(platform::PlatformArguments),
    Engine(engine::EngineArguments),
    Service(service::ServiceArguments),
    Link(link::LinkArguments),
}

fn main() -> std::process::ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("sillbank-standin {}", env!("CARGO_PKG_VERSION"));
        return std::process::ExitCode::SUCCESS;
    }
    sillbank_net::telemetry::init_logging(false, "warn");
    let executor = Rc::new(LocalExecutor::new());
    let ended = smol::block_on(executor.run(run(executor.clone(), arguments.role)));
    match ended {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}.");
            std::process::ExitCode::FAILURE
        }
    }
}

async fn run(executor: Rc<LocalExecutor<'static>>, role: Option<Role>) -> std::io::Result<()> {
    let mut stop = sillbank_net::signals::Signals::stop()?;
    match role {
        Some(Role::Platform(arguments)) => platform::start(executor, arguments).await?,
        Some(Role::Engine(arguments)) => engine::start(executor, arguments).await?,
        Some(Role::Service(arguments)) => service::start(executor, arguments).await?,
        Some(Role::Link(arguments)) => link::start(executor, arguments).await?,
        None => return Err(std::io::Error::other("name a stand-in; see --help")),
    }
    stop.next().await;
    Ok(())
}

/// Binds an address, prints it and serves requests in the background.
async fn serve_at<H: Handler>(
    executor: &Rc<LocalExecutor<'static>>,
    listen: &str,
    handler: Rc<H>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    executor.spawn(serve(executor.clone(), listener, ServerLimits::default(), handler)).detach();
    Ok(())
}

/// Reads the complete body of a request; empty if it cannot be read.
async fn read_body(body: hyper::body::Incoming) -> bytes::Bytes {
    use http_body_util::BodyExt;
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}
