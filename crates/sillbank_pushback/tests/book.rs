//! What a VM makes of what endpoints ask: when it sends, what it takes from others, when that ends.

use sillbank_pushback::{PART_TERM, prelude::*};
use sillbank_testing::for_fixed_seeds;
use std::time::{Duration, Instant};

const ENDPOINT: &str = "e1";
const VMS: u32 = 8;

fn names(per_s: f64) -> Pushback {
    Pushback { limit: LimitWord::PerS(per_s), ..Pushback::default() }
}

/// A VM that was told a limit by the endpoint.
fn limited(per_s: f64, now: Instant) -> PushbackBook {
    let mut book = PushbackBook::default();
    let event = book.on_answer(ENDPOINT, None, names(per_s), 0.5, now);
    assert_eq!(event, [PushbackEvent::Limited(per_s)]);
    book
}

/// Sends when it may, each `every`, with parts that are renewed; answers when.
fn send_for(
    book: &mut PushbackBook,
    part_per_s: Option<f64>,
    every: Duration,
    began: Instant,
    length: Duration,
) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = began;
    while now < began + length {
        if let Some(per_s) = part_per_s {
            book.take_part(ENDPOINT, Part { per_s, until: now + PART_TERM });
        }
        if book.may_send(ENDPOINT, VMS, now) {
            book.on_sent(ENDPOINT, now);
            sent.push(now);
        }
        now += every;
    }
    sent
}

#[test]
fn an_endpoint_that_asks_for_nothing_is_sent_what_comes() {
    let now = Instant::now();
    let mut book = PushbackBook::default();

    let event = book.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!(event, []);
    assert!(book.is_empty() && book.may_send(ENDPOINT, VMS, now));
}

#[test]
fn a_part_is_used_whole_and_not_passed() {
    for per_s in [1.0, 1.7, 3.4, 20.0] {
        let now = Instant::now();
        let mut book = limited(per_s, now);

        let (every, length) = (Duration::from_millis(20), Duration::from_secs(60));
        let sent = send_for(&mut book, Some(per_s), every, now, length).len() as f64;

        let due = per_s * length.as_secs_f64();
        assert!(sent <= due + 1.0 && sent >= 0.95 * due, "{sent} of {due} at {per_s}");
    }
}

#[test]
fn permits_that_nobody_used_are_no_more_than_those_of_a_second() {
    let now = Instant::now();
    let mut book = limited(3.0, now);
    book.take_part(ENDPOINT, Part { per_s: 3.0, until: now + Duration::from_secs(60) });
    assert!(!book.may_send(ENDPOINT, VMS, now));

    let later = now + Duration::from_secs(20);
    let burst = (0..100).filter(|_| {
        let may_send = book.may_send(ENDPOINT, VMS, later);
        if may_send {
            book.on_sent(ENDPOINT, later);
        }
        may_send
    });

    assert!((3..=4).contains(&burst.count()));
}

#[test]
fn vms_that_no_leader_gives_a_part_use_a_small_share_together() {
    let now = Instant::now();
    let mut all = 0;
    for vm in 0..VMS {
        let mut book = PushbackBook::default();
        book.on_answer(ENDPOINT, None, names(4.0), f64::from(vm) / f64::from(VMS), now);
        let (every, length) = (Duration::from_millis(20), Duration::from_secs(80));
        all += send_for(&mut book, None, every, now, length).len();
    }

    // A quarter of 4 a second, for 80 s.
    assert!((72..=88).contains(&all), "{all}");
}

#[test]
fn a_part_that_was_not_renewed_ends() {
    let now = Instant::now();
    let mut book = limited(40.0, now);
    book.take_part(ENDPOINT, Part { per_s: 40.0, until: now + PART_TERM });
    assert!(!book.may_send(ENDPOINT, VMS, now));

    let in_time = now + PART_TERM - Duration::from_millis(1);
    let after = now + PART_TERM;
    assert!(book.may_send(ENDPOINT, VMS, in_time));
    (0..3).for_each(|_| book.on_sent(ENDPOINT, in_time));

    // Its share without a leader, 10 a second over 8 VMs, opens no more than one permit.
    let sent = send_for(&mut book, None, Duration::from_millis(10), after, Duration::from_secs(4));
    assert!(sent.len() <= 6, "{}", sent.len());
}

