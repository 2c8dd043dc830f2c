//! Layers of a model spread over endpoints: paths through them and plans of who holds which.
//!
//! A [`LayerPath`] runs every layer once and in order; one with a gap or an overlap cannot be made.
//! [`find_path`] chooses the cheapest path through the layers that endpoints hold now. [`plan`]
//! and [`place_in_pairs`] say which
//! layers they should hold at first, [`repair`] what to move when some are lost or come.
//!
//! Pure: no sockets, no clock, no threads, no chance.

#![forbid(unsafe_code)]

mod chains;
mod find;
mod mend;
mod pairs;
mod path;
mod plan;
mod quick;
mod repair;
mod room;
mod supply;

pub use chains::{ChainMember, ChainNumber, deal_chains};
pub use find::{CrossingCost, FoundPath, Holder, find_path};
pub use mend::mend_path;
pub use pairs::{PairMember, place_in_pairs};
pub use path::{LayerPath, MAX_PARTS, PathError, PathPart};
pub use plan::{Assignment, PlanRunner, PlanWeights, plan};
pub use quick::{PacedMember, deal_by_pace};
pub use repair::{RepairMember, RepairMove, repair};
pub use room::{MemoryShape, layers_that_fit, tokens_that_fit};
pub use supply::{LayerShare, Supply};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        Assignment, ChainMember, ChainNumber, CrossingCost, Holder, LayerPath, LayerShare,
        MAX_PARTS, MemoryShape, PacedMember, PairMember, PathError, PathPart, PlanRunner,
        PlanWeights, RepairMember, RepairMove, Supply, deal_by_pace, deal_chains, find_path,
        layers_that_fit, mend_path, place_in_pairs, plan, repair, tokens_that_fit,
    };
}
