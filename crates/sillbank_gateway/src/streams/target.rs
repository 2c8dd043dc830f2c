//! Chooses where a stream's request goes.

use crate::gateway::Gateway;
use crate::job::{Job, path_ask};
use crate::paths::{
    PathRequest, choose_any_path, choose_path, first_engines, has_path_despite_pushback,
    isolation_engine,
};
use crate::store::MetadataStore;
use crate::wire::{EventNumber, Wire};
use sillbank_core::prelude::*;
use sillbank_layers::prelude::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Where a stream's request goes.
pub(super) struct Target {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) path: Option<LayerPath>,
}

/// Why a request cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoTarget {
    /// Some layers are held by no engine that can be used.
    NoPath,
    /// There is a path, but some of its engines have no room.
    NoRoom,
    /// There is a path, but the endpoints that it could begin at asked for fewer requests.
    Withheld,
    /// The only endpoint that it could begin at is not risked for it, for so long.
    KeptApart(Duration),
}

impl NoTarget {
    pub(super) fn text(self) -> &'static str {
        match self {
            Self::NoPath => "no path covers the model",
            Self::NoRoom => "no path has room",
            Self::KeptApart(_) => "an endpoint ended under it, and the only one left is not risked",
            Self::Withheld => "the endpoints that could take it asked for fewer requests",
        }
    }
}

/// The target of a request. One that was begun goes on also where room is short: it has more to lose.
pub(super) fn choose_target<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    resume_after: Option<EventNumber>,
    avoid: &[EndpointId],
) -> Result<Target, NoTarget> {
    let now = Instant::now();
    let home = gateway.settings().hall.clone();
    let Some(figures) = &job.service.engine else {
        return choose_endpoint(gateway, job, avoid, now);
    };
    let views = gateway.routing_context(now);
    let ask = path_ask(job, figures, &home, avoid);
    let mut avoid = avoid.to_vec();
    if let Some(left) = gateway.isolated_for(job) {
        let mut firsts = first_engines(views, ask);
        // What it has tried counts again once it has started again.
        let is_back = |first: &str| gateway.endpoint_tracker.restarted_since(first, job.began);
        firsts.retain(|first| !avoid.contains(first) || is_back(first));
        let Some(risked) = isolation_engine(&firsts, &avoid) else {
            return Err(NoTarget::KeptApart(left));
        };
        avoid.extend(firsts.iter().filter(|first| *first != risked).cloned());
    }
    let ask = PathRequest { avoid: &avoid, ..ask };
    if let Some(path) = choose_path(views, ask) {
        if views.mechanisms.forecasts {
            job.foretold.get_or_init(|| gateway.forecasts.foretell(views, ask, &path));
        }
        return Ok(Target::on(path));
    }
    match choose_any_path(views, ask) {
        Some(path) if resume_after.is_some() => Ok(Target::on(path)),
        Some(_) => Err(NoTarget::NoRoom),
        None if has_path_despite_pushback(views, ask) => Err(NoTarget::Withheld),
        None => Err(NoTarget::NoPath),
    }
}

impl Target {
    fn on(path: LayerPath) -> Self {
        let first = path.first();
        Self { endpoint: first.endpoint.clone(), address: first.address, path: Some(path) }
    }
}

/// The endpoint of a service without layers that has the least in flight.
fn choose_endpoint<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    avoid: &[EndpointId],
    now: Instant,
) -> Result<Target, NoTarget> {
    let home = gateway.settings().hall.clone();
    let views = gateway.routing_context(now);
    gateway.platform.endpoints(|directory| {
        let usable = directory.usable_of(&job.service.name);
        let fits = usable.filter(|r| {
            !avoid.contains(&r.id) && gateway.endpoint_tracker.accepts_work(&r.id, now)
        });
        let fits: Vec<_> = fits.collect();
        let may_send = fits.iter().filter(|r| views.may_send(&r.id));
        let best =
            may_send.min_by_key(|r| (gateway.endpoint_tracker.in_flight(&r.id), r.hall != home));
        match best {
            Some(best) => {
                Ok(Target { endpoint: best.id.clone(), address: best.address, path: None })
            }
            None if fits.is_empty() => Err(NoTarget::NoPath),
            None => Err(NoTarget::Withheld),
        }
    })
}
