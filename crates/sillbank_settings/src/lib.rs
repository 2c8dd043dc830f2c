//! Settings of processes, read from TOML files at start, and of the settings tree, stored in the platform.
//!
//! Both are read by [`reader::FieldReader`], which finds all problems in one pass and reports source, path, reason and
//! remedy of each.

#![forbid(unsafe_code)]

pub mod objects;
pub mod policy;
pub mod process;
pub mod reader;
pub mod tree;

/// The types that most users need.
pub mod prelude {
    pub use crate::objects::{
        EndpointObject, NodeObject, OperatorObject, OrganisationObject, PipelineObject,
        ServiceObject, TreeObject,
    };
    pub use crate::policy::{Policy, PolicyPatch};
    pub use crate::reader::{Problem, Problems};
    pub use crate::tree::{EffectivePolicy, Tree};
}
