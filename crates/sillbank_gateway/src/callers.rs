//! Reads and admits callers' requests and passes them on.

use crate::answers::{RETRY_AFTER_AT_LIMIT, RETRY_AFTER_NOT_READY, failure_response};
use crate::delivery::Delivery;
use crate::gateway::{Gateway, LifecycleState, STARTUP_WAIT};
use crate::job::{Job, strip_connection_headers};
use crate::store::MetadataStore;
use crate::vm_limits::LimitState;
use crate::wire::{CallerHead, Wire};
use crate::{calls, streams};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use sillbank_admission::retry_after::CallerId;
use sillbank_admission::retry_after::RefusedRequest;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::prelude::*;
use std::cell::{Cell, OnceCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

/// Copies of a request's body held at the same time, at most: one for a retry, and one in the send
/// buffer of the connection to the endpoint.
const BODY_COPIES: usize = 2;

/// A body that was read completely.
struct ReadBody {
    bytes: Bytes,
    memory: MemoryReservation,
}

/// Handles callers' requests.
#[derive(Debug)]
pub struct CallerHandler<W, S> {
    /// The gateway.
    pub gateway: Rc<Gateway<W, S>>,
}

/// Counts a request as in progress until dropped.
struct InProgressGuard<W: Wire, S: MetadataStore>(Rc<Gateway<W, S>>);

impl<W: Wire, S: MetadataStore> InProgressGuard<W, S> {
    fn begin(gateway: &Rc<Gateway<W, S>>) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        gateway.metrics.in_progress.inc();
        Self(gateway.clone())
    }
}

impl<W: Wire, S: MetadataStore> Drop for InProgressGuard<W, S> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.metrics.in_progress.dec();
    }
}

impl<W: Wire, S: MetadataStore> Handler for CallerHandler<W, S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let _in_progress = InProgressGuard::begin(&self.gateway);
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let head = match W::read_caller(&parts.headers) {
            Ok(head) => head,
            Err(error) => {
                let failure = Failure::before_work(FailureKind::MalformedBody, error.to_string());
                return self.refuse("", &failure);
            }
        };
        self.unless_final_stage(self.wait_for_startup()).await;
        let within_limit = self.gateway.check_head(&parts, received_at);
        let admitted = within_limit.and_then(|()| self.admit(&head, &parts, Instant::now()));
        match admitted {
            Ok(admitted) => match self.read_body_unless_stopped(body, &admitted).await {
                Ok(body) => self.serve(head, parts, body, admitted, received_at).await,
                Err(failure) => self.refuse(&head.request_id, &failure),
            },
            Err(failure) => {
                self.unless_final_stage(discard_body(body, self.caller_limits())).await;
                self.refuse(&head.request_id, &failure)
            }
        }
    }
}

/// Reads the rest of a body, up to the limits. A connection that is closed with unread bytes is reset, and the caller may
/// lose the refusal with it.
async fn discard_body(mut body: Incoming, limits: CallerLimits) {
    let mut length = 0;
    while length <= limits.max_body_bytes {
        let late = async {
            smol::Timer::after(limits.head_timeout).await;
            None
        };
        match futures_lite::future::or(body.frame(), late).await {
            Some(Ok(frame)) => length += frame.data_ref().map_or(0, Bytes::len),
            Some(Err(_)) | None => return,
        }
    }
}

/// Result of admitting a request.
struct Admitted {
    route: Rc<Route>,
    service: Rc<Service>,
    organisation: Option<Rc<Organisation>>,
    limits: CallerLimits,
}

impl<W: Wire, S: MetadataStore> CallerHandler<W, S> {
    fn refuse(&self, request_id: &str, failure: &Failure) -> Response<ReplyBody> {
        let stamp = self.gateway.platform.stamp(Instant::now());
        self.gateway.decisions.refused(request_id, failure, stamp);
        let label =
            crate::metrics::OutcomeLabel { outcome: "refused", status: failure.kind.http_status() };
        self.gateway.metrics.requests.get_or_create(&label).inc();
        failure_response::<W>(failure)
    }

