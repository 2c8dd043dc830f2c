//! The objects of the tree: nodes, pipelines, organisations, endpoints and services.

use crate::policy::PolicyPatch;
use crate::reader::{FieldReader, Problem, Problems};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sillbank_core::prelude::*;

/// Path of a node, from `/`.
pub type NodePath = String;

/// A node of the tree. Its path is its key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeObject {
    /// What it overrides.
    pub settings: PolicyPatch,
}

/// A pipeline: a model that several endpoints serve in stages.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineObject {
    /// Node it is placed under.
    pub parent: NodePath,
    /// Number of layers of its model.
    pub layers: u16,
    /// What it overrides.
    pub settings: PolicyPatch,
}

/// An organisation that calls.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationObject {
    /// Node it is placed under; it may call what is placed under the same top node.
    pub parent: NodePath,
    /// Hashes of its keys, as [`hash_key`] makes them.
    pub key_hashes: Vec<String>,
    /// What it overrides.
    pub settings: PolicyPatch,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointObject {
    /// Node it is placed under.
    pub parent: NodePath,
    /// Data hall it stands in.
    pub hall: HallId,
    /// Accelerator kind.
    pub kind: AcceleratorKind,
    /// Pipeline it serves.
    pub pipeline: PipelineId,
    /// Layers it holds.
    pub layers: LayerRange,
    /// `IP:PORT` of its interface.
    pub address: String,
    /// Whether it checks the fence of an order.
    pub checks_fences: bool,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceObject {
    /// Node it is placed under.
    pub parent: NodePath,
    /// `IP:PORT` of each of its endpoints.
    pub addresses: Vec<String>,
    /// Whether a call may be sent again when its answer was lost.
    pub repeatable: bool,
    /// What it overrides.
    pub settings: PolicyPatch,
}

/// An operator: who may change which part of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorObject {
    /// Node under which this operator may write; `/` is everything.
    pub subtree: NodePath,
    /// Hashes of its keys, as [`hash_key`] makes them.
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
    /// Path of the node under which the object stands.
    pub fn place(&self, key: &str) -> NodePath {
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

/// Order in which kinds are written, so that what is named exists before what names it.
pub const KINDS: [&str; 6] =
    ["node", "operator", "pipeline", "organisation", "service", "endpoint"];

/// Who wrote an object and why; `mark` tells a writer its own write from another's.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteNote {
    /// Operator.
    pub by: String,
    /// Reason.
    pub why: String,
    /// Drawn by the writer for each write.
    pub mark: String,
}

/// The hash under which a caller's or operator's key is kept in settings.
pub fn hash_key(key: &str) -> String {
    sillbank_core::hash::hash_hex(&["sillbank key", key])
}

/// Reads and checks an object.
///
/// # Errors
/// Every fault found.
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

/// Reads and checks an object that is a value already.
///
/// # Errors
/// Every fault found.
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
            reader.note("", "its key is of no known kind", remedy);
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
        reader.note(field, format!("'{path}' is not a path"), "write it as '/market/budapest'");
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

/// Reads a list of hashes of keys.
pub(crate) fn key_hashes(reader: &mut FieldReader, name: &str) -> Vec<String> {
    let hashes = reader.texts(name);
    let is_hash = |h: &String| h.len() == 64 && h.bytes().all(|b| b.is_ascii_hexdigit());
    if !hashes.iter().all(is_hash) {
        reader.note(name, "an entry is not a hash", "make it with 'sillbank hash-key'");
    }
    hashes
}

/// Reads a file of objects: tables `[KIND.NAME]`, nodes as `[node."/PATH"]`.
///
/// # Errors
/// Every fault found in any of them.
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
        reader.note("end_layer", "the range holds no layer", "make it greater than first_layer");
    }
    object
}

fn read_service(reader: &mut FieldReader) -> ServiceObject {
    let addresses = reader.addresses("addresses");
    if addresses.is_empty() {
        reader.note("addresses", "it names no address", "add 'addresses = [\"IP:PORT\"]'");
    }
    ServiceObject {
        parent: parent(reader),
        addresses: addresses.iter().map(ToString::to_string).collect(),
        repeatable: reader.flag("repeatable", false),
        settings: settings(reader),
    }
}
