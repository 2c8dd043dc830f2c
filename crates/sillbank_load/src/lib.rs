//! Load, experiments and checks: callers as client libraries behave, an open-loop driver, a
//! ledger check, and the layout of a local fleet. The program `sillbank-load` is a thin driver
//! of this; scripted scenarios use it too.

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

/// Whether every check passed.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;
