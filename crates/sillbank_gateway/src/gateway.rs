//! State that all tasks of a gateway share.

use crate::call_tracker::CallTracker;
use crate::connection_pool::ConnectionPool;
use crate::counted_store::CountedStore;
use crate::crashes::{CrashedEndpoints, PendingChecks};
use crate::decisions::{DecisionLog, Outcome};
use crate::demand::DemandTracker;
use crate::demand_share::DemandShares;
use crate::endpoints::{EndpointTracker, Evidence};
use crate::feed::Incarnation;
use crate::forecasts::Forecasts;
use crate::freshness::Freshness;
use crate::hall::{Hall, LeaderScore};
use crate::head_limit::HeadLimit;
use crate::job::Job;
use crate::links::Links;
use crate::load::FleetLoad;
use crate::log_interval::LogInterval;
use crate::metrics::{KindLabel, Metrics, OutcomeLabel};
use crate::paths::RoutingContext;
use crate::platform_view::PlatformView;
use crate::quarantine::UNREADABLE_PARTS_LOG_INTERVAL;
use crate::rate_leases::RateLeases;
use crate::reply_times::{LateReplies, ReplyTimes};
use crate::revision::Revision;
use crate::settings::GatewaySettings;
use crate::store::StoreError;
use crate::streams::{RunningStreams, StreamActivity};
use crate::unreadable::UnreadableEntries;
use crate::vm_limits::{LimitMeter, LimitState};
use crate::wire::Wire;
use sillbank_admission::budget::RetryBudget;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_drain::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::prelude::*;
use sillbank_pushback::prelude::*;
use sillbank_quarantine::prelude::*;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Age of a process up to which requests wait for the first configuration, endpoints and quarantine
/// list. All of them are available about 0.3 s after the start, also when all VMs start at once.
/// Without the wait, 660 callers of 300 VMs were refused at such a start, and each VM would send
/// quarantined requests once more.
pub const STARTUP_WAIT: Duration = Duration::from_millis(1_000);

/// Idle timeout of callers' connections, and time limit for the heads of their requests, until the
/// first configuration sets them.
pub const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time since the last connection through another VM after which there is none to connect through.
const RELAY_USE_TIME: Duration = Duration::from_secs(2);

/// Lifecycle of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleState {
    /// It serves requests.
    Serving,
    /// It was asked to stop. Requests that it can finish are still accepted, as the load balancer
    /// may not know yet.
    Draining,
    /// It finishes the answers under way and accepts no requests any more.
    Stopping,
}

/// State that all tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway<W, S> {
    /// Settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// The platform's store.
    pub store: CountedStore<S>,
    /// This VM's view of the platform: configuration and endpoints.
    pub platform: PlatformView,
    /// Entries of endpoints that could not be parsed.
    pub unreadable: UnreadableEntries,
    /// Leader and followers of this hall, and the reports of all halls.
    pub hall: Hall,
    /// Health of endpoints and work in flight, as this VM observes them.
    pub endpoint_tracker: Rc<EndpointTracker>,
    /// Links to endpoints, and the VMs that connect on behalf of this one.
    pub links: Links,
    /// Endpoints that crashed while they ran a request.
    pub crashed_endpoints: CrashedEndpoints,
    /// Checks of endpoints whose connections broke under requests.
    pub pending_checks: PendingChecks,
    /// How long endpoints take to answer calls other than requests.
    pub reply_times: ReplyTimes,
    /// Replies to such calls that arrive after their timeout.
    pub(crate) late_replies: LateReplies,
    /// Rate limits and pauses that endpoints asked for in their answers.
    pub pushback: RefCell<PushbackTracker>,
    /// Rate leases that this VM grants while it leads.
    pub rate_leases: RateLeases,
    /// Requests and parts of prompts under which endpoints crashed.
    pub quarantine: RefCell<CrashQuarantine>,
    /// Whether the quarantine list was received from a leader or read from the store since the
    /// start.
    pub quarantine_is_loaded: Cell<bool>,
    /// Newest urgent changes of requests and of parts for which followers were woken.
    pub(crate) quarantine_announced: Cell<(u64, u64)>,
    /// Limits log lines about parts of prompts that cannot be read.
    pub(crate) unreadable_parts_log: LogInterval,
    /// Answer times of the endpoints of plain services.
    pub call_tracker: CallTracker,
    /// Corrections learnt for stream forecasts.
    pub forecasts: Forecasts,
    /// Streams in progress with the time of their last event.
    pub stream_activity: Rc<StreamActivity>,
    /// Load shedding by service.
    pub load: FleetLoad,
    /// Demand on this VM and its hall.
    pub demand: DemandTracker,
    /// Demand on this VM compared with that on others.
    pub demand_shares: DemandShares,
    /// Connections to endpoints.
    pub connection_pool: ConnectionPool,
    /// HTTP client for reports and orders of engines.
    pub engine_calls: HttpClient,
    /// Writes the decision log.
    pub decisions: DecisionLog,
    /// Metrics.
    pub metrics: Metrics,
    /// Timeouts of callers' connections.
    pub caller_timeouts: SharedTimeouts,
    /// Limit on the heads of callers' requests.
    pub head_limit: RefCell<HeadLimit>,
    /// Bytes buffered for callers and endpoints.
    pub memory_budget: MemoryBudget,
    /// How near this VM is to its own limits.
    pub limits: RefCell<LimitMeter>,
    /// Runs tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Lifecycle state of the process.
    pub lifecycle: Cell<LifecycleState>,
    /// Times of the stop, once the process was asked to.
    pub drain_plan: Cell<Option<DrainPlan>>,
    /// How far streams were from their forecasts, by service.
    pub drain_experience: RefCell<HashMap<ServiceId, Experience>>,
    /// Streams whose answers have not been written completely.
    pub running_streams: Rc<RunningStreams>,
    /// Stops the server of callers.
    pub stopper: Stopper,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub incarnation: Incarnation,
    /// Source of randomness for all decisions.
    pub rng: SharedRng,
    /// Number of requests in progress.
    pub in_progress: Cell<u64>,
    store_reached: Cell<bool>,
    store_answered_at: Cell<Option<Instant>>,
    /// Retry budgets by service.
    pub(crate) budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    started_at: Instant,
    wire: PhantomData<W>,
}

