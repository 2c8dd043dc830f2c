//! A link: relays TCP connections with delay, rate and cuts.

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

/// A relay that delays, slows and cuts.
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

/// Faults on command.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Delay one way, in milliseconds.
    delay_ms: u64,
    /// Bytes a second in each direction; 0 is no bound.
    rate_bytes: u64,
    /// Nothing goes towards the far end.
    cut_forward: bool,
    /// Nothing comes back.
    cut_back: bool,
    /// End every connection now.
    reset: bool,
}

#[derive(Default)]
struct Link {
    faults: RefCell<Faults>,
    resets: Cell<u64>,
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Back,
}

pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: LinkArguments,
) -> std::io::Result<()> {
    let link = Rc::new(Link::default());
    link.faults.borrow_mut().delay_ms = arguments.delay_ms;
    let listener = TcpListener::bind(&arguments.listen).await?;
    let relay = accept(executor.clone(), listener, arguments.to, link.clone());
    executor.spawn(relay).detach();
    crate::serve_at(&executor, &arguments.admin_listen, link).await
}

async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    to: String,
    link: Rc<Link>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (to, link, spawner) = (to.clone(), link.clone(), executor.clone());
        let relay = async move {
            let Ok(far) = TcpStream::connect(&to).await else {
                return;
            };
            drop(far.set_nodelay(true));
            drop(near.set_nodelay(true));
            let forward = pump(near.clone(), far.clone(), link.clone(), Direction::Forward);
            spawner.spawn(forward).detach();
            pump(far, near, link, Direction::Back).await;
        };
        executor.spawn(relay).detach();
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, link: Rc<Link>, direction: Direction) {
    let resets = link.resets.get();
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if link.resets.get() != resets {
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
        let rate_ms = (count as u64 * 1000).checked_div(faults.rate_bytes).unwrap_or(0);
        let wait = Duration::from_millis(faults.delay_ms + rate_ms);
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
