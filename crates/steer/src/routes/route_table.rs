//! Routes of one configuration version.

use super::{Route, ServiceRules};
use crate::{RegionName, ServiceName};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

type Prefixes = BTreeMap<Arc<str>, Arc<Route>>;

/// The routes and services of one configuration version.
///
/// ```
/// use steer::{Route, RouteTable};
/// let table = RouteTable::new(7)
///     .route(Route::new("all", "a.example", "/", "briefs"))
///     .route(Route::new("media", "a.example", "/media/", "media"));
/// assert_eq!(table.find("a.example", "/media/7").unwrap().name.as_str(), "media");
/// assert_eq!(table.find("a.example", "/mediator").unwrap().name.as_str(), "all");
/// assert!(table.find("b.example", "/").is_none());
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: BTreeMap<Arc<str>, Prefixes>,
    /// Maximum size of a request body in bytes.
    pub max_body: Option<u64>,
    services: BTreeMap<ServiceName, ServiceRules>,
    /// Version of the configuration.
    pub version: u64,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new(version: u64) -> Self {
        Self { version, ..Self::default() }
    }

    /// Adds a route.
    pub fn route(mut self, route: Route) -> Self {
        let prefixes = self.hosts.entry(Arc::clone(&route.host)).or_default();
        prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        self
    }

    /// Adds the rules of a service.
    pub fn service(mut self, name: ServiceName, rules: ServiceRules) -> Self {
        self.services.insert(name, rules);
        self
    }

    /// Sets the maximum size of a request body in bytes.
    pub fn max_body(mut self, bytes: Option<u64>) -> Self {
        self.max_body = bytes;
        self
    }

    /// Returns the host's route with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.match_indices('/').rev();
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the rules of a service, or the defaults.
    pub fn rules(&self, service: &ServiceName) -> ServiceRules {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Returns the services with their rules.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRules)> {
        self.services.iter()
    }

    /// Returns the regions to which routes of a host are restricted; empty if there are none.
    pub fn homes_of(&self, host: &str) -> BTreeSet<RegionName> {
        let routes = self.hosts.get(host).into_iter().flat_map(BTreeMap::values);
        routes.flat_map(|route| route.homes.iter().cloned()).collect()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
