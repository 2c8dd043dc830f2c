//! Shared helpers of the process-level tests. Each test target uses only some of them.
#![allow(dead_code)]

mod engines;
pub(crate) mod fleet;
pub(crate) mod runner;
mod settings;
mod world;
