//! Event queue of one generation.

use sillbank_generation::Event;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct MailboxState {
    events: VecDeque<Event>,
    hand_over: bool,
    waker: Option<Waker>,
}

/// A single-threaded queue of events. Clones share the queue.
#[derive(Clone, Default)]
pub(crate) struct Mailbox {
    state: Rc<RefCell<MailboxState>>,
}

/// A message to a generation.
pub(crate) enum Mail {
    /// An event for the generation's state machine.
    Event(Event),
    /// The VM is stopping: the caller must resume at another VM.
    HandOver,
}

impl Mailbox {
    /// Adds an event and wakes the waiting task.
    pub(crate) fn push(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Asks the generation to hand over.
    pub(crate) fn hand_over(&self) {
        let mut state = self.state.borrow_mut();
        state.hand_over = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Polls for the next message. Events come before a hand-over.
    pub(crate) fn poll_next(&self, context: &mut Context<'_>) -> Poll<Mail> {
        let mut state = self.state.borrow_mut();
        if let Some(event) = state.events.pop_front() {
            return Poll::Ready(Mail::Event(event));
        }
        if std::mem::take(&mut state.hand_over) {
            return Poll::Ready(Mail::HandOver);
        }
        state.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
