//! What placement needs to know of a request.

use super::ObjectHash;
use crate::{RegionName, ServiceName, TargetName};
use std::{collections::BTreeSet, time::Duration};

/// A request that looks for a target.
///
/// ```
/// use steer::PlaceQuery;
/// let query = PlaceQuery::new("briefs").streamed(true);
/// assert!(query.streamed);
/// ```
#[derive(Clone, Debug)]
pub struct PlaceQuery {
    /// Targets that were tried already.
    pub excluded: BTreeSet<TargetName>,
    /// Regions that may run the request; empty for all.
    pub homes: BTreeSet<RegionName>,
    /// The object that the request is about.
    pub object: Option<ObjectHash>,
    /// Longest wait at a target that is of use.
    pub patience: Duration,
    /// Service that runs the request.
    pub service: ServiceName,
    /// The body is large.
    pub streamed: bool,
}

impl PlaceQuery {
    /// Makes a query for any target of a service.
    pub fn new(service: impl Into<ServiceName>) -> Self {
        Self {
            excluded: BTreeSet::new(),
            homes: BTreeSet::new(),
            object: None,
            patience: Duration::MAX,
            service: service.into(),
            streamed: false,
        }
    }

    /// Sets the regions that may run the request.
    pub fn homes(mut self, homes: BTreeSet<RegionName>) -> Self {
        self.homes = homes;
        self
    }

    /// Sets the object that the request is about.
    pub fn object(mut self, object: Option<ObjectHash>) -> Self {
        self.object = object;
        self
    }

    /// Sets the longest wait at a target that is of use.
    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sets whether the body is large.
    pub fn streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }
}
