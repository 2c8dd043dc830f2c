//! An admitted request, and what is known of its execution.

use crate::delivery::Delivery;
use crate::endpoints::RequestPart;
use crate::forecasts::StreamForecast;
use crate::paths::PathRequest;
use crate::wire::{CallerHead, SendContext, Wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request, Uri};
use sillbank_admission::retry_after::CallerId;
use sillbank_admission::shedding::Priority;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_drain::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use sillbank_quarantine::prelude::*;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Least urgent rank of a request whose organisation sets none: the middle of 0 to 9. Routes can
/// only be more urgent.
const DEFAULT_RANK: u8 = 5;
/// Sends lost with a link that do not count as sends of a request: one on an old connection to each hall that was not found
/// lost yet.
const MAX_FREE_LINK_LOSSES: u32 = 3;
/// Minimum time before the deadline at which a request is still sent.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// The parsed head.
    pub head: CallerHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Memory budget taken by the body.
    pub memory: MemoryReservation,
    /// Route that the request matched.
    pub route: Rc<Route>,
    /// Service chosen by the route.
    pub service: Rc<Service>,
    /// Organisation of the caller, if the route needs a key.
    pub organisation: Option<Rc<Organisation>>,
    /// When the head was read.
    pub received_at: Instant,
    /// Earlier of the caller's time limit and the route's.
    pub deadline: Instant,
    /// What is known of the request's execution.
    pub run: Cell<RunLog>,
    /// Number of sends so far.
    pub sends: Cell<u32>,
    /// Whether an endpoint that ran the request crashed for another reason.
    pub had_innocent_crash: Cell<bool>,
    /// Sends that were lost with this VM's link, or with the VM that passed the connection on.
    pub link_losses: Cell<u32>,
    /// Events as the caller saw them.
    pub delivery: Delivery,
    /// Forecast made at the first send; `None` inside if no forecast was possible.
    pub forecast: OnceCell<Option<StreamForecast>>,
    /// Connection that the request arrived on.
    pub connection: Option<ConnectionNumber>,
    /// Identifies the caller by key and connection, to recognise callers who retry at once.
    pub caller: Option<CallerId>,
    /// Cache of [`Job::traits`].
    pub cached_traits: OnceCell<RequestTraits>,
    /// Whether the request shows if what it is suspected of still crashes endpoints.
    pub is_trial: Cell<bool>,
    /// What the stop of this VM forecast for the request, if it was taken after the signal.
    pub admission: Cell<Option<Admission>>,
    /// Whether the request was counted as admitted or refused.
    pub is_counted: Cell<bool>,
}

impl Job {
    /// Time left before the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Fingerprint by which another try of the same request is recognised.
    pub fn fingerprint(&self) -> Fingerprint {
        self.traits().fingerprint
    }

    /// Traits that may make the request crash endpoints.
    pub fn traits(&self) -> &RequestTraits {
        self.cached_traits.get_or_init(|| {
            let organisation = self.organisation.as_ref().map(|o| o.name.as_str());
            let identity = RequestIdentity {
                host: &self.route.host,
                path: self.target.path_and_query().map_or("", |path| path.as_str()),
                organisation,
                body: &self.body,
            };
            let parts = self.prompt_parts();
            RequestTraits::new(identity.fingerprint(), &self.service.name, organisation, parts)
        })
    }

    /// Parts of the prompt that other requests may share; none if the caller's list cannot be read.
    pub fn prompt_parts(&self) -> &PromptParts {
        static NONE: PromptParts = PromptParts::NONE;
        self.head.prompt_parts.as_ref().unwrap_or(&NONE)
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.kind.idempotency() == Idempotency::Idempotent
    }

    /// Whether the route's limit of sends and the time left allow another send.
    pub fn may_send_again(&self, now: Instant) -> bool {
        self.sends.get() < self.route.max_attempts.max(1) && self.time_left(now) >= MIN_TIME_LEFT
    }