impl<W: Wire, S> Gateway<W, S> {
    /// Creates a gateway with an empty view of the platform. All random decisions draw from
    /// `rng`.
    pub fn new(
        settings: GatewaySettings,
        store: S,
        engine_calls: HttpClient,
        executor: Rc<LocalExecutor<'static>>,
        rng: SharedRng,
    ) -> Self {
        let metrics = Metrics::default();
        let (incarnation, started_at) = (rng.next_u64(), Instant::now());
        Self {
            platform: PlatformView::new(settings.key_revocation),
            caller_timeouts: SharedTimeouts::new(Timeouts::uniform(INITIAL_IDLE_TIMEOUT)),
            head_limit: RefCell::new(HeadLimit::new(CallerLimits::default().max_head_bytes)),
            memory_budget: MemoryBudget::new(settings.buffer_limit_bytes()),
            settings: RefCell::new(Rc::new(settings)),
            store: CountedStore::new(store, metrics.store_calls.clone()),
            unreadable: UnreadableEntries::default(),
            limits: RefCell::default(),
            hall: Hall::new(rng.clone()),
            endpoint_tracker: Rc::default(),
            links: Links::default(),
            crashed_endpoints: CrashedEndpoints::default(),
            pending_checks: PendingChecks::default(),
            reply_times: ReplyTimes::default(),
            late_replies: LateReplies::default(),
            pushback: RefCell::default(),
            rate_leases: RateLeases::default(),
            quarantine: RefCell::default(),
            quarantine_is_loaded: Cell::new(false),
            quarantine_announced: Cell::new((0, 0)),
            unreadable_parts_log: LogInterval::new(UNREADABLE_PARTS_LOG_INTERVAL),
            call_tracker: CallTracker::default(),
            forecasts: Forecasts::default(),
            stream_activity: Rc::default(),
            load: FleetLoad::default(),
            demand: DemandTracker::new(incarnation, started_at),
            demand_shares: DemandShares::default(),
            connection_pool: ConnectionPool::new(executor.clone()),
            engine_calls,
            decisions: DecisionLog::default(),
            metrics,
            executor,
            lifecycle: Cell::new(LifecycleState::Serving),
            drain_plan: Cell::default(),
            drain_experience: RefCell::default(),
            running_streams: Rc::default(),
            stopper: Stopper::default(),
            incarnation,
            rng,
            in_progress: Cell::new(0),
            store_reached: Cell::new(true),
            store_answered_at: Cell::new(None),
            budgets: RefCell::default(),
            started_at,
            wire: PhantomData,
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Staleness bounds that follow from the settings in force.
    pub fn freshness(&self) -> Freshness {
        let settings = self.settings.borrow();
        Freshness::new(settings.config_in_force, settings.key_revocation)
    }

    /// Everything that the choice of a path depends on.
    pub fn routing_context(&self, now: Instant) -> RoutingContext<'_> {
        let mechanisms = self.settings.borrow().mechanisms;
        self.demand_shares.renew(now, || self.compared_demand(now));
        RoutingContext {
            platform: &self.platform,
            hall: &self.hall,
            endpoint_tracker: &self.endpoint_tracker,
            pushback: &self.pushback,
            demand_shares: &self.demand_shares,
            mechanisms,
            rng: &self.rng,
            now,
        }
    }

    /// Whether this VM leads and relies on the leader of another hall to follow the store. See
    /// [`Hall::upstream_is_fresh`].
    pub fn upstream_is_fresh(&self, now: Instant) -> bool {
        let freshness = self.freshness();
        self.hall.upstream_is_fresh(&self.settings.borrow().hall, now, freshness)
    }

    /// How near this VM is to its limits; always `Clear` when the mechanism is off.
    pub fn limit_state(&self) -> LimitState {
        match self.settings.borrow().mechanisms.vm_limits {
            true => self.limits.borrow().state(),
            false => LimitState::Clear,
        }
    }

    /// How fit this VM is to lead its hall. It is 0 while the VM does not serve or is near a limit,
    /// as leading takes network bandwidth and processor time, and while it cannot reach the hall's
    /// engines itself.
    pub fn leader_score(&self) -> LeaderScore {
        let settings = self.settings.borrow();
        match self.lifecycle.get() {
            LifecycleState::Serving if self.limit_state() != LimitState::Clear => 0.0,
            LifecycleState::Serving if self.links.is_hall_lost(&settings.hall) => 0.0,
            LifecycleState::Serving => settings.processors * settings.link_mbps,
            LifecycleState::Draining | LifecycleState::Stopping => 0.0,
        }
    }

    /// When the process started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Time since the process started.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Whether the quarantine list was loaded, or the startup wait for it is over.
    fn knows_quarantine(&self, now: Instant) -> bool {
        self.quarantine_is_loaded.get() || self.age(now) >= STARTUP_WAIT
    }

    /// Whether the VM reports itself ready for new work. A VM near a limit, or one that reaches no
    /// endpoint, does not, as long as enough other VMs of its hall are fit.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.lifecycle.get() == LifecycleState::Serving
            && self.platform.is_fresh(now)
            && self.platform.knows_endpoints()
            && self.knows_quarantine(now)
            && ((self.limit_state() == LimitState::Clear && !self.is_cut_off(now))
                || !self.hall.others_suffice(now))
    }

