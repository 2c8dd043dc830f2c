//! Claims for calls that must not run twice, made through the control process of this VM.

use futures_lite::FutureExt;
use sillbank_core::prelude::*;
use sillbank_protocol::once::ClaimAnswer;
use sillbank_protocol::peer::EntryToControl;
use smol::Timer;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Timeout of a claim, and the greatest age of a granted claim when its call is sent. It is far
/// shorter than the time any holder remembers claims, so that a pause between the grant and the
/// send cannot let a call run twice.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// A reply from control.
enum ControlReply {
    Claim(ClaimAnswer),
    Minted(String),
}

/// Sends claims to control and matches the replies by id.
#[derive(Default)]
pub(crate) struct ControlClaims {
    sender: RefCell<Option<Sender<EntryToControl>>>,
    pending: RefCell<HashMap<u64, Sender<ControlReply>>>,
    last_id: Cell<u64>,
}

impl ControlClaims {
    /// Uses a new connection to control.
    pub(crate) fn connect(&self, sender: Sender<EntryToControl>) {
        *self.sender.borrow_mut() = Some(sender);
    }

    /// Handles the loss of the connection: pending requests end without a reply.
    pub(crate) fn disconnect(&self) {
        *self.sender.borrow_mut() = None;
        self.pending.borrow_mut().clear();
    }

    /// Claims a key. Returns the answer and the time at which the request was sent.
    pub(crate) async fn claim(&self, organisation: &str, key: &str) -> (ClaimAnswer, Instant) {
        let requested_at = Instant::now();
        let message = |id| EntryToControl::Claim {
            id,
            organisation: organisation.to_owned(),
            key: key.to_owned(),
        };
        match self.request(message).await {
            Some(ControlReply::Claim(answer)) => (answer, requested_at),
            _ => (ClaimAnswer::Unavailable, requested_at),
        }
    }

    /// Reports to control whether a claimed call has run.
    pub(crate) fn report_run_state(
        &self,
        organisation: &str,
        key: &str,
        claim: u64,
        run: RunState,
    ) {
        self.send(EntryToControl::ClaimEnded {
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            claim,
            run,
        });
    }

    /// Asks control for a new key; `None` if control cannot be reached.
    pub(crate) async fn mint(&self) -> Option<String> {
        match self.request(|id| EntryToControl::Mint { id }).await {
            Some(ControlReply::Minted(key)) => Some(key),
            _ => None,
        }
    }

    /// Handles the answer to a claim.
    pub(crate) fn on_claim_answer(&self, id: u64, answer: ClaimAnswer) {
        self.deliver(id, ControlReply::Claim(answer));
    }

    /// Handles a newly minted key.
    pub(crate) fn on_minted(&self, id: u64, key: String) {
        self.deliver(id, ControlReply::Minted(key));
    }

    async fn request(&self, message: impl FnOnce(u64) -> EntryToControl) -> Option<ControlReply> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (sender, answer) = smol::channel::bounded(1);
        self.pending.borrow_mut().insert(id, sender);
        let answer = match self.send(message(id)) {
            true => {
                let timed_out = async {
                    Timer::after(CLAIM_TIMEOUT).await;
                    None
                };
                async { answer.recv().await.ok() }.or(timed_out).await
            }
            false => None,
        };
        self.pending.borrow_mut().remove(&id);
        answer
    }

    fn send(&self, message: EntryToControl) -> bool {
        let sender = self.sender.borrow();
        sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn deliver(&self, id: u64, answer: ControlReply) {
        if let Some(sender) = self.pending.borrow_mut().remove(&id) {
            sender.try_send(answer).ok();
        }
    }
}
