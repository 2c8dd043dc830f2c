//! Why an answer cannot be continued at another endpoint.

/// Why an answer cannot be continued at another endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The route does not allow a second run of the request.
    NotRepeatable,
    /// The route allows no further send, or no time is left for one.
    SendsUsedUp,
    /// The request is quarantined.
    Quarantined,
    /// The retry budget is used up.
    BudgetUsedUp,
    /// No usable engines cover the model.
    NoPath,
    /// There is a path around the engines in doubt, and the answer may be sent over it, but it starts
    /// at the endpoint that holds the answer.
    OnlyHere,
    /// There is a path, but some of its engines have no room.
    NoRoom,
    /// Each endpoint that was asked refused the request or failed.
    Failed,
    /// The endpoint that took it sent no event.
    Silent,
}

impl Refusal {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::NotRepeatable,
        Self::SendsUsedUp,
        Self::Quarantined,
        Self::BudgetUsedUp,
        Self::NoPath,
        Self::OnlyHere,
        Self::NoRoom,
        Self::Failed,
        Self::Silent,
    ];

    /// Whether the request reached no endpoint.
    pub fn is_local(self) -> bool {
        !matches!(self, Self::Failed | Self::Silent)
    }

    /// Whether it holds for as long as the answer lasts.
    pub fn is_permanent(self) -> bool {
        matches!(self, Self::NotRepeatable | Self::SendsUsedUp | Self::Quarantined)
    }

    /// Text for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::NotRepeatable => "the route's streams are not resumable",
            Self::SendsUsedUp => "the route allows no further send, or no time is left",
            Self::Quarantined => "the request is quarantined",
            Self::BudgetUsedUp => "the retry budget is used up",
            Self::NoPath => "no path covers the model",
            Self::OnlyHere => "all paths start at the endpoint that holds the stream",
            Self::NoRoom => "no path has room",
            Self::Failed => "no endpoint accepted it",
            Self::Silent => "the endpoint that accepted it sent no event",
        }
    }
}