    /// Waits for something, at the longest until the final stage of a stop: the request must be answered before the exit.
    async fn unless_final_stage(&self, waited_for: impl Future<Output = ()>) {
        let token = self.gateway.stopper.token();
        futures_lite::future::or(waited_for, token.final_stage()).await;
    }

    /// Limits on callers' requests.
    fn caller_limits(&self) -> CallerLimits {
        self.gateway.platform.catalog().map(|catalog| catalog.limits()).unwrap_or_default()
    }

    /// Waits, for a limited time, until a process that has just started knows enough to serve. That
    /// state is about to arrive, so the request can probably be served; and when all VMs start at
    /// once, refused callers would all retry together.
    async fn wait_for_startup(&self) {
        let gateway = &self.gateway;
        let platform = &gateway.platform;
        let can_serve = || {
            platform.catalog().is_some()
                && platform.knows_endpoints()
                && gateway.quarantine_is_loaded.get()
        };
        let remaining = STARTUP_WAIT.saturating_sub(gateway.age(Instant::now()));
        if can_serve() || remaining.is_zero() {
            return;
        }
        let timeout = async {
            smol::Timer::after(remaining).await;
        };
        let ready = async {
            while !can_serve() {
                platform.changed().await;
            }
        };
        futures_lite::future::or(ready, timeout).await;
    }

    /// Looks up route, key and service. A VM whose configuration is stale never denies a request;
    /// it answers that it is not ready.
    fn admit(&self, head: &CallerHead, parts: &Parts, now: Instant) -> Result<Admitted, Failure> {
        if self.gateway.lifecycle.get() == LifecycleState::Stopping {
            return Err(self.gateway.stopping_failure("the VM is stopping"));
        }
        let platform = &self.gateway.platform;
        let catalog = platform.catalog().ok_or_else(|| not_ready("no configuration is known"))?;
        let is_fresh = platform.is_fresh(now);
        let deny = |kind, reason: &str| match is_fresh {
            true => Failure::before_work(kind, reason),
            false => not_ready("the configuration could not be confirmed for too long"),
        };
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
        let route = catalog
            .route(host, parts.uri.path())
            .ok_or_else(|| deny(FailureKind::UnknownRoute, "no route takes this host and path"))?;
        let organisation = match route.public || !catalog.needs_keys() {
            true => None,
            false => {
                let key = head.key.as_deref().unwrap_or("");
                let found = catalog.organisation(key);
                let found =
                    found.ok_or_else(|| deny(FailureKind::UnknownKey, "the key is not known"))?;
                if !is_fresh {
                    return Err(not_ready("the key could not be confirmed for too long"));
                }
                Some(found)
            }
        };
        let service = route
            .choose_service(self.gateway.rng.next_f64())
            .and_then(|name| catalog.service(name))
            .ok_or_else(|| not_ready("the route's service is not configured"))?;
        if self.gateway.limit_state() == LimitState::Full {
            return Err(self.at_limit_failure(
                &route,
                &service.name,
                "the VM is at a limit of its own",
            ));
        }
        Ok(Admitted { route, service, organisation, limits: catalog.limits() })
    }

    /// Refuses a request because this VM is at one of its limits. Refused callers get spread-out
    /// times to retry.
    fn at_limit_failure(&self, route: &Route, service: &str, reason: &str) -> Failure {
        let failure = Failure::before_work(FailureKind::VmAtLimit, reason);
        match self.gateway.settings().mechanisms.return_times {
            true => {
                let refusal =
                    RefusedRequest { rank: route.priority, time_left: route.timeout, caller: None };
                let now = Instant::now();
                failure.retry_after(self.gateway.retry_after_for(service, refusal, now))
            }
            false => failure.retry_after(RETRY_AFTER_AT_LIMIT),
        }
    }

