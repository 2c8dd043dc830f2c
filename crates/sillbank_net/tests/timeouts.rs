//! When a connection may be closed, for sequences of timeouts that replace one another.

use arbitrary::Unstructured;
use sillbank_net::activity::Phase;
use sillbank_net::timeouts::{TimeoutHistory, Timeouts};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const INITIAL: Timeouts = Timeouts { idle: Duration::from_secs(20), head: Duration::from_secs(20) };
const LONGER: Timeouts = Timeouts { idle: Duration::from_secs(60), head: Duration::from_secs(5) };
const SHORTER: Timeouts = Timeouts { idle: Duration::from_secs(10), head: Duration::from_secs(2) };
const OVERLAP: Duration = Duration::from_secs(2);

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Guards against closing connections at a fixed timeout that is shorter than the configured one.
#[test]
fn an_idle_connection_follows_a_timeout_that_is_lengthened() {
    let start = Instant::now();
    let mut history = TimeoutHistory::new(INITIAL);
    let idle = Phase::Idle { since: start };

    history.replace(LONGER, start + seconds(19), OVERLAP);

    assert_eq!(history.deadline(idle), Some(start + seconds(60)));
}

/// Guards against closing a connection while a caller may still reuse it by the earlier configuration.
#[test]
fn a_timeout_that_is_shortened_spares_connections_that_were_idle_before() {
    let start = Instant::now();
    let mut history = TimeoutHistory::new(LONGER);
    let changed = start + seconds(5);
    let idle_until = |history: &TimeoutHistory, since| {
        history.deadline(Phase::Idle { since }).map(|deadline| deadline - since)
    };

    history.replace(SHORTER, changed, OVERLAP);

    assert_eq!(idle_until(&history, start), Some(LONGER.idle));
    assert_eq!(idle_until(&history, changed + OVERLAP), Some(LONGER.idle));
    let after = changed + OVERLAP + Duration::from_millis(1);
    assert_eq!(idle_until(&history, after), Some(SHORTER.idle));
}

/// Guards against the idle timeout as the bound of a head, and against closing a connection that serves a request.
#[test]
fn each_phase_has_its_own_limit() {
    let since = Instant::now();
    let history = TimeoutHistory::new(LONGER);

    let deadlines = [
        Phase::Opened { since },
        Phase::Idle { since },
        Phase::ReceivingHead { since },
        Phase::Serving,
        Phase::WritingRest,
    ]
    .map(|phase| history.deadline(phase));

    let limits = deadlines.map(|deadline| deadline.map(|deadline| deadline - since));
    assert_eq!(limits, [Some(seconds(60)), Some(seconds(60)), Some(seconds(5)), None, None]);
}

/// Guards against an idle timeout of zero or little that closes new connections before their first request.
#[test]
fn a_new_connection_gets_at_least_the_time_for_a_head() {
    let since = Instant::now();
    let history = TimeoutHistory::new(Timeouts { idle: Duration::ZERO, head: seconds(5) });

    assert_eq!(history.deadline(Phase::Opened { since }), Some(since + seconds(5)));
}

/// Guards against an overflow of the clock at a timeout without a practical end.
#[test]
fn a_timeout_beyond_the_clock_never_ends() {
    let history = TimeoutHistory::new(Timeouts::uniform(Duration::MAX));

    assert_eq!(history.deadline(Phase::Idle { since: Instant::now() }), None);
}

/// A configuration and the time in which peers may rely on it.
struct Span {
    timeouts: Timeouts,
    until: Option<Instant>,
}

fn arbitrary_timeouts(u: &mut Unstructured<'_>) -> arbitrary::Result<Timeouts> {
    Ok(Timeouts { idle: seconds(u.int_in_range(0..=9)?), head: seconds(u.int_in_range(0..=9)?) })
}

/// The longest limit of all configurations that may have been in force since `since`.
fn longest(spans: &[Span], since: Instant, limit: fn(&Timeouts) -> Duration) -> Duration {
    let relied_on = spans.iter().filter(|span| span.until.is_none_or(|until| until >= since));
    relied_on.map(|span| limit(&span.timeouts)).max().expect("one is in force")
}

/// Guards against forgetting a configuration while a connection may still rely on it, for any sequence of changes.
#[test]
fn no_deadline_is_sooner_or_later_than_the_configurations_allow() {
    for_fixed_seeds(500, 1_024, |u| {
        let start = Instant::now();
        let first = arbitrary_timeouts(u)?;
        let mut history = TimeoutHistory::new(first);
        let mut spans = vec![Span { timeouts: first, until: None }];
        let mut now = start;
        for _ in 0..20 {
            now += seconds(u.int_in_range(0..=4)?);
            let (timeouts, overlap) = (arbitrary_timeouts(u)?, seconds(u.int_in_range(0..=3)?));
            history.replace(timeouts, now, overlap);
            if spans.last().is_some_and(|span| span.timeouts != timeouts) {
                spans.last_mut().expect("one is in force").until = Some(now + overlap);
                spans.push(Span { timeouts, until: None });
            }

            let mut since = start;
            while since <= now {
                let idle = since + longest(&spans, since, |timeouts| timeouts.idle);
                let head = since + longest(&spans, since, |timeouts| timeouts.head);
                let got = history.deadline(Phase::Idle { since }).expect("it ends");
                assert!(got == idle || (got < idle && idle < now));
                let got = history.deadline(Phase::ReceivingHead { since }).expect("it ends");
                assert!(got == head || (got < head && head < now));
                since += seconds(1);
            }
        }
        Ok(())
    });
}
