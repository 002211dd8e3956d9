//! Registration of a target.

use crate::{AvailabilityZoneName, ServiceName, TargetName};
use std::{net::SocketAddr, time::Duration};

/// Registration of a target.
///
/// ```
/// let record = steer::TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()).slots(6);
/// assert_eq!(record.slots, 6);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Start time of this incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Time for which the target remains cold, measured from its report.
    pub cold_left: Duration,
    /// Whether the target accepts no new work.
    pub leaving: bool,
    /// Name of the target; a later incarnation may reuse it.
    pub name: TargetName,
    /// Sequence number of the report.
    pub sequence: u64,
    /// Service to which the target belongs.
    pub service: ServiceName,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Availability zone of the target.
    pub zone: AvailabilityZoneName,
}

impl TargetRecord {
    /// Creates a record with one slot and no availability zone.
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
            sequence: 0,
            service: service.into(),
            slots: 1,
            zone: "".into(),
        }
    }

    /// Sets the start time of the incarnation in milliseconds.
    pub fn born(mut self, born: u64) -> Self {
        self.born = born;
        self
    }

    /// Sets the time for which the target remains cold.
    pub fn cold_left(mut self, left: Duration) -> Self {
        self.cold_left = left;
        self
    }

    /// Sets whether the target accepts no new work.
    pub fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets the sequence number of the report.
    pub fn sequence(mut self, sequence: u64) -> Self {
        self.sequence = sequence;
        self
    }

    /// Sets the number of slots.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the availability zone.
    pub fn zone(mut self, zone: impl Into<AvailabilityZoneName>) -> Self {
        self.zone = zone.into();
        self
    }

    /// Returns whether this record is more recent than another record of the same name.
    ///
    /// ```
    /// let first = steer::TargetRecord::new("t-1", "briefs", "10.0.0.1:80".parse().unwrap()).sequence(2);
    /// assert!(first.clone().sequence(3).is_newer_than(&first));
    /// assert!(first.clone().born(1).sequence(0).is_newer_than(&first));
    /// ```
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }
}
