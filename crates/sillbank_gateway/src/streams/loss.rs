//! Finds out which engine of a path is lost, and moves the request around it.

use crate::doctor::{Diagnosis, diagnose, silence_means_loss};
use crate::endpoints::Evidence;
use crate::gateway::Gateway;
use crate::job::{Job, path_ask};
use crate::metrics::KindLabel;
use crate::paths::choose_mended_path;
use crate::store::MetadataStore;
use crate::wire::{OrderEnd, Wire};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Silence after which a stream's first endpoint is asked what it waits for. Events come every few
/// tens of milliseconds; callers give a stream up after two seconds.
pub(super) const DOUBT: Duration = Duration::from_millis(450);
/// How long an engine may take to move a request to another path.
const MOVE_LIMIT: Duration = Duration::from_millis(400);

/// Asks whether an endpoint of a path is lost; one that others found lost already counts.
pub(super) async fn look_for_loss<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    first: &str,
    address: SocketAddr,
    path: Option<&LayerPath>,
    sent_at: Instant,
) -> Option<(EndpointId, String)> {
    if let Some(path) = path {
        let is_lost = |part: &&PathPart| gateway.book.ejected_since(&part.endpoint, sent_at);
        let lost = path.parts().iter().find(is_lost);
        if let Some(part) = lost {
            return Some((part.endpoint.clone(), "a part of the path is left alone".to_owned()));
        }
    }
    match diagnose(gateway, address, &job.head.request_id).await {
        Diagnosis::Working => None,
        Diagnosis::Silent(_) if !silence_means_loss(standing(gateway, first)) => None,
        Diagnosis::Silent(reason) => {
            gateway.on_evidence(first, Evidence::Unreachable, &reason);
            Some((first.to_owned(), reason))
        }
        Diagnosis::WaitsFor(address) => {
            let part = path.and_then(|path| path.at(address))?;
            let reason = "the first endpoint waits for it".to_owned();
            gateway.on_evidence(&part.endpoint, Evidence::Unreachable, &reason);
            Some((part.endpoint.clone(), reason))
        }
    }
}

/// Moves a request to a path on which others run the lost part; answers the path if that was taken.
pub(super) async fn move_request<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    first: SocketAddr,
    path: Option<&LayerPath>,
    lost: &str,
) -> Option<LayerPath> {
    if !gateway.settings().mechanisms.moves {
        return None;
    }
    let (path, figures) = (path?, job.service.engine.as_ref()?);
    let home = gateway.settings().hall.clone();
    let views = gateway.views(Instant::now());
    let avoid = [lost.to_owned()];
    let mended = choose_mended_path(views, path_ask(job, figures, &home, &avoid), path, lost)?;
    let call = W::move_call(&job.head.request_id, &mended);
    let ended = gateway.engine_calls.call(first, call, MOVE_LIMIT).await;
    let end = match &ended {
        Ok(reply) => W::read_order_end(reply.status),
        Err(_) => OrderEnd::Refused,
    };
    let is_moved = matches!(end, OrderEnd::Begun | OrderEnd::Done);
    gateway.metrics.moves.get_or_create(&KindLabel { kind: end.name() }).inc();
    gateway.decisions.moved(job, lost, &mended, end, gateway.knowledge.stamp(Instant::now()));
    is_moved.then_some(mended)
}

fn standing<W: Wire, S: MetadataStore>(gateway: &Gateway<W, S>, id: &str) -> Option<Standing> {
    gateway.knowledge.endpoints(|directory| directory.get(id).map(|record| record.standing))
}
