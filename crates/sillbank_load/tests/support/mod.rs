//! What the process-level tests share. Each test uses a part of it.
#![allow(dead_code)]

mod engines;
pub(crate) mod fleet;
pub(crate) mod runner;
mod settings;
mod world;