    /// Whether this VM can reach no endpoint, neither directly nor through another VM.
    fn is_cut_off(&self, now: Instant) -> bool {
        let halls = self.platform.halls();
        !halls.is_empty()
            && halls.iter().all(|hall| self.links.is_hall_lost(hall))
            && self.links.has_no_relay(RELAY_USE_TIME, now)
    }

    /// Applies a configuration read at revision `at`, unless a newer one is in force.
    pub fn offer_catalog(&self, catalog: Catalog, parts: CatalogParts, at: Revision) {
        let (version, services) = (parts.version, parts.services.clone());
        let limits = catalog.limits();
        let is_applied = self.platform.offer_catalog(catalog, parts);
        self.decisions.catalog_read(Some(version), at, is_applied);
        if is_applied {
            self.apply_caller_timeouts(limits);
            self.apply_head_limit(limits);
            self.decisions.warn_invalid_figures(&services);
        }
    }

    /// Applies the timeouts of a configuration to callers' connections. Callers may go by the
    /// earlier configuration until the new one is in force everywhere.
    fn apply_caller_timeouts(&self, limits: CallerLimits) {
        let timeouts = Timeouts { idle: limits.idle_timeout, head: limits.head_timeout };
        self.caller_timeouts.replace(timeouts, self.settings.borrow().config_in_force);
    }

    /// Applies the limit of heads of a configuration. Callers may go by the earlier one until the new
    /// one is in force everywhere.
    fn apply_head_limit(&self, limits: CallerLimits) {
        let overlap = self.settings.borrow().config_in_force;
        self.head_limit.borrow_mut().replace(limits.max_head_bytes, Instant::now(), overlap);
    }

    /// Records that the store answered a call sent at `sent`, as of revision `at`.
    pub fn on_store_answer(&self, follower: &'static str, sent: Instant, at: Revision) {
        self.metrics.store_era.set(at.era as i64);
        self.platform.on_call_answered(sent);
        self.store_answered_at.set(Some(Instant::now()));
        if !self.store_reached.replace(true) {
            let now = Instant::now();
            self.platform.on_store_recovered(now);
            let may_lapse = self.platform.may_lapse(now);
            tracing::info!(follower, may_lapse, "store: Back.");
        }
        self.platform.on_store_answer(Instant::now());
    }

    /// Records that a call to the store sent at `sent` failed.
    pub fn on_store_error(&self, follower: &'static str, sent: Instant, error: &StoreError) {
        self.metrics.store_errors.get_or_create(&KindLabel { kind: follower }).inc();
        if error.requires_reread() {
            tracing::info!(follower, %error, "store: A watch cannot continue; everything is read again.");
            return;
        }
        let now = Instant::now();
        self.platform.on_call_failed(sent, now, error.store_failure());
        if self.store_reached.replace(false) {
            let may_lapse = self.platform.may_lapse(now);
            tracing::warn!(follower, %error, may_lapse, "store: Lost.");
        }
    }

