//! Tests of the factor that corrects forecasts by observed times.

use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::Duration;

const FORECAST: Duration = Duration::from_millis(100);

fn corrected_by(observed: impl Iterator<Item = Duration>) -> ForecastCorrection {
    let mut correction = ForecastCorrection::default();
    observed.for_each(|observed| correction.observe(FORECAST, observed));
    correction
}

/// After many observations that are all off by the same factor, forecasts are right.
#[test]
fn constant_error_is_corrected() {
    let correction = corrected_by((0..300).map(|_| Duration::from_millis(140)));

    let corrected = correction.apply(FORECAST);
    assert!((Duration::from_millis(138)..Duration::from_millis(142)).contains(&corrected));
}

/// One extreme observation changes the factor by less than 3 %.
#[test]
fn single_stalled_stream_changes_little() {
    let correction = corrected_by([Duration::from_secs(20)].into_iter());

    assert!(correction.factor() < 1.03, "{correction:?}");
}

/// A forecast of zero has no ratio to the observed time and leaves the factor as it is.
#[test]
fn zero_forecast_is_ignored() {
    let mut correction = ForecastCorrection::default();

    correction.observe(Duration::ZERO, Duration::from_secs(1));

    assert_eq!(correction, ForecastCorrection::default());
}

/// The factor stays within its bounds for any observations.
#[test]
fn factor_stays_between_half_and_double() {
    for_fixed_seeds(500, 1024, |u| {
        let mut correction = ForecastCorrection::default();
        while !u.is_empty() {
            let [forecast, observed] = [u.arbitrary::<u16>()?, u.arbitrary::<u16>()?];
            let ms = |number: u16| Duration::from_millis(u64::from(number));
            correction.observe(ms(forecast), ms(observed));
            assert!((0.5..=2.0).contains(&correction.factor()), "{correction:?}");
        }
        Ok(())
    });
}
