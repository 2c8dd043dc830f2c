//! Paths through the layers of a model that is spread over endpoints, and placement of its layers.
//!
//! A [`LayerPath`] runs every layer once and in order; its constructor rejects gaps and overlaps.
//! [`find_path`] chooses the cheapest path through the layers that endpoints hold now.
//! [`plan_placement`] and [`place_in_pairs`] compute an initial placement, [`repair_placement`]
//! the moves when endpoints are lost or added.
//!
//! The crate is pure: no sockets, clocks, threads or random numbers.

#![forbid(unsafe_code)]

mod chains;
mod chains_by_pace;
mod find;
mod memory;
mod pairs;
mod path;
mod path_repair;
mod placement_cost;
mod placement_repair;
mod plan;

pub use chains::{ChainMember, ChainNumber, assign_chains};
pub use chains_by_pace::{PacedMember, assign_chains_by_pace};
pub use find::{CrossingCost, FoundPath, LayerHolder, find_path};
pub use memory::{MemoryFigures, layers_that_fit, tokens_that_fit};
pub use pairs::{PairMember, place_in_pairs};
pub use path::{LayerPath, MAX_PARTS, PathError, PathPart};
pub use path_repair::repair_path;
pub use placement_cost::{LayerCapacity, PlacementCost};
pub use placement_repair::{RepairMember, RepairMove, repair_placement};
pub use plan::{Assignment, PlanMember, PlanWeights, plan_placement};

/// The types that most users need.
pub mod prelude {
    pub use crate::{
        Assignment, ChainMember, ChainNumber, CrossingCost, LayerCapacity, LayerHolder, LayerPath,
        MAX_PARTS, MemoryFigures, PacedMember, PairMember, PathError, PathPart, PlacementCost,
        PlanMember, PlanWeights, RepairMember, RepairMove, assign_chains, assign_chains_by_pace,
        find_path, layers_that_fit, place_in_pairs, plan_placement, repair_path, repair_placement,
        tokens_that_fit,
    };
}
