//! The shifts that leave this VM's region.

use super::{ShiftPhase, ShiftRun, ShiftSigns, Tally};
use crate::{RegionName, ServiceName, ShareKey, ShiftSettings};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

#[derive(Debug)]
struct Entry {
    asks: Tally,
    ended: Tally,
    run: ShiftRun,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self { asks: Tally::new(), ended: Tally::new(), run: ShiftRun::new(now) }
    }
}

/// Carries out the shifts of this VM's region.
#[derive(Debug, Default)]
pub struct ShiftDesk {
    entries: BTreeMap<ShareKey, Entry>,
    home: BTreeMap<ServiceName, Tally>,
}

impl ShiftDesk {
    /// Makes a desk without shifts.
    pub fn new() -> Self {
        Self::default()
    }

    /// The allowance that a shift's requests count under.
    ///
    /// ```
    /// use steer::{ShiftDesk, ShiftSettings};
    /// let shift = ShiftSettings {
    ///     cap: 20,
    ///     from: "porto".into(),
    ///     ramp_s: 60,
    ///     service: "briefs".into(),
    ///     share: 0.5,
    ///     start: "2026-01-01T00:00:00Z".parse().unwrap(),
    ///     to: "faro".into(),
    /// };
    /// assert_eq!(ShiftDesk::key(&shift).to_string(), "shift briefs porto > faro");
    /// ```
    pub fn key(shift: &ShiftSettings) -> ShareKey {
        ShareKey::Shift {
            from: shift.from.clone(),
            service: shift.service.clone(),
            to: shift.to.clone(),
        }
    }

    /// Forgets shifts that are no longer in the settings.
    pub fn retain(&mut self, keys: &[ShareKey]) {
        self.entries.retain(|key, _| keys.contains(key));
    }

    fn entry(&mut self, key: &ShareKey, now: Instant) -> &mut Entry {
        self.entries.entry(key.clone()).or_insert_with(|| Entry::new(now))
    }

    /// Takes a step along a shift's ramp; gives the phase where it is a new one.
    pub fn step(
        &mut self,
        shift: &ShiftSettings,
        started: bool,
        warm: f64,
        way: Duration,
        now: Instant,
    ) -> Option<ShiftPhase> {
        let home = self.home.get_mut(&shift.service).and_then(|tally| tally.mean_time(now));
        let entry = self.entry(&Self::key(shift), now);
        let signs = ShiftSigns {
            denied: entry.asks.failed_part(now),
            failed: entry.ended.failed_part(now),
            home: home.map(|time| time + way * 2),
            seen: entry.ended.count(now),
            time: entry.ended.mean_time(now),
            warm,
        };
        entry.run.step(shift, started, &signs, now)
    }

    /// The region to which the next request of a service moves, if it moves.
    pub fn pick(&mut self, service: &ServiceName) -> Option<RegionName> {
        for (key, entry) in &mut self.entries {
            if let ShareKey::Shift { service: moved, to, .. } = key
                && moved == service
                && entry.run.picks_next()
            {
                return Some(to.clone());
            }
        }
        None
    }

    /// Notes whether the receiving side granted room.
    pub fn note_ask(&mut self, key: &ShareKey, granted: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.asks.note(granted, Duration::ZERO, now);
        }
    }

    /// Notes how a shifted request ended.
    pub fn note_shifted(&mut self, key: &ShareKey, good: bool, time: Duration, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.ended.note(good, time, now);
        }
    }

    /// Notes how a request that stayed at home ended.
    pub fn note_home(&mut self, service: &ServiceName, good: bool, time: Duration, now: Instant) {
        self.home.entry(service.clone()).or_default().note(good, time, now);
    }

    /// Mean time of a service's requests at home.
    pub fn home_time(&mut self, service: &ServiceName, now: Instant) -> Option<Duration> {
        self.home.get_mut(service)?.mean_time(now)
    }

    /// Share that moves now, and the phase.
    pub fn progress(&self, key: &ShareKey) -> (f64, ShiftPhase) {
        let run = self.entries.get(key).map(|entry| &entry.run);
        run.map_or((0.0, ShiftPhase::Waiting), |run| (run.moving(), run.phase()))
    }
}
