//! A promise that a request was not run is made only with proof.

use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_gateway::answers::{give_up, is_promise, out_of_time};
use sillbank_testing::for_fixed_seeds;

/// How one send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendEnd {
    RefusedWithProof,
    NoAnswer,
    Ran,
}

fn log_of(ends: &[SendEnd]) -> RunLog {
    let mut log = RunLog::default();
    for end in ends {
        log.record_sent();
        match end {
            SendEnd::RefusedWithProof => log.record_refused(),
            SendEnd::NoAnswer => {}
            SendEnd::Ran => log.record_ran(),
        }
    }
    log
}

#[test]
fn nothing_that_may_have_run_is_answered_with_a_promise() {
    for_fixed_seeds(500, 64, |u| {
        let mut ends = Vec::new();
        for _ in 0..u.int_in_range(0..=5)? {
            let end = [SendEnd::RefusedWithProof, SendEnd::NoAnswer, SendEnd::Ran];
            ends.push(*u.choose(&end)?);
        }
        let log = log_of(&ends);
        let may_have_run = ends.iter().any(|end| *end != SendEnd::RefusedWithProof);
        let refusal = *u.choose(&[
            FailureKind::NoChain,
            FailureKind::Overloaded,
            FailureKind::Stopping,
            FailureKind::NotReady,
        ])?;

        for failure in [give_up(log, refusal, "why"), out_of_time(log)] {
            assert_eq!(is_promise(failure.kind.http_status()), !may_have_run, "{ends:?}");
            assert_eq!(failure.retry_after.is_some(), !may_have_run, "{ends:?}");
        }
        Ok(())
    });
}
