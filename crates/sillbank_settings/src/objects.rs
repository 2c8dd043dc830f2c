//! Objects of the settings tree: nodes, pipelines, organisations, endpoints, services and operators.

use crate::policy::PolicyPatch;
use crate::reader::{FieldReader, Problem, Problems};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sillbank_core::prelude::*;

/// Path of a node, beginning with `/`.
pub type NodePath = String;

/// A node of the tree. Its key is derived from its path.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeObject {
    /// Settings that it overrides.
    pub settings: PolicyPatch,
}

/// A pipeline: a model that is served in stages by several endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineObject {
    /// Parent node.
    pub parent: NodePath,
    /// Number of layers of the model.
    pub layers: u16,
    /// Settings that it overrides.
    pub settings: PolicyPatch,
}

/// An organisation, whose callers send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationObject {
    /// Parent node. The organisation may call objects below the same top-level node.
    pub parent: NodePath,
    /// Hashes of its keys, as returned by [`hash_key`].
    pub key_hashes: Vec<String>,
    /// Settings that it overrides.
    pub settings: PolicyPatch,
}

/// A generation endpoint, which is a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointObject {
    /// Parent node.
    pub parent: NodePath,
    /// Data hall that it runs in.
    pub hall: HallId,
    /// Kind of its accelerator.
    pub kind: AcceleratorKind,
    /// Pipeline that it serves.
    pub pipeline: PipelineId,
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Address of its interface as `IP:PORT`.
    pub address: String,
    /// Whether it checks the fencing token of an order.
    pub checks_fences: bool,
    /// Whether it is leaving and receives no new requests.
    pub leaving: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceObject {
    /// Parent node.
    pub parent: NodePath,
    /// Addresses of its endpoints as `IP:PORT`.
    pub addresses: Vec<String>,
    /// Whether calls are idempotent, so that one whose answer was lost may be retried.
    pub repeatable: bool,
    /// Settings that it overrides.
    pub settings: PolicyPatch,
}

/// An operator, who may change a part of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorObject {
    /// Node below which the operator may write; `/` is the whole tree.
    pub subtree: NodePath,
    /// Hashes of its keys, as returned by [`hash_key`].
    pub key_hashes: Vec<String>,
}

/// Any object of the tree.
#[derive(Debug, Clone, PartialEq)]
pub enum TreeObject {
    /// `node/PATH`
    Node(NodeObject),
    /// `pipeline/NAME`
    Pipeline(PipelineObject),
    /// `organisation/NAME`
    Organisation(OrganisationObject),
    /// `endpoint/NAME`
    Endpoint(EndpointObject),
    /// `service/NAME`
    Service(ServiceObject),
    /// `operator/NAME`
    Operator(OperatorObject),
}

impl TreeObject {
    /// Returns the path of a node object, or of the parent of another object.
    pub fn node_path(&self, key: &str) -> NodePath {
        match self {
            Self::Node(_) => format!("/{}", key.trim_start_matches("node/")),
            Self::Pipeline(object) => object.parent.clone(),
            Self::Organisation(object) => object.parent.clone(),
            Self::Endpoint(object) => object.parent.clone(),
            Self::Service(object) => object.parent.clone(),
            Self::Operator(object) => object.subtree.clone(),
        }
    }
}

/// Kinds of objects, in the order in which they are written, so that an object exists before others refer to it.
pub const KINDS: [&str; 6] =
    ["node", "operator", "pipeline", "organisation", "service", "endpoint"];

/// Who wrote an object and why.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteNote {
    /// Name of the operator.
    pub by: String,
    /// Reason of the write.
    pub why: String,
    /// Random string of the write, by which the writer recognises its own write.
    pub mark: String,
}

/// Whether the key of an object, or a prefix of keys, arrives as it is in the path of a request.
pub fn is_path_key(key: &str) -> bool {
    key.chars().all(|c| c.is_ascii_alphanumeric() || "-_.~/".contains(c))
}

/// Returns the hash of a caller's or operator's key as stored in the settings.
pub fn hash_key(key: &str) -> String {
    sillbank_core::hash::hash_hex(&["sillbank key", key])
}

/// Reads and checks an object from JSON text.
///
/// # Errors
/// Returns all problems found.
pub fn read_object(key: &str, text: &str) -> Result<TreeObject, Problems> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        Problems(vec![Problem {
            source: key.to_owned(),
            path: format!("line {}", e.line()),
            reason: e.to_string(),
            remedy: "write the object with 'sillbank apply'".to_owned(),
        }])
    })?;
    read_object_value(key, value)
}

