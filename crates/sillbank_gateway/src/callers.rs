//! Callers' requests: read, admitted, handed on.

use crate::answers::{COME_BACK_AT_LIMIT, COME_BACK_UNINFORMED, reply_of};
use crate::delivery::Delivery;
use crate::gateway::{FIRST_KNOWLEDGE_WAIT, Gateway, Life};
use crate::job::{Job, strip_connection_headers};
use crate::store::MetadataStore;
use crate::vm_limits::Standing;
use crate::wire::{CallerHead, Wire};
use crate::{calls, streams};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use sillbank_admission::returns::CallerMark;
use sillbank_admission::returns::Refusal;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_net::prelude::*;
use std::cell::{Cell, OnceCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

/// How often the body of a request is held at most: to send it once more, and in the buffer of the
/// connection that takes it to an endpoint.
const BODY_COPIES: usize = 2;

/// A whole body.
struct ReadBody {
    bytes: Bytes,
    kept: MemoryReservation,
}

/// Answers callers.
#[derive(Debug)]
pub struct CallerHandler<W, S> {
    /// The gateway.
    pub gateway: Rc<Gateway<W, S>>,
}

/// Counts a request as in progress until dropped.
struct Progress<W: Wire, S: MetadataStore>(Rc<Gateway<W, S>>);

impl<W: Wire, S: MetadataStore> Progress<W, S> {
    fn begin(gateway: &Rc<Gateway<W, S>>) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        gateway.metrics.in_progress.inc();
        Self(gateway.clone())
    }
}

impl<W: Wire, S: MetadataStore> Drop for Progress<W, S> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.metrics.in_progress.dec();
    }
}

impl<W: Wire, S: MetadataStore> Handler for CallerHandler<W, S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let _progress = Progress::begin(&self.gateway);
        let began = Instant::now();
        let (parts, body) = request.into_parts();
        let head = match W::read_caller(&parts.headers) {
            Ok(head) => head,
            Err(error) => {
                let failure = Failure::before_work(FailureKind::MalformedBody, error.to_string());
                return self.refuse("", &failure);
            }
        };
        self.await_first_knowledge().await;
        let admitted = self.admit(&head, &parts, Instant::now());
        match admitted {
            Ok(admitted) => match self.read_body(body, &admitted).await {
                Ok(body) => self.serve(head, parts, body, admitted, began).await,
                Err(failure) => self.refuse(&head.request_id, &failure),
            },
            Err(failure) => self.refuse(&head.request_id, &failure),
        }
    }
}

/// What a request was admitted to.
struct Admitted {
    route: Rc<Route>,
    service: Rc<Service>,
    organisation: Option<Rc<Organisation>>,
    limits: CallerLimits,
}

impl<W: Wire, S: MetadataStore> CallerHandler<W, S> {
    fn refuse(&self, request_id: &str, failure: &Failure) -> Response<ReplyBody> {
        let stamp = self.gateway.knowledge.stamp(Instant::now());
        self.gateway.decisions.refused(request_id, failure, stamp);
        let label =
            crate::metrics::OutcomeLabel { outcome: "refused", status: failure.kind.http_status() };
        self.gateway.metrics.requests.get_or_create(&label).inc();
        reply_of::<W>(failure)
    }

    /// Waits a moment for what a process that has just begun needs to serve: it is on its way, so the
    /// request is likely to be served. When all VMs begin at once, callers who are refused meet again.
    async fn await_first_knowledge(&self) {
        let gateway = &self.gateway;
        let knowledge = &gateway.knowledge;
        let knows_enough = || {
            knowledge.catalog().is_some()
                && knowledge.knows_endpoints()
                && gateway.quarantine_is_known.get()
        };
        let left = FIRST_KNOWLEDGE_WAIT.saturating_sub(gateway.age(Instant::now()));
        if knows_enough() || left.is_zero() {
            return;
        }
        let late = async {
            smol::Timer::after(left).await;
        };
        let known = async {
            while !knows_enough() {
                knowledge.changed().await;
            }
        };
        futures_lite::future::or(known, late).await;
    }

