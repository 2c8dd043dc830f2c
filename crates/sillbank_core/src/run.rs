//! Whether a request was run, as far as is known.

use serde::{Deserialize, Serialize};

/// Whether the work of a failed request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work was not run; a retry is safe.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The work ran.
    Ran,
}

/// Evidence that a request was not run. [`RunState::NotRun`] is reported only on such evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunEvidence {
    /// Nothing was sent to any endpoint.
    NothingSent,
    /// Each endpoint that was sent work answered that it did not run it.
    RefusedByEndpoint,
}

/// Records the sends and answers of one request and derives its [`RunState`].
///
/// ```
/// use sillbank_core::run::{RunLog, RunState};
/// let mut log = RunLog::default();
/// assert_eq!(log.state(), RunState::NotRun);
/// log.record_sent();
/// assert_eq!(log.state(), RunState::Unknown);
/// log.record_refused();
/// assert_eq!(log.state(), RunState::NotRun);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunLog {
    sent: u32,
    refused: u32,
    ran: bool,
}

impl RunLog {
    /// Records that work was handed to a connection.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records that an endpoint refused one piece of sent work without running it.
    pub fn record_refused(&mut self) {
        self.refused += 1;
    }

    /// Records that an endpoint answered that it ran the work.
    pub fn record_ran(&mut self) {
        self.ran = true;
    }

    /// Whether an endpoint answered that it ran work of this request.
    pub fn has_run(&self) -> bool {
        self.ran
    }

    /// Returns the evidence that nothing ran, if there is any.
    pub fn not_run_evidence(&self) -> Option<NotRunEvidence> {
        match (self.ran, self.sent, self.refused) {
            (false, 0, _) => Some(NotRunEvidence::NothingSent),
            (false, sent, refused) if sent == refused => Some(NotRunEvidence::RefusedByEndpoint),
            _ => None,
        }
    }

    /// The run state to report to the caller.
    pub fn state(&self) -> RunState {
        match self.not_run_evidence() {
            Some(_) => RunState::NotRun,
            None if self.ran => RunState::Ran,
            None => RunState::Unknown,
        }
    }
}
