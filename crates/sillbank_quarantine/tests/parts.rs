//! Tests of which parts of prompts are held back, for whom, and of what is remembered.

use sillbank_quarantine::{
    EXONERATION_TIME, GoodRuns, MAX_GOOD_RUNS, MAX_GOOD_RUNS_OF_ORGANISATION, MAX_PART_SUSPECTS,
    TRIAL_TIMEOUT, TRIAL_TURN, prelude::*,
};
use std::time::{Duration, Instant};

const HARMFUL: PartId = 0xdead;
const SHARED: PartId = 1;
const INITIAL_TERM: Duration = Duration::from_secs(600);
/// Leaders of the two halls of a fleet, and another VM.
const FIRST_HALL: TrialTurns = TrialTurns { halls: 2, own: Some(0) };
const SECOND_HALL: TrialTurns = TrialTurns { halls: 2, own: Some(1) };
const NO_LEADER: TrialTurns = TrialTurns { halls: 2, own: None };
/// Time of day in the tests.
const NOW_UNIX_MS: u64 = 1_700_000_000_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request of an organisation that differs from all others.
fn request_of(organisation: &str, number: u128, parts: &[PartId]) -> RequestTraits {
    let all: Vec<PartId> = parts.iter().copied().chain([0xffff + number]).collect();
    let parts = PromptParts::new(&all).expect("not too many");
    RequestTraits::new(number, "engines", Some(organisation), &parts)
}

/// A crash of an endpoint before the first event of the request.
fn crash_of(endpoint: &str, sent_at: Instant, at: Instant) -> CrashEvidence<'_> {
    CrashEvidence { endpoint, sent_at, ran_for: Duration::ZERO, at }
}

fn request(number: u128, parts: &[PartId]) -> RequestTraits {
    request_of("alpha", number, parts)
}

/// Crashes of one endpoint after the other, each under a request of its own, three seconds apart. Returns the time of the
/// last.
fn crash_in_sequence(
    quarantine: &mut CrashQuarantine,
    organisations: &[&str],
    parts: &[PartId],
    start: Instant,
) -> Instant {
    let mut now = start;
    for (number, organisation) in organisations.iter().enumerate() {
        let crashing = request_of(organisation, 1_000 + number as u128, parts);
        now += Duration::from_secs(3);
        quarantine.on_crash(
            &crashing,
            crash_of(&format!("{organisation}-e{number}"), now - ms(150), now),
        );
    }
    now
}

fn is_held(quarantine: &CrashQuarantine, traits: &RequestTraits, now: Instant) -> bool {
    quarantine.hold(traits, now).is_some()
}

/// A part is held back after three crashes under different requests; requests that share other parts are not.
#[test]
fn part_is_held_back_after_three_crashes_and_those_it_shares_prompts_with_are_not() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    quarantine.on_survived(&request(1, &[SHARED]), start);

    // Act
    let second = crash_in_sequence(&mut quarantine, &["alpha"; 2], &[SHARED, HARMFUL], start);
    let before = quarantine.hold(&request(2, &[SHARED, HARMFUL]), second);
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[SHARED, HARMFUL], start);

    // Assert
    assert_eq!(before, None);
    let hold =
        quarantine.hold(&request(3, &[7, HARMFUL]), last + ms(500)).expect("it is held back");
    assert_eq!(hold.cause, HoldCause::Part(HARMFUL));
    assert_eq!((hold.crashes, hold.last_crash_age), (3, ms(500)));
    assert_eq!(hold.retry_after, INITIAL_TERM - ms(500));
    assert!(!is_held(&quarantine, &request(4, &[SHARED]), last));
}

/// Guards against a sound part that is held back with the harmful one: sound streams beside the harmful request lose
/// their engines too, and go on at the next one that it crashes.
#[test]
fn parts_of_sound_requests_beside_a_harmful_one_are_not_held_back() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (new_part, mut now) = (0xabc, start);

    // Act
    for crash in 0..5 {
        now += ms(300);
        let sent_at = now - ms(150);
        let endpoint = format!("e{crash}");
        quarantine
            .on_crash(&request(10 + crash, &[SHARED, HARMFUL]), crash_of(&endpoint, sent_at, now));
        quarantine
            .on_crash(&request(20 + crash / 2, &[new_part]), crash_of(&endpoint, sent_at, now));
        quarantine.on_crash(&request(30, &[SHARED]), crash_of(&endpoint, sent_at, now));
    }

    // Assert
    assert!(is_held(&quarantine, &request(40, &[HARMFUL]), now));
    assert!(!is_held(&quarantine, &request(41, &[new_part]), now));
    assert!(!is_held(&quarantine, &request(42, &[SHARED]), now));
}

