//! What tests of the gateway share.

pub(crate) mod fleet;