/// Reads and checks an object from a JSON value.
///
/// # Errors
/// Returns all problems found.
pub fn read_object_value(key: &str, value: Value) -> Result<TreeObject, Problems> {
    let mut reader = FieldReader::new(key, value);
    reader.table("note", |note| {
        for field in ["by", "why", "mark"] {
            note.text_or_none(field);
        }
    });
    let object = match key.split_once('/') {
        Some(("node", _)) => TreeObject::Node(NodeObject { settings: settings(&mut reader) }),
        Some(("pipeline", _)) => TreeObject::Pipeline(read_pipeline(&mut reader)),
        Some(("organisation", _)) => TreeObject::Organisation(read_organisation(&mut reader)),
        Some(("endpoint", _)) => TreeObject::Endpoint(read_endpoint(&mut reader)),
        Some(("service", _)) => TreeObject::Service(read_service(&mut reader)),
        Some(("operator", _)) => TreeObject::Operator(read_operator(&mut reader)),
        _ => {
            let remedy = "use node/, pipeline/, organisation/, endpoint/, service/ or operator/";
            reader.add_problem("", "its key is of no known kind", remedy);
            TreeObject::Node(NodeObject::default())
        }
    };
    reader.finish().map(|()| object)
}

fn settings(reader: &mut FieldReader) -> PolicyPatch {
    reader.table("settings", PolicyPatch::read)
}

fn parent(reader: &mut FieldReader) -> NodePath {
    path(reader, "parent")
}

fn path(reader: &mut FieldReader, field: &str) -> NodePath {
    let path = reader.text(field);
    if !path.is_empty() && (!path.starts_with('/') || (path.len() > 1 && path.ends_with('/'))) {
        reader.add_problem(
            field,
            format!("'{path}' is not a path"),
            "write it as '/market/budapest'",
        );
    }
    path
}

fn read_pipeline(reader: &mut FieldReader) -> PipelineObject {
    PipelineObject {
        parent: parent(reader),
        layers: reader.number("layers", 1, 1..=1000) as u16,
        settings: settings(reader),
    }
}

fn read_organisation(reader: &mut FieldReader) -> OrganisationObject {
    OrganisationObject {
        parent: parent(reader),
        key_hashes: key_hashes(reader, "key_hashes"),
        settings: settings(reader),
    }
}

fn read_operator(reader: &mut FieldReader) -> OperatorObject {
    let key_hashes = key_hashes(reader, "key_hashes");
    OperatorObject { subtree: path(reader, "subtree"), key_hashes }
}

/// Reads a list of key hashes.
pub(crate) fn key_hashes(reader: &mut FieldReader, name: &str) -> Vec<String> {
    let hashes = reader.texts(name);
    let is_hash = |h: &String| h.len() == 64 && h.bytes().all(|b| b.is_ascii_hexdigit());
    if !hashes.iter().all(is_hash) {
        reader.add_problem(name, "an entry is not a hash", "make it with 'sillbank hash-key'");
    }
    hashes
}

/// Reads a TOML file of objects, written as tables `[KIND.NAME]`, and nodes as `[node."/PATH"]`.
///
/// # Errors
/// Returns all problems found in any of the objects.
pub fn read_objects_file(source: &str, text: &str) -> Result<Vec<(String, Value)>, Problems> {
    let file: Value = toml::from_str(text).map_err(|e| {
        Problems(vec![Problem {
            source: source.to_owned(),
            path: "(file)".to_owned(),
            reason: e.message().to_owned(),
            remedy: "correct the TOML".to_owned(),
        }])
    })?;
    let mut objects = Vec::new();
    let mut problems = Vec::new();
    for (kind, named) in file.as_object().into_iter().flatten() {
        for (name, value) in named.as_object().into_iter().flatten() {
            let key = format!("{kind}/{}", name.trim_start_matches('/'));
            match read_object_value(&key, value.clone()) {
                Ok(_) => objects.push((key, value.clone())),
                Err(found) => problems.extend(found.0.into_iter().map(|problem| Problem {
                    source: format!("{source}: {}", problem.source),
                    ..problem
                })),
            }
        }
    }
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    let rank = |key: &str| KINDS.iter().position(|kind| key.starts_with(kind));
    objects.sort_by(|(a, _), (b, _)| (rank(a), a).cmp(&(rank(b), b)));
    Ok(objects)
}

fn read_endpoint(reader: &mut FieldReader) -> EndpointObject {
    let object = EndpointObject {
        parent: parent(reader),
        hall: reader.name("hall"),
        kind: reader.name("kind"),
        pipeline: reader.name("pipeline"),
        layers: LayerRange {
            first: reader.number("first_layer", 0, 0..=999) as u16,
            end: reader.number("end_layer", 0, 0..=1000) as u16,
        },
        address: reader.address("address").to_string(),
        checks_fences: reader.flag("checks_fences", true),
        leaving: reader.flag("leaving", false),
    };
    if object.layers.is_empty() {
        reader.add_problem(
            "end_layer",
            "the range holds no layer",
            "make it greater than first_layer",
        );
    }
    object
}

fn read_service(reader: &mut FieldReader) -> ServiceObject {
    let addresses = reader.addresses("addresses");
    if addresses.is_empty() {
        reader.add_problem("addresses", "it names no address", "add 'addresses = [\"IP:PORT\"]'");
    }
    ServiceObject {
        parent: parent(reader),
        addresses: addresses.iter().map(ToString::to_string).collect(),
        repeatable: reader.flag("repeatable", false),
        settings: settings(reader),
    }
}
