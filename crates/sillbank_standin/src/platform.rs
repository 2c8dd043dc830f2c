//! Test double of the platform: versioned objects with conditional writes and watches, and a list of VMs.

use argh::FromArgs;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sillbank_net::prelude::*;
use sillbank_protocol::platform::{ListedVm, Listing, Object};
use smol::LocalExecutor;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of an object's value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The platform's object API and VM list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArguments {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// rate limit of writes, per second
    #[argh(option, default = "300.0")]
    writes_per_s: f64,
    /// rate limit of reads, including watches, per second
    #[argh(option, default = "2000.0")]
    reads_per_s: f64,
    /// how far the VM list lags, in milliseconds
    #[argh(option, default = "3000")]
    vm_list_lag_ms: u64,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Do not answer any call.
    outage: bool,
    /// Additional delay of every reply, in milliseconds.
    slow_ms: u64,
    /// Number of next writes that are applied but whose reply is lost.
    lose_write_answers: u32,
}

/// Numbers of calls, by kind.
#[derive(Debug, Default, Clone, Serialize)]
struct Counts {
    reads: u64,
    writes: u64,
    watches: u64,
    refused: u64,
}

/// Token bucket that holds the tokens of at most one second.
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate_per_s: f64) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled_at: Instant::now() }
    }

    /// Takes a token, if there is one.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refilled =
            self.tokens + self.rate_per_s * now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = refilled.min(self.rate_per_s);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// The platform's objects, VM lists, rate limits and faults.
struct Platform {
    version: Cell<u64>,
    objects: RefCell<BTreeMap<String, Object>>,
    watchers: RefCell<Vec<Sender<()>>>,
    /// Published VM lists with their times, oldest first.
    vms: RefCell<Vec<(Instant, Vec<ListedVm>)>>,
    vm_list_lag: Duration,
    counts: RefCell<Counts>,
    faults: RefCell<Faults>,
    write_limit: RefCell<TokenBucket>,
    read_limit: RefCell<TokenBucket>,
}

/// Starts the platform.
pub(crate) async fn start(
    executor: Rc<LocalExecutor<'static>>,
    arguments: PlatformArguments,
) -> std::io::Result<()> {
    let platform = Rc::new(Platform {
        version: Cell::new(0),
        objects: RefCell::default(),
        watchers: RefCell::default(),
        vms: RefCell::default(),
        vm_list_lag: Duration::from_millis(arguments.vm_list_lag_ms),
        counts: RefCell::default(),
        faults: RefCell::default(),
        write_limit: RefCell::new(TokenBucket::new(arguments.writes_per_s)),
        read_limit: RefCell::new(TokenBucket::new(arguments.reads_per_s)),
    });
    crate::serve_at(&executor, &arguments.listen, platform).await
}

impl Handler for Platform {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        if let Some(command) = path.strip_prefix("/admin/") {
            return self.admin(command, request).await;
        }
        if self.faults.borrow().outage {
            std::future::pending::<()>().await;
        }
        let slow = self.faults.borrow().slow_ms;
        if slow > 0 {
            smol::Timer::after(Duration::from_millis(slow)).await;
        }
        let reply = self.answer(&path, request).await;
        if self.faults.borrow().outage {
            std::future::pending::<()>().await;
        }
        reply
    }
}