#[test]
fn a_limit_ends_when_the_endpoint_says_so_to_anybody_or_starts_again_or_is_not_heard_for_long() {
    let now = Instant::now();
    let later = now + Duration::from_millis(500);

    let mut heard = limited(0.5, now);
    let event = heard.on_answer(ENDPOINT, None, Pushback::default(), 0.5, later);
    assert_eq!(event, [PushbackEvent::Unlimited]);
    assert!(heard.may_send(ENDPOINT, VMS, later));

    let mut told = limited(0.5, now);
    told.on_told(&heard.news_since(0, 8, later).limits, || 0.5, later);
    assert!(told.may_send(ENDPOINT, VMS, later));

    let mut renewed = limited(0.5, now);
    renewed.on_new_life(ENDPOINT);
    assert!(renewed.may_send(ENDPOINT, VMS, later));

    let mut silent = limited(0.5, now);
    let events = silent.on_time(now + Duration::from_secs(30));
    assert_eq!(events, [(ENDPOINT.to_owned(), PushbackEvent::Lapsed)]);
    assert!(silent.may_send(ENDPOINT, VMS, later));
}

#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then_as_only_an_answer_takes_that_back() {
    let now = Instant::now();
    let mut book = limited(0.0, now);

    let (every, length) = (Duration::from_millis(50), Duration::from_secs(100));
    let sent = send_for(&mut book, Some(5.0), every, now, length).len();

    assert!((9..=11).contains(&sent), "{sent}");
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing_and_is_told_once() {
    let now = Instant::now();
    let mut book = limited(2.0, now);
    let unreadable = Pushback { limit: LimitWord::Unreadable, ..Pushback::default() };

    let first = book.on_answer(ENDPOINT, None, unreadable, 0.5, now);
    let second = book.on_answer(ENDPOINT, None, unreadable, 0.5, now);

    assert_eq!(first, [PushbackEvent::Unreadable("limit")]);
    assert_eq!(second, []);
    assert_eq!(book.limit_per_s(ENDPOINT), Some(2.0));
}

#[test]
fn figures_of_others_that_are_no_rates_are_left() {
    let now = Instant::now();
    let mut book = PushbackBook::default();
    let told = |limit_per_s: f64| LimitNews {
        endpoint: ENDPOINT.to_owned(),
        born_ms: None,
        limit_per_s: Some(limit_per_s),
        age_ms: 0,
    };

    let events = book.on_told(&[told(f64::NAN), told(-1.0), told(f64::INFINITY)], || 0.5, now);

    let left = PushbackEvent::Unreadable("a limit that another VM told");
    let expected = vec![(ENDPOINT.to_owned(), left); 3];
    assert_eq!(events, expected);
    assert!(book.is_empty());
}

#[test]
fn vms_come_to_the_same_limit_in_whatever_order_they_are_told() {
    for_fixed_seeds(300, 512, |u| {
        // Arrange
        let mut now = Instant::now();
        let mut vms: Vec<PushbackBook> = (0..3).map(|_| PushbackBook::default()).collect();

        // Act
        for _ in 0..u.int_in_range(1..=15)? {
            now += Duration::from_millis(u.int_in_range(50..=1_500)?);
            let limit = u.int_in_range(0..=3)?;
            let pushback = match limit {
                0 => Pushback::default(),
                _ => names(f64::from(limit)),
            };
            vms[u.int_in_range(0..=2)?].on_answer(ENDPOINT, None, pushback, 0.5, now);
            let (from, to) = (u.int_in_range(0..=2)?, u.int_in_range(0..=2)?);
            let news = vms[from].news_since(0, 8, now).limits;
            vms[to].on_told(&news, || 0.5, now);
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                let news = vms[from].news_since(0, 8, now).limits;
                vms[to].on_told(&news, || 0.5, now);
            }
        }

        // Assert
        let limits: Vec<_> = vms.iter().map(|vm| vm.limit_per_s(ENDPOINT)).collect();
        assert!(limits.iter().all(|limit| *limit == limits[0]), "{limits:?}");
        Ok(())
    });
}