/// Guards against a shared part that is held back when nothing has run well yet, as after a start of all VMs: every request
/// with the harmful part has it too, so that nothing would ever show that it is sound.
#[test]
fn more_specific_part_is_held_back_when_nothing_ran_before() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());

    // Act
    for crash in 0..3 {
        let now = start + ms(3_000 * crash as u64);
        let endpoint = format!("e{crash}");
        for number in 0..3 {
            let sound = request(100 + 10 * crash + number, &[SHARED]);
            quarantine.on_crash(&sound, crash_of(&endpoint, now - ms(200), now));
        }
        quarantine.on_crash(
            &request(10 + crash, &[SHARED, HARMFUL]),
            crash_of(&endpoint, now - ms(150), now),
        );
    }

    // Assert
    let now = start + ms(6_000);
    assert!(is_held(&quarantine, &request(40, &[HARMFUL]), now));
    assert!(!is_held(&quarantine, &request(41, &[SHARED]), now));
}

/// Guards against an organisation that makes a harmful part look sound by naming it in its own requests.
#[test]
fn good_runs_of_another_organisation_refute_few_crashes_only() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    quarantine.on_survived(&request_of("beta", 1, &[HARMFUL]), start);
    let harmful = request(2, &[HARMFUL]);

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);
    let after_three = is_held(&quarantine, &harmful, last);
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 6], &[HARMFUL], start);

    // Assert
    assert!(!after_three);
    assert!(is_held(&quarantine, &harmful, last));
    assert!(!is_held(&quarantine, &request_of("beta", 3, &[HARMFUL]), last));
}

/// Guards against sound requests that stay quarantined, or isolated, for crashes that a part explains.
#[test]
fn crashes_that_a_part_explains_do_not_count_against_requests() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let sound = request(20, &[]);
    for crash in 0..3 {
        let now = start + ms(3_000 * (crash + 1));
        quarantine.on_crash(&sound, crash_of(&format!("alpha-e{crash}"), now - ms(150), now));
    }
    let before = is_held(&quarantine, &sound, start + ms(9_000));

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Assert
    assert!(before);
    assert!(!is_held(&quarantine, &sound, last));
    assert_eq!(quarantine.isolated_for(&sound, last), None);
}

/// Guards against a rare sound part that is held back in place of a harmful one: the harmful one had lost its older crashes,
/// as each was recorded for several requests.
#[test]
fn part_in_many_requests_keeps_as_many_crashes_as_a_rare_one() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (rare, mut now) = (0xabc, start);

    // Act
    for crash in 0..11 {
        now += ms(3_000);
        let endpoint = format!("e{crash}");
        for number in 0..6 {
            let harmful = request(1_000 + 10 * crash + number, &[HARMFUL]);
            quarantine.on_crash(&harmful, crash_of(&endpoint, now - ms(150), now));
        }
        if crash < 10 {
            let sound = request(10 + crash, &[rare]);
            quarantine.on_crash(&sound, crash_of(&endpoint, now - ms(150), now));
        }
    }

    // Assert
    assert!(is_held(&quarantine, &request(1, &[HARMFUL]), now));
    assert!(!is_held(&quarantine, &request(2, &[rare]), now));
}

/// Guards against a sound part that is held back for early crashes, which the harmful part had lost by then.
#[test]
fn many_crashes_of_a_part_explain_the_first_ones() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (rare, mut now) = (0xabc, start);

    // Act
    for crash in 0..25 {
        now += ms(300);
        let endpoint = format!("e{crash}");
        let harmful = request(1_000 + crash, &[HARMFUL]);
        quarantine.on_crash(&harmful, crash_of(&endpoint, now - ms(150), now));
        if crash < 4 {
            let sound = request(10 + crash, &[rare]);
            quarantine.on_crash(&sound, crash_of(&endpoint, now - ms(150), now));
        }
    }

    // Assert
    assert!(is_held(&quarantine, &request(1, &[HARMFUL]), now));
    assert!(!is_held(&quarantine, &request(2, &[rare]), now));
}

/// One request that comes again is quarantined itself: nothing shows that one of its parts is the cause.
#[test]
fn one_request_that_crashes_endpoints_holds_back_none_of_its_parts() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (crashing, mut now) = (request(5, &[SHARED, HARMFUL]), start);

    // Act
    for crash in 0..4 {
        now += ms(1_000);
        quarantine.on_crash(&crashing, crash_of(&format!("e{crash}"), now - ms(100), now));
    }

    // Assert
    assert_eq!(quarantine.hold(&crashing, now).map(|hold| hold.cause), Some(HoldCause::Request));
    assert!(!is_held(&quarantine, &request(6, &[SHARED, HARMFUL]), now));
}

