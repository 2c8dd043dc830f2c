//! Checks of links: pairs of attempts, one direct and one through another VM.

use crate::gateway::Gateway;
use crate::metrics::HallLabel;
use crate::probes::silence_means_loss;
use crate::reply_times::MAX_TIMEOUT;
use crate::store::MetadataStore;
use crate::wire::Wire;
use bytes::Bytes;
use futures_lite::future::or;
use hyper::{Method, Request};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_links::prelude::*;
use sillbank_net::client::request_to;
use sillbank_net::running_timer::running_timer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of one attempt. A report does not wait in the engine's queue; a health check may wait for a slot, and then fails
/// on both ways.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time between two checks of an endpoint.
const PAIR_INTERVAL: Duration = Duration::from_millis(500);
/// Endpoints that are checked within this time, at most.
const MAX_PAIRS: usize = 16;
/// Further endpoints of a hall that are checked when the link to one is lost, and checked for a return.
const SAMPLE: usize = 3;
/// VMs through which one endpoint is checked: one of the own hall and one of another.
const MAX_RELAYS: usize = 2;
/// Interval at which lost links are tried again.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the interval by which it varies, so that VMs do not try together.
const RETURN_JITTER: f64 = 0.2;

/// What a pair of attempts showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The endpoint answered directly.
    Reached,
    /// It answered only through another VM.
    LinkLost,
    /// It answered on neither way.
    Unreachable,
}

/// Checks the links to endpoints with which exchanges failed, while the program runs.
pub async fn check_troubled<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    let mut checked_at: HashMap<EndpointId, Instant> = HashMap::new();
    while let Some(endpoint) = gateway.links.next_troubled().await {
        let now = Instant::now();
        checked_at.retain(|_, at| now.saturating_duration_since(*at) < PAIR_INTERVAL);
        let is_due = checked_at.len() < MAX_PAIRS && !checked_at.contains_key(&endpoint);
        let is_relay_on = gateway.settings().mechanisms.relay;
        if !is_due || !is_relay_on || gateway.transit_to(&endpoint) == Transit::Relayed {
            continue;
        }
        let record = gateway.platform.endpoints(|all| all.get(&endpoint).cloned());
        let accepts = |record: &EndpointRecord| silence_means_loss(Some(record.standing));
        let Some(record) = record.filter(accepts) else { continue };
        checked_at.insert(endpoint, now);
        let check = check_troubled_endpoint(gateway.clone(), record);
        gateway.executor.spawn(check).detach();
    }
}

async fn check_troubled_endpoint<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    record: EndpointRecord,
) {
    if gateway.check_link(&record).await != Finding::LinkLost {
        return;
    }
    if !gateway.links.is_hall_lost(&record.hall) {
        for other in gateway.sample(&record.hall, Some(&record.id)) {
            gateway.links.on_trouble(&other.id);
        }
    }
}

/// Tries lost links directly, while the program runs.
pub async fn check_returns<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>) {
    loop {
        let jitter = 1.0 + RETURN_JITTER * (2.0 * gateway.rng.next_f64() - 1.0);
        smol::Timer::after(RETURN_INTERVAL.mul_f64(jitter)).await;
        let halls: Vec<HallId> =
            gateway.links.monitor.borrow().lost_halls().map(|(hall, _)| hall.clone()).collect();
        for hall in halls {
            gateway.executor.spawn(check_hall(gateway.clone(), hall)).detach();
        }
        let endpoints: Vec<EndpointId> =
            gateway.links.monitor.borrow().lost_endpoints().take(SAMPLE).cloned().collect();
        for endpoint in endpoints {
            let record = gateway.platform.endpoints(|all| all.get(&endpoint).cloned());
            if let Some(record) = record {
                let checking = gateway.clone();
                let check = async move {
                    checking.check_link(&record).await;
                };
                gateway.executor.spawn(check).detach();
            }
        }
    }
}

/// Tries some endpoints of a hall all links to which count as lost. Those that answer on neither way do not count.
async fn check_hall<W: Wire, S: MetadataStore>(gateway: Rc<Gateway<W, S>>, hall: HallId) {
    let records = gateway.sample(&hall, None);
    let checks: Vec<_> = records
        .into_iter()
        .map(|record| {
            let checking = gateway.clone();
            gateway.executor.spawn(async move { checking.check_link(&record).await })
        })
        .collect();
    let mut findings = Vec::new();
    for check in checks {
        findings.push(check.await);
    }
    let Some(all_answered) = all_answered(&findings) else { return };
    let now = Instant::now();
    let change = gateway.links.monitor.borrow_mut().on_check(&hall, all_answered, now);
    gateway.on_hall_change(&hall, change);
}

