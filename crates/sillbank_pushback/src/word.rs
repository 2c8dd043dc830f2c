//! What one answer of an endpoint says beside its outcome.

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

/// What an endpoint asks of VMs with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pushback {
    /// How many requests it takes.
    pub limit: LimitWord,
}