/// A mass loss of engines condemns no part, also not one that never ran before: no request was sent after a crash.
#[test]
fn mass_loss_of_engines_holds_back_nothing() {
    // Arrange
    let (mut quarantine, sent_at) = (CrashQuarantine::default(), Instant::now());

    // Act
    for crash in 0..60_u128 {
        let at = sent_at + ms(500 + crash as u64 % 7);
        let endpoint = format!("e{}", crash / 2);
        quarantine.on_crash(&request(crash, &[SHARED, HARMFUL]), crash_of(&endpoint, sent_at, at));
    }

    // Assert
    let now = sent_at + ms(600);
    assert!(!is_held(&quarantine, &request(100, &[SHARED, HARMFUL]), now));
    assert_eq!(quarantine.part_counts().0, 0);
}

/// Guards against a part that runs well and is held back for crashes that it takes part in again and again.
#[test]
fn part_that_ran_well_shortly_before_is_no_suspect_and_is_one_after_that_time() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    quarantine.on_survived(&request(1, &[SHARED]), start);

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 6], &[SHARED], start);
    let soon = is_held(&quarantine, &request(2, &[SHARED]), last);
    let later = start + EXONERATION_TIME;
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[SHARED], later);

    // Assert
    assert!(!soon);
    assert!(is_held(&quarantine, &request(3, &[SHARED]), last));
}

/// A good run after the crashes shows that another cause explains them.
#[test]
fn good_run_releases_a_part() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Act
    let events = quarantine.on_survived(&request(1, &[HARMFUL]), last + ms(100));

    // Assert
    assert!(matches!(&events[..], [HoldEvent::Part(PartEvent::Released { .. })]), "{events:?}");
    assert!(!is_held(&quarantine, &request(2, &[HARMFUL]), last + ms(200)));
}

/// Guards against an organisation that has the requests of another one refused by naming their parts.
#[test]
fn organisation_is_held_back_by_its_own_crashes_until_a_second_one_has_some() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    quarantine.on_survived(&request_of("gamma", 1, &[HARMFUL]), start);
    let of = |organisation| request_of(organisation, 2, &[HARMFUL]);

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 6], &[HARMFUL], start);
    let after_one = ["alpha", "beta", "gamma"].map(|name| is_held(&quarantine, &of(name), last));
    let last = crash_in_sequence(&mut quarantine, &["beta"], &[HARMFUL], last);
    let after_two = ["alpha", "beta", "gamma"].map(|name| is_held(&quarantine, &of(name), last));
    let much_later = last + EXONERATION_TIME + Duration::from_secs(60);

    // Assert
    assert_eq!(after_one, [true, false, false]);
    assert_eq!(after_two, [true, true, false]);
    assert!(!is_held(&quarantine, &of("gamma"), much_later));
}

/// Parts are those of one service: another one runs another model.
#[test]
fn same_part_at_another_service_is_another_part() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let parts = PromptParts::new(&[HARMFUL, 1]).expect("not too many");
    let elsewhere = RequestTraits::new(9, "other engines", Some("alpha"), &parts);

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Assert
    assert!(is_held(&quarantine, &request(1, &[HARMFUL]), last));
    assert!(!is_held(&quarantine, &elsewhere, last));
}

/// Guards against VMs that each try a part again when its term ends, and crash as many endpoints.
#[test]
fn after_its_term_a_part_is_tried_by_one_vm_and_one_request_at_a_time() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);
    let over = last + INITIAL_TERM;
    let mut admit = |number, now, turns| quarantine.admit(&request(number, &[HARMFUL]), now, turns);

    // Act
    let before = admit(1, over - ms(1), FIRST_HALL);
    let elsewhere = admit(2, over, NO_LEADER);
    let first = admit(3, over, FIRST_HALL);
    let second = admit(4, over + ms(10), FIRST_HALL);
    let after_timeout = admit(5, over + TRIAL_TIMEOUT, FIRST_HALL);

    // Assert
    assert!(matches!(before, Verdict::Hold(_)), "{before:?}");
    assert!(matches!(elsewhere, Verdict::Hold(hold) if hold.retry_after == TRIAL_TIMEOUT));
    assert_eq!(first, Verdict::Try);
    assert!(matches!(second, Verdict::Hold(_)), "{second:?}");
    assert_eq!(after_timeout, Verdict::Try);
}