/// Whether the links to all endpoints of a sample work; `None` if most of them answered on neither way, which proves nothing. A
/// hall without endpoints needs no links.
fn all_answered(findings: &[Finding]) -> Option<bool> {
    if findings.contains(&Finding::LinkLost) {
        return Some(false);
    }
    let reached = findings.iter().filter(|finding| **finding == Finding::Reached).count();
    (reached * 2 > findings.len() || findings.is_empty()).then_some(true)
}

impl<W: Wire, S: MetadataStore> Gateway<W, S> {
    /// Up to [`SAMPLE`] endpoints of a hall that accept work, drawn at random, without `left_out`.
    fn sample(&self, hall: &str, left_out: Option<&EndpointId>) -> Vec<EndpointRecord> {
        self.sample_where(SAMPLE, |record| record.hall == hall && Some(&record.id) != left_out)
    }

    /// Up to `limit` addresses of endpoints that accept work and that this VM has not ejected, of a hall or, if `hall` is
    /// `None`, of all halls.
    pub(super) fn sample_addresses(
        &self,
        hall: Option<&str>,
        left_out: &EndpointId,
        limit: usize,
    ) -> Vec<SocketAddr> {
        let records = self.sample_where(limit, |record| {
            record.id != *left_out
                && hall.is_none_or(|hall| record.hall == hall)
                && !self.endpoint_tracker.is_ejected(&record.id)
        });
        records.into_iter().map(|record| record.address).collect()
    }

    fn sample_where(
        &self,
        limit: usize,
        is_wanted: impl Fn(&EndpointRecord) -> bool,
    ) -> Vec<EndpointRecord> {
        let mut ids: Vec<EndpointId> = self.platform.endpoints(|all| {
            let accepts = |record: &&EndpointRecord| record.standing == Standing::Ready;
            let wanted = all.iter().filter(accepts).filter(|record| is_wanted(record));
            wanted.map(|record| record.id.clone()).collect()
        });
        let mut drawn = Vec::new();
        while drawn.len() < limit && !ids.is_empty() {
            let at = (self.rng.next_u64() % ids.len() as u64) as usize;
            let id = ids.swap_remove(at);
            drawn.extend(self.platform.endpoints(|all| all.get(&id).cloned()));
        }
        drawn
    }

    /// Makes a pair of attempts and records what it shows.
    async fn check_link(&self, record: &EndpointRecord) -> Finding {
        let finding = self.compare_ways(record).await;
        let now = Instant::now();
        match finding {
            Finding::Reached => {
                self.links.monitor.borrow_mut().on_reached(&record.hall, &record.id, now);
            }
            Finding::LinkLost => self.on_link_lost(record, now),
            Finding::Unreachable => {}
        }
        finding
    }

    /// Whether a check confirms that the link to an endpoint is lost: it answers, but only through
    /// another VM.
    pub async fn confirms_lost_link(&self, endpoint: &str) -> bool {
        let record = self.platform.endpoints(|all| all.get(endpoint).cloned());
        let Some(record) = record else { return false };
        self.check_link(&record).await == Finding::LinkLost
    }

    /// Tries an endpoint directly and, if it does not answer in time, through another VM as well. A direct answer that arrives
    /// meanwhile shows that the link works and the endpoint, or this VM, is slow.
    async fn compare_ways(&self, record: &EndpointRecord) -> Finding {
        let timeout = self.reply_timeout(ATTEMPT_TIMEOUT);
        let mut direct = pin!(self.answers_directly(record, MAX_TIMEOUT));
        let in_time = async {
            running_timer(timeout, MAX_TIMEOUT).await;
            None
        };
        let relayed = async {
            match self.answers_relayed(record, timeout).await {
                true => Finding::LinkLost,
                false => Finding::Unreachable,
            }
        };
        match or(async { Some((&mut direct).await) }, in_time).await {
            Some(true) => Finding::Reached,
            Some(false) => relayed.await,
            None => {
                let late = async {
                    match direct.await {
                        true => Finding::Reached,
                        false => std::future::pending().await,
                    }
                };
                or(late, relayed).await
            }
        }
    }

    /// Whether an endpoint answers a call other than a request. An engine's report also shows whether it has restarted.
    pub async fn endpoint_answers(&self, endpoint: &str) -> bool {
        let record = self.platform.endpoints(|all| all.get(endpoint).cloned());
        let Some(record) = record else { return false };
        if record.accelerator.is_none() {
            return self.answers_directly(&record, ATTEMPT_TIMEOUT).await;
        }
        let call = self.call_engine(endpoint, record.address, W::report_call(), ATTEMPT_TIMEOUT);
        let Ok(reply) = call.await else { return false };
        if let Ok(report) = W::read_report(&reply.body) {
            self.on_reported_incarnation(endpoint, report.born_ms);
        }
        true
    }

