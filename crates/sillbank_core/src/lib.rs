//! Identifiers, run states and typed failures shared by every part of sillbank.
//!
//! Nothing here opens a socket, reads a clock or starts a thread. Only [`rng`] is non-deterministic.

#![forbid(unsafe_code)]

pub mod admin;
pub mod failure;
pub mod hash;
pub mod ids;
pub mod rng;
pub mod run;
pub mod suspension;

/// The types that most crates need.
pub mod prelude {
    pub use crate::admin::{AdminFailure, AdminFailureKind};
    pub use crate::failure::{Failure, FailureKind};
    pub use crate::ids::{
        ATTEMPT_INCREMENT, ATTEMPT_RANDOM_BITS, AcceleratorKind, Attempt, EndpointId, ExecutionId,
        HallId, LayerRange, OrganisationId, PipelineId, Position, RequestUid, ServiceId, TokenId,
        VmId, execution_id,
    };
    pub use crate::rng::SharedRng;
    pub use crate::run::RunState;
}
