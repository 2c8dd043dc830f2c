//! Support for several tests of the gateway.

pub(crate) mod fleet;
