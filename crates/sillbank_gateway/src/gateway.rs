//! The parts of a gateway that its tasks share.

use crate::call_book::CallBook;
use crate::channels::ChannelPool;
use crate::counted_store::CountedStore;
use crate::decisions::{Decisions, Outcome};
use crate::demand::DemandBook;
use crate::endpoints::{EndpointBook, Evidence};
use crate::ends::EndedEndpoints;
use crate::feed::Incarnation;
use crate::forecasts::Forecasts;
use crate::freshness::Freshness;
use crate::hall::{Hall, Strength};
use crate::job::Job;
use crate::knowledge::Knowledge;
use crate::limit_parts::LimitParts;
use crate::load::FleetLoad;
use crate::metrics::{KindLabel, Metrics, OutcomeLabel};
use crate::paths::Views;
use crate::revision::Revision;
use crate::settings::GatewaySettings;
use crate::store::StoreError;
use crate::streams::HeardStreams;
use crate::unreadable::UnreadableEntries;
use crate::vm_limits::{LimitMeter, Standing};
use crate::wire::Wire;
use sillbank_admission::budget::RetryBudget;
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
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

/// Age of a process up to which requests wait for its first configuration and endpoints, and for what is known of
/// requests that end endpoints: when all VMs begin at once, each would send such a one again. It has them some
/// 0.3 s after it began, also when all VMs began at once. Without the wait, 660 callers of 300 VMs were
/// refused then.
pub const FIRST_KNOWLEDGE_WAIT: Duration = Duration::from_millis(1_000);

/// Where the process stands between start and end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It serves.
    Serving,
    /// It was asked to stop; the balancer may not know yet, so new requests are still taken.
    Draining,
    /// It ends what it has and takes nothing new.
    Stopping,
}

/// What all tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway<W, S> {
    /// Settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// The platform's store.
    pub store: CountedStore<S>,
    /// Configuration and endpoints.
    pub knowledge: Knowledge,
    /// Entries of endpoints that cannot be read.
    pub unreadable: UnreadableEntries,
    /// Who leads this hall, and what leaders tell of engines.
    pub hall: Hall,
    /// What was seen of endpoints.
    pub book: Rc<EndpointBook>,
    /// Endpoints that ended under requests.
    pub ends: EndedEndpoints,
    /// What endpoints asked of VMs in their answers.
    pub pushback: RefCell<PushbackBook>,
    /// What this VM has given away of their limits while it leads.
    pub limit_parts: LimitParts,
    /// Requests under which endpoints ended.
    pub quarantine: RefCell<Quarantine>,
    /// Whether a leader told of them, or the store was read, since this process began.
    pub quarantine_is_known: Cell<bool>,
    /// Newest of their changes that those who ask this VM were woken for.
    pub(crate) quarantine_told: Cell<u64>,
    /// What was seen of endpoints of plain services.
    pub call_book: CallBook,
    /// What was learnt of forecasts of streams.
    pub forecasts: Forecasts,
    /// Streams in progress, by what was last heard of them.
    pub heard: Rc<HeardStreams>,
    /// What is known of the load on services.
    pub load: FleetLoad,
    /// What this VM and its hall are asked for.
    pub demand: DemandBook,
    /// Connections to endpoints.
    pub channels: ChannelPool,
    /// Calls to engines beside requests: reports and orders.
    pub engine_calls: HttpClient,
    /// Decision lines.
    pub decisions: Decisions,
    /// Metrics.
    pub metrics: Metrics,
    /// What is kept for callers and endpoints.
    pub kept: MemoryBudget,
    /// How near this VM is to its limits.
    pub limits: RefCell<LimitMeter>,
    /// Runs tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Where the process stands.
    pub life: Cell<Life>,
    /// Drawn at the start, to tell this process from others on the same VM.
    pub incarnation: Incarnation,
    /// What is decided by chance is drawn here.
    pub chance: SharedRng,
    /// Requests in progress.
    pub in_progress: Cell<u64>,
    store_reached: Cell<bool>,
    /// Repeats that were drawn, by service.
    pub(crate) budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    began: Instant,
    wire: PhantomData<W>,
}

