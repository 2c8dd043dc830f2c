//! A path that runs every layer once and in order.

use sillbank_core::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum number of parts of a path. The platform's engines refuse longer ones.
pub const MAX_PARTS: usize = 32;

/// One endpoint of a path and the layers it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathPart {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Network address.
    pub address: SocketAddr,
    /// Layers it runs.
    pub layers: LayerRange,
}

/// Why a list of parts is not a valid path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// A part does not begin where the one before it ends, or is empty.
    #[error("a part begins at layer {found} and not at {expected}; choose adjoining parts")]
    NotContiguous {
        /// Layer at which the part should begin.
        expected: u16,
        /// Layer at which it begins.
        found: u16,
    },
    /// The last part does not end at the model's last layer.
    #[error("the path ends at layer {found} and not at {expected}; choose parts up to the end")]
    WrongEnd {
        /// Number of layers of the model.
        expected: u16,
        /// Layer before which the path ends.
        found: u16,
    },
    /// An endpoint occurs twice.
    #[error("endpoint '{0}' occurs twice; give it one range")]
    DuplicateEndpoint(EndpointId),
    /// More than [`MAX_PARTS`] parts.
    #[error("the path has {0} parts; use endpoints that hold more layers")]
    TooLong(usize),
}

/// A path that runs every layer of a model once and in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayerPath {
    parts: Vec<PathPart>,
}

impl LayerPath {
    /// Builds a path from parts that cover `layers` layers once and in order.
    ///
    /// # Errors
    /// A [`PathError`] for the first rule that the parts break.
    pub fn new(parts: Vec<PathPart>, layers: u16) -> Result<Self, PathError> {
        if parts.len() > MAX_PARTS {
            return Err(PathError::TooLong(parts.len()));
        }
        let mut seen = HashSet::new();
        let mut next = 0;
        for part in &parts {
            if part.layers.first != next || part.layers.is_empty() {
                return Err(PathError::NotContiguous { expected: next, found: part.layers.first });
            }
            if !seen.insert(&part.endpoint) {
                return Err(PathError::DuplicateEndpoint(part.endpoint.clone()));
            }
            next = part.layers.end;
        }
        if next != layers || parts.is_empty() {
            return Err(PathError::WrongEnd { expected: layers, found: next });
        }
        Ok(Self { parts })
    }

    /// The parts in the order of their layers; at least one.
    pub fn parts(&self) -> &[PathPart] {
        &self.parts
    }

    /// The first part, whose endpoint receives the request.
    pub fn first(&self) -> &PathPart {
        &self.parts[0]
    }

    /// Whether the endpoint runs a part of the path.
    pub fn contains(&self, endpoint: &str) -> bool {
        self.parts.iter().any(|part| part.endpoint == endpoint)
    }

    /// The part whose endpoint has this address.
    pub fn part_at(&self, address: SocketAddr) -> Option<&PathPart> {
        self.parts.iter().find(|part| part.address == address)
    }
}
