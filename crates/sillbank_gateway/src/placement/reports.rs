//! What a hall's leader knows of engines by asking them for reports.

use crate::gateway::Gateway;
use crate::store::MetadataStore;
use crate::wire::{EngineReport, Wire};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an engine may take to report or to take an order.
pub(super) const ENGINE_CALL_LIMIT: Duration = Duration::from_millis(500);
/// Reports in a row that may be missing before an engine is taken for lost.
const MISSED_REPORTS: u32 = 2;

/// What is known of one engine by asking it.
#[derive(Debug, Clone, Default)]
pub struct KnownEngine {
    /// The newest life that its entry or its reports told of.
    newest_incarnation: Option<BornMs>,
    /// Its newest report, unless it is lost.
    pub report: Option<EngineReport>,
    /// Reports in a row that are missing.
    missed: u32,
    /// Why its last report could not be read, since one could be.
    fault: Option<String>,
    /// Layers it was ordered to hold last, and when.
    pub ordered: Option<(LayerRange, Instant)>,
}

/// What came of asking an engine for its report.
#[derive(Debug)]
pub enum ReportOutcome {
    /// It reported.
    Reported(EngineReport),
    /// Nothing listens at its address.
    Refused,
    /// No report came.
    Missed,
    /// What came is no report; why.
    Unreadable(String),
}

impl ReportOutcome {
    /// The same, but for a report of layers that a model of `layers` layers does not have: it is not believed.
    pub fn within(self, layers: u16) -> Self {
        match &self {
            Self::Reported(report) if report.layers.is_some_and(|held| held.end > layers) => {
                Self::Unreadable(format!("it tells of layers beyond the {layers} of the model"))
            }
            _ => self,
        }
    }
}

impl KnownEngine {
    /// Notes why a report cannot be read; answers whether that is new since the last one that could be.
    pub fn is_new_fault(&mut self, reason: &str) -> bool {
        let before = self.fault.replace(reason.to_owned());
        before.as_deref() != Some(reason)
    }

    /// The newest life that is known of it.
    pub fn newest_incarnation(&self) -> Option<BornMs> {
        self.newest_incarnation
    }

    /// News of one of its lives; a newer one ends what is known of those before, also what they were ordered.
    pub fn on_incarnation(&mut self, born_ms: Option<BornMs>) {
        if compare_incarnations(born_ms, self.newest_incarnation) == IncarnationOrder::Newer {
            *self = Self::default();
        }
        self.newest_incarnation = born_ms.max(self.newest_incarnation);
    }

    /// Takes what came of asking; `is_suspect` says whether this VM's own exchanges with the engine failed.
    pub fn on_asked(&mut self, asked: ReportOutcome, is_suspect: bool) {
        match asked {
            ReportOutcome::Reported(report)
                if compare_incarnations(report.born_ms, self.newest_incarnation)
                    == IncarnationOrder::Older => {}
            ReportOutcome::Reported(report) => {
                self.on_incarnation(report.born_ms);
                self.report = Some(report);
                self.fault = None;
                self.missed = 0;
            }
            ReportOutcome::Refused => self.report = None,
            ReportOutcome::Missed | ReportOutcome::Unreadable(_) => {
                self.missed += 1;
                if is_suspect || self.missed >= MISSED_REPORTS {
                    self.report = None;
                }
            }
        }
    }
}

/// When the engines of a hall are asked, round by round.
#[derive(Debug, Default)]
pub struct ReportRounds {
    last: Option<ReportRound>,
}

/// A round in which all engines of a hall are asked.
#[derive(Debug)]
struct ReportRound {
    began: Instant,
    found_engines: bool,
}

impl ReportRounds {
    /// Whether the next round is due: `interval` after the one before. If that one found no engine, it is due as
    /// soon as there are some: a leader that has just begun knows its endpoints a moment after its
    /// configuration, and VMs choose blindly until engines were asked.
    pub fn is_due(&self, now: Instant, interval: Duration, has_engines: bool) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let is_over = now.saturating_duration_since(last.began) >= interval;
        is_over || (!last.found_engines && has_engines)
    }

    /// A round began.
    pub fn on_begun(&mut self, now: Instant, found_engines: bool) {
        self.last = Some(ReportRound { began: now, found_engines });
    }
}

/// Asks an engine for its report.
pub(super) async fn ask<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    address: SocketAddr,
) -> ReportOutcome {
    let began = Instant::now();
    let reply = gateway.engine_calls.call(address, W::report_call(), ENGINE_CALL_LIMIT).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            tracing::info!(endpoint = %address, %error, "endpoint: No report.");
            let is_refusal =
                matches!(error, CallError::NotSent { .. }) && began.elapsed() < ENGINE_CALL_LIMIT;
            return if is_refusal { ReportOutcome::Refused } else { ReportOutcome::Missed };
        }
    };
    match W::read_report(&reply.body) {
        Ok(report) => ReportOutcome::Reported(report),
        Err(error) => ReportOutcome::Unreadable(error.to_string()),
    }
}
