//! Slots of a target that are in use by requests that this VM did not send.

use crate::LoadReport;
use std::time::Duration;
use tokio::time::Instant;

/// Corrects this VM's own counts by the load reports of a target, which lag behind and may be
/// wrong.
///
/// Foreign load is the part of a report above the peak of this VM's own requests over the last two
/// report intervals. It counts only while the last report is recent, and only as far as several
/// consecutive reports show it, since a delayed report may show a burst of this VM that has
/// already ended. The first reports count at once, because there is no other data yet on the load
/// that others put on the target.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use steer::{LoadCorrection, LoadReport};
/// let (mut correction, now) = (LoadCorrection::default(), Instant::now());
/// correction.record_own(2);
/// correction.apply_report(now, LoadReport { busy: 5, leaving: false, queued: 0 }, 1);
/// assert_eq!(correction.foreign_slots(now), 3);
/// assert_eq!(correction.foreign_slots(now + LoadCorrection::MAX_AGE), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadCorrection {
    /// Foreign load in the last reports, oldest first.
    excess: [u32; Self::REQUIRED_REPORTS],
    /// Peak of this VM's requests in progress since the last report.
    peak: u32,
    /// The same peak of the interval before the last report.
    prior_peak: u32,
    reported_at: Option<Instant>,
    reports: usize,
}

impl LoadCorrection {
    /// Number of consecutive reports that have to show foreign load.
    pub const REQUIRED_REPORTS: usize = 4;
    /// Time for which a report is used.
    pub const MAX_AGE: Duration = Duration::from_secs(2);

    /// Records the number of requests of this VM in progress at the target.
    pub fn record_own(&mut self, own: u32) {
        self.peak = self.peak.max(own);
    }

    /// Applies a load report; `own` is the number of requests of this VM in progress now.
    pub fn apply_report(&mut self, now: Instant, report: LoadReport, own: u32) {
        let peak = self.peak.max(self.prior_peak).max(own);
        self.excess.rotate_left(1);
        self.excess[Self::REQUIRED_REPORTS - 1] =
            (report.busy + report.queued).saturating_sub(peak);
        self.prior_peak = self.peak;
        self.peak = own;
        self.reported_at = Some(now);
        self.reports += 1;
    }

    /// Discards the reports when this VM becomes the owner of the target's pool.
    pub fn clear(&mut self) {
        *self = Self { peak: self.peak, ..Self::default() };
    }

    /// Estimated number of slots that others use.
    pub fn foreign_slots(&self, now: Instant) -> u32 {
        let is_recent =
            self.reported_at.is_some_and(|at| now.saturating_duration_since(at) < Self::MAX_AGE);
        if !is_recent {
            return 0;
        }
        let [.., last] = self.excess;
        let min = self.excess.into_iter().min().unwrap_or_default();
        if self.reports < Self::REQUIRED_REPORTS { last } else { min }
    }

    /// When the last report arrived.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }
}
