//! Shared test helpers: property tests with fixed seeds, [`ports`] that no other test uses, and
//! [`golden`] scripts. They make the result of a test the same in each run.

#![forbid(unsafe_code)]

pub mod golden;
pub mod ports;

use arbitrary::Unstructured;

/// Runs a property test with fixed seeds, with inputs of about `size_bytes` each.
///
/// The number of seeds is `count`, or the environment variable `SILLBANK_SEEDS` if it is set.
/// `SILLBANK_SEED` runs only that seed. `arbtest` prints the seed of a failure.
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
    let variable = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    if let Some(seed) = variable("SILLBANK_SEED") {
        arbtest::arbtest(&mut property).seed(seed);
        return;
    }
    let count = variable("SILLBANK_SEEDS").unwrap_or(u64::from(count));
    for number in 0..count {
        // The lower half of an `arbtest` seed is the size of the input.
        let seed = (number + 1) << 32 | u64::from(size_bytes);
        arbtest::arbtest(&mut property).seed(seed);
    }
}

/// Runs a property test with one seed, such as one that once revealed a fault.
pub fn for_seed<P>(seed: u64, property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    arbtest::arbtest(property).seed(seed);
}
