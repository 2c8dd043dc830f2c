//! Claims of calls not to be repeated, through the control process of this VM.

use futures_lite::FutureExt;
use sillbank_core::prelude::*;
use sillbank_protocol::once::ClaimAnswer;
use sillbank_protocol::peer::EntryToControl;
use smol::Timer;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time a claim may take, and how old a granted one may be when its call is sent: far less than
/// any holder's memory, so that a pause in between cannot let a call run twice.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// What control answers.
enum Answer {
    Claim(ClaimAnswer),
    Minted(String),
}

/// The connection to control, as far as claims need it.
#[derive(Default)]
pub(crate) struct ControlClaims {
    sender: RefCell<Option<Sender<EntryToControl>>>,
    waiting: RefCell<HashMap<u64, Sender<Answer>>>,
    count: Cell<u64>,
}

impl ControlClaims {
    /// A connection stands.
    pub(crate) fn connect(&self, sender: Sender<EntryToControl>) {
        *self.sender.borrow_mut() = Some(sender);
    }

    /// The connection has gone; who waits gets no answer.
    pub(crate) fn disconnect(&self) {
        *self.sender.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
    }

    /// Claims a key. Answers the claim and when it was asked for.
    pub(crate) async fn claim(&self, organisation: &str, key: &str) -> (ClaimAnswer, Instant) {
        let asked_at = Instant::now();
        let message = |id| EntryToControl::Claim {
            id,
            organisation: organisation.to_owned(),
            key: key.to_owned(),
        };
        match self.ask(message).await {
            Some(Answer::Claim(answer)) => (answer, asked_at),
            _ => (ClaimAnswer::Unavailable, asked_at),
        }
    }

    /// Tells what is known of a claimed call.
    pub(crate) fn ended(&self, organisation: &str, key: &str, claim: u64, run: RunState) {
        self.send(EntryToControl::ClaimEnded {
            organisation: organisation.to_owned(),
            key: key.to_owned(),
            claim,
            run,
        });
    }

    /// A new key.
    pub(crate) async fn mint(&self) -> Option<String> {
        match self.ask(|id| EntryToControl::Mint { id }).await {
            Some(Answer::Minted(key)) => Some(key),
            _ => None,
        }
    }

    /// A claim was answered.
    pub(crate) fn on_answer(&self, id: u64, answer: ClaimAnswer) {
        self.give(id, Answer::Claim(answer));
    }

    /// A key was minted.
    pub(crate) fn on_minted(&self, id: u64, key: String) {
        self.give(id, Answer::Minted(key));
    }

    async fn ask(&self, message: impl FnOnce(u64) -> EntryToControl) -> Option<Answer> {
        let id = self.count.get() + 1;
        self.count.set(id);
        let (sender, answer) = smol::channel::bounded(1);
        self.waiting.borrow_mut().insert(id, sender);
        let answer = match self.send(message(id)) {
            true => {
                let late = async {
                    Timer::after(CLAIM_TIMEOUT).await;
                    None
                };
                async { answer.recv().await.ok() }.or(late).await
            }
            false => None,
        };
        self.waiting.borrow_mut().remove(&id);
        answer
    }

    fn send(&self, message: EntryToControl) -> bool {
        let sender = self.sender.borrow();
        sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok())
    }

    fn give(&self, id: u64, answer: Answer) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            sender.try_send(answer).ok();
        }
    }
}
