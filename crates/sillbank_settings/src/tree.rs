//! Settings tree, as held by one process.

use crate::objects::{
    EndpointObject, NodeObject, OperatorObject, OrganisationObject, PipelineObject, ServiceObject,
    TreeObject, read_object,
};
use crate::policy::{Policy, PolicyPatch};
use crate::reader::{Problem, Problems};
use sillbank_core::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Effective policy of an object, with the origin of each value.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectivePolicy {
    /// Effective values.
    pub policy: Policy,
    /// For each setting, the key of the object that defines it, or `built in`.
    pub origin: BTreeMap<&'static str, String>,
}

/// Outcome of [`Tree::apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The object is in force.
    InForce,
    /// The object is not newer than the held version; nothing changed.
    Stale,
    /// The object is invalid; the last valid version stays in force.
    Invalid(Problems),
}

/// All objects of the tree known to this process, with their versions.
#[derive(Debug, Default)]
pub struct Tree {
    versions: HashMap<String, u64>,
    nodes: BTreeMap<String, NodeObject>,
    pipelines: BTreeMap<PipelineId, PipelineObject>,
    organisations: HashMap<OrganisationId, OrganisationObject>,
    endpoints: BTreeMap<EndpointId, EndpointObject>,
    services: BTreeMap<ServiceId, ServiceObject>,
    operators: BTreeMap<String, OperatorObject>,
    by_key_hash: HashMap<String, OrganisationId>,
    invalid: BTreeMap<String, Problems>,
}

impl Tree {
    /// Applies a version of an object, unless the held one is as new. A deletion is kept as a version.
    pub fn apply(&mut self, key: &str, version: u64, deleted: bool, value: &str) -> ApplyOutcome {
        if self.versions.get(key).is_some_and(|held| *held >= version) {
            return ApplyOutcome::Stale;
        }
        if deleted {
            self.versions.insert(key.to_owned(), version);
            self.invalid.remove(key);
            self.remove(key);
            return ApplyOutcome::InForce;
        }
        match read_object(key, value) {
            Ok(object) => {
                self.versions.insert(key.to_owned(), version);
                self.invalid.remove(key);
                self.insert(key, object);
                ApplyOutcome::InForce
            }
            Err(problems) => {
                self.versions.insert(key.to_owned(), version);
                self.invalid.insert(key.to_owned(), problems.clone());
                ApplyOutcome::Invalid(problems)
            }
        }
    }

    /// Returns the number of objects held, including deleted ones.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no object is held.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Returns the held version of an object.
    pub fn version(&self, key: &str) -> Option<u64> {
        self.versions.get(key).copied()
    }

    /// Returns the objects whose newest version is invalid, with their problems.
    pub fn invalid(&self) -> &BTreeMap<String, Problems> {
        &self.invalid
    }

    /// Returns a pipeline by name.
    pub fn pipeline(&self, name: &str) -> Option<&PipelineObject> {
        self.pipelines.get(name)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceObject> {
        self.services.get(name)
    }

    /// Returns an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationObject> {
        self.organisations.get(name)
    }

    /// Returns the organisation that has a key with this hash.
    pub fn organisation_of_key(&self, key_hash: &str) -> Option<&str> {
        self.by_key_hash.get(key_hash).map(String::as_str)
    }

