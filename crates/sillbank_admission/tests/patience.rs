//! How long a caller has waited already, as far as the time tells that it has left.

use sillbank_admission::patience::UsualTime;
use sillbank_testing::for_fixed_seeds;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is known after first tries with so much time left.
fn after(times_ms: impl IntoIterator<Item = u64>) -> UsualTime {
    let mut usual = UsualTime::default();
    times_ms.into_iter().for_each(|time_ms| usual.on_first_try(ms(time_ms)));
    usual
}

#[test]
fn a_caller_with_less_than_any_first_try_has_waited_for_the_rest() {
    let usual = after([2_000; 10]);

    assert_eq!(usual.waited(ms(700)), ms(1_300));
    assert_eq!(usual.waited(ms(2_000)), Duration::ZERO);
    assert_eq!(usual.waited(ms(5_000)), Duration::ZERO);
}

#[test]
fn nobody_is_late_while_few_first_tries_were_seen() {
    assert_eq!(UsualTime::default().waited(ms(1)), Duration::ZERO);
    assert_eq!(after([2_000; 3]).waited(ms(1)), Duration::ZERO);
}

/// Each caller has a time of its own, from 17 to 20 s. One that comes for the first time is not late, whatever came before.
#[test]
fn callers_with_times_of_their_own_are_not_late() {
    for_fixed_seeds(200, 2048, |u| {
        let mut usual = UsualTime::default();
        for _ in 0..300 {
            let left = ms(u.int_in_range(17_000..=20_000)?);
            usual.on_first_try(left);

            assert_eq!(usual.waited(left), Duration::ZERO);
        }

        // One who comes back after 4 s has less than any of them.
        let late = usual.waited(ms(u.int_in_range(13_000..=16_000)?));
        assert!(late >= ms(1_000) && late <= ms(7_000), "{late:?}");
        Ok(())
    });
}

#[test]
fn one_caller_with_much_more_time_makes_nobody_late() {
    assert_eq!(
        after([2_000, 60_000, 2_000, 2_000, 2_000, 2_000, 2_000, 2_000]).waited(ms(2_000)),
        Duration::ZERO
    );
}

/// A caller with hardly any time hides who is late for some hundred first tries, and no longer.
#[test]
fn a_caller_with_hardly_any_time_is_forgotten() {
    let usual = after([vec![2_000; 10], vec![1], vec![2_000; 300]].concat());

    assert_eq!(usual.waited(ms(700)), ms(1_300));
}

#[test]
fn a_change_of_the_callers_times_is_followed() {
    let shorter = after([vec![2_000; 300], vec![800; 1]].concat());
    let longer = after([vec![800; 10], vec![2_000; 300]].concat());

    assert_eq!(shorter.waited(ms(800)), Duration::ZERO);
    assert_eq!(longer.waited(ms(800)), ms(1_200));
}

#[test]
fn absurd_times_are_taken() {
    let usual = after([u64::MAX / 4, 0].repeat(200));

    assert_eq!(usual.waited(Duration::ZERO), Duration::ZERO);
    assert_eq!(usual.waited(Duration::MAX), Duration::ZERO);
}
