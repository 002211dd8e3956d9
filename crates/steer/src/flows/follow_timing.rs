//! Timing of the calls that follow the registries of the store.

use super::Backoff;
use crate::{OBJECT_RESPONSE_TIMEOUT, RelayTiming};
use std::time::Duration;

/// Timing of the calls that follow a registry.
#[derive(Clone, Copy, Debug)]
pub struct FollowTiming {
    /// Maximum pause between two calls while the store fails; the pause ends early when another
    /// flow reaches the store.
    pub pause: Duration,
    /// Minimum time from the start of one call to the store to the next.
    pub period: Duration,
    /// Maximum time that a call waits for a change.
    pub wait: Duration,
}

/// Times within which changes in the store must take effect.
///
/// Connections may go silent while new ones work. Nothing but the missing response to a call shows
/// that, so the wait of a call is bounded: another call must have replaced it within `stable` and the
/// time that its registry allows.
///
/// ```
/// use std::time::Duration;
/// let limits = steer::ChangeLimits::default();
/// assert!(limits.configuration().wait < limits.apply + limits.stable);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ChangeLimits {
    /// Time for a configuration.
    pub apply: Duration,
    /// Time for a target that leaves.
    pub drain: Duration,
    /// Time for the evacuation of an availability zone.
    pub evacuate: Duration,
    /// Time after a disturbance of the network from which the others hold.
    pub stable: Duration,
}

impl Default for ChangeLimits {
    fn default() -> Self {
        let limit = Self::DEFAULT_LIMIT;
        Self { apply: limit, drain: limit, evacuate: limit, stable: Self::DEFAULT_STABLE }
    }
}

impl ChangeLimits {
    /// Time within which changes take effect unless the settings say otherwise.
    pub const DEFAULT_LIMIT: Duration = Duration::from_secs(2);
    /// Time after a disturbance from which that holds, unless the settings say otherwise.
    pub const DEFAULT_STABLE: Duration = Duration::from_secs(3);
    /// Longest pause between two calls for changes that are rare, while the store fails.
    const RARE_PAUSE: Duration = Duration::from_secs(3);
    /// Shortest time between two calls for changes that are rare.
    const RARE_PERIOD: Duration = Duration::from_millis(100);
    /// Longest pause between two calls for changes of targets, while the store fails.
    const TARGET_PAUSE: Duration = Duration::from_millis(400);
    /// Shortest time between two calls for changes of targets, which come all the time.
    const TARGET_PERIOD: Duration = Duration::from_secs(1);
    /// Longest time from the end of a call's wait until another call has replaced it: the response
    /// timeout, a pause, and a call over a new connection to a store in another region.
    const REPLACE_TIME: Duration = OBJECT_RESPONSE_TIMEOUT
        .saturating_add(Backoff::FIRST_PAUSE)
        .saturating_add(RelayTiming::CALL_TIME);
    /// Longest wait for changes that are rare.
    const MAX_WAIT: Duration = Duration::from_secs(5);
    /// Longest wait for changes of targets, whose calls also detect the recovery of the store.
    const MAX_TARGET_WAIT: Duration = Duration::from_millis(1_200);
    /// Shortest wait: a shorter one costs more calls than a late change does.
    const MIN_WAIT: Duration = Duration::from_millis(400);

    /// Returns the shortest time within which any change must take effect.
    pub fn shortest(&self) -> Duration {
        self.apply.min(self.drain).min(self.evacuate)
    }

    /// Returns the timing for configurations.
    pub fn configuration(&self) -> FollowTiming {
        Self::rare(self.wait(self.apply))
    }

    /// Returns the timing for evacuations.
    pub fn evacuations(&self) -> FollowTiming {
        Self::rare(self.wait(self.evacuate))
    }

    /// Returns the timing for target registrations.
    pub fn targets(&self) -> FollowTiming {
        FollowTiming {
            pause: Self::TARGET_PAUSE,
            period: Self::TARGET_PERIOD,
            wait: self.wait(self.drain).min(Self::MAX_TARGET_WAIT),
        }
    }

    fn rare(wait: Duration) -> FollowTiming {
        FollowTiming { pause: Self::RARE_PAUSE, period: Self::RARE_PERIOD, wait }
    }

    fn wait(&self, limit: Duration) -> Duration {
        let wait = (self.stable + limit).saturating_sub(Self::REPLACE_TIME);
        wait.clamp(Self::MIN_WAIT, Self::MAX_WAIT)
    }
}
