//! The settings this process holds, and who waits for new ones.

use sillbank_protocol::platform::{Object, Version};
use sillbank_settings::prelude::*;
use sillbank_settings::tree::ApplyOutcome;
use sillbank_spread::ObjectStore;
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, Ref, RefCell};

/// Objects, the tree made of them, and followers.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: RefCell<ObjectStore>,
    tree: RefCell<Tree>,
    /// Whether enough was heard to serve from it.
    settled: Cell<bool>,
    followers: RefCell<Vec<Sender<()>>>,
}

impl Store {
    /// Takes an object unless one as new is held. Returns whether it was taken.
    pub(crate) fn take(&self, object: Object) -> bool {
        let (key, version, deleted) = (object.key.clone(), object.version, object.deleted);
        let value = object.value.clone();
        if !self.objects.borrow_mut().apply(object) {
            return false;
        }
        let taken = self.tree.borrow_mut().apply(&key, version, deleted, &value);
        if let ApplyOutcome::Invalid(problems) = taken {
            tracing::warn!("control: The last good value stays in force: {problems}.");
        }
        true
    }

    /// Notes that every change up to a version is held, and wakes who follows.
    pub(crate) fn set_complete(&self, version: Version) {
        self.objects.borrow_mut().set_complete(version);
        self.wake();
    }

    /// Notes that entries may be served from what is held.
    pub(crate) fn set_settled(&self) {
        if !self.settled.replace(true) {
            self.wake();
        }
    }

    /// Version up to which entries are served, once enough was heard.
    pub(crate) fn served(&self) -> Option<Version> {
        self.objects().complete().filter(|_| self.settled.get())
    }

    /// What is held.
    pub(crate) fn objects(&self) -> Ref<'_, ObjectStore> {
        self.objects.borrow()
    }

    /// The tree made of the objects.
    pub(crate) fn tree(&self) -> Ref<'_, Tree> {
        self.tree.borrow()
    }

    /// A channel that gets a word when something new is held.
    pub(crate) fn follow(&self) -> Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        self.followers.borrow_mut().push(sender);
        receiver
    }

    fn wake(&self) {
        self.followers.borrow_mut().retain(|follower| {
            follower.try_send(()).ok();
            !follower.is_closed()
        });
    }
}
