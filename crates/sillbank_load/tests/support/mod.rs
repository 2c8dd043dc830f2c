//! What the process-level tests share.

pub(crate) mod fleet;
pub(crate) mod runner;
