//! Settings objects by key. Versions never decrease; a deletion is a version, too.

use sillbank_core::hash::hash_u64;
use sillbank_protocol::platform::{Object, Version};
use std::collections::{BTreeMap, HashMap};

/// Objects with an index by version.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: HashMap<String, Object>,
    by_version: BTreeMap<Version, String>,
    digest: u64,
    complete: Option<Version>,
}

impl ObjectStore {
    /// Stores an object unless the stored version is at least as new. Returns whether it was
    /// stored.
    pub fn apply(&mut self, object: Object) -> bool {
        if let Some(stored) = self.objects.get(&object.key) {
            if stored.version >= object.version {
                return false;
            }
            let (version, hash) = (stored.version, object_hash(stored));
            self.by_version.remove(&version);
            self.digest ^= hash;
        }
        self.digest ^= object_hash(&object);
        self.by_version.insert(object.version, object.key.clone());
        self.objects.insert(object.key.clone(), object);
        true
    }

    /// Records that every change up to a version is stored.
    pub fn set_complete(&mut self, version: Version) {
        self.complete = self.complete.max(Some(version));
    }

    /// Version up to which every change is stored; `None` before the first listing.
    pub fn complete(&self) -> Option<Version> {
        self.complete
    }

    /// Hash over all objects, equal for stores with the same content.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Greatest version stored; 0 if there is none.
    pub fn newest(&self) -> Version {
        self.by_version.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Number of objects, deletions included.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether no objects are stored.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// An object, unless it is missing or deleted.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key).filter(|object| !object.deleted)
    }

    /// All objects whose keys have a prefix and that are not deleted, sorted by key.
    pub fn list(&self, prefix: &str) -> Vec<Object> {
        let is_listed = |object: &&Object| object.key.starts_with(prefix) && !object.deleted;
        let mut found: Vec<Object> = self.objects.values().filter(is_listed).cloned().collect();
        found.sort_by(|a, b| a.key.cmp(&b.key));
        found
    }

    /// Objects newer than a version, oldest first.
    pub fn newer_than(&self, version: Version) -> Vec<Object> {
        let keys = self.by_version.range(version + 1..).map(|(_, key)| key);
        keys.filter_map(|key| self.objects.get(key)).cloned().collect()
    }
}

fn object_hash(object: &Object) -> u64 {
    hash_u64(&[&object.key, &object.version.to_string()])
}
