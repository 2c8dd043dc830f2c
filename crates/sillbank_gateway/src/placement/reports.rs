//! Polls the engines of a hall for reports, as done by its leader.

use crate::gateway::Gateway;
use crate::links::{EngineCallError, RelayError};
use crate::store::MetadataStore;
use crate::wire::{EngineReport, Wire};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::prelude::*;
use smol::lock::Semaphore;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for a report or an order of an engine.
pub(super) const ENGINE_CALL_LIMIT: Duration = Duration::from_millis(500);
/// Timeout for a report through another VM.
const RELAYED_CALL_LIMIT: Duration = Duration::from_millis(300);
/// Relayed polls at the same time.
const MAX_RELAYED_POLLS: usize = 16;
/// Relayed polls of a round that fail without a success, from which on no more are made: the hall is
/// cut off, or its engines are lost.
const MAX_FAILED_POLLS: u32 = 8;
/// How long an engine whose reports are missing keeps its layers, from the first missing one, which has taken
/// [`ENGINE_CALL_LIMIT`]. A sound engine may be silent for a second or so, and others would load its layers in vain.
const MAX_PLANNED_SILENCE: Duration = Duration::from_millis(1_000);
/// Polls without a report after which an engine is polled only in turn with others like it.
const MAX_POLLS_WITHOUT_REPORT: u32 = 4;
/// Fewest of such engines that are polled in a round. More are where others leave slots free.
const MIN_SILENT_ENGINES_PER_ROUND: usize = 32;
/// One of this many file descriptors may be used by polls at the same time.
const POLL_DESCRIPTOR_SHARE: usize = 8;
/// Consecutive missing reports from which an engine is considered lost.
const MAX_MISSED_REPORTS: u32 = 2;

/// What polling revealed about one engine.
#[derive(Debug, Clone, Default)]
pub struct TrackedEngine {
    /// Newest incarnation known from its entry or its reports.
    newest_incarnation: Option<BornMs>,
    /// Whether any of its incarnations has reported.
    has_reported: bool,
    /// Polls since its last report.
    failed_polls: u32,
    /// Its latest report; `None` while it is lost.
    pub report: Option<EngineReport>,
    /// Its report before it became silent, and since when it is; `None` while it reports, or if it is lost for another reason.
    silent: Option<(EngineReport, Instant)>,
    /// Consecutive missing reports.
    missed: u32,
    /// When the first of them was found missing.
    missed_since: Option<Instant>,
    /// Why its reports cannot be parsed; `None` after one that can.
    fault: Option<String>,
    /// Layers of its last order, and when that was sent.
    pub ordered: Option<(LayerRange, Instant)>,
}

/// Outcome of polling an engine.
#[derive(Debug)]
pub enum ReportOutcome {
    /// It sent a report.
    Reported(EngineReport),
    /// The connection was refused: nothing listens at its address.
    Refused,
    /// No report arrived.
    Missed,
    /// The report could not be parsed, with the reason.
    Unreadable(String),
    /// This VM has lost its links to the hall, and no other VM reaches the engine on its behalf; or the engine answered late
    /// before, and may do so again. A longer timeout would make the reports of all other engines old.
    Unknown,
}

impl ReportOutcome {
    /// Rejects a report of layers beyond the model, which has `layers` layers.
    pub fn within(self, layers: u16) -> Self {
        match &self {
            Self::Reported(report) if report.layers.is_some_and(|held| held.end > layers) => {
                Self::Unreadable(format!("it lists layers beyond the {layers} of the model"))
            }
            _ => self,
        }
    }
}

impl TrackedEngine {
    /// Records why a report could not be parsed. Returns whether the reason is new since the last
    /// valid report.
    pub fn is_new_fault(&mut self, reason: &str) -> bool {
        let before = self.fault.replace(reason.to_owned());
        before.as_deref() != Some(reason)
    }

    /// Whether any of its incarnations has reported.
    pub fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// Newest known incarnation.
    pub fn newest_incarnation(&self) -> Option<BornMs> {
        self.newest_incarnation
    }

