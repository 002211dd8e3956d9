//! Placement parameters of a request.

use super::ObjectHash;
use crate::{RegionName, ServiceName, TargetName};
use std::{collections::BTreeSet, time::Duration};

/// Placement parameters of a request that needs a target.
///
/// ```
/// use steer::PlacementQuery;
/// let query = PlacementQuery::new("briefs").streamed(true);
/// assert!(query.streamed);
/// ```
#[derive(Clone, Debug)]
pub struct PlacementQuery {
    /// Targets that have already been tried.
    pub excluded: BTreeSet<TargetName>,
    /// Regions that may run the request; empty allows all.
    pub homes: BTreeSet<RegionName>,
    /// The object that the request addresses.
    pub object: Option<ObjectHash>,
    /// Maximum acceptable queueing delay at a target.
    pub max_wait: Duration,
    /// Service that handles the request.
    pub service: ServiceName,
    /// Whether the request body is large and streamed.
    pub streamed: bool,
}

impl PlacementQuery {
    /// Creates a query that accepts any target of a service.
    pub fn new(service: impl Into<ServiceName>) -> Self {
        Self {
            excluded: BTreeSet::new(),
            homes: BTreeSet::new(),
            object: None,
            max_wait: Duration::MAX,
            service: service.into(),
            streamed: false,
        }
    }

    /// Sets the regions that may run the request.
    pub fn homes(mut self, homes: BTreeSet<RegionName>) -> Self {
        self.homes = homes;
        self
    }

    /// Sets the object that the request addresses.
    pub fn object(mut self, object: Option<ObjectHash>) -> Self {
        self.object = object;
        self
    }

    /// Sets the maximum acceptable queueing delay at a target.
    pub fn max_wait(mut self, max_wait: Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Sets whether the request body is large and streamed.
    pub fn streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }
}