impl<W: Wire, S> Gateway<W, S> {
    /// A gateway that knows nothing yet, and draws from `chance` whatever it decides by chance.
    pub fn new(
        settings: GatewaySettings,
        store: S,
        engine_calls: HttpClient,
        executor: Rc<LocalExecutor<'static>>,
        chance: SharedRng,
    ) -> Self {
        let metrics = Metrics::default();
        let (incarnation, began) = (chance.next_u64(), Instant::now());
        Self {
            knowledge: Knowledge::new(settings.key_revocation),
            kept: MemoryBudget::new(settings.kept_bound_bytes()),
            settings: RefCell::new(Rc::new(settings)),
            store: CountedStore::new(store, metrics.store_calls.clone()),
            unreadable: UnreadableEntries::default(),
            limits: RefCell::default(),
            hall: Hall::new(chance.clone()),
            book: Rc::default(),
            ends: EndedEndpoints::default(),
            pushback: RefCell::default(),
            limit_parts: LimitParts::default(),
            quarantine: RefCell::default(),
            quarantine_is_known: Cell::new(false),
            quarantine_told: Cell::new(0),
            call_book: CallBook::default(),
            forecasts: Forecasts::default(),
            heard: Rc::default(),
            load: FleetLoad::default(),
            demand: DemandBook::new(incarnation, began),
            channels: ChannelPool::new(executor.clone()),
            engine_calls,
            decisions: Decisions::default(),
            metrics,
            executor,
            life: Cell::new(Life::Serving),
            incarnation,
            chance,
            in_progress: Cell::new(0),
            store_reached: Cell::new(true),
            budgets: RefCell::default(),
            began,
            wire: PhantomData,
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// How fresh a leader keeps what it passes on.
    pub fn freshness(&self) -> Freshness {
        let settings = self.settings.borrow();
        Freshness::new(settings.config_in_force, settings.key_revocation)
    }

    /// What paths are chosen from.
    pub fn views(&self, now: Instant) -> Views<'_> {
        let mechanisms = self.settings.borrow().mechanisms;
        Views {
            knowledge: &self.knowledge,
            hall: &self.hall,
            book: &self.book,
            pushback: &self.pushback,
            mechanisms,
            chance: &self.chance,
            now,
        }
    }

    /// Whether this VM leads and the leader of another hall follows the store for it.
    pub fn senior_suffices(&self, now: Instant) -> bool {
        let freshness = self.freshness();
        self.hall.senior_suffices(&self.settings.borrow().hall, now, freshness)
    }

    /// Where this VM stands to its limits, as far as it acts on that.
    pub fn standing(&self) -> Standing {
        match self.settings.borrow().mechanisms.vm_limits {
            true => self.limits.borrow().standing(),
            false => Standing::Clear,
        }
    }

    /// How fit this VM is to lead its hall; 0 while it does not serve, or is near a limit: what a leader
    /// does for a hall takes link and processor.
    pub fn strength(&self) -> Strength {
        let settings = self.settings.borrow();
        match self.life.get() {
            Life::Serving if self.standing() != Standing::Clear => 0.0,
            Life::Serving => settings.processors * settings.link_mbps,
            Life::Draining | Life::Stopping => 0.0,
        }
    }

    /// When the process began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Time since the process began.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Whether requests that end endpoints are known as far as they can be: a leader told of them, the store was
    /// read, or neither did for so long that requests do not wait any more.
    fn knows_quarantine(&self, now: Instant) -> bool {
        self.quarantine_is_known.get() || self.age(now) >= FIRST_KNOWLEDGE_WAIT
    }

    /// Whether new work should come to this VM. One that is near a limit leaves it to others, if they suffice.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.life.get() == Life::Serving
            && self.knowledge.is_fresh(now)
            && self.knowledge.knows_endpoints()
            && self.knows_quarantine(now)
            && (self.standing() == Standing::Clear || !self.hall.others_suffice(now))
    }

    /// Takes a configuration that was read as of a revision, unless a newer one is in force.
    pub fn offer_catalog(&self, catalog: Catalog, parts: CatalogParts, at: Revision) {
        let (version, services) = (parts.version, parts.services.clone());
        let is_taken = self.knowledge.offer_catalog(catalog, parts);
        self.decisions.catalog_read(Some(version), at, is_taken);
        if is_taken {
            self.decisions.figures_unusable(&services);
        }
    }

