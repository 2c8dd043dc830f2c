//! Beliefs about links, from evidence alone.

use sillbank_links::prelude::*;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(number: usize) -> String {
    format!("e{number}")
}

/// A monitor that found the links to some endpoints of hall `a` lost, 10 ms apart.
fn after_losses(start: Instant, losses: usize, listed: usize) -> LinkMonitor {
    let mut monitor = LinkMonitor::default();
    for number in 0..losses {
        let at = start + ms(10) * number as u32;
        monitor.on_link_lost("a", &endpoint(number), listed, at);
    }
    monitor
}

#[test]
fn one_lost_link_concerns_one_endpoint() {
    let monitor = after_losses(Instant::now(), 1, 41);

    assert_eq!(monitor.transit("a", "e0"), Transit::Relayed);
    assert_eq!(monitor.transit("a", "e1"), Transit::Direct);
}

/// Guards against a verdict that takes longer, or more evidence, the larger the fleet is.
#[test]
fn three_lost_links_concern_the_hall_at_any_size() {
    for listed in [41, 3_000] {
        let monitor = after_losses(Instant::now(), 3, listed);

        assert_eq!(monitor.transit("a", "e2999"), Transit::Relayed, "{listed} endpoints");
        assert_eq!(monitor.transit("b", "e2999"), Transit::Direct, "{listed} endpoints");
    }
}

#[test]
fn all_links_of_a_small_hall_suffice() {
    let monitor = after_losses(Instant::now(), 1, 1);

    assert!(monitor.is_hall_lost("a"));
}

/// Guards against a cut from some endpoints that is taken for one from all.
#[test]
fn a_direct_success_in_between_keeps_the_hall() {
    let start = Instant::now();
    let mut monitor = after_losses(start, 2, 41);

    monitor.on_reached("a", "e9", start + ms(50));
    let change = monitor.on_link_lost("a", "e3", 41, start + ms(60));

    assert_eq!(change, None);
    assert_eq!(monitor.transit("a", "e9"), Transit::Direct);
    assert_eq!(monitor.transit("a", "e0"), Transit::Relayed);
}

#[test]
fn losses_that_are_far_apart_keep_the_hall() {
    let start = Instant::now();
    let mut monitor = after_losses(start, 2, 41);

    let change = monitor.on_link_lost("a", "e3", 41, start + ms(3_000));

    assert_eq!(change, None);
}

#[test]
fn an_endpoint_that_answers_directly_is_used_directly() {
    let start = Instant::now();
    let mut monitor = after_losses(start, 1, 41);

    monitor.on_reached("a", "e0", start + ms(1_000));

    assert_eq!(monitor.transit("a", "e0"), Transit::Direct);
    assert_eq!(monitor.lost_endpoints().count(), 0);
}

#[test]
fn a_hall_returns_after_the_hold_time() {
    let start = Instant::now();
    let mut monitor = after_losses(start, 3, 41);

    let returning = monitor.on_check("a", true, start + ms(1_000));
    let too_early = monitor.on_check("a", true, start + ms(1_900));
    let returned = monitor.on_check("a", true, start + ms(2_000));

    assert_eq!(returning.map(|change| change.to), Some(HallLinkState::Returning));
    assert_eq!(too_early, None);
    assert_eq!(returned.map(|change| change.to), Some(HallLinkState::Good));
    assert_eq!(monitor.transit("a", "e0"), Transit::Direct);
}

#[test]
fn a_failed_check_starts_the_return_again() {
    let start = Instant::now();
    let mut monitor = after_losses(start, 3, 41);

    monitor.on_check("a", true, start + ms(1_000));
    monitor.on_check("a", false, start + ms(1_500));
    monitor.on_check("a", true, start + ms(2_000));
    let too_early = monitor.on_check("a", true, start + ms(2_500));

    assert_eq!(too_early, None);
    assert!(monitor.is_hall_lost("a"));
}

/// Guards against links that flap, between which requests are lost each time.
#[test]
fn links_that_flap_return_later_each_time() {
    let start = Instant::now();
    let mut now = start;
    let mut monitor = LinkMonitor::default();
    let mut hold_times_ms = Vec::new();

    for _ in 0..5 {
        for number in 0..3 {
            monitor.on_link_lost("a", &endpoint(number), 41, now);
        }
        let lost_at = now;
        while monitor.is_hall_lost("a") {
            monitor.on_check("a", true, now);
            now += ms(100);
        }
        hold_times_ms.push((now - lost_at).as_millis() as u64 / 1_000 * 1_000);
    }

    assert_eq!(hold_times_ms, [1_000, 2_000, 4_000, 8_000, 8_000]);
}

fn vm(number: u16) -> std::net::SocketAddr {
    ([10, 0, 0, 1], number).into()
}

fn relays() -> RelaySet {
    let mut relays = RelaySet::default();
    relays.set_own_hall(vec![vm(1), vm(2)]);
    relays.set_other_halls(vec![vm(11), vm(12)]);
    relays
}

#[test]
fn vms_of_the_own_hall_come_first_then_the_halls_take_turns() {
    let (relays, now) = (relays(), Instant::now());

    let first = relays.next(&[], 0.0, now);
    let second = relays.next(&[vm(1)], 0.99, now);
    let third = relays.next(&[vm(1), vm(12)], 0.0, now);

    assert_eq!([first, second, third], [Some(vm(1)), Some(vm(12)), Some(vm(2))]);
}

#[test]
fn a_vm_that_failed_is_left_out_for_a_while() {
    let (mut relays, now) = (relays(), Instant::now());

    relays.on_failed(vm(1), now);

    assert_eq!(relays.next(&[], 0.0, now + ms(1_000)), Some(vm(2)));
    assert_eq!(relays.next(&[], 0.0, now + ms(2_000)), Some(vm(1)));
}

#[test]
fn there_is_none_when_all_have_failed() {
    let (mut relays, now) = (relays(), Instant::now());

    for failed in [vm(1), vm(2), vm(11), vm(12)] {
        relays.on_failed(failed, now);
    }

    assert_eq!(relays.next(&[], 0.5, now), None);
    assert!(!relays.has_usable(now));
}
