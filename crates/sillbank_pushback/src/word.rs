//! What one answer of an endpoint says beside its outcome.

use std::time::Duration;

/// What an answer says of the requests that its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitWord {
    /// It names no limit: the endpoint takes what comes.
    #[default]
    None,
    /// Requests a second that the endpoint takes from all VMs together.
    PerS(f64),
    /// It names one that cannot be read, so it says nothing.
    Unreadable,
}

/// What a refusal says of when its VM may send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RestWord {
    /// Nothing, or it is no refusal.
    #[default]
    None,
    /// The endpoint wants nothing from this VM for so long.
    For(Duration),
    /// It names a time that cannot be read.
    Unreadable,
}

/// What an endpoint asks of VMs with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pushback {
    /// How many requests it takes.
    pub limit: LimitWord,
    /// Whether it wants rest from the VM that it answers.
    pub rest: RestWord,
    /// Whether it leaves.
    pub is_leaving: bool,
}