#[test]
fn a_limit_that_is_heard_again_is_told_again_before_it_lapses_elsewhere() {
    let now = Instant::now();
    let mut book = limited(2.0, now);
    let told = book.newest();

    let soon = now + Duration::from_secs(1);
    book.on_answer(ENDPOINT, None, names(2.0), 0.5, soon);
    assert_eq!(book.newest(), told);

    let later = now + Duration::from_secs(6);
    book.on_answer(ENDPOINT, None, names(2.0), 0.5, later);
    assert!(book.news_since(told, 8, later).limits.len() == 1);
}

fn wants_rest(rest: Duration) -> Pushback {
    Pushback { rest: RestWord::For(rest), ..Pushback::default() }
}

#[test]
fn an_endpoint_that_wants_rest_gets_nothing_until_its_longest_rest_is_over() {
    let now = Instant::now();
    let mut book = PushbackBook::default();

    let events = book.on_answer(ENDPOINT, None, wants_rest(Duration::from_secs(3)), 0.5, now);
    book.on_answer(ENDPOINT, None, wants_rest(Duration::from_secs(1)), 0.5, now);
    // An answer to what was sent before takes nothing back.
    book.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!(events, [PushbackEvent::Rests(Duration::from_secs(3))]);
    assert!(!book.may_send(ENDPOINT, VMS, now + Duration::from_millis(2_999)));
    assert!(book.may_send(ENDPOINT, VMS, now + Duration::from_secs(3)));
    let ends_in: Vec<_> = book.take_withheld().iter().map(|w| w.reason.ends_in()).collect();
    assert_eq!(ends_in, [Some(Duration::from_millis(1))]);
}

#[test]
fn a_rest_of_days_ends_within_minutes_and_one_of_nothing_or_that_cannot_be_read_is_none() {
    let now = Instant::now();
    let mut book = PushbackBook::default();

    book.on_answer(ENDPOINT, None, wants_rest(Duration::from_secs(864_000)), 0.5, now);
    book.on_answer("e2", None, wants_rest(Duration::ZERO), 0.5, now);
    let unreadable = Pushback { rest: RestWord::Unreadable, ..Pushback::default() };
    let events = book.on_answer("e3", None, unreadable, 0.5, now);

    assert!(!book.may_send(ENDPOINT, VMS, now + Duration::from_secs(599)));
    assert!(book.may_send(ENDPOINT, VMS, now + Duration::from_secs(600)));
    assert!(book.may_send("e2", VMS, now) && book.may_send("e3", VMS, now));
    assert_eq!(events, [PushbackEvent::Unreadable("rest")]);
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_until_it_starts_again() {
    let now = Instant::now();
    let mut book = PushbackBook::default();
    let leaving = Pushback { is_leaving: true, ..Pushback::default() };

    let first = book.on_answer(ENDPOINT, None, leaving, 0.5, now);
    let second = book.on_answer(ENDPOINT, None, leaving, 0.5, now);
    // The answer to an older request may come later.
    book.on_answer(ENDPOINT, None, Pushback::default(), 0.5, now);

    assert_eq!((first, second), (vec![PushbackEvent::Leaves], vec![]));
    assert!(!book.may_send(ENDPOINT, VMS, now + Duration::from_secs(60)));
    book.on_new_life(ENDPOINT);
    assert!(book.may_send(ENDPOINT, VMS, now));
}

#[test]
fn a_part_does_not_outlast_a_suspension() {
    let now = Instant::now();
    let mut book = limited(400.0, now);
    book.take_part(ENDPOINT, Part { per_s: 400.0, until: now + PART_TERM });
    assert!(!book.may_send(ENDPOINT, VMS, now));
    let later = now + Duration::from_millis(100);
    assert!(book.may_send(ENDPOINT, VMS, later));

    book.on_suspended();

    let sent = send_for(&mut book, None, Duration::from_millis(1), later, Duration::from_secs(1));
    // Permits of a second that were open, and those of a second more, each a quarter of the limit over 8 VMs.
    assert!(sent.len() <= 2 * 13 + 1, "{}", sent.len());
}
