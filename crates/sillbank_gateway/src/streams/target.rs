//! Chooses the endpoint or path that a stream's request is sent to.

use crate::gateway::Gateway;
use crate::job::{Job, path_request};
use crate::paths::{
    PathRequest, choose_any_path, choose_fastest_path, choose_path, count_engines, first_engines,
    has_path_despite_pushback, isolation_engine,
};
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Where a stream's request is sent.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) path: Option<LayerPath>,
}

/// Paths that a request may be sent over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PathChoice {
    /// Those whose engines have room for it.
    WithRoom,
    /// Others too if there is none: the request has started, and more work would be lost.
    Any,
}

/// Why a request cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoTarget {
    /// No usable engine holds some of the layers.
    NoPath,
    /// There is a path, but some of its engines have no room.
    NoRoom,
    /// There is a path, but the endpoints that it could start at asked for fewer requests.
    Withheld,
    /// The request is isolated, as it may crash endpoints, and no endpoint that the path could
    /// start at is left for it. It stays isolated for this long.
    Isolated(Duration),
}

impl NoTarget {
    pub(super) fn text(self) -> &'static str {
        match self {
            Self::NoPath => "no path covers the model",
            Self::NoRoom => "no path has room",
            Self::Isolated(_) => "an endpoint ended under it, and the only one left is not risked",
            Self::Withheld => "the endpoints that could take it asked for fewer requests",
        }
    }
}

/// Chooses the target of a request.
pub(super) fn choose_target<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    path_choice: PathChoice,
    avoid: &[EndpointId],
) -> Result<Target, NoTarget> {
    let now = Instant::now();
    let local_hall = gateway.settings().hall.clone();
    let Some(figures) = &job.service.engine else {
        return choose_endpoint(gateway, job, avoid, now);
    };
    let context = gateway.routing_context(now);
    let request = path_request(job, figures, &local_hall, avoid);
    let mut avoid = avoid.to_vec();
    if let Some(remaining) = gateway.isolated_for(job) {
        let mut candidates = first_engines(context, request);
        // An endpoint that the request has tried counts again once it has restarted.
        let has_restarted =
            |first: &str| gateway.endpoint_tracker.restarted_since(first, job.received_at);
        candidates.retain(|first| !avoid.contains(first) || has_restarted(first));
        let Some(chosen) = isolation_engine(&candidates, &avoid) else {
            return Err(NoTarget::Isolated(remaining));
        };
        avoid.extend(candidates.iter().filter(|first| *first != chosen).cloned());
    }
    let request = PathRequest { avoid: &avoid, ..request };
    // A stopping VM has little time to finish what it takes.
    let path = match gateway.drain_plan.get() {
        Some(_) => choose_fastest_path(context, request),
        None => choose_path(context, request),
    };
    if let Some(path) = path {
        if context.mechanisms.forecasts {
            job.forecast.get_or_init(|| gateway.forecasts.predict(context, request, &path));
        }
        return Ok(Target::from_path(path));
    }
    match choose_any_path(context, request) {
        Some(path) if path_choice == PathChoice::Any => Ok(Target::from_path(path)),
        Some(_) => Err(NoTarget::NoRoom),
        None if has_path_despite_pushback(context, request) => Err(NoTarget::Withheld),
        None => {
            gateway.decisions.no_path(job, count_engines(context, &job.service.name));
            Err(NoTarget::NoPath)
        }
    }
}

impl Target {
    fn from_path(path: LayerPath) -> Self {
        let first = path.first();
        Self { endpoint: first.endpoint.clone(), address: first.address, path: Some(path) }
    }
}

/// Chooses the endpoint with the fewest requests in flight, for a service without layers.
fn choose_endpoint<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    avoid: &[EndpointId],
    now: Instant,
) -> Result<Target, NoTarget> {
    let local_hall = gateway.settings().hall.clone();
    let context = gateway.routing_context(now);
    gateway.platform.endpoints(|directory| {
        let usable = directory.usable_of(&job.service.name);
        let available = usable.filter(|record| {
            !avoid.contains(&record.id) && gateway.endpoint_tracker.accepts_work(&record.id, now)
        });
        let available: Vec<_> = available.collect();
        let may_send = available.iter().filter(|record| context.may_send(&record.id));
        let best = may_send.min_by_key(|record| {
            (gateway.endpoint_tracker.in_flight(&record.id), record.hall != local_hall)
        });
        match best {
            Some(best) => {
                Ok(Target { endpoint: best.id.clone(), address: best.address, path: None })
            }
            None if available.is_empty() => Err(NoTarget::NoPath),
            None => Err(NoTarget::Withheld),
        }
    })
}