    /// Looks up route, key and service. A VM whose knowledge is not fresh denies nothing: it says
    /// that it does not know.
    fn admit(&self, head: &CallerHead, parts: &Parts, now: Instant) -> Result<Admitted, Failure> {
        if self.gateway.life.get() == Life::Stopping {
            let failure = Failure::before_work(FailureKind::Stopping, "the VM is stopping");
            return Err(failure.retry_after(COME_BACK_UNINFORMED));
        }
        let knowledge = &self.gateway.knowledge;
        let catalog = knowledge.catalog().ok_or_else(|| uninformed("no configuration is known"))?;
        let is_fresh = knowledge.is_fresh(now);
        let deny = |kind, reason: &str| match is_fresh {
            true => Failure::before_work(kind, reason),
            false => uninformed("the configuration could not be confirmed for too long"),
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
                    return Err(uninformed("the key could not be confirmed for too long"));
                }
                Some(found)
            }
        };
        let service = route
            .choose_service(self.gateway.chance.next_f64())
            .and_then(|name| catalog.service(name))
            .ok_or_else(|| uninformed("the route's service is not configured"))?;
        if self.gateway.standing() == Standing::Full {
            return Err(self.at_limit(&route, &service.name, "the VM is at a limit of its own"));
        }
        Ok(Admitted { route, service, organisation, limits: catalog.limits() })
    }

    /// Refuses a request as this VM is at a limit of its own; those who are refused come back apart.
    fn at_limit(&self, route: &Route, service: &str, reason: &str) -> Failure {
        let failure = Failure::before_work(FailureKind::VmAtLimit, reason);
        match self.gateway.settings().mechanisms.return_times {
            true => {
                let refusal =
                    Refusal { rank: route.priority, time_left: route.timeout, caller: None };
                let now = Instant::now();
                failure.retry_after(self.gateway.come_back_after(service, refusal, now))
            }
            false => failure.retry_after(COME_BACK_AT_LIMIT),
        }
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        admitted: &Admitted,
    ) -> Result<ReadBody, Failure> {
        let limits = admitted.limits;
        let no_memory = || {
            let reason = "what the VM keeps for its callers has reached its bound";
            self.at_limit(&admitted.route, &admitted.service.name, reason)
        };
        let too_large = || {
            let reason = format!("the body is longer than {} bytes", limits.max_body_bytes);
            Failure::before_work(FailureKind::TooLarge, reason)
        };
        let mut kept = self.gateway.kept.try_reserve(0).ok_or_else(no_memory)?;
        if body.is_end_stream() {
            return Ok(ReadBody { bytes: Bytes::new(), kept });
        }
        if body.size_hint().lower() > limits.max_body_bytes as u64 {
            return Err(too_large());
        }
        let mut whole = BytesMut::new();
        loop {
            let late = async {
                smol::Timer::after(limits.head_timeout).await;
                Err(Failure::before_work(FailureKind::RequestTimeout, "the body stood still"))
            };
            let next = async { Ok(body.frame().await) };
            let Some(frame) = futures_lite::future::or(next, late).await? else {
                return Ok(ReadBody { bytes: whole.freeze(), kept });
            };
            let frame = frame.map_err(|error| {
                Failure::before_work(FailureKind::MalformedBody, format!("the body broke: {error}"))
            })?;
            if let Ok(data) = frame.into_data() {
                if whole.len() + data.len() > limits.max_body_bytes {
                    return Err(too_large());
                }
                if !kept.try_grow(BODY_COPIES * data.len()) {
                    return Err(no_memory());
                }
                whole.extend_from_slice(&data);
            }
        }
    }

    async fn serve(
        &self,
        head: CallerHead,
        parts: Parts,
        body: ReadBody,
        admitted: Admitted,
        began: Instant,
    ) -> Response<ReplyBody> {
        let caller = caller_mark(&head, &parts);
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        let longest = admitted.route.timeout;
        let deadline = began + head.time_left.map_or(longest, |left| left.min(longest));
        let job = Rc::new(Job {
            head,
            method: parts.method,
            target: parts.uri,
            headers,
            body: body.bytes,
            kept: body.kept,
            route: admitted.route,
            service: admitted.service,
            organisation: admitted.organisation,
            began,
            deadline,
            run: Cell::new(RunLog::default()),
            sends: Cell::new(0),
            delivery: Delivery::default(),
            foretold: OnceCell::new(),
            caller,
            known_fingerprint: OnceCell::new(),
            is_counted: Cell::new(false),
        });
        if let Some(failure) = self.gateway.refuse_held_back(&job) {
            return self.refuse(&job.head.request_id, &failure);
        }
        self.gateway.count_first_send(&job.service.name);
        self.gateway.count_offered(&job);
        match job.route.kind {
            WorkKind::Call(_) => calls::answer(&self.gateway, &job).await,
            WorkKind::Stream(rules) => streams::answer(&self.gateway, &job, rules).await,
        }
    }
}

/// Key and connection of a request as one number.
fn caller_mark(head: &CallerHead, parts: &Parts) -> Option<CallerMark> {
    let connection = parts.extensions.get::<ConnectionNumber>()?;
    let mut hasher = DefaultHasher::new();
    head.key.hash(&mut hasher);
    connection.hash(&mut hasher);
    Some(hasher.finish())
}

fn uninformed(reason: &str) -> Failure {
    Failure::before_work(FailureKind::NotReady, reason).retry_after(COME_BACK_UNINFORMED)
}