    /// Counts a send.
    pub fn count_send(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// Takes back a send that reached no endpoint, or whose endpoint proved that it ran nothing.
    pub fn uncount_send(&self) {
        self.sends.set(self.sends.get().saturating_sub(1));
    }

    /// Whether another send that is lost with a link does not count as a send.
    pub fn has_free_link_loss(&self) -> bool {
        self.link_losses.get() < MAX_FREE_LINK_LOSSES
    }

    /// Records that a send was lost with a link. The first few do not count as sends: the endpoints were cut off from this VM.
    /// Returns whether this one does not.
    pub fn record_link_loss(&self) -> bool {
        let is_free = self.has_free_link_loss();
        self.link_losses.set(self.link_losses.get() + 1);
        if is_free {
            self.uncount_send();
        }
        is_free
    }

    /// Records that an endpoint that ran the request crashed for another reason. The first such run does not count as a send.
    pub fn record_innocent_crash(&self) {
        if !self.had_innocent_crash.replace(true) {
            self.uncount_send();
        }
    }

    /// The forecast made at the first send, if one was possible.
    pub fn forecast(&self) -> Option<&StreamForecast> {
        self.forecast.get()?.as_ref()
    }

    /// Updates the log of the request's execution.
    pub fn update_run(&self, change: impl FnOnce(&mut RunLog)) {
        let mut run = self.run.get();
        change(&mut run);
        self.run.set(run);
    }

    /// Builds the request that is sent to an endpoint.
    pub fn request_for<W: Wire>(
        &self,
        endpoint: &str,
        path: Option<&LayerPath>,
        resume_after: Option<u64>,
        now: Instant,
    ) -> Request<ReplyBody> {
        let mut request = Request::new(ReplyBody::Full(Full::new(self.body.clone())));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let mut headers = self.headers.clone();
        let context = SendContext {
            endpoint,
            time_left: self.time_left(now),
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            priority: self.rank(),
            path,
            resume_after: resume_after.or(self.head.resume_after),
        };
        W::prepare_headers(&mut headers, &context);
        *request.headers_mut() = headers;
        request
    }

    /// Demand on engines: by the caller's token counts, or by the service's usual sizes if the
    /// caller gave none.
    pub fn demand(&self, figures: &EngineFigures) -> RequestSize {
        let usual = RequestSize::usual(figures);
        let Some(tokens) = self.head.tokens else {
            return usual;
        };
        let max_output = f64::from(tokens.max_output);
        let expected_output = tokens.expected_output.map_or(usual.answer_tokens, f64::from);
        RequestSize {
            prompt_tokens: f64::from(tokens.prompt),
            answer_tokens: expected_output.min(max_output),
        }
    }

    /// Priority by which admission control orders requests for the same engines.
    pub fn priority(&self) -> Priority {
        Priority { organisation: self.rank(), route: self.route.priority }
    }

    /// Rank of the request: that of the organisation if it sets one, otherwise that of the route,
    /// at most `DEFAULT_RANK`. 0 is the most urgent.
    pub fn rank(&self) -> u8 {
        let of_organisation =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        of_organisation.unwrap_or(self.route.priority.min(DEFAULT_RANK))
    }
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, those that `Connection` names, and `Content-Length`, which is set
/// again with the body.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove("content-length");
}

/// Query by which a path for a request is chosen.
pub fn path_request<'a>(
    job: &'a Job,
    figures: &'a EngineFigures,
    local_hall: &'a str,
    avoid: &'a [EndpointId],
) -> PathRequest<'a> {
    PathRequest { service: &job.service, figures, local_hall, avoid, demand: job.demand(figures) }
}

/// Load that a request puts on the engines of its path.
pub fn engine_shares(path: &LayerPath, demand: RequestSize) -> Vec<RequestPart> {
    let share = |part: &PathPart| RequestPart {
        endpoint: part.endpoint.clone(),
        kv: demand.kv_tokens() * part.layers.len() as f64,
    };
    path.parts().iter().map(share).collect()
}
