//! What is known about whether a request was run.

use serde::{Deserialize, Serialize};

/// What a failure may say about the work behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work was not run; a repeat is safe.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The work ran.
    Ran,
}

/// Evidence that a request was not run. [`RunState::NotRun`] is only ever reported through one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunEvidence {
    /// No byte of the work left for any endpoint.
    NothingLeft,
    /// The endpoint itself answered that it ran nothing.
    EndpointSaidSo,
}

/// Follows one request's work as it leaves and comes back, and says what may be claimed of it.
///
/// ```
/// use sillbank_core::run::{RunLog, RunState};
/// let mut log = RunLog::default();
/// assert_eq!(log.state(), RunState::NotRun);
/// log.sent();
/// assert_eq!(log.state(), RunState::Unknown);
/// log.refused();
/// assert_eq!(log.state(), RunState::NotRun);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunLog {
    sent: u32,
    refused: u32,
    ran: bool,
}

impl RunLog {
    /// Notes that work was handed to a connection.
    pub fn sent(&mut self) {
        self.sent += 1;
    }

    /// Notes that an endpoint refused one piece of sent work without running it.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// Notes that an endpoint answered that it ran the work.
    pub fn ran(&mut self) {
        self.ran = true;
    }

    /// Whether an endpoint answered that it ran work of this request.
    pub fn has_run(&self) -> bool {
        self.ran
    }

    /// The evidence that nothing ran, if there is any.
    pub fn not_run_evidence(&self) -> Option<NotRunEvidence> {
        match (self.ran, self.sent, self.refused) {
            (false, 0, _) => Some(NotRunEvidence::NothingLeft),
            (false, sent, refused) if sent == refused => Some(NotRunEvidence::EndpointSaidSo),
            _ => None,
        }
    }

    /// What may be told to the caller.
    pub fn state(&self) -> RunState {
        match self.not_run_evidence() {
            Some(_) => RunState::NotRun,
            None if self.ran => RunState::Ran,
            None => RunState::Unknown,
        }
    }
}
