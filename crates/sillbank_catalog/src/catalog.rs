//! A complete configuration, validated and indexed for look-ups on the request path.

use crate::route::Route;
use crate::service::{CallerLimits, Organisation, Service};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::ServiceId;
use std::collections::HashMap;
use std::rc::Rc;

/// Version of a configuration; a later one is greater.
pub type CatalogVersion = u64;

/// The unindexed content of a catalog.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: CatalogVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations; `None` if callers need no keys.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// A route names no service.
    #[error("route '{0}' names no service; give it at least one")]
    NoTarget(String),
    /// A prefix does not consist of whole path segments.
    #[error("the prefix of route '{0}' must begin and end with a slash")]
    BadPrefix(String),
    /// Two routes have the same host and prefix.
    #[error("routes '{0}' and '{1}' have the same host and prefix; drop one")]
    SamePrefix(String, String),
}

/// Routes of one host by prefix.
type HostRoutes = HashMap<String, Rc<Route>>;

/// A validated configuration with its indices.
#[derive(Debug)]
pub struct Catalog {
    version: CatalogVersion,
    hosts: HashMap<String, HostRoutes>,
    services: HashMap<ServiceId, Rc<Service>>,
    keys: Option<HashMap<String, Rc<Organisation>>>,
    limits: CallerLimits,
}

impl Catalog {
    /// Validates and indexes a configuration.
    ///
    /// # Errors
    /// Returns the first fault found; the caller keeps using the previous configuration.
    pub fn new(parts: CatalogParts) -> Result<Self, CatalogError> {
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for route in parts.routes {
            check_route(&route)?;
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            if let Some(other) = routes.get(&route.path_prefix) {
                return Err(CatalogError::SamePrefix(other.name.clone(), route.name));
            }
            routes.insert(route.path_prefix.clone(), Rc::new(route));
        }
        let services = parts.services.into_iter().map(|s| (s.name.clone(), Rc::new(s))).collect();
        Ok(Self {
            version: parts.version,
            hosts,
            services,
            keys: parts.organisations.map(index_keys),
            limits: parts.limits,
        })
    }

    /// Version of the configuration.
    pub fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a host with the longest prefix of the path.
    ///
    /// A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.hosts.get(&host_name(host))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route.clone());
            }
            end = slash;
        }
        None
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.services.get(name).cloned()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Whether requests to routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<Rc<Organisation>> {
        self.keys.as_ref()?.get(key).cloned()
    }
}

fn check_route(route: &Route) -> Result<(), CatalogError> {
    if route.targets.is_empty() {
        return Err(CatalogError::NoTarget(route.name.clone()));
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(CatalogError::BadPrefix(route.name.clone()));
    }
    Ok(())
}

fn index_keys(organisations: Vec<Organisation>) -> HashMap<String, Rc<Organisation>> {
    let mut keys = HashMap::new();
    for organisation in organisations {
        let organisation = Rc::new(organisation);
        for key in &organisation.keys {
            keys.insert(key.clone(), organisation.clone());
        }
    }
    keys
}

fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
