//! A request that was admitted, and what is known of its work.

use crate::delivery::Delivery;
use crate::endpoints::Share;
use crate::forecasts::Foretold;
use crate::paths::PathAsk;
use crate::wire::{CallerHead, Sending, Wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request, Uri};
use sillbank_admission::ladder::Urgency;
use sillbank_admission::returns::CallerMark;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_engines::prelude::*;
use sillbank_layers::prelude::*;
use sillbank_net::prelude::*;
use sillbank_quarantine::prelude::*;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Rank of requests that neither the route nor the organisation ranks: the middle of 0 to 9.
const USUAL_PRIORITY: u8 = 5;
/// Least time that is worth sending a request for.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// What its head says.
    pub head: CallerHead,
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the body takes of the VM's memory.
    pub kept: MemoryReservation,
    /// Route.
    pub route: Rc<Route>,
    /// Service that was chosen for it.
    pub service: Rc<Service>,
    /// Organisation of the caller, if the route needs a key.
    pub organisation: Option<Rc<Organisation>>,
    /// When its head was read.
    pub began: Instant,
    /// When its caller or the operator wants it ended.
    pub deadline: Instant,
    /// What is known of its work.
    pub run: Cell<RunLog>,
    /// How often it was sent.
    pub sends: Cell<u32>,
    /// What its caller saw of it.
    pub delivery: Delivery,
    /// What its caller was likely to see, by its first send; `None` where that cannot be told.
    pub foretold: OnceCell<Option<Foretold>>,
    /// Key and connection that it came with, to tell callers who repeat at once.
    pub caller: Option<CallerMark>,
    /// Its fingerprint, once it was asked for.
    pub known_fingerprint: OnceCell<Fingerprint>,
    /// Whether it was counted as let in or refused.
    pub is_counted: Cell<bool>,
}

impl Job {
    /// Time that is left.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// What tells that another try of its caller is the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        let parts = || RequestParts {
            host: &self.route.host,
            path: self.target.path_and_query().map_or("", |path| path.as_str()),
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            body: &self.body,
        };
        *self.known_fingerprint.get_or_init(|| parts().fingerprint())
    }

    /// Whether it may run more than once.
    pub fn may_repeat(&self) -> bool {
        self.route.kind.repeat() == Repeat::Safe
    }

    /// Whether it may be sent once more by the route's limit and by the time that is left.
    pub fn may_send_again(&self, now: Instant) -> bool {
        self.sends.get() < self.route.max_attempts.max(1) && self.time_left(now) >= MIN_TIME_LEFT
    }

    /// What its caller was likely to see, by its first send, if that could be told.
    pub fn foretold(&self) -> Option<&Foretold> {
        self.foretold.get()?.as_ref()
    }

    /// Changes what is known of its work.
    pub fn note_run(&self, note: impl FnOnce(&mut RunLog)) {
        let mut run = self.run.get();
        note(&mut run);
        self.run.set(run);
    }

    /// The request as it goes to an endpoint.
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
        let sending = Sending {
            endpoint,
            time_left: self.time_left(now),
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            priority: self.priority(),
            path,
            resume_after: resume_after.or(self.head.resume_after),
        };
        W::prepare_sending(&mut headers, &sending);
        *request.headers_mut() = headers;
        request
    }

    /// What it asks of engines: its size as the caller tells it, or the service's usual size.
    pub fn demand(&self, figures: &EngineFigures) -> Demand {
        let usual = Demand::usual(figures);
        let Some(tokens) = self.head.tokens else {
            return usual;
        };
        let most = f64::from(tokens.most_output);
        let likely = tokens.likely_output.map_or(usual.answer_tokens, f64::from);
        Demand { prompt_tokens: f64::from(tokens.prompt), answer_tokens: likely.min(most) }
    }

    /// How urgent it is beside others that ask for the same engines.
    pub fn urgency(&self) -> Urgency {
        Urgency { organisation: self.priority(), route: self.route.priority }
    }

    /// Its rank; 0 goes first.
    pub fn priority(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority.min(USUAL_PRIORITY))
    }
}

/// Headers that concern one connection only, by RFC 9110, 7.6.1.
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

/// Takes out the headers that concern one connection only, those that `Connection` names, and the
/// length, which is set anew with the body.
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

/// What a path is chosen for.
pub fn path_ask<'a>(
    job: &'a Job,
    figures: &'a EngineFigures,
    home: &'a str,
    avoid: &'a [EndpointId],
) -> PathAsk<'a> {
    PathAsk { service: &job.service, figures, home, avoid, demand: job.demand(figures) }
}

/// What a request takes of the engines on its path.
pub fn shares_of(path: &LayerPath, demand: Demand) -> Vec<Share> {
    let share = |part: &PathPart| Share {
        endpoint: part.endpoint.clone(),
        kv: demand.kv_tokens() * part.layers.len() as f64,
    };
    path.parts().iter().map(share).collect()
}
