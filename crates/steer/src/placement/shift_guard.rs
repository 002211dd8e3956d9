//! Limit on how fast traffic moves between regions.

use crate::RegionName;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Tracks the regions in which this VM's requests run, and limits the growth of each region's
/// share between consecutive windows.
///
/// Each VM enforces the limit on its own requests, so it also holds for their sum.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut guard, start) = (steer::ShiftGuard::new(0.1), Instant::now());
/// let (home, away) = ("lisboa".into(), "porto".into());
/// for _ in 0..40 {
///     guard.record(&home, start);
/// }
/// let later = start + steer::ShiftGuard::WINDOW;
/// for _ in 0..20 {
///     guard.record(&home, later);
/// }
/// assert!(guard.allows(&away, later));
/// for _ in 0..4 {
///     guard.record(&away, later);
/// }
/// assert!(!guard.allows(&away, later));
/// ```
#[derive(Clone, Debug)]
pub struct ShiftGuard {
    max_shift: f64,
    placed: VecDeque<(Instant, RegionName)>,
}

impl ShiftGuard {
    /// Minimum requests in the previous window for its shares to be meaningful.
    const MIN_REQUESTS: usize = 16;
    /// Maximum number of requests kept in the history.
    const MAX_REQUESTS: usize = 4_096;
    /// Length of each of the two windows that are compared.
    pub const WINDOW: Duration = Duration::from_secs(2);

    /// Creates a guard that lets a region's share grow by at most `max_shift` per window.
    pub fn new(max_shift: f64) -> Self {
        Self { max_shift, placed: VecDeque::new() }
    }

    /// Records a request that runs in a region.
    pub fn record(&mut self, region: &RegionName, now: Instant) {
        let expired = |at: Instant| now.duration_since(at) >= 2 * Self::WINDOW;
        while self.placed.front().is_some_and(|(at, _)| expired(*at))
            || self.placed.len() >= Self::MAX_REQUESTS
        {
            self.placed.pop_front();
        }
        self.placed.push_back((now, region.clone()));
    }

    /// Returns whether one more request keeps the region's share within the limit relative to the
    /// previous window.
    pub fn allows(&self, region: &RegionName, now: Instant) -> bool {
        self.shares(now).get(region).is_none_or(|share| share.allowed)
    }

    /// Returns the regions that have reached the limit.
    pub fn at_limit(&self, now: Instant) -> Vec<RegionName> {
        let shares = self.shares(now).into_iter();
        shares.filter(|(_, share)| !share.allowed).map(|(region, _)| region).collect()
    }

    fn shares(&self, now: Instant) -> BTreeMap<RegionName, Share> {
        let mut shares: BTreeMap<RegionName, Share> = BTreeMap::new();
        let (mut before, mut after) = (0, 0);
        for (at, region) in &self.placed {
            let share = shares.entry(region.clone()).or_default();
            let age = now.duration_since(*at);
            if age < Self::WINDOW {
                after += 1;
                share.after += 1;
            } else if age < 2 * Self::WINDOW {
                before += 1;
                share.before += 1;
            }
        }
        let known = before >= Self::MIN_REQUESTS;
        // The current window counts as at least half as full as the previous one.
        let total = (after + 1).max(before / 2) as f64;
        for share in shares.values_mut() {
            let share_before = share.before as f64 / before.max(1) as f64;
            // Standard error of the share, which is large for small samples.
            let deviation = (share_before * (1.0 - share_before) / total).sqrt();
            let limit = share_before + self.max_shift + deviation;
            share.allowed = !known || (share.after + 1) as f64 / total <= limit;
        }
        shares
    }
}

/// Requests that ran in a region in the previous and in the current window.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    after: usize,
    allowed: bool,
    before: usize,
}
