//! Where one generation waits for its events.

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

/// A queue of events on one thread. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct Mailbox {
    state: Rc<RefCell<MailboxState>>,
}

/// What a generation is woken with.
pub(crate) enum Mail {
    /// Something happened to it.
    Event(Event),
    /// The VM stops: the caller is told where to go on.
    HandOver,
}

impl Mailbox {
    /// Adds an event and wakes who waits.
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

    /// The next event, if there is one.
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