    /// Reads a body, unless this VM exits before it is complete.
    async fn read_body_unless_stopped(
        &self,
        body: Incoming,
        admitted: &Admitted,
    ) -> Result<ReadBody, Failure> {
        let at_exit = async { Err(self.gateway.reply_at_exit(RunLog::default).await) };
        futures_lite::future::or(self.read_body(body, admitted), at_exit).await
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        admitted: &Admitted,
    ) -> Result<ReadBody, Failure> {
        let limits = admitted.limits;
        let out_of_memory = || {
            let reason = "what the VM keeps for its callers has reached its bound";
            self.at_limit_failure(&admitted.route, &admitted.service.name, reason)
        };
        let too_large = || {
            let reason = format!("the body is longer than {} bytes", limits.max_body_bytes);
            Failure::before_work(FailureKind::TooLarge, reason)
        };
        let mut memory = self.gateway.memory_budget.try_reserve(0).ok_or_else(out_of_memory)?;
        if body.is_end_stream() {
            return Ok(ReadBody { bytes: Bytes::new(), memory });
        }
        if body.size_hint().lower() > limits.max_body_bytes as u64 {
            return Err(too_large());
        }
        let mut buffer = BytesMut::new();
        loop {
            let timeout = async {
                smol::Timer::after(limits.head_timeout).await;
                Err(Failure::before_work(FailureKind::RequestTimeout, "the body stood still"))
            };
            let next = async { Ok(body.frame().await) };
            let Some(frame) = futures_lite::future::or(next, timeout).await? else {
                return Ok(ReadBody { bytes: buffer.freeze(), memory });
            };
            let frame = frame.map_err(|error| {
                Failure::before_work(FailureKind::MalformedBody, format!("the body broke: {error}"))
            })?;
            if let Ok(data) = frame.into_data() {
                if buffer.len() + data.len() > limits.max_body_bytes {
                    return Err(too_large());
                }
                if !memory.try_grow(BODY_COPIES * data.len()) {
                    return Err(out_of_memory());
                }
                buffer.extend_from_slice(&data);
            }
        }
    }

    async fn serve(
        &self,
        head: CallerHead,
        parts: Parts,
        body: ReadBody,
        admitted: Admitted,
        received_at: Instant,
    ) -> Response<ReplyBody> {
        let caller = caller_id(&head, &parts);
        let connection = parts.extensions.get::<ConnectionNumber>().copied();
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        let max_time = admitted.route.timeout;
        let deadline = received_at + head.time_left.map_or(max_time, |left| left.min(max_time));
        let job = Rc::new(Job {
            head,
            method: parts.method,
            target: parts.uri,
            headers,
            body: body.bytes,
            memory: body.memory,
            route: admitted.route,
            service: admitted.service,
            organisation: admitted.organisation,
            received_at,
            deadline,
            run: Cell::new(RunLog::default()),
            sends: Cell::new(0),
            had_innocent_crash: Cell::new(false),
            link_losses: Cell::new(0),
            delivery: Delivery::default(),
            forecast: OnceCell::new(),
            connection,
            caller,
            cached_traits: OnceCell::new(),
            is_trial: Cell::new(false),
            admission: Cell::new(None),
            is_counted: Cell::new(false),
        });
        if let Err(error) = &job.head.prompt_parts {
            self.gateway.on_unreadable_parts(&job, error);
        }
        self.unless_final_stage(self.gateway.await_crash_checks(&job)).await;
        let refusal = self.gateway.refuse_arrival(&job);
        if let Some(failure) = refusal.or_else(|| self.gateway.refuse_while_draining(&job)) {
            return self.refuse(&job.head.request_id, &failure);
        }
        self.gateway.record_first_send(&job.service.name);
        self.gateway.count_offered(&job);
        match job.route.kind {
            WorkKind::Call(_) => calls::answer(&self.gateway, &job).await,
            WorkKind::Stream(_) => streams::answer(&self.gateway, &job).await,
        }
    }
}

/// Hash of a request's key and connection.
fn caller_id(head: &CallerHead, parts: &Parts) -> Option<CallerId> {
    let connection = parts.extensions.get::<ConnectionNumber>()?;
    let mut hasher = DefaultHasher::new();
    head.key.hash(&mut hasher);
    connection.hash(&mut hasher);
    Some(hasher.finish())
}

fn not_ready(reason: &str) -> Failure {
    Failure::before_work(FailureKind::NotReady, reason).retry_after(RETRY_AFTER_NOT_READY)
}
