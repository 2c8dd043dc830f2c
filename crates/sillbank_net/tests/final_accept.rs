//! Connections that are opened at the moment at which a stopping server closes its listener.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use sillbank_net::prelude::*;
use sillbank_net::stop::Stopper;
use smol::LocalExecutor;
use smol::net::TcpListener;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Connections that are opened, each at a server of its own.
const TRIALS: usize = 100;
/// Time after which a caller gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

struct Answers;

impl Handler for Answers {
    async fn handle(&self, _: Request<Incoming>) -> Response<ReplyBody> {
        text_reply(StatusCode::OK, "answer")
    }
}

/// Opens a connection and begins the final stage before the server can learn of it. Returns the start of the reply, or why
/// there is none.
fn reply_at_final_stage() -> Result<String, String> {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (stopper, budget) = (Stopper::default(), MemoryBudget::default());
        let limits = ServerLimits::default();
        let (token, handler) = (stopper.token(), Rc::new(Answers));
        let server =
            executor.spawn(serve_until(executor.clone(), listener, limits, handler, token, budget));
        smol::Timer::after(Duration::from_millis(2)).await;

        let mut caller = TcpStream::connect(address).expect("it listens");
        stopper.finish();
        caller.write_all(REQUEST).ok();
        let reply = smol::unblock(move || {
            let mut start = [0; 12];
            caller.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
            let read = caller.read_exact(&mut start).map_err(|error| error.to_string());
            read.map(|()| String::from_utf8_lossy(&start).into_owned())
        });
        let reply = reply.await;
        server.await;
        reply
    }))
}

/// Guards against closing a listener with connections in its backlog: they would be reset, and their callers' requests get
/// neither an answer nor a refusal.
#[test]
fn connections_that_are_open_when_the_listener_is_closed_get_a_reply() {
    let replies: Vec<_> = (0..TRIALS).map(|_| reply_at_final_stage()).collect();

    let wrong = replies.iter().filter(|reply| {
        !reply.as_ref().is_ok_and(|start| ["HTTP/1.1 408", "HTTP/1.1 200"].contains(&&start[..]))
    });
    let wrong: Vec<_> = wrong.collect();
    assert!(wrong.is_empty(), "{} of {TRIALS}: {:?}", wrong.len(), wrong.first());
}
