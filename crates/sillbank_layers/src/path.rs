//! A path that runs every layer once and in order.

use sillbank_core::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Most parts of a path. The platform's engines refuse longer ones.
pub const MAX_PARTS: usize = 32;

/// One endpoint of a path and the layers it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PathPart {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Layers it runs.
    pub layers: LayerRange,
}

/// Why parts do not make a path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// A part begins elsewhere than the one before ended, or holds nothing.
    #[error("a part begins at layer {found} and not at {expected}; choose adjoining parts")]
    NotAdjoining {
        /// Layer where it should begin.
        expected: u16,
        /// Layer where it begins.
        found: u16,
    },
    /// The last part ends too early or too late.
    #[error("the path ends at layer {found} and not at {expected}; choose parts up to the end")]
    WrongEnd {
        /// Layers of the model.
        expected: u16,
        /// Layer where the path ends.
        found: u16,
    },
    /// An endpoint occurs twice.
    #[error("endpoint '{0}' occurs twice; give it one range")]
    Repeated(EndpointId),
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
    /// Checks parts and makes a path of them.
    ///
    /// # Errors
    /// What keeps them from covering `layers` layers once and in order.
    pub fn new(parts: Vec<PathPart>, layers: u16) -> Result<Self, PathError> {
        if parts.len() > MAX_PARTS {
            return Err(PathError::TooLong(parts.len()));
        }
        let mut seen = HashSet::new();
        let mut next = 0;
        for part in &parts {
            if part.layers.first != next || part.layers.is_empty() {
                return Err(PathError::NotAdjoining { expected: next, found: part.layers.first });
            }
            if !seen.insert(&part.endpoint) {
                return Err(PathError::Repeated(part.endpoint.clone()));
            }
            next = part.layers.end;
        }
        if next != layers || parts.is_empty() {
            return Err(PathError::WrongEnd { expected: layers, found: next });
        }
        Ok(Self { parts })
    }

    /// The parts in order; at least one.
    pub fn parts(&self) -> &[PathPart] {
        &self.parts
    }

    /// The part that takes the request.
    pub fn first(&self) -> &PathPart {
        &self.parts[0]
    }

    /// Whether an endpoint is part of it.
    pub fn passes(&self, endpoint: &str) -> bool {
        self.parts.iter().any(|part| part.endpoint == endpoint)
    }

    /// The endpoint of a part by its address.
    pub fn at(&self, address: SocketAddr) -> Option<&PathPart> {
        self.parts.iter().find(|part| part.address == address)
    }
}
