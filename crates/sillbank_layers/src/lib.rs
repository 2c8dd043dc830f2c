//! Layers of a model spread over endpoints: paths through them and plans of who holds which.
//!
//! A [`LayerPath`] runs every layer once and in order; one with a gap or an overlap cannot be made.
//! [`find_path`] chooses the cheapest path through the layers that endpoints hold now. [`plan`]
//! says which layers they should hold.
//!
//! Pure: no sockets, no clock, no threads, no chance.

#![forbid(unsafe_code)]

mod chains;
mod find;
mod path;
mod plan;
mod room;

pub use chains::{ChainMember, ChainNumber, deal_chains};
pub use find::{CrossingCost, Holder, find_path};
pub use path::{LayerPath, MAX_PARTS, PathError, PathPart};
pub use plan::{Assignment, PlanRunner, PlanWeights, plan};
pub use room::{MemoryShape, layers_that_fit, tokens_that_fit};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        Assignment, ChainMember, ChainNumber, CrossingCost, Holder, LayerPath, MAX_PARTS,
        MemoryShape, PathError, PathPart, PlanRunner, PlanWeights, deal_chains, find_path,
        layers_that_fit, plan, tokens_that_fit,
    };
}
