//! Pushback in one answer of an endpoint, beside its outcome.

use std::time::Duration;

/// Rate limit in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LimitSignal {
    /// The endpoint sets no limit.
    #[default]
    None,
    /// Requests per second that the endpoint accepts from all VMs together.
    PerS(f64),
    /// The limit cannot be parsed and is ignored.
    Unreadable,
}

/// Time in a refusal after which the VM may send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RetryAfterSignal {
    /// No time is given, or the answer is not a refusal.
    #[default]
    None,
    /// The endpoint accepts nothing from this VM for this time.
    For(Duration),
    /// The time cannot be parsed.
    Unreadable,
}

/// Pushback of an endpoint in one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pushback {
    /// Rate limit.
    pub limit: LimitSignal,
    /// Pause that is asked of the VM that receives the answer.
    pub retry_after: RetryAfterSignal,
    /// Whether the endpoint leaves.
    pub is_leaving: bool,
}