    /// Records an incarnation of the engine. A newer one discards everything known of earlier ones,
    /// including orders.
    pub fn on_incarnation(&mut self, born_ms: Option<BornMs>) {
        if compare_incarnations(born_ms, self.newest_incarnation) == IncarnationOrder::Newer {
            *self = Self { has_reported: self.has_reported, ..Self::default() };
        }
        self.newest_incarnation = born_ms.max(self.newest_incarnation);
    }

    /// The report by which layers are planned: that of an engine that is silent counts for a while, although no request is sent
    /// there.
    pub fn planned_report(&self, now: Instant) -> Option<&EngineReport> {
        let is_short = |since: Instant| now.saturating_duration_since(since) < MAX_PLANNED_SILENCE;
        let silent = self.silent.as_ref().filter(|(_, since)| is_short(*since));
        self.report.as_ref().or(silent.map(|(report, _)| report))
    }

    /// Whether a poll that fails now would be the first one since its last report, or at all.
    pub(super) fn is_next_failure_new(&self) -> bool {
        self.failed_polls == 0
    }

    /// Whether it has been polled often enough without ever reporting to be polled only in turn.
    fn never_reports(&self) -> bool {
        !self.has_reported && self.failed_polls >= MAX_POLLS_WITHOUT_REPORT
    }

    /// Applies the outcome of polling. `is_suspect` says whether this VM's own exchanges with the
    /// engine failed.
    pub fn on_polled(&mut self, outcome: ReportOutcome, is_suspect: bool, now: Instant) {
        self.failed_polls = match outcome {
            ReportOutcome::Reported(_) => 0,
            // The link of this VM says nothing about the engine.
            ReportOutcome::Unknown => self.failed_polls.max(1),
            _ => self.failed_polls.saturating_add(1),
        };
        match outcome {
            ReportOutcome::Reported(report)
                if compare_incarnations(report.born_ms, self.newest_incarnation)
                    == IncarnationOrder::Older => {}
            ReportOutcome::Reported(report) => {
                self.on_incarnation(report.born_ms);
                self.has_reported = true;
                self.report = Some(report);
                self.fault = None;
                self.silent = None;
                self.missed = 0;
                self.missed_since = None;
            }
            ReportOutcome::Unknown => {}
            ReportOutcome::Refused => {
                self.report = None;
                self.silent = None;
            }
            ReportOutcome::Missed | ReportOutcome::Unreadable(_) => {
                self.missed += 1;
                let since = *self.missed_since.get_or_insert(now);
                if (is_suspect || self.missed >= MAX_MISSED_REPORTS)
                    && let Some(report) = self.report.take()
                {
                    self.silent = Some((report, since));
                }
            }
        }
    }
}

/// Chooses the engines that are polled in a round: all but those that never report, which take turns. They may be entries of
/// another writer.
#[derive(Debug, Default)]
pub struct PollTurns {
    /// The last engine that was polled in its turn.
    last: Option<EndpointId>,
}

impl PollTurns {
    /// The engines to poll now, `slots` of them at the same time. `find` returns what polling revealed about an engine.
    pub fn next_round<'a, 'b>(
        &mut self,
        slots: usize,
        engines: impl Iterator<Item = &'a EndpointId> + Clone,
        find: impl Fn(&EndpointId) -> Option<&'b TrackedEngine>,
    ) -> BTreeSet<EndpointId> {
        let never_reports = |id: &&EndpointId| find(id).is_some_and(TrackedEngine::never_reports);
        let mut polled: BTreeSet<EndpointId> =
            engines.clone().filter(|id| !never_reports(id)).cloned().collect();
        let silent: BTreeSet<&EndpointId> = engines.filter(never_reports).collect();
        let is_later = |id: &&&EndpointId| self.last.as_ref().is_none_or(|last| last < **id);
        let later = silent.iter().filter(is_later);
        let earlier = silent.iter().filter(|id| !is_later(id));
        let free = slots.saturating_sub(polled.len()).max(MIN_SILENT_ENGINES_PER_ROUND);
        let turns: Vec<EndpointId> =
            later.chain(earlier).take(free).map(|id| (*id).clone()).collect();
        self.last = turns.last().cloned().or(self.last.take());
        polled.extend(turns);
        polled
    }
}

/// Schedule of the polling rounds for the engines of a hall.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    last: Option<ReportRound>,
}

/// A round in which all engines of a hall are polled.
#[derive(Debug)]
struct ReportRound {
    started_at: Instant,
    found_engines: bool,
}

