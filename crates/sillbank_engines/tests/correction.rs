//! What is learnt from forecasts that came true, or did not.

use sillbank_engines::prelude::*;
use sillbank_testing::for_fixed_seeds;
use std::time::Duration;

const FORECAST: Duration = Duration::from_millis(100);

fn learnt(seen: impl Iterator<Item = Duration>) -> Correction {
    let mut correction = Correction::default();
    seen.for_each(|seen| correction.learn(FORECAST, seen));
    correction
}

#[test]
fn a_steady_error_is_made_good() {
    let correction = learnt((0..300).map(|_| Duration::from_millis(140)));

    let corrected = correction.apply(FORECAST);
    assert!((Duration::from_millis(138)..Duration::from_millis(142)).contains(&corrected));
}

#[test]
fn a_single_stream_that_stood_still_changes_little() {
    let correction = learnt([Duration::from_secs(20)].into_iter());

    assert!(correction.factor() < 1.03, "{correction:?}");
}

#[test]
fn nothing_is_learnt_without_a_forecast() {
    let mut correction = Correction::default();

    correction.learn(Duration::ZERO, Duration::from_secs(1));

    assert_eq!(correction, Correction::default());
}

#[test]
fn whatever_was_seen_a_forecast_changes_by_no_more_than_twice() {
    for_fixed_seeds(500, 1024, |u| {
        let mut correction = Correction::default();
        while !u.is_empty() {
            let [forecast, seen] = [u.arbitrary::<u16>()?, u.arbitrary::<u16>()?];
            let ms = |number: u16| Duration::from_millis(u64::from(number));
            correction.learn(ms(forecast), ms(seen));
            assert!((0.5..=2.0).contains(&correction.factor()), "{correction:?}");
        }
        Ok(())
    });
}
