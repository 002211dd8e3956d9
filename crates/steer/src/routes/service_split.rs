//! Division of a route's requests among services.

use crate::ServiceName;
use std::sync::atomic::{AtomicU32, Ordering};

/// Services with weights. Requests are spread evenly over time, so that the shares hold over a
/// few dozen requests already.
///
/// ```
/// use steer::ServiceSplit;
/// let split = ServiceSplit::new([("new".into(), 10.0), ("old".into(), 90.0)]);
/// let new = (0..100).filter(|_| split.choose().as_str() == "new").count();
/// assert!((9..=11).contains(&new));
/// ```
#[derive(Debug)]
pub struct ServiceSplit {
    parts: Vec<(ServiceName, f64)>,
    total: f64,
    turn: AtomicU32,
}

impl ServiceSplit {
    /// Step of the low-discrepancy sequence: 2^32 divided by the golden ratio.
    const STEP: u32 = 2_654_435_769;

    /// Makes a split; parts without a positive weight get nothing, unless none has one.
    pub fn new(parts: impl IntoIterator<Item = (ServiceName, f64)>) -> Self {
        let parts: Vec<_> = parts.into_iter().collect();
        let total = parts.iter().map(|(_, weight)| weight.max(0.0)).sum();
        Self { parts, total, turn: AtomicU32::new(rand::random()) }
    }

    /// Sends all requests to one service.
    ///
    /// ```
    /// assert_eq!(steer::ServiceSplit::of("briefs").choose().as_str(), "briefs");
    /// ```
    pub fn of(service: impl Into<ServiceName>) -> Self {
        Self::new([(service.into(), 1.0)])
    }

    /// The services that get requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.iter().map(|(service, _)| service)
    }

    /// Chooses the service of the next request.
    ///
    /// # Panics
    ///
    /// Where the split has no part.
    pub fn choose(&self) -> &ServiceName {
        let turn = self.turn.fetch_add(Self::STEP, Ordering::Relaxed);
        let mut left = f64::from(turn) / f64::from(u32::MAX) * self.total;
        for (service, weight) in &self.parts {
            left -= weight.max(0.0);
            if left < 0.0 {
                return service;
            }
        }
        let (service, _) = self.parts.last().expect("a split has a part");
        service
    }
}
