//! The `wait` command: waits until processes are ready.

use crate::Verdict;
use argh::FromArgs;
use bytes::Bytes;
use hyper::Method;
use sillbank_net::client::request_to;
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Wait until a path returns success at every address.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct WaitArguments {
    /// addresses, separated by commas
    #[argh(option)]
    addresses: String,
    /// path of the request
    #[argh(option, default = "String::from(\"/readyz\")")]
    path: String,
    /// timeout for all addresses together, in milliseconds
    #[argh(option, default = "20000")]
    timeout_ms: u64,
}

/// Waits until a path returns success at every address.
///
/// # Errors
/// If an address is invalid, or is not ready in time.
pub async fn run(executor: Rc<LocalExecutor<'static>>, arguments: WaitArguments) -> Verdict {
    let client = HttpClient::new(executor, 1 << 20);
    let deadline = Instant::now() + Duration::from_millis(arguments.timeout_ms);
    for address in arguments.addresses.split(',') {
        let address: SocketAddr = address.parse()?;
        while !is_ready(&client, address, &arguments.path).await {
            if Instant::now() > deadline {
                return Err(format!("{address}{} is not ready", arguments.path).into());
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    }
    Ok(true)
}

async fn is_ready(client: &HttpClient, address: SocketAddr, path: &str) -> bool {
    let Ok(call) = request_to(Method::GET, path, Bytes::new()) else { return false };
    let reply = client.call(address, call, Duration::from_secs(1)).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}
