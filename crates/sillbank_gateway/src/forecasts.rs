//! Forecasts of what a stream's caller will see, made at the first send, and their errors.

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

/// Forecast for a stream, made when it was sent.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamForecast {
    /// Hall in which the path starts.
    pub hall: HallId,
    /// When the stream was sent.
    pub sent_at: Instant,
    /// Prediction from the service's figures and the engines' load.
    pub uncorrected: ForecastTimes,
    /// The same with the learned correction of the hall.
    pub corrected: ForecastTimes,
}

/// Ratios of observed to forecast times, where both are known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ForecastRatios {
    /// For the time to the first event.
    pub first_event: Option<f64>,
    /// For the longest pause.
    pub pause: Option<f64>,
}

/// Learned correction of one hall.
#[derive(Debug, Clone, Copy, Default)]
struct HallCorrection {
    first_event: ForecastCorrection,
    pause: ForecastCorrection,
}

/// Learned corrections, by the hall in which paths start.
#[derive(Debug, Default)]
pub struct Forecasts {
    by_hall: RefCell<HashMap<HallId, HallCorrection>>,
}

impl Forecasts {
    /// Makes the forecast for a stream that is sent over a path now. `None` where the leaders'
    /// reports or the service's figures do not cover all engines of the path.
    pub fn predict(
        &self,
        context: RoutingContext<'_>,
        request: PathRequest<'_>,
        path: &LayerPath,
    ) -> Option<StreamForecast> {
        let (hall, uncorrected) = context.platform.endpoints(|directory| {
            let hall = directory.get(&path.first().endpoint)?.hall.clone();
            let load = |part| reported_load(context, request.figures, directory, part);
            let loads: Option<Vec<EngineLoad<'_>>> = path.parts().iter().map(load).collect();
            Some((hall, forecast(request.figures, &loads?, request.demand)))
        })?;
        let correction = self.by_hall.borrow().get(&hall).copied().unwrap_or_default();
        let corrected = ForecastTimes {
            first_event: correction.first_event.apply(uncorrected.first_event),
            pause: correction.pause.apply(uncorrected.pause),
            event_interval: uncorrected.event_interval,
        };
        Some(StreamForecast { hall, sent_at: context.now, uncorrected, corrected })
    }

    /// A stream was answered completely: records the forecast's error if the stream ran on the path
    /// the forecast was made for.
    pub fn on_answered(&self, job: &Job, mechanisms: Mechanisms, metrics: &Metrics) {
        let Some(forecast) = job.forecast() else {
            return;
        };
        if job.sends.get() > 1 || job.delivery.moves() > 0 {
            return;
        }
        let is_learning = mechanisms.forecast_learning;
        let ratios = self.record_observed(forecast, job.received_at, &job.delivery, is_learning);
        if let Some(ratio) = ratios.first_event {
            metrics.forecast_first_ratio.observe(ratio);
        }
        if let Some(ratio) = ratios.pause {
            metrics.forecast_pause_ratio.observe(ratio);
        }
    }

    /// Compares a forecast with what was observed of a stream, and learns from it if `is_learning`.
    /// `received_at` is when the stream's request was received.
    pub fn record_observed(
        &self,
        forecast: &StreamForecast,
        received_at: Instant,
        delivery: &Delivery,
        is_learning: bool,
    ) -> ForecastRatios {
        let delay = forecast.sent_at.saturating_duration_since(received_at);
        let first_event = delivery.first().map(|first| first.saturating_sub(delay));
        let pause = Some(delivery.longest_pause()).filter(|pause| !pause.is_zero());
        if is_learning {
            let mut by_hall = self.by_hall.borrow_mut();
            let correction = by_hall.entry(forecast.hall.clone()).or_default();
            if let Some(first_event) = first_event {
                correction.first_event.observe(forecast.uncorrected.first_event, first_event);
            }
            if let Some(pause) = pause {
                correction.pause.observe(forecast.uncorrected.pause, pause);
            }
        }
        let ForecastTimes { first_event: expected_first_event, pause: expected_pause, .. } =
            forecast.corrected;
        let known = |ratio: f64| Some(ratio).filter(|ratio| ratio.is_finite());
        ForecastRatios {
            first_event: first_event
                .and_then(|observed| known(observed.div_duration_f64(expected_first_event))),
            pause: pause.and_then(|observed| known(observed.div_duration_f64(expected_pause))),
        }
    }
}

/// Load of one engine of a path as reported by its hall's leader; `None` if unknown.
fn reported_load<'a>(
    context: RoutingContext<'_>,
    figures: &'a EngineFigures,
    directory: &Directory,
    part: &PathPart,
) -> Option<EngineLoad<'a>> {
    let record = directory.get(&part.endpoint)?;
    let kind = figures.accelerator(record.accelerator.as_deref()?)?;
    context.hall.reports.engine(&record.hall, &record.id, context.now, |report| EngineLoad {
        kind,
        layers: part.layers.len(),
        running: f64::from(report.state.running),
        waiting: f64::from(report.state.waiting),
        pace: f64::from(report.state.pace_permille) / 1000.0,
    })
}
