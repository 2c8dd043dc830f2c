//! Fixtures of the tests.

pub(crate) mod link;
