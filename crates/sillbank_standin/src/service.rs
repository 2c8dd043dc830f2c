//! Test double of a plain service: runs calls and keeps a ledger of what ran.

use argh::FromArgs;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sillbank_net::prelude::*;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A plain service with a ledger.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ServiceArguments {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// time a call runs, in milliseconds
    #[argh(option, default = "5")]
    run_ms: u64,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Number of next replies to lose after the call has run.
    lose_answers: u32,
    /// Number of next calls to refuse without running them.
    refuse: u32,
    /// Additional run time of a call, in milliseconds.
    slow_ms: u64,
}

/// A call that was run.
#[derive(Debug, Clone, Serialize)]
struct LedgerEntry {
    id: String,
    path: String,
}

/// A plain service and its ledger.
struct Service {
    run_time: Duration,
    ledger: RefCell<Vec<LedgerEntry>>,
    faults: RefCell<Faults>,
}

/// Starts the service.
pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: ServiceArguments,
) -> std::io::Result<()> {
    let service = Rc::new(Service {
        run_time: Duration::from_millis(arguments.run_ms),
        ledger: RefCell::default(),
        faults: RefCell::default(),
    });
    crate::serve_at(&executor, &arguments.listen, service).await
}

impl Handler for Service {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/admin/ledger") => json_reply(StatusCode::OK, &*self.ledger.borrow()),
            (&Method::POST, "/admin/faults") => {
                let body = crate::read_body(request.into_body()).await;
                match serde_json::from_slice(&body) {
                    Ok(faults) => {
                        *self.faults.borrow_mut() = faults;
                        text_reply(StatusCode::OK, "ok")
                    }
                    Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
                }
            }
            _ => self.call(path, request).await,
        }
    }
}

impl Service {
    async fn call(&self, path: String, request: Request<Incoming>) -> Response<ReplyBody> {
        let header = request.headers().get("x-request-id").and_then(|v| v.to_str().ok());
        let id = header.unwrap_or_default().to_owned();
        let body = crate::read_body(request.into_body()).await;
        if take_fault(&mut self.faults.borrow_mut().refuse) {
            let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "busy");
            let not_run = hyper::header::HeaderValue::from_static("not_run");
            reply.headers_mut().insert("x-run-state", not_run);
            return reply;
        }
        let slow = Duration::from_millis(self.faults.borrow().slow_ms);
        smol::Timer::after(self.run_time + slow).await;
        self.ledger.borrow_mut().push(LedgerEntry { id: id.clone(), path: path.clone() });
        if take_fault(&mut self.faults.borrow_mut().lose_answers) {
            std::future::pending::<()>().await;
        }
        let answer = serde_json::json!({ "done": path, "id": id, "bytes": body.len() });
        json_reply(StatusCode::OK, &answer)
    }
}

/// Decrements a counter of faults. Returns whether a fault is due.
fn take_fault(remaining: &mut u32) -> bool {
    let is_due = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_due
}
