//! What streams are foretold at their send, and how that came true.

use crate::delivery::Delivery;
use crate::job::Job;
use crate::mechanisms::Mechanisms;
use crate::metrics::Metrics;
use crate::paths::{PathRequest, RoutingContext};
use sillbank_catalog::prelude::*;
use sillbank_core::prelude::*;
use sillbank_engines::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_layers::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

/// What a stream's caller was likely to see when the stream was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Foretold {
    /// Hall in which its path begins.
    pub hall: HallId,
    /// When it was sent.
    pub sent_at: Instant,
    /// By the figures.
    pub plain: ForecastTimes,
    /// With what was learnt of the hall.
    pub corrected: ForecastTimes,
}

/// Seen over foretold, where both are known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ForecastRatios {
    /// Of the time to the first event.
    pub first_event: Option<f64>,
    /// Of the longest pause.
    pub pause: Option<f64>,
}

/// What was learnt of one hall.
#[derive(Debug, Clone, Copy, Default)]
struct HallCorrection {
    first_event: ForecastCorrection,
    pause: ForecastCorrection,
}

/// What was learnt of forecasts, by the hall in which paths begin.
#[derive(Debug, Default)]
pub struct Forecasts {
    by_hall: RefCell<HashMap<HallId, HallCorrection>>,
}

impl Forecasts {
    /// What a stream that is sent over a path now is likely to show; `None` where leaders or the service's
    /// figures do not tell enough of the path's engines.
    pub fn foretell(
        &self,
        views: RoutingContext<'_>,
        ask: PathRequest<'_>,
        path: &LayerPath,
    ) -> Option<Foretold> {
        let (hall, plain) = views.platform.endpoints(|directory| {
            let hall = directory.get(&path.first().endpoint)?.hall.clone();
            let load = |part| engine_load(views, ask.figures, directory, part);
            let loads: Option<Vec<EngineLoad<'_>>> = path.parts().iter().map(load).collect();
            Some((hall, forecast(ask.figures, &loads?, ask.demand)))
        })?;
        let learnt = self.by_hall.borrow().get(&hall).copied().unwrap_or_default();
        let corrected = ForecastTimes {
            first_event: learnt.first_event.apply(plain.first_event),
            pause: learnt.pause.apply(plain.pause),
        };
        Some(Foretold { hall, sent_at: views.now, plain, corrected })
    }

    /// A stream was answered whole: its forecast's error is told if it ran on the path that it was foretold for.
    pub fn on_answered(&self, job: &Job, mechanisms: Mechanisms, metrics: &Metrics) {
        let Some(foretold) = job.foretold() else {
            return;
        };
        if job.sends.get() > 1 || job.delivery.moves() > 0 {
            return;
        }
        let is_learning = mechanisms.forecast_learning;
        let ratios = self.on_shown(foretold, job.began, &job.delivery, is_learning);
        if let Some(ratio) = ratios.first_event {
            metrics.forecast_first_ratio.observe(ratio);
        }
        if let Some(ratio) = ratios.pause {
            metrics.forecast_pause_ratio.observe(ratio);
        }
    }

    /// Compares what was foretold with what a stream that was read at `began` showed, and learns from it if
    /// `is_learning`.
    pub fn on_shown(
        &self,
        foretold: &Foretold,
        began: Instant,
        shown: &Delivery,
        is_learning: bool,
    ) -> ForecastRatios {
        let held = foretold.sent_at.saturating_duration_since(began);
        let first_event = shown.first().map(|first| first.saturating_sub(held));
        let pause = Some(shown.longest_pause()).filter(|pause| !pause.is_zero());
        if is_learning {
            let mut by_hall = self.by_hall.borrow_mut();
            let learnt = by_hall.entry(foretold.hall.clone()).or_default();
            if let Some(first_event) = first_event {
                learnt.first_event.observe(foretold.plain.first_event, first_event);
            }
            if let Some(pause) = pause {
                learnt.pause.observe(foretold.plain.pause, pause);
            }
        }
        let ForecastTimes { first_event: first_foretold, pause: pause_foretold } =
            foretold.corrected;
        let known = |ratio: f64| Some(ratio).filter(|ratio| ratio.is_finite());
        ForecastRatios {
            first_event: first_event.and_then(|seen| known(seen.div_duration_f64(first_foretold))),
            pause: pause.and_then(|seen| known(seen.div_duration_f64(pause_foretold))),
        }
    }
}

/// What the hall's leader tells of a path's engine; `None` if that is not known.
fn engine_load<'a>(
    views: RoutingContext<'_>,
    figures: &'a EngineFigures,
    directory: &Directory,
    part: &PathPart,
) -> Option<EngineLoad<'a>> {
    let record = directory.get(&part.endpoint)?;
    let kind = figures.accelerator(record.accelerator.as_deref()?)?;
    views.hall.reports.engine(&record.hall, &record.id, views.now, |news| EngineLoad {
        kind,
        layers: part.layers.len(),
        running: f64::from(news.state.running),
        waiting: f64::from(news.state.waiting),
        pace: f64::from(news.state.pace_permille) / 1000.0,
    })
}
