//! Load generation, experiments and checks: callers that retry and resume as client libraries
//! do, an open-loop load generator, a ledger check, and the files of a local fleet. The program
//! `sillbank-load` and the scripted scenarios are built on this library.

#![forbid(unsafe_code)]

pub mod check;
pub mod client;
pub mod control_bench;
pub mod direct;
pub mod experiment;
pub mod fleet;
pub mod hop;
pub mod mix;
pub mod once_bench;
pub mod process;
pub mod report;
pub mod run;
pub mod settings_bench;
pub mod wait;

/// Result of a command: whether every check passed, or the error that stopped it.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;
