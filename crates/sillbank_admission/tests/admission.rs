//! Tests of admission control with free capacity, near the limits, and beyond them.

use sillbank_admission::{AdmissionControl, AdmissionRequest, RefusalReason};
use sillbank_testing::for_fixed_seeds;
use std::collections::HashMap;
use std::time::Duration;

fn request(organisation: &str, predicted_ms: u64) -> AdmissionRequest<'_> {
    AdmissionRequest {
        organisation,
        weight: 1.0,
        work_tokens: 100,
        predicted: Some(Duration::from_millis(predicted_ms)),
        deadline: Duration::from_millis(1000),
        backlog: 0.0,
        limit_tokens: 1_000_000,
        limit_requests: 1_000,
    }
}

/// A request predicted to finish in time is admitted; one that is not is refused with a time to retry after.
#[test]
fn requests_that_cannot_finish_in_time_are_refused_with_retry_after() {
    let mut admission = AdmissionControl::default();

    let early = admission.admit(&request("a", 500));
    let late = admission.admit(&request("a", 1500)).unwrap_err();

    assert!(early.is_ok());
    assert_eq!(late.reason, RefusalReason::DeadlineUnreachable);
    assert_eq!(late.retry_after, Duration::from_millis(800));
    assert_eq!(admission.requests(), 1);
}

/// Close to the deadline, only an organisation below its fair share is admitted.
#[test]
fn near_the_deadline_only_organisations_below_their_share_are_admitted() {
    let mut admission = AdmissionControl::default();
    admission.admit(&request("quiet", 100)).expect("capacity is available");
    for _ in 0..10 {
        admission.admit(&request("large", 100)).expect("capacity is available");
    }

    let large = admission.admit(&request("large", 800));
    let quiet = admission.admit(&request("quiet", 800));
    let too_late = admission.admit(&request("quiet", 950));

    assert_eq!(large.unwrap_err().reason, RefusalReason::DeadlineUnreachable);
    assert!(quiet.is_ok());
    assert!(
        too_late.is_err(),
        "a request that cannot finish in time is refused for any organisation"
    );
}

/// With a moderate backlog only organisations below their share are admitted, with a large one no request is.
#[test]
fn backlog_limits_admission() {
    let mut admission = AdmissionControl::default();
    admission.admit(&request("quiet", 100)).expect("capacity is available");
    for _ in 0..5 {
        admission.admit(&request("large", 100)).expect("capacity is available");
    }
    let with = |organisation, backlog| AdmissionRequest { backlog, ..request(organisation, 100) };

    assert!(admission.admit(&with("large", 0.5)).is_err());
    assert!(admission.admit(&with("quiet", 0.5)).is_ok());
    assert!(admission.admit(&with("quiet", 0.8)).is_err());
}

/// An organisation of a greater weight has a greater fair share.
#[test]
fn weight_increases_the_fair_share() {
    let mut admission = AdmissionControl::default();
    for _ in 0..4 {
        admission.admit(&request("a", 100)).expect("capacity is available");
        admission.admit(&request("b", 100)).expect("capacity is available");
    }

    let light = admission.admit(&request("a", 800));
    let heavy = admission.admit(&AdmissionRequest { weight: 3.0, ..request("a", 800) });

    assert!(light.is_err());
    assert!(heavy.is_ok());
}

/// Limits of requests and tokens hold, and a released request frees its part of them.
#[test]
fn limits_hold_until_requests_are_released() {
    let mut admission = AdmissionControl::default();
    let few = AdmissionRequest { limit_requests: 1, ..request("a", 1) };
    let small = AdmissionRequest { limit_tokens: 150, ..request("b", 1) };
    admission.admit(&few).expect("capacity is available");

    assert_eq!(admission.admit(&few).unwrap_err().reason, RefusalReason::TooManyRequests);
    assert_eq!(admission.admit(&small).unwrap_err().reason, RefusalReason::TooManyTokens);
    admission.release("a", 100);

    assert!(admission.admit(&few).is_ok());
}

/// Totals and counts per organisation match the open requests after any sequence of calls.
#[test]
fn counts_match_the_requests_in_flight() {
    for_fixed_seeds(200, 400, |u| {
        let mut admission = AdmissionControl::default();
        let mut open: Vec<(String, u64)> = Vec::new();
        while !u.is_empty() {
            if u.ratio(1, 3)? && !open.is_empty() {
                let (organisation, tokens) = open.swap_remove(u.choose_index(open.len())?);
                admission.release(&organisation, tokens);
                continue;
            }
            let organisation = format!("o{}", u.int_in_range(0..=4)?);
            let work_tokens = u.int_in_range(1..=500)?;
            let wanted = AdmissionRequest {
                work_tokens,
                ..request(&organisation, u.int_in_range(0..=1500)?)
            };
            if admission.admit(&wanted).is_ok() {
                open.push((organisation.clone(), work_tokens));
            }
            let mut sums: HashMap<&str, u64> = HashMap::new();
            for (organisation, tokens) in &open {
                *sums.entry(organisation).or_default() += tokens;
            }
            assert_eq!(admission.tokens(), sums.values().sum::<u64>());
            assert_eq!(admission.requests(), open.len() as u64);
            assert!(sums.iter().all(|(name, sum)| admission.tokens_of(name) == *sum));
        }
        Ok(())
    });
}
