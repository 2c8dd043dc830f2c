//! What the process-level tests share. Each test uses a part of it.
#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod runner;
