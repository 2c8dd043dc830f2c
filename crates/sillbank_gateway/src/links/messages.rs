//! Messages by which a VM asks another one to connect to an endpoint on its behalf.
//!
//! They use the port of the feed. A connection starts with [`RELAY_PREAMBLE`] in place of a frame of the feed, then carries
//! one [`RelayRequest`] and one [`RelayReply`] as postcard frames. After [`RelayReply::Connected`] it carries the bytes to
//! the endpoint as they are, and those from the endpoint in chunks, see [`super::TunnelReader`].

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use std::net::SocketAddr;

/// First bytes of a connection. As the length of a frame they would exceed the limit, so a VM that does not know them closes
/// the connection.
pub const RELAY_PREAMBLE: [u8; 4] = *b"RELY";

/// Random number of a relayed connection, in the logs of both VMs.
pub(super) type HopNumber = u64;

/// What a VM asks another one for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// VMs of the receiver's hall that may connect on behalf of others; answered by its leader.
    ListVms {
        /// Requesting VM.
        vm: VmId,
        /// Maximum number of VMs.
        limit: u32,
    },
    /// A connection to an endpoint.
    Connect {
        /// Requesting VM.
        vm: VmId,
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// Number of the connection.
        hop: HopNumber,
    },
}

/// Reply to a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// Addresses of VMs for other VMs.
    Vms(Vec<SocketAddr>),
    /// The connection to the endpoint is open.
    Connected,
    /// The request was refused; nothing was sent to the endpoint.
    Refused(RelayRefusal),
}

/// Why a VM does not connect on behalf of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RelayRefusal {
    /// The receiver does not lead its hall.
    #[error("the VM does not lead its hall; ask its leader")]
    NotLeader,
    /// The endpoint is not listed at that address.
    #[error("the endpoint is not listed at that address; read the endpoints again")]
    NotListed,
    /// The endpoint refuses connections.
    #[error("the endpoint refuses connections; check that it runs")]
    EndpointRefuses,
    /// The endpoint does not answer.
    #[error("the endpoint does not answer; check its VM and network")]
    EndpointSilent,
    /// The receiver has itself lost its link to the endpoint.
    #[error("the VM has lost its own link to the endpoint; ask another VM")]
    LinkLost,
    /// The receiver is at a limit, passes on as many connections as it may, or stops.
    #[error("the VM takes no more connections of others; ask another VM")]
    Busy,
    /// Connections on behalf of others are disabled.
    #[error("'mechanisms.relay' is off at the VM; ask another VM")]
    Disabled,
}

impl RelayRefusal {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotLeader => "not_leader",
            Self::NotListed => "not_listed",
            Self::EndpointRefuses => "endpoint_refuses",
            Self::EndpointSilent => "endpoint_silent",
            Self::LinkLost => "link_lost",
            Self::Busy => "busy",
            Self::Disabled => "disabled",
        }
    }

    /// Whether the refusal concerns the endpoint, and not the VM that was asked.
    pub fn is_of_endpoint(self) -> bool {
        matches!(self, Self::EndpointRefuses | Self::EndpointSilent)
    }
}
