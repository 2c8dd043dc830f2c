//! Claims and keys: a key is granted at most once, whichever VM holds its slot.

use sillbank_core::prelude::*;
use sillbank_once::{CallKey, ClaimAnswer, ClaimState, Claims, mint, slot_names};
use sillbank_protocol::gossip::SealKey;
use sillbank_testing::for_fixed_seeds;
use std::collections::HashMap;
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(600);

fn uid(number: u64) -> RequestUid {
    RequestUid(number, 0)
}

/// A second claim of a key is refused, with the state of the first call.
#[test]
fn second_claim_of_a_key_reports_state_of_the_first() {
    let mut claims = Claims::complete();

    let first = claims.claim(1000, uid(1), None, 7, RETENTION);
    let while_open = claims.claim(2000, uid(1), None, 8, RETENTION);
    claims.end(uid(1), 7, RunState::Ran);
    let afterwards = claims.claim(3000, uid(1), None, 9, RETENTION);

    assert_eq!(first, ClaimAnswer::Granted(7));
    assert_eq!(while_open, ClaimAnswer::Taken(ClaimState::Open));
    assert_eq!(afterwards, ClaimAnswer::Taken(ClaimState::Ran));
}

/// The end of a call that was not run frees the key, unless it belongs to another claim.
#[test]
fn call_that_was_not_run_frees_its_key_for_own_claim_only() {
    let mut claims = Claims::complete();
    claims.claim(1000, uid(1), None, 7, RETENTION);

    claims.end(uid(1), 6, RunState::NotRun);
    let still = claims.claim(1001, uid(1), None, 8, RETENTION);
    claims.end(uid(1), 7, RunState::NotRun);
    let freed = claims.claim(1002, uid(1), None, 9, RETENTION);

    assert_eq!(still, ClaimAnswer::Taken(ClaimState::Open));
    assert_eq!(freed, ClaimAnswer::Granted(9));
}

/// A holder without the previous claims grants only keys minted after its takeover, with a margin
/// for clock skew, until the retention is over.
#[test]
fn after_takeover_only_newer_keys_are_granted_until_retention_ends() {
    let mut claims = Claims::after_takeover(1_000_000);

    let callers_key = claims.claim(1_010_000, uid(1), None, 1, RETENTION);
    let minted_before = claims.claim(1_010_000, uid(2), Some(999_000), 2, RETENTION);
    let minted_within_clock_skew = claims.claim(1_010_000, uid(3), Some(1_003_000), 3, RETENTION);
    let minted_after = claims.claim(1_010_000, uid(4), Some(1_006_000), 4, RETENTION);
    let later = claims.claim(1_600_001, uid(1), None, 5, RETENTION);

    assert_eq!(callers_key, ClaimAnswer::Undetermined { wait_ms: 590_000 });
    assert!(matches!(minted_before, ClaimAnswer::Undetermined { .. }));
    assert!(matches!(minted_within_clock_skew, ClaimAnswer::Undetermined { .. }));
    assert_eq!(minted_after, ClaimAnswer::Granted(4));
    assert_eq!(later, ClaimAnswer::Granted(5));
}

/// A key that may have been claimed and removed since is refused.
#[test]
fn minted_key_older_than_retention_is_refused() {
    let mut claims = Claims::complete();

    let old = claims.claim(10_000_000, uid(1), Some(9_000_000), 1, RETENTION);

    assert!(matches!(old, ClaimAnswer::Undetermined { .. }));
}

/// A key that was claimed at the previous holder is not granted by the next one.
#[test]
fn handed_over_claims_are_still_taken() {
    let mut claims = Claims::after_takeover(1_000);
    claims.claim(700_000, uid(1), None, 7, RETENTION);
    let (all, complete_from) = claims.export();

    let mut next = Claims::from_handover(all, complete_from);

    let again = next.claim(710_000, uid(1), None, 8, RETENTION);
    assert_eq!(again, ClaimAnswer::Taken(ClaimState::Open));
    assert_eq!(next.claim(710_000, uid(2), None, 9, RETENTION), ClaimAnswer::Granted(9));
}

/// The number of claims is bounded by the claims made within the retention.
#[test]
fn claims_are_removed_after_retention() {
    let mut claims = Claims::complete();
    for number in 0..10_000_u64 {
        claims.claim(number * 1000, uid(number), None, number, RETENTION);
    }

    assert!(claims.len() <= 601, "{}", claims.len());
}

/// A minted key yields its hall and time; one with an invalid seal is treated as chosen by the
/// caller.
#[test]
fn minted_key_names_its_hall_and_forged_key_counts_as_callers_own() {
    let key = SealKey::from_text("a key of this test");
    let keys = std::slice::from_ref(&key);
    let text = mint("hall_b-1", 5_000, 77, &key);

    let minted = CallKey::parse("org", &text, keys);
    let forged = CallKey::parse("org", &text.replace("1388", "ffff"), keys);

    assert!(minted.slot.starts_with("hall-hall_b-1-"), "{}", minted.slot);
    assert_eq!(minted.minted_ms, Some(5_000));
    assert!(slot_names("hall_b-1").contains(&minted.slot));
    assert_eq!(forged.minted_ms, None);
    assert!(forged.slot.starts_with("fleet-"));
}

/// Arbitrary text from callers is accepted as a key.
#[test]
fn parsing_any_text_as_key_never_panics() {
    let keys = [SealKey::from_text("a key of this test")];
    for_fixed_seeds(300, 80, |u| {
        let text: String = u.arbitrary()?;
        CallKey::parse("org", &text, &keys);
        CallKey::parse("org", &format!("sbk1_{text}_1_2_3"), &keys);
        Ok(())
    });
}

/// Over any sequence of takeovers and handovers, every key is granted at most once.
#[test]
fn key_is_granted_at_most_once_over_sequence_of_holders() {
    let mut granted_after_takeover = 0;
    for_fixed_seeds(300, 2000, |u| {
        let mut now_ms = 10_000_000;
        let mut claims = Claims::complete();
        let mut first_attempts: HashMap<u64, (u64, Option<u64>)> = HashMap::new();
        let mut ran: HashMap<u64, u32> = HashMap::new();
        let mut taken_over = false;
        while !u.is_empty() {
            now_ms += u.int_in_range(0..=60_000)?;
            match u.int_in_range(0..=9)? {
                0 => {
                    claims = Claims::after_takeover(now_ms);
                    taken_over = true;
                }
                1 => {
                    let (all, from) = claims.export();
                    claims = Claims::from_handover(all, from);
                }
                _ => {
                    let number = u.int_in_range(0..=20)?;
                    let minted = u.ratio(1, 2)?.then_some(now_ms);
                    let (first_ms, minted) =
                        *first_attempts.entry(number).or_insert((now_ms, minted));
                    // A caller does not retry after the retention.
                    if now_ms - first_ms >= RETENTION.as_millis() as u64 {
                        continue;
                    }
                    let answer = claims.claim(now_ms, uid(number), minted, 1, RETENTION);
                    if matches!(answer, ClaimAnswer::Granted(_)) {
                        *ran.entry(number).or_default() += 1;
                        granted_after_takeover += u32::from(taken_over);
                    }
                }
            }
        }
        assert!(ran.values().all(|count| *count == 1), "{ran:?}");
        Ok(())
    });
    assert!(granted_after_takeover > 100, "{granted_after_takeover}");
}