    /// The store answered a call that was sent at a moment, as of a revision.
    pub fn on_store_answer(&self, follower: &'static str, sent: Instant, at: Revision) {
        self.metrics.store_era.set(at.era as i64);
        self.knowledge.on_call_answered(sent);
        if !self.store_reached.replace(true) {
            self.knowledge.on_store_back(Instant::now());
            tracing::info!(follower, "store: Back.");
        }
    }

    /// A call to the store that was sent at a moment failed.
    pub fn on_store_error(&self, follower: &'static str, sent: Instant, error: &StoreError) {
        self.metrics.store_errors.get_or_create(&KindLabel { kind: follower }).inc();
        if error.requires_reread() {
            tracing::info!(follower, %error, "store: History gone.");
            return;
        }
        let is_trouble = self.knowledge.on_call_failed(sent, Instant::now(), error.trouble());
        if self.store_reached.replace(false) {
            tracing::warn!(follower, %error, may_lapse = is_trouble, "store: Lost.");
        }
    }

    /// An entry of an endpoint cannot be read.
    pub fn on_unreadable(&self, entry: &UnreadableEntry) {
        if self.unreadable.note(entry) {
            self.metrics.unreadable.get_or_create(&KindLabel { kind: "entry" }).inc();
        }
    }

    /// Entries of endpoints are gone.
    pub fn on_removals(&self, removals: &[(EndpointId, Removal)]) {
        let stamp = self.knowledge.stamp(Instant::now());
        for (id, removal) in removals {
            self.unreadable.forget(id);
            self.decisions.endpoint_removed(id, *removal, stamp);
            if *removal == Removal::Gone {
                self.channels.forget(id);
            }
        }
    }

    /// Takes what a leader told of endpoints; with `is_wanted` false only notes that it was told.
    pub fn on_told_endpoints(
        &self,
        replication: &mut Replication,
        at: Revision,
        difference: Difference,
        is_wanted: bool,
    ) {
        let gone = self.knowledge.take_told(replication, at, difference, is_wanted);
        self.clear_older_lives();
        self.log_held_back();
        let removals: Vec<_> = gone.into_iter().map(|id| (id, Removal::Gone)).collect();
        self.on_removals(&removals);
    }

    /// Logs the endpoints whose entries in a restored store are held back.
    pub fn log_held_back(&self) {
        for endpoint in self.knowledge.take_held_back() {
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

    /// Takes evidence of an endpoint's health, by an exchange that began at a moment, and logs a change of its
    /// standing. What began before the endpoint started again tells nothing of it.
    pub fn on_evidence(&self, endpoint: &str, evidence: Evidence, began: Instant, reason: &str) {
        let now = Instant::now();
        if self.book.renewed_since(endpoint, began) {
            return;
        }
        if !self.book.on_evidence(endpoint, evidence, now) {
            return;
        }
        match self.book.is_ejected(endpoint) {
            true => {
                self.channels.forget(endpoint);
                tracing::warn!(endpoint, reason, "endpoint: Left alone.");
            }
            false => tracing::info!(endpoint, reason, "endpoint: Used again."),
        }
    }

    /// A request ended: counts and logs it.
    pub fn on_end(&self, job: &Job, outcome: Outcome, status: u16, events: u64, reason: &str) {
        let label = OutcomeLabel { outcome: outcome.name(), status };
        self.metrics.requests.get_or_create(&label).inc();
        self.count_end(job, outcome);
        let kind = KindLabel { kind: work_name(job) };
        self.metrics.whole_answer_s.get_or_create(&kind).observe(job.began.elapsed().as_secs_f64());
        if outcome == Outcome::Answered {
            self.forecasts.on_answered(job, self.settings.borrow().mechanisms, &self.metrics);
        }
        self.decisions.ended(job, outcome, status, events, reason);
    }

    /// The first part of an answer is there.
    pub fn on_first_answer(&self, job: &Job) {
        let kind = KindLabel { kind: work_name(job) };
        self.metrics.first_answer_s.get_or_create(&kind).observe(job.began.elapsed().as_secs_f64());
    }
}

fn work_name(job: &Job) -> &'static str {
    match job.route.kind {
        sillbank_catalog::WorkKind::Call(_) => "call",
        sillbank_catalog::WorkKind::Stream(_) => "stream",
    }
}
