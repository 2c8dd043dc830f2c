//! Chance that is handed in: the same seed, the same numbers.

use sillbank_core::chance::Chance;

fn numbers(chance: &Chance) -> Vec<u64> {
    (0..100).map(|_| chance.number()).collect()
}

#[test]
fn a_seed_gives_the_same_numbers_each_time() {
    let (one, same, other) = (Chance::with_seed(7), Chance::with_seed(7), Chance::with_seed(8));

    let drawn = numbers(&one);

    assert_eq!(drawn, numbers(&same));
    assert_ne!(drawn, numbers(&other));
}

#[test]
fn clones_draw_from_one_sequence() {
    let (alone, shared) = (Chance::with_seed(7), Chance::with_seed(7));
    let clone = shared.clone();

    let drawn = [shared.number(), clone.number(), shared.number()];

    assert_eq!(drawn, [alone.number(), alone.number(), alone.number()]);
}

#[test]
fn generators_from_entropy_draw_apart() {
    assert_ne!(numbers(&Chance::from_entropy()), numbers(&Chance::from_entropy()));
}

#[test]
fn fractions_lie_between_0_and_1_and_fill_that() {
    let chance = Chance::with_seed(7);

    let drawn: Vec<f64> = (0..10_000).map(|_| chance.fraction()).collect();

    assert!(drawn.iter().all(|fraction| (0.0..1.0).contains(fraction)));
    let in_tenth = |tenth: usize| drawn.iter().filter(|f| (**f * 10.0) as usize == tenth).count();
    assert!((0..10).all(|tenth| in_tenth(tenth) > 800), "a tenth of them is expected in each");
}