/// Guards against a part that is never tried again as its callers do not reach the hall that may do so.
#[test]
fn halls_take_turns_to_try_a_part_again() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);
    let over = last + INITIAL_TERM;
    let mut is_tried = |now, turns| {
        let harmful = request(1, &[HARMFUL]);
        quarantine.admit(&harmful, now, turns) == Verdict::Try
    };

    // Act
    let tried = [
        is_tried(over, SECOND_HALL),
        is_tried(over + TRIAL_TURN, FIRST_HALL),
        is_tried(over + TRIAL_TURN, SECOND_HALL),
        is_tried(over + 2 * TRIAL_TURN, SECOND_HALL),
        is_tried(over + 2 * TRIAL_TURN, FIRST_HALL),
    ];

    // Assert
    assert_eq!(tried, [false, false, true, false, true]);
}

/// A crash of the trial holds the part back for longer; a good run ends it.
#[test]
fn trial_that_crashes_doubles_the_term_and_one_that_runs_well_ends_it() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);
    let over = last + INITIAL_TERM;

    // Act
    let trial = request(50, &[HARMFUL]);
    quarantine.admit(&trial, over, FIRST_HALL);
    quarantine.on_crash(&trial, crash_of("e50", over, over + ms(100)));
    let hold = quarantine.hold(&trial, over + ms(100)).expect("it crashed");
    let later = over + ms(100) + 2 * INITIAL_TERM;
    let again = quarantine.admit(&request(51, &[HARMFUL]), later, FIRST_HALL);
    quarantine.on_survived(&request(51, &[HARMFUL]), later + ms(1_500));

    // Assert
    assert_eq!(hold.retry_after, 2 * INITIAL_TERM);
    assert_eq!(again, Verdict::Try);
    assert!(!is_held(&quarantine, &request(52, &[HARMFUL]), later + ms(1_500)));
}

/// Guards against VMs that each let a quarantined request in again when its term ends.
#[test]
fn after_its_term_a_request_is_tried_by_one_vm() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let crashing = request(5, &[]);
    for crash in 0..3 {
        let now = start + ms(1_000 * crash);
        quarantine.on_crash(&crashing, crash_of(&format!("e{crash}"), now - ms(100), now));
    }
    let over = start + ms(2_000) + INITIAL_TERM;

    // Act
    let elsewhere = quarantine.admit(&crashing, over, NO_LEADER);
    let here = quarantine.admit(&crashing, over, FIRST_HALL);

    // Assert
    assert!(matches!(elsewhere, Verdict::Hold(_)), "{elsewhere:?}");
    assert_eq!(here, Verdict::Try);
}

/// Guards against a part that is forgotten, and crashes endpoints anew, while requests with it still come.
#[test]
fn part_is_remembered_while_requests_with_it_are_refused() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let mut now = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Act
    for number in 0..10 {
        now += Duration::from_secs(3_600);
        quarantine.on_tick(now);
        quarantine.admit(&request(60 + number, &[HARMFUL]), now, NO_LEADER);
    }

    // Assert
    assert!(is_held(&quarantine, &request(80, &[HARMFUL]), now));
    quarantine.on_tick(now + Duration::from_secs(2 * 3_600));
    assert_eq!(quarantine.part_counts(), (0, 0));
}

/// Requests with a part that crashed an endpoint and never ran well are isolated, whatever else they hold; those beside
/// them are not, once the part has crashed more endpoints than they were at.
#[test]
fn requests_with_a_suspected_part_are_isolated_and_those_beside_them_are_not() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let sound = request(9, &[SHARED]);
    quarantine.on_survived(&request(8, &[SHARED]), start);
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 2], &[SHARED, HARMFUL], start);

    // Act
    quarantine.on_crash(&sound, crash_of("alpha-e1", last - ms(100), last));

    // Assert
    assert!(quarantine.isolated_for(&request(10, &[5, HARMFUL]), last).is_some());
    assert_eq!(quarantine.isolated_for(&request(11, &[SHARED]), last), None);
    assert_eq!(quarantine.isolated_for(&sound, last), None);
}

/// Guards against sound requests that get no engine, as one of their parts was at an endpoint that a harmful part crashed: the
/// harmful one is held back already.
#[test]
fn parts_of_explained_crashes_are_not_isolated() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (beside, sound) = (request(9, &[7]), request(10, &[7]));
    quarantine.on_crash(&beside, crash_of("alpha-e2", start + ms(8_900), start + ms(9_000)));
    let before = quarantine.isolated_for(&sound, start + ms(9_000));

    // Act
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Assert
    assert!(before.is_some());
    assert_eq!(quarantine.isolated_for(&sound, last), None);
    assert!(quarantine.isolated_for(&request(11, &[HARMFUL]), last).is_some());
}

