//! The count of kept bytes: who gives way, and that it comes back to zero.

use arbitrary::Unstructured;
use sillbank_net::kept::{KeptBytes, KeptShare, UnreadBytes};
use sillbank_testing::for_fixed_seeds;

const BOUND_BYTES: usize = 1_000;

#[test]
fn the_connection_on_which_nothing_was_read_for_longest_goes_first() {
    let kept = KeptBytes::new(BOUND_BYTES);
    let [first, second, third] = [kept.open(), kept.open(), kept.open()];
    for connection in [&first, &second, &third] {
        connection.on_waiting(300);
        connection.on_taken(300);
    }
    first.on_read(1);

    third.on_waiting(200);

    assert!(second.is_cut());
    assert!(!first.is_cut() && !third.is_cut());
    assert_eq!(kept.kept_bytes(), 299 + 500);
}

#[test]
fn a_new_request_does_not_cut_those_that_read_a_moment_ago() {
    let kept = KeptBytes::new(BOUND_BYTES);
    let reader = kept.open();
    reader.on_waiting(900);

    let refused = kept.try_keep(200);
    let fits = kept.try_keep(100);

    assert!(refused.is_none() && fits.is_some());
    assert!(!reader.is_cut());
    assert_eq!(kept.kept_bytes(), BOUND_BYTES);
}

enum Holder {
    Connection(UnreadBytes),
    Share(KeptShare),
}

fn step(
    u: &mut Unstructured<'_>,
    kept: &KeptBytes,
    held: &mut Vec<Holder>,
) -> arbitrary::Result<()> {
    let bytes = u.int_in_range(0..=2 * BOUND_BYTES)?;
    if held.is_empty() || u.ratio(1, 4)? {
        match u.arbitrary()? {
            true => held.push(Holder::Connection(kept.open())),
            false => held.extend(kept.try_keep(bytes).map(Holder::Share)),
        }
        return Ok(());
    }
    let index = u.choose_index(held.len())?;
    match &mut held[index] {
        Holder::Share(share) => {
            share.try_resize(bytes);
        }
        Holder::Connection(connection) => match u.int_in_range(0..=3)? {
            0 => connection.on_waiting(bytes),
            1 => connection.on_taken(bytes),
            2 => connection.on_read(bytes),
            _ => connection.on_dropped(),
        },
    }
    if u.ratio(1, 5)? {
        held.swap_remove(index);
    }
    Ok(())
}

#[test]
fn the_bound_holds_after_each_step_and_nothing_stays_counted() {
    for_fixed_seeds(200, 2_048, |u| {
        let kept = KeptBytes::new(BOUND_BYTES);
        let mut held = Vec::new();
        for _ in 0..60 {
            step(u, &kept, &mut held)?;
            assert!(kept.kept_bytes() <= BOUND_BYTES);
        }
        held.clear();
        assert_eq!((kept.kept_bytes(), kept.connections()), (0, 0));
        Ok(())
    });
}
