//! Limits on the delay of relayed objects behind the store.

use super::StoreGate;
use crate::RelayRole;
use std::time::Duration;

/// Times within which each VM of the relay tree learns that its objects are current, derived from the
/// time within which a change must take effect everywhere.
///
/// The reader confirms its objects at least once in each `wait`, and every confirmation passes down the
/// tree at once. A VM whose objects are older than its role allows reads the store itself; the
/// farther it is from the store, the longer it waits, so that a lost reader is replaced by its standby
/// before many VMs notice.
///
/// ```
/// use std::time::Duration;
/// use steer::{RelayRole, RelayTiming};
/// let timing = RelayTiming::within(Duration::from_secs(4));
/// assert!(timing.wait < timing.max_age(RelayRole::Standby));
/// assert!(timing.max_age(RelayRole::Member) < Duration::from_secs(4));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTiming {
    /// Time between the longest wait and the age that a VM at the end of the tree allows.
    takeover: Duration,
    /// Maximum wait of the reader's call to the store.
    pub wait: Duration,
}

impl RelayTiming {
    /// Part of the limit that relayed objects must not use up: a VM that finds them too old calls the
    /// store, and requests that were placed before are on their way.
    const RESERVE: Duration = Duration::from_millis(1_100);
    /// Shortest age that a VM at the end of the tree allows; below it, delays of the network would make
    /// VMs call the store all the time.
    const MIN_AGE: Duration = Duration::from_millis(1_200);
    /// Time that the levels of the tree have, one after the other, to replace one that failed.
    const TAKEOVER: Duration = Duration::from_millis(1_600);
    /// Time of a call to the store over a new connection.
    pub const CALL_TIME: Duration = Duration::from_millis(400);
    /// Shortest wait of the reader; a shorter one costs more calls than a late VM does.
    const MIN_WAIT: Duration = Duration::from_millis(400);

    /// Derives the times from the limit on the time until a change takes effect.
    pub fn within(limit: Duration) -> Self {
        let max_age = limit.saturating_sub(Self::RESERVE).max(Self::MIN_AGE);
        let wait = max_age.saturating_sub(Self::TAKEOVER).max(Self::MIN_WAIT);
        Self { takeover: max_age - wait, wait }
    }

    /// Returns the longest time from a change in the store until a VM knows it that reaches the store, if
    /// all VMs above it fail at the moment of the change: its objects become stale, it may be held back
    /// as those VMs report the loss, and it calls the store over a new connection.
    ///
    /// ```
    /// use std::time::Duration;
    /// use steer::{RelayRole, RelayTiming};
    /// let limit = Duration::from_secs(2);
    /// assert!(RelayTiming::within(limit).longest_delay(RelayRole::Member) < limit);
    /// ```
    pub fn longest_delay(&self, role: RelayRole) -> Duration {
        let held = match role {
            RelayRole::Member => StoreGate::longest_report_pause(),
            RelayRole::Reader
            | RelayRole::RegionDelegate
            | RelayRole::Standby
            | RelayRole::ZoneDelegate => Duration::ZERO,
        };
        self.max_age(role) + held + Self::CALL_TIME
    }

    /// Returns the age from which a VM doesn't use relayed objects.
    pub fn max_age(&self, role: RelayRole) -> Duration {
        let part = match role {
            RelayRole::Reader | RelayRole::Standby => 0.25,
            RelayRole::RegionDelegate => 0.55,
            RelayRole::ZoneDelegate => 0.8,
            RelayRole::Member => 1.0,
        };
        self.wait + self.takeover.mul_f64(part)
    }
}
