//! What a target says of itself.

use crate::{AvailabilityZoneName, ServiceName, TargetName};
use std::{net::SocketAddr, time::Duration};

/// A target's registration.
///
/// ```
/// let record = steer::TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()).slots(6);
/// assert_eq!(record.slots, 6);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Where it listens.
    pub address: SocketAddr,
    /// Start of the incarnation, in milliseconds of the Unix epoch.
    pub born: u64,
    /// Time for which it stays cold, counted from its report.
    pub cold_left: Duration,
    /// It takes no new work.
    pub leaving: bool,
    /// Its name; a later incarnation may have the same.
    pub name: TargetName,
    /// Number of its report.
    pub report: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Availability zone in which it runs.
    pub zone: AvailabilityZoneName,
}

impl TargetRecord {
    /// Makes a record with one slot in no zone.
    pub fn new(
        name: impl Into<TargetName>,
        service: impl Into<ServiceName>,
        address: SocketAddr,
    ) -> Self {
        Self {
            address,
            born: 0,
            cold_left: Duration::ZERO,
            leaving: false,
            name: name.into(),
            report: 0,
            service: service.into(),
            slots: 1,
            zone: "".into(),
        }
    }

    /// Sets the start of the incarnation in milliseconds.
    pub fn born(mut self, born: u64) -> Self {
        self.born = born;
        self
    }

    /// Sets the time for which the target stays cold.
    pub fn cold_left(mut self, left: Duration) -> Self {
        self.cold_left = left;
        self
    }

    /// Sets whether the target takes no new work.
    pub fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets the number of the report.
    pub fn report(mut self, report: u64) -> Self {
        self.report = report;
        self
    }

    /// Sets the slots.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the availability zone.
    pub fn zone(mut self, zone: impl Into<AvailabilityZoneName>) -> Self {
        self.zone = zone.into();
        self
    }

    /// Whether this record tells of a later moment than another of the same name.
    ///
    /// ```
    /// let first = steer::TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()).report(2);
    /// assert!(first.clone().report(3).is_newer_than(&first));
    /// assert!(first.clone().born(1).report(0).is_newer_than(&first));
    /// ```
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.born, self.report) > (other.born, other.report)
    }
}
