//! Slots of a target that are busy with work that this VM did not send.

use crate::LoadReport;
use std::time::Duration;
use tokio::time::Instant;

/// Corrects own counts by a target's load report, which lags and may mislead.
///
/// Only what the report shows above the most that this VM had under way since the report before
/// counts as foreign work, and only until the last report is old. Several reports in a row have
/// to show it, since a report that lags shows a burst of this VM's own that is over; the first
/// ones count at once, since then nothing is known of who else uses the target.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use steer::{LoadCorrection, LoadReport};
/// let (mut correction, now) = (LoadCorrection::default(), Instant::now());
/// correction.note_own(2);
/// correction.take_report(now, LoadReport { busy: 5, leaving: false, queued: 0 }, 1);
/// assert_eq!(correction.foreign(now), 3);
/// assert_eq!(correction.foreign(now + LoadCorrection::KEPT), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadCorrection {
    at: Option<Instant>,
    before: u32,
    excess: [u32; Self::REPORTS],
    most: u32,
    reports: usize,
}

impl LoadCorrection {
    /// Reports in a row that have to show foreign work.
    pub const REPORTS: usize = 4;
    /// Time for which a report counts.
    pub const KEPT: Duration = Duration::from_secs(2);

    /// Notes how many requests this VM has under way at the target.
    pub fn note_own(&mut self, own: u32) {
        self.most = self.most.max(own);
    }

    /// Takes a report; `own` are the requests that this VM has under way now.
    pub fn take_report(&mut self, now: Instant, report: LoadReport, own: u32) {
        let most = self.most.max(self.before).max(own);
        self.excess.rotate_left(1);
        self.excess[Self::REPORTS - 1] = (report.busy + report.queued).saturating_sub(most);
        self.before = self.most;
        self.most = own;
        self.at = Some(now);
        self.reports += 1;
    }

    /// Forgets the reports, as this VM begins to own the target's pool.
    pub fn forget(&mut self) {
        *self = Self { most: self.most, ..Self::default() };
    }

    /// Slots that others use, as far as is known.
    pub fn foreign(&self, now: Instant) -> u32 {
        let fresh = self.at.is_some_and(|at| now.saturating_duration_since(at) < Self::KEPT);
        if !fresh {
            return 0;
        }
        let [.., last] = self.excess;
        let least = self.excess.into_iter().min().unwrap_or_default();
        if self.reports < Self::REPORTS { last } else { least }
    }

    /// When the last report came.
    pub fn reported(&self) -> Option<Instant> {
        self.at
    }
}
