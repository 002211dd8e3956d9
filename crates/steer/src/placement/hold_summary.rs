//! Summary of the reasons for which no target of a service admits a request.

use super::{Hold, HoldCause, PlacementError, TargetTable};
use crate::TargetName;
use tokio::time::Instant;

/// The reasons for which targets get no requests.
#[derive(Debug, Default)]
pub(super) struct HoldSummary {
    /// Whether a target has only reached a limit that frees up with time.
    full: bool,
    /// The target that admits requests first, and what it waits for.
    next: Option<(Instant, HoldCause, TargetName)>,
}

impl HoldSummary {
    /// Adds the reason of one target.
    pub(super) fn add(&mut self, name: &TargetName, hold: Hold) {
        self.full |= matches!(hold.cause, HoldCause::Cold | HoldCause::Returning);
        let Some(until) = hold.until else { return };
        if self.next.as_ref().is_none_or(|(next, ..)| until < *next) {
            self.next = Some((until, hold.cause, name.clone()));
        }
    }

    /// Returns the error for a request that no target admits.
    pub(super) fn into_error(self, now: Instant) -> PlacementError {
        let Some((until, cause, target)) = self.next else { return PlacementError::NoTarget };
        let wait = until.duration_since(now);
        match cause {
            _ if self.full => PlacementError::Full(wait.min(TargetTable::COLD_RETRY_DELAY)),
            HoldCause::Limited => PlacementError::Limited { target, wait },
            HoldCause::Paused => PlacementError::Paused { target, wait },
            _ => PlacementError::BackOff { target, wait },
        }
    }
}
