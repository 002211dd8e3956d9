//! Bound on how fast requests change the region in which they run.

use crate::RegionName;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Counts where this VM's requests run, and tells which regions may get no more for now.
///
/// Each VM keeps the bound for its own requests, so that it holds for their sum.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// let (mut guard, start) = (steer::ShiftGuard::new(0.1), Instant::now());
/// let (home, away) = ("lisboa".into(), "porto".into());
/// for _ in 0..40 {
///     guard.note(&home, start);
/// }
/// let later = start + steer::ShiftGuard::WINDOW;
/// for _ in 0..20 {
///     guard.note(&home, later);
/// }
/// assert!(guard.allows(&away, later));
/// for _ in 0..4 {
///     guard.note(&away, later);
/// }
/// assert!(!guard.allows(&away, later));
/// ```
#[derive(Clone, Debug)]
pub struct ShiftGuard {
    most: f64,
    placed: VecDeque<(Instant, RegionName)>,
}

impl ShiftGuard {
    /// Fewest requests in a window from which a share can be told.
    const LEAST: usize = 16;
    /// Most requests that are remembered.
    const MOST: usize = 4_096;
    /// Length of the windows that are compared.
    pub const WINDOW: Duration = Duration::from_secs(2);

    /// Makes a guard that lets this part of the requests change their region.
    pub fn new(most: f64) -> Self {
        Self { most, placed: VecDeque::new() }
    }

    /// Notes that a request runs in a region.
    pub fn note(&mut self, region: &RegionName, now: Instant) {
        let old = |at: Instant| now.duration_since(at) >= 2 * Self::WINDOW;
        while self.placed.front().is_some_and(|(at, _)| old(*at)) || self.placed.len() >= Self::MOST
        {
            self.placed.pop_front();
        }
        self.placed.push_back((now, region.clone()));
    }

    /// Whether one more request in a region keeps its share within the bound of the share in the
    /// window before.
    pub fn allows(&self, region: &RegionName, now: Instant) -> bool {
        self.shares(now).get(region).is_none_or(|share| share.allowed)
    }

    /// The regions that may get no more for now.
    pub fn closed(&self, now: Instant) -> Vec<RegionName> {
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
        let known = before >= Self::LEAST;
        // A window that has just begun counts as half as full as the one before, at least.
        let total = (after + 1).max(before / 2) as f64;
        for share in shares.values_mut() {
            let then = share.before as f64 / before.max(1) as f64;
            // By chance alone, a share of few requests moves by about this much.
            let chance = (then * (1.0 - then) / total).sqrt();
            let most = then + self.most + chance;
            share.allowed = !known || (share.after + 1) as f64 / total <= most;
        }
        shares
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    after: usize,
    allowed: bool,
    before: usize,
}