impl ReportSchedule {
    /// Whether the next round is due: `interval` after the last one, or as soon as there are
    /// engines if the last one found none. A new leader receives its endpoints a moment after its
    /// configuration, and VMs route blindly until engines were polled.
    pub fn is_due(&self, now: Instant, interval: Duration, has_engines: bool) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let is_over = now.saturating_duration_since(last.started_at) >= interval;
        is_over || (!last.found_engines && has_engines)
    }

    /// Records the start of a round.
    pub fn on_round_started(&mut self, now: Instant, found_engines: bool) {
        self.last = Some(ReportRound { started_at: now, found_engines });
    }
}

/// Polls that a VM may make at the same time if it may open `max_open_files`.
pub(super) fn poll_slots(max_open_files: usize) -> usize {
    (max_open_files / POLL_DESCRIPTOR_SHARE).max(1)
}

/// Polls of one round. Engines that do not answer directly are polled through another VM: those that it reaches are not lost;
/// this VM has lost its link to them.
#[derive(Debug)]
pub(super) struct RoundPolls {
    direct_slots: Semaphore,
    relayed_slots: Semaphore,
    /// Relayed polls that were answered.
    answered: Cell<u32>,
    /// Relayed polls that failed.
    failed: Cell<u32>,
}

impl RoundPolls {
    /// Creates the state of a round with so many polls at the same time.
    pub(super) fn new(slots: usize) -> Self {
        Self {
            direct_slots: Semaphore::new(slots),
            relayed_slots: Semaphore::new(MAX_RELAYED_POLLS),
            answered: Cell::new(0),
            failed: Cell::new(0),
        }
    }

    /// Polls an engine through another VM; not if no other engine has answered that way.
    async fn poll_relayed<W: Wire, S: MetadataStore>(
        &self,
        gateway: &Gateway<W, S>,
        engine: &EndpointRecord,
    ) -> Result<CallReply, EngineCallError> {
        let _slot = self.relayed_slots.acquire().await;
        let is_hopeless = self.answered.get() == 0 && self.failed.get() >= MAX_FAILED_POLLS;
        if is_hopeless || !gateway.settings().mechanisms.relay {
            return Err(RelayError::NoVm.into());
        }
        let call = W::report_call();
        let (id, address) = (&engine.id, engine.address);
        let reply = gateway.call_engine_relayed(id, address, call, RELAYED_CALL_LIMIT).await;
        let count = if reply.is_ok() { &self.answered } else { &self.failed };
        count.set(count.get() + 1);
        reply
    }
}

/// Polls an engine for its report, directly or, if that fails, through another VM. `is_logged` says whether a failure is new.
pub(super) async fn poll_report<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    engine: EndpointRecord,
    polls: Rc<RoundPolls>,
    is_logged: bool,
) -> ReportOutcome {
    let slot = polls.direct_slots.acquire().await;
    let started_at = Instant::now();
    let address = engine.address;
    let call = W::report_call();
    let reply = gateway.call_engine_within(&engine.id, address, call, ENGINE_CALL_LIMIT).await;
    drop(slot);
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            let is_refusal = matches!(error, EngineCallError::Call(CallError::NotSent { .. }))
                && started_at.elapsed() < ENGINE_CALL_LIMIT;
            match polls.poll_relayed(&gateway, &engine).await {
                Ok(reply) => reply,
                Err(relayed) => {
                    if is_logged {
                        tracing::info!(
                            endpoint = engine.id,
                            %error,
                            %relayed,
                            "endpoint: The engine sent no report."
                        );
                    }
                    if relayed.proves_nothing() && gateway.links.is_hall_lost(&engine.hall) {
                        return ReportOutcome::Unknown;
                    }
                    let now = Instant::now();
                    if !is_refusal && gateway.is_slow(&engine.id, ENGINE_CALL_LIMIT, now) {
                        return ReportOutcome::Unknown;
                    }
                    return if is_refusal { ReportOutcome::Refused } else { ReportOutcome::Missed };
                }
            }
        }
    };
    match W::read_report(&reply.body) {
        Ok(report) => ReportOutcome::Reported(report),
        Err(error) => ReportOutcome::Unreadable(error.to_string()),
    }
}
