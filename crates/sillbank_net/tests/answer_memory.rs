//! The share of the memory budget that large answers may use.

use sillbank_net::prelude::*;

const LIMIT_BYTES: usize = 1 << 20;
/// First bytes of an answer that may use the whole budget.
const SMALL_BYTES: usize = 64 << 10;
/// Bytes by which answers grow.
const STEP_BYTES: usize = 16 << 10;

/// Grows a reservation as far as it can; returns its size.
fn grow_fully(reservation: &mut MemoryReservation) -> usize {
    while reservation.try_grow_answer(STEP_BYTES) {}
    reservation.bytes()
}

fn reservation(budget: &MemoryBudget) -> MemoryReservation {
    budget.try_reserve(0).expect("nothing always fits")
}

/// Guards against answers that do not end using up the memory for the answers of others.
#[test]
fn large_answers_leave_half_of_the_memory_to_small_ones() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut large = [reservation(&budget), reservation(&budget)];
    let mut small = reservation(&budget);

    let large_bytes: usize = large.iter_mut().map(grow_fully).sum();
    let small_bytes = grow_fully(&mut small);

    assert_eq!(large_bytes, LIMIT_BYTES / 2 + 2 * SMALL_BYTES);
    assert_eq!(small_bytes, SMALL_BYTES);
}

/// What a large answer used is free for the next one.
#[test]
fn memory_of_a_large_answer_is_free_after_it() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let mut first = reservation(&budget);
    let first_bytes = grow_fully(&mut first);
    drop(first);

    let second_bytes = grow_fully(&mut reservation(&budget));

    assert_eq!(second_bytes, first_bytes);
    assert_eq!(budget.used_bytes(), 0);
}