/// The store keeps a part from two crashes on, and a VM that reads it holds the part back after the third.
#[test]
fn store_keeps_suspected_parts() {
    // Arrange
    let (mut one, mut other, start) =
        (CrashQuarantine::default(), CrashQuarantine::default(), Instant::now());
    let first = crash_in_sequence(&mut one, &["alpha"], &[HARMFUL], start);
    let after_one = one.due_record(first, NOW_UNIX_MS);
    let last = crash_in_sequence(&mut one, &["alpha"; 3], &[HARMFUL], start);

    // Act
    let record = one.due_record(last, NOW_UNIX_MS).expect("three crashes are kept");
    one.on_written(&record, NOW_UNIX_MS);
    other.on_stored(&record, last, NOW_UNIX_MS);

    // Assert
    assert_eq!(after_one, None);
    assert_eq!(one.due_record(last, NOW_UNIX_MS), None);
    assert!(is_held(&other, &request(1, &[HARMFUL]), last));
}

/// VMs of the version before write the record without parts; it is read, and written again with them.
#[test]
fn record_without_parts_is_read_and_completed() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);
    let full = quarantine.due_record(last, NOW_UNIX_MS).expect("three crashes are kept");
    quarantine.on_written(&full, NOW_UNIX_MS);

    // Act
    let without_parts = QuarantineRecord { suspects: full.suspects, parts: Vec::new() };
    quarantine.on_stored(&without_parts, last, NOW_UNIX_MS);

    // Assert
    assert!(is_held(&quarantine, &request(1, &[HARMFUL]), last));
    let again = quarantine.due_record(last, NOW_UNIX_MS).expect("the parts are missing");
    assert_eq!(again.parts, full.parts);
}

/// A caller that names ever new parts must not displace what is known of others, nor grow the memory.
#[test]
fn good_runs_are_bounded_for_each_organisation() {
    // Arrange
    let (mut runs, now) = (GoodRuns::default(), Instant::now());
    let key = |part| PartKey { service: 1, part };
    runs.record(key(SHARED), 7, now);

    // Act
    (0..100_000).for_each(|part| runs.record(key(part), 8, now));
    let of_one = runs.len();
    let knows_newest = runs.last(key(99_999), 8, now).is_some();
    (0..100_000).for_each(|part| runs.record(key(part), 9 + part as u64 % 100, now));

    // Assert
    assert!(of_one <= MAX_GOOD_RUNS_OF_ORGANISATION + 1, "{of_one}");
    assert!(runs.len() <= MAX_GOOD_RUNS, "{}", runs.len());
    assert!(runs.last(key(SHARED), 7, now).is_some());
    assert!(knows_newest);
}

/// Suspected parts are bounded; those with most crashes stay.
#[test]
fn suspected_parts_are_bounded() {
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let last = crash_in_sequence(&mut quarantine, &["alpha"; 3], &[HARMFUL], start);

    // Act
    for number in 0..2 * MAX_PART_SUSPECTS as u128 {
        let named = request(2_000 + number, &[0x10_000 + number]);
        quarantine.on_crash(&named, crash_of("other", last, last + ms(number as u64)));
    }

    // Assert
    assert_eq!(quarantine.part_counts(), (1, MAX_PART_SUSPECTS));
    assert!(is_held(&quarantine, &request(1, &[HARMFUL]), last + ms(3_000)));
}

/// Guards against a harmful request that is let through again, as a part of sound requests that were beside it, and beside
/// another harmful one, was held back for some of its crashes.
#[test]
fn a_request_that_comes_again_stays_held_back_though_a_sound_part_was_there_at_some_of_its_crashes()
{
    // Arrange
    let (mut quarantine, start) = (CrashQuarantine::default(), Instant::now());
    let (first, second, sound_part) = (request(20, &[]), request(21, &[]), 0xabc);
    let crash_at = |seconds: u64| start + ms(1_000 * seconds);

    // Act
    for seconds in 0..6_u64 {
        let (at, endpoint) = (crash_at(seconds), format!("e{seconds}"));
        let harmful = if seconds < 3 { &first } else { &second };
        quarantine.on_crash(harmful, crash_of(&endpoint, at - ms(100), at));
        if [0, 1, 3].contains(&seconds) {
            let sound = request(30 + u128::from(seconds), &[sound_part]);
            quarantine.on_crash(&sound, crash_of(&endpoint, at - ms(120), at));
        }
    }

    // Assert
    let now = crash_at(6);
    assert!(is_held(&quarantine, &first, now));
    assert!(is_held(&quarantine, &second, now));
    assert!(!is_held(&quarantine, &request(40, &[sound_part]), now));
}
