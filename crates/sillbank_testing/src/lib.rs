//! What tests share: properties run from fixed seeds, and [`ports`] that nobody else uses, so that the verdict is
//! the same each time.

#![forbid(unsafe_code)]

pub mod ports;

use arbitrary::Unstructured;

/// Runs a property from fixed seeds, with inputs of about `size_bytes` each.
///
/// The number of seeds is `count`; `SILLBANK_SEEDS` in the environment asks for more by hand, and
/// `SILLBANK_SEED` runs a single one again. A failing seed is printed by the test library.
///
/// ```
/// sillbank_testing::for_fixed_seeds(10, 256, |u| {
///     let number: u16 = u.arbitrary()?;
///     assert_eq!(number.swap_bytes().swap_bytes(), number);
///     Ok(())
/// });
/// ```
pub fn for_fixed_seeds<P>(count: u32, size_bytes: u32, mut property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    let asked = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    if let Some(seed) = asked("SILLBANK_SEED") {
        arbtest::arbtest(&mut property).seed(seed);
        return;
    }
    let count = asked("SILLBANK_SEEDS").unwrap_or(u64::from(count));
    for number in 0..count {
        // The library keeps the input's size in the lower half of a seed.
        let seed = (number + 1) << 32 | u64::from(size_bytes);
        arbtest::arbtest(&mut property).seed(seed);
    }
}

/// Runs a property from one seed: one that showed a fault stays as a test.
pub fn for_seed<P>(seed: u64, property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    arbtest::arbtest(property).seed(seed);
}
