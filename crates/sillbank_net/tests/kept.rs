//! The memory budget: its limit, which connections are cut, and the release of all bytes.

use arbitrary::Unstructured;
use sillbank_net::memory_budget::{MemoryBudget, MemoryReservation, UnreadBytes};
use sillbank_testing::for_fixed_seeds;

const LIMIT_BYTES: usize = 1_000;

/// At the limit the connection that has been stalled for longest is cut, and no other.
#[test]
fn longest_stalled_connection_is_cut_first() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let [first, second, third] =
        [budget.register_connection(), budget.register_connection(), budget.register_connection()];
    for connection in [&first, &second, &third] {
        connection.on_queued(300);
        connection.on_taken(300);
    }
    first.on_written(1);

    third.on_queued(200);

    assert!(second.is_cut());
    assert!(!first.is_cut() && !third.is_cut());
    assert_eq!(budget.used_bytes(), 299 + 500);
}

/// A reservation that does not fit is refused instead of cutting a connection that was read a moment ago.
#[test]
fn reservation_does_not_cut_recent_readers() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let reader = budget.register_connection();
    reader.on_queued(900);

    let refused = budget.try_reserve(200);
    let fits = budget.try_reserve(100);

    assert!(refused.is_none() && fits.is_some());
    assert!(!reader.is_cut());
    assert_eq!(budget.used_bytes(), LIMIT_BYTES);
}

enum Holder {
    Connection(UnreadBytes),
    Reservation(MemoryReservation),
}

fn step(
    u: &mut Unstructured<'_>,
    budget: &MemoryBudget,
    held: &mut Vec<Holder>,
) -> arbitrary::Result<()> {
    let bytes = u.int_in_range(0..=2 * LIMIT_BYTES)?;
    if held.is_empty() || u.ratio(1, 4)? {
        match u.arbitrary()? {
            true => held.push(Holder::Connection(budget.register_connection())),
            false => held.extend(budget.try_reserve(bytes).map(Holder::Reservation)),
        }
        return Ok(());
    }
    let index = u.choose_index(held.len())?;
    match &mut held[index] {
        Holder::Reservation(reservation) => {
            reservation.try_resize(bytes);
        }
        Holder::Connection(connection) => match u.int_in_range(0..=3)? {
            0 => connection.on_queued(bytes),
            1 => connection.on_taken(bytes),
            2 => connection.on_written(bytes),
            _ => connection.on_dropped(),
        },
    }
    if u.ratio(1, 5)? {
        held.swap_remove(index);
    }
    Ok(())
}

/// The limit holds after each of any sequence of operations, and nothing stays counted at the end.
#[test]
fn limit_holds_and_all_bytes_are_released() {
    for_fixed_seeds(200, 2_048, |u| {
        let budget = MemoryBudget::new(LIMIT_BYTES);
        let mut held = Vec::new();
        for _ in 0..60 {
            step(u, &budget, &mut held)?;
            assert!(budget.used_bytes() <= LIMIT_BYTES);
        }
        held.clear();
        assert_eq!((budget.used_bytes(), budget.connections()), (0, 0));
        Ok(())
    });
}