impl Platform {
    /// Answers a call to the API, within the rate limits.
    async fn answer(&self, path: &str, request: Request<Incoming>) -> Response<ReplyBody> {
        let is_write = matches!(*request.method(), Method::PUT | Method::DELETE);
        let allowed = match is_write {
            true => self.write_limit.borrow_mut().try_take(),
            false => self.read_limit.borrow_mut().try_take(),
        };
        if !allowed {
            self.counts.borrow_mut().refused += 1;
            return text_reply(StatusCode::TOO_MANY_REQUESTS, "rate");
        }
        self.count(path, is_write);
        if let Some(key) = path.strip_prefix("/objects/") {
            return match is_write {
                true => self.write(key, request).await,
                false => self.read(key),
            };
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        match path {
            "/list" => {
                json_reply(StatusCode::OK, &self.changed_objects(&query_text(&query, "prefix"), 0))
            }
            "/watch" => json_reply(StatusCode::OK, &self.watch(&query).await),
            "/vms" => json_reply(StatusCode::OK, &self.listed_vms()),
            _ => text_reply(StatusCode::NOT_FOUND, "unknown path"),
        }
    }

    fn count(&self, path: &str, is_write: bool) {
        let mut counts = self.counts.borrow_mut();
        match (is_write, path) {
            (true, _) => counts.writes += 1,
            (false, "/watch") => counts.watches += 1,
            (false, _) => counts.reads += 1,
        }
    }

    fn read(&self, key: &str) -> Response<ReplyBody> {
        match self.objects.borrow().get(key) {
            Some(object) => json_reply(StatusCode::OK, object),
            None => text_reply(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Writes or deletes an object if its `If-Match` or `If-None-Match` condition holds.
    async fn write(&self, key: &str, request: Request<Incoming>) -> Response<ReplyBody> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let (if_match, if_none_match) = (header("if-match"), header("if-none-match"));
        let deleted = request.method() == Method::DELETE;
        let body = crate::read_body(request.into_body()).await;
        if body.len() > MAX_VALUE_BYTES {
            return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "a value is a megabyte at most");
        }
        let current = self.objects.borrow().get(key).cloned();
        let live = current.as_ref().filter(|object| !object.deleted);
        let allowed = match (if_match, if_none_match) {
            (Some(version), _) => live.is_some_and(|o| o.version.to_string() == version),
            (None, Some(_)) => live.is_none(),
            (None, None) => return text_reply(StatusCode::PRECONDITION_REQUIRED, "condition"),
        };
        if !allowed {
            return json_reply(StatusCode::PRECONDITION_FAILED, &current);
        }
        let object = Object {
            key: key.to_owned(),
            version: self.version.get() + 1,
            deleted,
            value: String::from_utf8_lossy(&body).into_owned(),
        };
        self.version.set(object.version);
        self.objects.borrow_mut().insert(key.to_owned(), object.clone());
        for watcher in self.watchers.borrow_mut().drain(..) {
            watcher.try_send(()).ok();
        }
        let lost = {
            let mut faults = self.faults.borrow_mut();
            let lost = faults.lose_write_answers > 0;
            faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
            lost
        };
        if lost {
            std::future::pending::<()>().await;
        }
        json_reply(StatusCode::OK, &object)
    }

    /// Objects with a prefix that changed after a version, in order of version.
    fn changed_objects(&self, prefix: &str, after: u64) -> Listing {
        let objects = self.objects.borrow();
        let is_listed = |object: &&Object| object.key.starts_with(prefix) && object.version > after;
        let mut objects: Vec<Object> = objects.values().filter(is_listed).cloned().collect();
        objects.sort_by_key(|object| object.version);
        Listing { version: self.version.get(), objects }
    }

    /// Waits until an object has changed, at most `wait_ms`.
    async fn watch(&self, query: &str) -> Listing {
        let prefix = query_text(query, "prefix");
        let after = query_text(query, "after").parse().unwrap_or(0);
        let wait_ms = query_text(query, "wait_ms").parse().unwrap_or(0).min(60_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let listing = self.changed_objects(&prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !listing.objects.is_empty() || remaining.is_zero() {
                return listing;
            }
            let (wake, woken) = smol::channel::bounded(1);
            self.watchers.borrow_mut().push(wake);
            let timer = async {
                smol::Timer::after(remaining).await;
            };
            async {
                woken.recv().await.ok();
            }
            .or(timer)
            .await;
        }
    }

    /// The newest VM list that is as old as the configured lag.
    fn listed_vms(&self) -> Vec<ListedVm> {
        let vms = self.vms.borrow();
        let old_enough = |(at, _): &&(Instant, Vec<ListedVm>)| at.elapsed() >= self.vm_list_lag;
        vms.iter().rev().find(old_enough).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Handles a command of a test.
    async fn admin(&self, command: &str, request: Request<Incoming>) -> Response<ReplyBody> {
        let is_get = request.method() == Method::GET;
        let body = crate::read_body(request.into_body()).await;
        match (is_get, command) {
            (true, "counts") => json_reply(StatusCode::OK, &*self.counts.borrow()),
            (false, "vms") => match serde_json::from_slice(&body) {
                Ok(list) => {
                    self.vms.borrow_mut().push((Instant::now(), list));
                    text_reply(StatusCode::OK, "ok")
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            (false, "faults") => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    text_reply(StatusCode::OK, "ok")
                }
                Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => text_reply(StatusCode::NOT_FOUND, "unknown path"),
        }
    }
}

/// The value of a query parameter; empty if it is missing.
fn query_text(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_owned()).unwrap_or_default()
}