    async fn answers_directly(&self, record: &EndpointRecord, timeout: Duration) -> bool {
        let Some(check) = self.check_request(record) else { return false };
        let attempt = async {
            let connection = self.connection_pool.open(record.address).await;
            let connection = connection.map_err(|error| error.to_string())?;
            self.exchange_once(&record.id, connection, check).await
        };
        self.is_answered(record, "direct", timeout, attempt).await
    }

    /// Whether an endpoint answers through another VM. A VM through which it does not is failed if it answers through the
    /// next one: that VM has lost its links as well, and does not know yet.
    async fn answers_relayed(&self, record: &EndpointRecord, timeout: Duration) -> bool {
        let mut asked = Vec::new();
        for _ in 0..MAX_RELAYS {
            let Some(check) = self.check_request(record) else { return false };
            let attempt = async {
                let connection =
                    self.connect_through_another(&record.id, record.address, &mut asked).await;
                let connection = connection.map_err(|error| error.to_string())?;
                self.exchange_once(&record.id, connection, check).await
            };
            if self.is_answered(record, "relayed", timeout, attempt).await {
                let failed = asked.len().saturating_sub(1);
                self.links.on_relays_failed(&asked[..failed], Instant::now());
                return true;
            }
        }
        false
    }

    async fn is_answered<T>(
        &self,
        record: &EndpointRecord,
        way: &'static str,
        timeout: Duration,
        attempt: impl Future<Output = Result<T, String>>,
    ) -> bool {
        let started_at = Instant::now();
        let late = async {
            running_timer(timeout, MAX_TIMEOUT).await;
            Err(format!("no answer within {} ms", timeout.as_millis()))
        };
        match or(attempt, late).await {
            Ok(_) => {
                let now = Instant::now();
                let took = now.saturating_duration_since(started_at);
                self.reply_times.record(&record.id, took, now);
                true
            }
            Err(reason) => {
                tracing::debug!(endpoint = record.id, way, reason, "links: A check failed.");
                false
            }
        }
    }

    /// The request by which the link to an endpoint is checked: a report of an engine, the health check of another one.
    fn check_request(&self, record: &EndpointRecord) -> Option<Request<Bytes>> {
        if record.accelerator.is_some() {
            return Some(W::report_call());
        }
        let catalog = self.platform.catalog()?;
        let service = catalog.service(&record.service)?;
        let check = request_to(Method::GET, &service.health_path, Bytes::new());
        check
            .inspect_err(|error| {
                tracing::warn!(service = service.name, %error, "links: The health check of a service cannot be sent.");
            })
            .ok()
    }

    fn on_link_lost(&self, record: &EndpointRecord, now: Instant) {
        let listed = self.platform.endpoints(|all| {
            let is_of_hall = |other: &&EndpointRecord| other.hall == record.hall;
            all.iter().filter(is_of_hall).count()
        });
        let mut monitor = self.links.monitor.borrow_mut();
        let is_new = monitor.transit(&record.hall, &record.id) == Transit::Direct;
        let change = monitor.on_link_lost(&record.hall, &record.id, listed, now);
        drop(monitor);
        if is_new {
            self.use_relays(&record.id, now);
            self.metrics.links_lost.inc();
            tracing::info!(
                endpoint = record.id,
                hall = record.hall,
                "links: The endpoint is reached only through another VM."
            );
        }
        self.on_hall_change(&record.hall, change);
    }

    /// Stops to use direct connections to an endpoint, and what their failures say of its health.
    fn use_relays(&self, endpoint: &str, now: Instant) {
        self.connection_pool.close_idle_direct(endpoint);
        self.endpoint_tracker.forgive(endpoint, now);
    }

    fn on_hall_change(&self, hall: &str, change: Option<HallChange>) {
        let Some(HallChange { to, lost, .. }) = change else { return };
        let label = HallLabel { hall: hall.to_owned() };
        let is_lost = i64::from(to != HallLinkState::Good);
        self.metrics.lost_halls.get_or_create(&label).set(is_lost);
        let endpoints: Vec<EndpointId> = self.platform.endpoints(|all| {
            let of_hall = all.iter().filter(|record| record.hall == hall);
            of_hall.map(|record| record.id.clone()).collect()
        });
        let (listed, now) = (endpoints.len(), Instant::now());
        match to {
            HallLinkState::Lost => {
                self.engine_calls.close_idle();
                endpoints.iter().for_each(|endpoint| self.use_relays(endpoint, now));
                let relays = self.links.relays.borrow().len();
                tracing::warn!(hall, lost, listed, relays, "links: Lost.");
            }
            HallLinkState::Returning => tracing::info!(hall, listed, "links: Return."),
            HallLinkState::Good => {
                endpoints.iter().for_each(|endpoint| self.connection_pool.close_relayed(endpoint));
                tracing::info!(hall, listed, "links: Back.");
            }
        }
    }
}
