//! Test double of a network link: relays TCP connections with delay, a rate limit and partitions.

use argh::FromArgs;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A TCP relay with delay, rate limit and partitions.
#[derive(FromArgs)]
#[argh(subcommand, name = "link")]
pub(crate) struct LinkArguments {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// address to relay to
    #[argh(option)]
    to: String,
    /// address for commands
    #[argh(option)]
    admin_listen: String,
    /// delay one way, in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Delay one way, in milliseconds.
    delay_ms: u64,
    /// Rate limit in bytes per second, for each connection and direction; 0 for none.
    rate_bytes: u64,
    /// Drop all data towards the target.
    cut_forward: bool,
    /// Drop all data from the target.
    cut_back: bool,
    /// Close all current connections, each when it next transfers data.
    reset: bool,
}

/// A relay and its faults.
#[derive(Default)]
struct Link {
    faults: RefCell<Faults>,
    /// Number of resets requested. A connection ends when this has risen since the connection was opened.
    resets: Cell<u64>,
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Back,
}

/// Starts the relay and its admin interface.
pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: LinkArguments,
) -> std::io::Result<()> {
    let link = Rc::new(Link::default());
    link.faults.borrow_mut().delay_ms = arguments.delay_ms;
    let listener = TcpListener::bind(&arguments.listen).await?;
    let accepting = accept(executor.clone(), listener, arguments.to, link.clone());
    executor.spawn(accepting).detach();
    crate::serve_at(&executor, &arguments.admin_listen, link).await
}

/// Accepts connections and relays each to the target.
async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    to: String,
    link: Rc<Link>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (to, link, spawner) = (to.clone(), link.clone(), executor.clone());
        let connection = async move {
            let Ok(far) = TcpStream::connect(&to).await else {
                return;
            };
            drop(far.set_nodelay(true));
            drop(near.set_nodelay(true));
            let forward = relay(near.clone(), far.clone(), link.clone(), Direction::Forward);
            spawner.spawn(forward).detach();
            relay(far, near, link, Direction::Back).await;
        };
        executor.spawn(connection).detach();
    }
}

/// Copies one direction of a connection until it ends or is reset.
async fn relay(mut from: TcpStream, mut to: TcpStream, link: Rc<Link>, direction: Direction) {
    let resets_at_start = link.resets.get();
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if link.resets.get() != resets_at_start {
            break;
        }
        let faults = link.faults.borrow().clone();
        let cut = match direction {
            Direction::Forward => faults.cut_forward,
            Direction::Back => faults.cut_back,
        };
        if cut {
            continue;
        }
        let transfer_ms = (count as u64 * 1000).checked_div(faults.rate_bytes).unwrap_or(0);
        let wait = Duration::from_millis(faults.delay_ms + transfer_ms);
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    drop(to.shutdown(std::net::Shutdown::Both));
    drop(from.shutdown(std::net::Shutdown::Both));
}

impl Handler for Link {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        if (request.method(), request.uri().path()) != (&Method::POST, "/admin/faults") {
            return text_reply(StatusCode::NOT_FOUND, "unknown path");
        }
        let body = crate::read_body(request.into_body()).await;
        match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                if faults.reset {
                    self.resets.set(self.resets.get() + 1);
                }
                *self.faults.borrow_mut() = faults;
                text_reply(StatusCode::OK, "ok")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}
