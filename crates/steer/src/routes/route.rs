//! One route.

use super::ServiceSplit;
use crate::{RegionName, RepeatRule, RouteName, ServiceName};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

/// Requests of one host under one path prefix, with the rules for them.
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
    /// Most targets to which one request may be sent.
    pub attempts: u32,
    /// Regions that may run the request; empty for all.
    pub homes: BTreeSet<RegionName>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Name of the route.
    pub name: RouteName,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Rank among routes, 0 for the most urgent.
    pub rank: u32,
    /// What may be sent again.
    pub repeat: RepeatRule,
    /// The services that run the requests.
    pub split: ServiceSplit,
    /// Requests about one object go to a target that has handled it lately, where there is room.
    pub sticky: bool,
    /// Bodies are large and streamed.
    pub streamed: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
}

impl Route {
    /// Longest time that a caller waits where the settings name none.
    pub const TIMEOUT: Duration = Duration::from_secs(30);

    /// Makes a route to one service.
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
            split: ServiceSplit::of(service),
            sticky: false,
            streamed: false,
            timeout: Self::TIMEOUT,
        }
    }

    /// Sets the most targets to which one request may be sent.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the regions that may run the requests.
    pub fn homes(mut self, homes: impl IntoIterator<Item = RegionName>) -> Self {
        self.homes = homes.into_iter().collect();
        self
    }

    /// Sets the time within which an answer is of full use.
    pub fn objective(mut self, objective: Duration) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the rank, 0 for the most urgent.
    pub fn rank(mut self, rank: u32) -> Self {
        self.rank = rank;
        self
    }

    /// Sets what may be sent again.
    pub fn repeat(mut self, repeat: RepeatRule) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the services that run the requests.
    pub fn split(mut self, split: ServiceSplit) -> Self {
        self.split = split;
        self
    }

    /// Sets whether an object's requests go to the same target.
    pub fn sticky(mut self, sticky: bool) -> Self {
        self.sticky = sticky;
        self
    }

    /// Sets whether bodies are large and streamed.
    pub fn streamed(mut self, streamed: bool) -> Self {
        self.streamed = streamed;
        self
    }

    /// Sets the longest time that a caller is kept waiting.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}