    /// Returns an endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointObject> {
        self.endpoints.get(name)
    }

    /// Iterates over all endpoints by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (&EndpointId, &EndpointObject)> {
        self.endpoints.iter()
    }

    /// Returns the operator that has a key with this hash, and the node below which it may write.
    pub fn operator_of_key(&self, key_hash: &str) -> Option<(&str, &str)> {
        let holds = |object: &&OperatorObject| object.key_hashes.iter().any(|h| h == key_hash);
        let mut all = self.operators.iter();
        let (name, object) = all.find(|(_, object)| holds(object))?;
        Some((name, &object.subtree))
    }

    /// Returns the path of a node object, or of the parent of another object, if it is held.
    pub fn node_path_of(&self, key: &str) -> Option<String> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "pipeline" => self.pipelines.get(name).map(|o| o.parent.clone()),
            "organisation" => self.organisations.get(name).map(|o| o.parent.clone()),
            "service" => self.services.get(name).map(|o| o.parent.clone()),
            "endpoint" => self.endpoints.get(name).map(|o| o.parent.clone()),
            "operator" => self.operators.get(name).map(|o| o.subtree.clone()),
            _ => Some(format!("/{name}")),
        }
    }

    /// Checks the references of an object to other objects.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn check_references(&self, key: &str, object: &TreeObject) -> Result<(), Problems> {
        let problem = |path: &str, reason: String, remedy: &str| {
            Problems(vec![Problem {
                source: key.to_owned(),
                path: path.to_owned(),
                reason,
                remedy: remedy.to_owned(),
            }])
        };
        let TreeObject::Endpoint(endpoint) = object else {
            return Ok(());
        };
        let Some(pipeline) = self.pipeline(&endpoint.pipeline) else {
            let reason = format!("there is no pipeline '{}'", endpoint.pipeline);
            return Err(problem("pipeline", reason, "apply the pipeline first"));
        };
        if endpoint.layers.end > pipeline.layers {
            let reason = format!("the pipeline has {} layers only", pipeline.layers);
            return Err(problem("end_layer", reason, "make it no greater"));
        }
        Ok(())
    }

    /// Whether an organisation may call an object with this parent node: both must be below the same top-level node.
    pub fn may_call(&self, organisation: &str, target_parent: &str) -> bool {
        let top = |path: &str| path.split('/').nth(1).unwrap_or_default().to_owned();
        self.organisation(organisation).is_some_and(|o| top(&o.parent) == top(target_parent))
    }

    /// Returns the effective policy of an object, with the origin of each value.
    pub fn effective(&self, key: &str) -> EffectivePolicy {
        let mut effective = EffectivePolicy { policy: Policy::default(), origin: BTreeMap::new() };
        for name in Policy::NAMES {
            effective.origin.insert(name, "built in".to_owned());
        }
        let mut override_with = |key: &str, patch: &PolicyPatch| {
            let origin = &mut effective.origin;
            effective.policy.override_with(patch, |name| {
                origin.insert(name, key.to_owned());
            });
        };
        let path = self.node_path_of(key).unwrap_or_else(|| "/".to_owned());
        for ancestor in ancestors(&path) {
            if let Some(node) = self.nodes.get(&ancestor) {
                override_with(&format!("node{ancestor}"), &node.settings);
            }
        }
        if let Some(patch) = self.own_settings(key) {
            override_with(key, patch);
        }
        effective
    }

    /// Returns the settings that an object itself overrides.
    fn own_settings(&self, key: &str) -> Option<&PolicyPatch> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "pipeline" => self.pipelines.get(name).map(|o| &o.settings),
            "organisation" => self.organisations.get(name).map(|o| &o.settings),
            "service" => self.services.get(name).map(|o| &o.settings),
            _ => None,
        }
    }

    fn insert(&mut self, key: &str, object: TreeObject) {
        self.remove(key);
        let name = key.split_once('/').map_or("", |(_, name)| name).to_owned();
        match object {
            TreeObject::Node(node) => drop(self.nodes.insert(format!("/{name}"), node)),
            TreeObject::Pipeline(o) => drop(self.pipelines.insert(name, o)),
            TreeObject::Endpoint(o) => drop(self.endpoints.insert(name, o)),
            TreeObject::Service(o) => drop(self.services.insert(name, o)),
            TreeObject::Operator(o) => drop(self.operators.insert(name, o)),
            TreeObject::Organisation(o) => {
                for hash in &o.key_hashes {
                    self.by_key_hash.insert(hash.clone(), name.clone());
                }
                self.organisations.insert(name, o);
            }
        }
    }

    fn remove(&mut self, key: &str) {
        let (kind, name) = key.split_once('/').unwrap_or((key, ""));
        match kind {
            "node" => drop(self.nodes.remove(&format!("/{name}"))),
            "pipeline" => drop(self.pipelines.remove(name)),
            "endpoint" => drop(self.endpoints.remove(name)),
            "service" => drop(self.services.remove(name)),
            "operator" => drop(self.operators.remove(name)),
            "organisation" => self.remove_organisation(name),
            _ => {}
        }
    }

    fn remove_organisation(&mut self, name: &str) {
        let Some(old) = self.organisations.remove(name) else {
            return;
        };
        for hash in &old.key_hashes {
            if self.by_key_hash.get(hash).is_some_and(|owner| owner == name) {
                self.by_key_hash.remove(hash);
            }
        }
    }
}

/// Returns the paths from the root down to a path, including both.
fn ancestors(path: &str) -> Vec<String> {
    let mut all = vec!["/".to_owned()];
    let mut at = String::new();
    for part in path.split('/').filter(|part| !part.is_empty()) {
        at = format!("{at}/{part}");
        all.push(at.clone());
    }
    all
}
