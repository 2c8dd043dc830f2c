//! Random numbers of a `SharedRng`: reproducible from a seed, shared between clones, uniform.

use sillbank_core::rng::SharedRng;

fn numbers(rng: &SharedRng) -> Vec<u64> {
    (0..100).map(|_| rng.next_u64()).collect()
}

/// Generators with the same seed return the same numbers, and others return different ones.
#[test]
fn same_seed_gives_same_numbers() {
    let (one, same, other) =
        (SharedRng::with_seed(7), SharedRng::with_seed(7), SharedRng::with_seed(8));

    let drawn = numbers(&one);

    assert_eq!(drawn, numbers(&same));
    assert_ne!(drawn, numbers(&other));
}

/// A clone continues the sequence of the original instead of repeating it.
#[test]
fn clones_draw_from_one_sequence() {
    let (alone, shared) = (SharedRng::with_seed(7), SharedRng::with_seed(7));
    let clone = shared.clone();

    let drawn = [shared.next_u64(), clone.next_u64(), shared.next_u64()];

    assert_eq!(drawn, [alone.next_u64(), alone.next_u64(), alone.next_u64()]);
}

/// Two generators seeded from entropy return different numbers.
#[test]
fn generators_from_entropy_differ() {
    assert_ne!(numbers(&SharedRng::from_entropy()), numbers(&SharedRng::from_entropy()));
}

/// Floats stay within [0, 1) and are spread evenly over it.
#[test]
fn floats_are_uniform_between_0_and_1() {
    let rng = SharedRng::with_seed(7);

    let drawn: Vec<f64> = (0..10_000).map(|_| rng.next_f64()).collect();

    assert!(drawn.iter().all(|fraction| (0.0..1.0).contains(fraction)));
    let in_tenth = |tenth: usize| drawn.iter().filter(|f| (**f * 10.0) as usize == tenth).count();
    assert!((0..10).all(|tenth| in_tenth(tenth) > 800), "a tenth of them is expected in each");
}
