//! Fixtures of the tests.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub(crate) mod link;