    /// Records an endpoint entry that cannot be parsed.
    pub fn on_unreadable(&self, entry: &UnreadableEntry) {
        if self.unreadable.record(entry) {
            self.metrics.unreadable.get_or_create(&KindLabel { kind: "entry" }).inc();
        }
    }

    /// Drops what is kept for endpoints whose entries were removed.
    pub fn on_removals(&self, removals: &[(EndpointId, Removal)]) {
        let stamp = self.platform.stamp(Instant::now());
        for (id, removal) in removals {
            self.unreadable.forget(id);
            self.decisions.endpoint_removed(id, *removal, stamp);
            if *removal == Removal::Gone {
                self.connection_pool.close_idle(id);
            }
        }
    }

    /// Applies the endpoints that a leader reported. If `is_wanted` is false, they are only marked
    /// as received.
    pub fn on_reported_endpoints(
        &self,
        replication: &mut Replication,
        at: Revision,
        difference: Difference,
        is_wanted: bool,
    ) {
        let gone = self.platform.apply_difference(replication, at, difference, is_wanted);
        self.reset_restarted_endpoints();
        self.log_held_back();
        let removals: Vec<_> = gone.into_iter().map(|id| (id, Removal::Gone)).collect();
        self.on_removals(&removals);
    }

    /// Logs endpoints whose entries in a restored store are ignored.
    pub fn log_held_back(&self) {
        for endpoint in self.platform.take_held_back() {
            self.metrics.held_back.inc();
            tracing::info!(
                endpoint,
                "endpoint: Listed again by the restored store, held back: it was known to leave."
            );
        }
    }

    /// Whether the last call to the store was answered.
    pub fn store_is_reached(&self) -> bool {
        self.store_reached.get()
    }

    /// Whether the store answered a call within the last `max_age`, and none has failed since.
    pub fn store_answered_within(&self, max_age: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < max_age;
        self.store_reached.get() && self.store_answered_at.get().is_some_and(is_recent)
    }

    /// Applies evidence of an endpoint's health from an exchange that started at `started_at`, and
    /// logs when the endpoint is ejected or used again. Evidence from before the endpoint's last
    /// restart is ignored, and so are failures from before all links to its hall were found lost.
    pub fn on_evidence(
        &self,
        endpoint: &str,
        evidence: Evidence,
        started_at: Instant,
        reason: &str,
    ) {
        let now = Instant::now();
        if self.endpoint_tracker.restarted_since(endpoint, started_at) {
            return;
        }
        // Such an exchange was over a direct connection, and its failure is explained.
        let lost_since = |hall: HallId| self.links.was_hall_lost_since(&hall, started_at);
        if evidence != Evidence::Good && self.hall_of(endpoint).is_some_and(lost_since) {
            return;
        }
        if !self.endpoint_tracker.on_evidence(endpoint, evidence, now) {
            return;
        }
        match self.endpoint_tracker.is_ejected(endpoint) {
            true => {
                self.connection_pool.close_idle(endpoint);
                tracing::warn!(endpoint, reason, "endpoint: Left alone.");
            }
            false => tracing::info!(endpoint, reason, "endpoint: Used again."),
        }
    }

    /// Counts and logs the end of a request.
    pub fn on_end(&self, job: &Job, outcome: Outcome, status: u16, events: u64, reason: &str) {
        let label = OutcomeLabel { outcome: outcome.name(), status };
        self.metrics.requests.get_or_create(&label).inc();
        self.count_end(job, outcome);
        let kind = KindLabel { kind: work_name(job) };
        self.metrics
            .whole_answer_s
            .get_or_create(&kind)
            .observe(job.received_at.elapsed().as_secs_f64());
        if outcome == Outcome::Answered {
            self.forecasts.on_answered(job, self.settings.borrow().mechanisms, &self.metrics);
            self.record_drain_experience(job);
        }
        self.decisions.ended(job, outcome, status, events, reason);
    }

    /// Records the time to the first part of an answer.
    pub fn on_first_answer(&self, job: &Job) {
        let kind = KindLabel { kind: work_name(job) };
        self.metrics
            .first_answer_s
            .get_or_create(&kind)
            .observe(job.received_at.elapsed().as_secs_f64());
    }
}

fn work_name(job: &Job) -> &'static str {
    match job.route.kind {
        sillbank_catalog::WorkKind::Call(_) => "call",
        sillbank_catalog::WorkKind::Stream(_) => "stream",
    }
}
