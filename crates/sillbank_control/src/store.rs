//! The settings objects this process holds, and who waits for new ones.

use sillbank_protocol::platform::{Object, Version};
use sillbank_settings::prelude::*;
use sillbank_settings::tree::Taken;
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;

/// Objects by key; versions only rise.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: RefCell<HashMap<String, Object>>,
    tree: RefCell<Tree>,
    /// Every change up to this version is held.
    complete: Cell<Option<Version>>,
    followers: RefCell<Vec<Sender<()>>>,
}

impl Store {
    /// Takes an object unless one as new is held. Returns whether it was taken.
    pub(crate) fn take(&self, object: Object) -> bool {
        let mut objects = self.objects.borrow_mut();
        if objects.get(&object.key).is_some_and(|held| held.version >= object.version) {
            return false;
        }
        let mut tree = self.tree.borrow_mut();
        let taken = tree.take(&object.key, object.version, object.deleted, &object.value);
        if let Taken::Invalid(problems) = taken {
            tracing::warn!("control: The last good value stays in force: {problems}.");
        }
        objects.insert(object.key.clone(), object);
        true
    }

    /// Notes that every change up to a version is held, and wakes who follows.
    pub(crate) fn set_complete(&self, version: Version) {
        self.complete.set(self.complete.get().max(Some(version)));
        self.wake();
    }

    /// Version up to which every change is held, once the platform or a peer gave a listing.
    pub(crate) fn complete(&self) -> Option<Version> {
        self.complete.get()
    }

    /// Number of objects, deletions included.
    pub(crate) fn len(&self) -> usize {
        self.objects.borrow().len()
    }

    /// The tree made of the objects.
    pub(crate) fn tree(&self) -> Ref<'_, Tree> {
        self.tree.borrow()
    }

    /// An object, if it is held and not deleted.
    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        self.objects.borrow().get(key).filter(|object| !object.deleted).cloned()
    }

    /// All objects with a prefix that are not deleted, by key.
    pub(crate) fn list(&self, prefix: &str) -> Vec<Object> {
        let objects = self.objects.borrow();
        let wanted = |object: &&Object| object.key.starts_with(prefix) && !object.deleted;
        let mut found: Vec<Object> = objects.values().filter(wanted).cloned().collect();
        found.sort_by(|a, b| a.key.cmp(&b.key));
        found
    }

    /// Objects newer than a version, oldest first.
    pub(crate) fn newer_than(&self, version: Version) -> Vec<Object> {
        let objects = self.objects.borrow();
        let mut newer: Vec<Object> =
            objects.values().filter(|object| object.version > version).cloned().collect();
        newer.sort_by_key(|object| object.version);
        newer
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
