//! Weighted split of a route's requests among services.

use crate::ServiceName;
use std::sync::atomic::{AtomicU32, Ordering};

/// Services with weights. Requests are interleaved evenly over time, so that the shares already
/// hold over a few dozen requests.
///
/// ```
/// use steer::ServiceSplit;
/// let split = ServiceSplit::new([("new".into(), 10.0), ("old".into(), 90.0)]);
/// let new = (0..144).filter(|_| split.choose().as_str() == "new").count();
/// assert!((14..=15).contains(&new));
/// ```
#[derive(Debug)]
pub struct ServiceSplit {
    parts: Vec<(ServiceName, f64)>,
    total: f64,
    position: AtomicU32,
}

impl ServiceSplit {
    /// Step of the low-discrepancy sequence: 2^32 divided by the golden ratio.
    const STEP: u32 = 2_654_435_769;

    /// Creates a split. Services without a positive weight get no requests; if no weight is
    /// positive, the last service gets all.
    pub fn new(parts: impl IntoIterator<Item = (ServiceName, f64)>) -> Self {
        let parts: Vec<_> = parts.into_iter().collect();
        let total = parts.iter().map(|(_, weight)| weight.max(0.0)).sum();
        Self { parts, total, position: AtomicU32::new(rand::random()) }
    }

    /// Creates a split that sends all requests to one service.
    ///
    /// ```
    /// assert_eq!(steer::ServiceSplit::single("briefs").choose().as_str(), "briefs");
    /// ```
    pub fn single(service: impl Into<ServiceName>) -> Self {
        Self::new([(service.into(), 1.0)])
    }

    /// Returns the services of the split.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.iter().map(|(service, _)| service)
    }

    /// Returns the service for the next request.
    ///
    /// # Panics
    ///
    /// Panics if the split has no services.
    pub fn choose(&self) -> &ServiceName {
        let position = self.position.fetch_add(Self::STEP, Ordering::Relaxed);
        let mut left = f64::from(position) / f64::from(u32::MAX) * self.total;
        for (service, weight) in &self.parts {
            left -= weight.max(0.0);
            if left < 0.0 {
                return service;
            }
        }
        let (service, _) = self.parts.last().expect("a split has at least one service");
        service
    }
}
