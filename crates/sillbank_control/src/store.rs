//! The settings replica of this process, and its subscribers.

use sillbank_protocol::platform::{Object, Version};
use sillbank_settings::prelude::*;
use sillbank_settings::tree::ApplyOutcome;
use sillbank_spread::ObjectStore;
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, Ref, RefCell};

/// Settings objects, the tree built from them, and subscribers to changes.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: RefCell<ObjectStore>,
    tree: RefCell<Tree>,
    /// Whether entries may be served from this replica.
    ready: Cell<bool>,
    subscribers: RefCell<Vec<Sender<()>>>,
}

impl Store {
    /// Stores an object unless the same or a newer version is stored. Returns whether it was stored.
    pub(crate) fn apply(&self, object: Object) -> bool {
        let (key, version, deleted) = (object.key.clone(), object.version, object.deleted);
        let value = object.value.clone();
        if !self.objects.borrow_mut().apply(object) {
            return false;
        }
        let outcome = self.tree.borrow_mut().apply(&key, version, deleted, &value);
        if let ApplyOutcome::Invalid(problems) = outcome {
            tracing::warn!(
                "control: An object is invalid, its last valid value stays in force: {problems}."
            );
        }
        true
    }

    /// Records that every change up to a version is stored, and wakes the subscribers.
    pub(crate) fn set_complete(&self, version: Version) {
        self.objects.borrow_mut().set_complete(version);
        self.wake();
    }

    /// Records that entries may be served from this replica.
    pub(crate) fn set_ready(&self) {
        if !self.ready.replace(true) {
            self.wake();
        }
    }

    /// Version up to which entries are served; `None` until the replica is ready.
    pub(crate) fn served_version(&self) -> Option<Version> {
        self.objects().complete().filter(|_| self.ready.get())
    }

    /// The stored objects.
    pub(crate) fn objects(&self) -> Ref<'_, ObjectStore> {
        self.objects.borrow()
    }

    /// The tree built from the objects.
    pub(crate) fn tree(&self) -> Ref<'_, Tree> {
        self.tree.borrow()
    }

    /// Returns a channel that gets a message when something new is stored.
    pub(crate) fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = smol::channel::bounded(1);
        self.subscribers.borrow_mut().push(sender);
        receiver
    }

    fn wake(&self) {
        self.subscribers.borrow_mut().retain(|subscriber| {
            subscriber.try_send(()).ok();
            !subscriber.is_closed()
        });
    }
}
