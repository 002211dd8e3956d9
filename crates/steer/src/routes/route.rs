//! A route and its rules.

use super::ServiceSplit;
use crate::{RegionName, RepeatRule, RouteName, ServiceName};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Rules for the requests to one host under one path prefix.
///
/// ```
/// use steer::{RepeatRule, Route};
/// let route = Route::new("reads", "briefs.example", "/briefs/", "briefs")
///     .repeat(RepeatRule::Idempotent)
///     .attempts(2);
/// assert_eq!(route.attempts, 2);
/// ```
#[derive(Debug)]
pub struct Route {
    /// Maximum number of targets to which one request may be sent.
    pub attempts: u32,
    /// Regions that may run the requests; empty allows all.
    pub homes: BTreeSet<RegionName>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Name of the route.
    pub name: RouteName,
    /// Response time objective.
    pub objective: Duration,
    /// Path prefix of the requests; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Priority rank among routes; 0 is the most urgent.
    pub rank: u32,
    /// Which requests may be resent.
    pub repeat: RepeatRule,
    /// The services that handle the requests, with their weights.
    pub split: ServiceSplit,
    /// Whether requests for one object prefer a target that recently handled it and has capacity.
    pub sticky: bool,
    /// Whether request bodies are large and streamed.
    pub streamed: bool,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
}

impl Route {
    /// Default for the maximum time that a caller waits.
    pub const TIMEOUT: Duration = Duration::from_secs(30);

    /// Creates a route to one service.
    ///
    /// ```
    /// let route = steer::Route::new("reads", "briefs.example", "/", "briefs");
    /// assert_eq!(&*route.host, "briefs.example");
    /// ```
    pub fn new(
        name: impl Into<RouteName>,
        host: &str,
        prefix: &str,
        service: impl Into<ServiceName>,
    ) -> Self {
        Self {
            attempts: 1,
            homes: BTreeSet::new(),
            host: host.into(),
            name: name.into(),
            objective: Self::TIMEOUT,
            prefix: prefix.into(),
            rank: 0,
            repeat: RepeatRule::OncePerTry,
            split: ServiceSplit::single(service),
            sticky: false,
            streamed: false,
            timeout: Self::TIMEOUT,
        }
    }

    /// Sets the maximum number of targets to which one request may be sent.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the regions that may run the requests.
    pub fn homes(mut self, homes: impl IntoIterator<Item = RegionName>) -> Self {
        self.homes = homes.into_iter().collect();
        self
    }

    /// Sets the response time objective.
    pub fn objective(mut self, objective: Duration) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the priority rank; 0 is the most urgent.
    pub fn rank(mut self, rank: u32) -> Self {
        self.rank = rank;
        self
    }

    /// Sets which requests may be resent.
    pub fn repeat(mut self, repeat: RepeatRule) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the services that handle the requests.
    pub fn split(mut self, split: ServiceSplit) -> Self {
        self.split = split;
        self
    }

    /// Sets whether requests for one object prefer the same target.
    pub fn sticky(mut self, sticky: bool) -> Self {
        self.sticky = sticky;
        self
    }

    /// Sets whether request bodies are large and streamed.
    pub fn streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }

    /// Sets the maximum time that a caller waits for a response.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
