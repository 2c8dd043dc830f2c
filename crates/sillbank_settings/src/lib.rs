//! Settings: those of a process, read from TOML at start, and the tree kept in the platform.
//!
//! Both are read by the same [`reader::FieldReader`], which finds every fault in one pass and
//! names file, path, reason and remedy for each.

#![forbid(unsafe_code)]

pub mod objects;
pub mod policy;
pub mod process;
pub mod reader;
pub mod tree;

/// The few types most users need.
pub mod prelude {
    pub use crate::objects::{
        EndpointObject, NodeObject, OperatorObject, OrganisationObject, PipelineObject,
        ServiceObject, TreeObject,
    };
    pub use crate::policy::{Policy, PolicyPatch};
    pub use crate::reader::{Problem, Problems};
    pub use crate::tree::{Effective, Tree};
}
