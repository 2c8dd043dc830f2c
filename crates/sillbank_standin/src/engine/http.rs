//! HTTP interface of an engine: steps, orders, state, and commands for tests.

use super::{Engine, Faults};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use sillbank_core::prelude::*;
use sillbank_model::engine::LayerFaults;
use sillbank_net::prelude::*;
use sillbank_protocol::engine::*;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::rc::Rc;

/// Handles requests to one engine.
pub(super) struct EngineHandler {
    pub(super) engine: Rc<RefCell<Engine>>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, STEPS_PATH) => self.start_steps(request),
            (&Method::GET, path) if path.starts_with(STREAMS_PATH) => self.stream(path),
            (&Method::GET, "/v1/load") => json_reply(StatusCode::OK, &self.load()),
            (&Method::GET, STATE_PATH) => {
                json_reply(StatusCode::OK, &self.engine.borrow_mut().state())
            }
            (&Method::POST, ORDERS_PATH) => {
                let body = crate::read_body(request.into_body()).await;
                self.order(&body)
            }
            (&Method::GET, "/admin/orders") => {
                json_reply(StatusCode::OK, &self.engine.borrow().orders)
            }
            (&Method::GET, "/admin/ledger") => {
                json_reply(StatusCode::OK, &self.engine.borrow().core.ledger)
            }
            (&Method::GET, "/admin/counts") => {
                let engine = self.engine.borrow();
                let counts = serde_json::json!({
                    "steps": engine.steps_run, "tokens": engine.tokens_run,
                    "held": engine.core.request_count(), "kv_free": engine.core.kv_free(),
                });
                json_reply(StatusCode::OK, &counts)
            }
            (&Method::POST, "/admin/faults") => {
                let body = crate::read_body(request.into_body()).await;
                self.set_faults(&body)
            }
            _ => text_reply(StatusCode::NOT_FOUND, "unknown path"),
        }
    }
}

impl EngineHandler {
    /// The current load, after the eviction of idle KV caches.
    fn load(&self) -> EngineLoad {
        let mut engine = self.engine.borrow_mut();
        engine.evict_idle();
        EngineLoad {
            queued: engine.queue.len() as u32,
            held: engine.core.request_count() as u32,
            kv_free_tokens: engine.kv_free(),
            ..EngineLoad::default()
        }
    }

    /// The tokens of a request, for a VM that resumes it.
    fn stream(&self, path: &str) -> Response<ReplyBody> {
        let uid = RequestUid::parse(path.trim_start_matches(STREAMS_PATH));
        match uid.and_then(|uid| self.engine.borrow().core.stream(&uid)) {
            Some(state) => json_reply(StatusCode::OK, &state),
            None => text_reply(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    /// Handles an order to load layers.
    fn order(&self, body: &[u8]) -> Response<ReplyBody> {
        let order: LoadOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut engine = self.engine.borrow_mut();
        match engine.accept_order(&order) {
            true => json_reply(StatusCode::OK, &engine.state()),
            false => json_reply(StatusCode::CONFLICT, &engine.state()),
        }
    }

    /// Replaces the faults to inject.
    fn set_faults(&self, body: &[u8]) -> Response<ReplyBody> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                let mut engine = self.engine.borrow_mut();
                if faults.forget {
                    engine.core.evict_all();
                }
                engine.core.leaving = faults.leaving;
                engine.core.faults = LayerFaults {
                    skip_layer: faults.skip_layer,
                    repeat_layer: faults.repeat_layer,
                };
                engine.faults = faults;
                text_reply(StatusCode::OK, "ok")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Opens a stream of steps and replies.
    fn start_steps(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (outbox, body) = Outbox::new();
        let engine = self.engine.clone();
        let read = read_steps(engine, request.into_body(), outbox);
        self.executor.spawn(read).detach();
        Response::new(ReplyBody::Stream(body))
    }
}

/// Reads newline-delimited requests until the stream ends or a line exceeds [`MAX_LINE_BYTES`].
async fn read_steps(engine: Rc<RefCell<Engine>>, mut body: Incoming, outbox: Outbox) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            buffer.extend_from_slice(data);
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end + 1);
            engine.borrow_mut().handle_line(&line[..end], &outbox);
        }
        if buffer.len() > MAX_LINE_BYTES {
            break;
        }
    }
    outbox.close();
}
