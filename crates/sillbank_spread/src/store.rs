//! Settings objects by key. Versions only rise; a deletion is a version too.

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
    /// Takes an object unless one as new is held. Returns whether it was taken.
    pub fn take(&mut self, object: Object) -> bool {
        if let Some(held) = self.objects.get(&object.key) {
            if held.version >= object.version {
                return false;
            }
            let (version, hash) = (held.version, object_hash(held));
            self.by_version.remove(&version);
            self.digest ^= hash;
        }
        self.digest ^= object_hash(&object);
        self.by_version.insert(object.version, object.key.clone());
        self.objects.insert(object.key.clone(), object);
        true
    }

    /// Notes that every change up to a version is held.
    pub fn set_complete(&mut self, version: Version) {
        self.complete = self.complete.max(Some(version));
    }

    /// Version up to which every change is held, once a listing came.
    pub fn complete(&self) -> Option<Version> {
        self.complete
    }

    /// Hash over all objects, the same for two stores that hold the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Greatest version held.
    pub fn newest(&self) -> Version {
        self.by_version.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Number of objects, deletions included.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// An object, if it is held and not deleted.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key).filter(|object| !object.deleted)
    }

    /// All objects with a prefix that are not deleted, by key.
    pub fn list(&self, prefix: &str) -> Vec<Object> {
        let wanted = |object: &&Object| object.key.starts_with(prefix) && !object.deleted;
        let mut found: Vec<Object> = self.objects.values().filter(wanted).cloned().collect();
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
