//! Identifiers, run states and typed failures shared by every part of sillbank.
//!
//! Nothing here opens a socket, reads a clock or starts a thread; [`chance`] alone draws by chance.

#![forbid(unsafe_code)]

pub mod admin;
pub mod chance;
pub mod failure;
pub mod hash;
pub mod ids;
pub mod run;
pub mod suspension;

/// The few types most crates need.
pub mod prelude {
    pub use crate::admin::{AdminFailure, AdminFailureKind};
    pub use crate::chance::Chance;
    pub use crate::failure::{Failure, FailureKind};
    pub use crate::ids::{
        ATTEMPT_DRAW_BITS, ATTEMPT_RAISE, AcceleratorKind, Attempt, DriveId, EndpointId, HallId,
        LayerRange, OrganisationId, PipelineId, Position, RequestUid, ServiceId, TokenId, VmId,
        drive_id,
    };
    pub use crate::run::RunState;
}
