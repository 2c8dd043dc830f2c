//! A reply guarantees that a request was not run only if that is proved.

use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_gateway::answers::{deadline_failure, final_failure, guarantees_not_run};
use sillbank_testing::for_fixed_seeds;

/// How one send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendResult {
    RefusedWithProof,
    NoAnswer,
    Ran,
}

fn run_log(results: &[SendResult]) -> RunLog {
    let mut log = RunLog::default();
    for end in results {
        log.record_sent();
        match end {
            SendResult::RefusedWithProof => log.record_refused(),
            SendResult::NoAnswer => {}
            SendResult::Ran => log.record_ran(),
        }
    }
    log
}

/// A failure has a status that guarantees no run, and a `Retry-After`, exactly if every send was
/// refused with proof.
#[test]
fn only_requests_proven_not_run_get_a_retry_guarantee() {
    for_fixed_seeds(500, 64, |u| {
        let mut results = Vec::new();
        for _ in 0..u.int_in_range(0..=5)? {
            let end = [SendResult::RefusedWithProof, SendResult::NoAnswer, SendResult::Ran];
            results.push(*u.choose(&end)?);
        }
        let log = run_log(&results);
        let may_have_run = results.iter().any(|end| *end != SendResult::RefusedWithProof);
        let refusal = *u.choose(&[
            FailureKind::NoChain,
            FailureKind::Overloaded,
            FailureKind::Stopping,
            FailureKind::NotReady,
        ])?;

        for failure in [final_failure(log, refusal, "why"), deadline_failure(log)] {
            assert_eq!(
                guarantees_not_run(failure.kind.http_status()),
                !may_have_run,
                "{results:?}"
            );
            assert_eq!(failure.retry_after.is_some(), !may_have_run, "{results:?}");
        }
        Ok(())
    });
}
