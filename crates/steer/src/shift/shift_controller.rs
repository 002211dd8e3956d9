//! Control of the traffic shifts out of this VM's region.

use super::{OutcomeWindow, ShiftObservations, ShiftPhase, ShiftRamp};
use crate::{RegionName, ServiceName, ShareKey, ShiftSettings};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A shift that this VM executes, with the outcomes of its requests.
#[derive(Debug)]
struct ActiveShift {
    capacity_requests: OutcomeWindow,
    shifted: OutcomeWindow,
    ramp: ShiftRamp,
}

impl ActiveShift {
    fn new(now: Instant) -> Self {
        Self {
            capacity_requests: OutcomeWindow::new(),
            shifted: OutcomeWindow::new(),
            ramp: ShiftRamp::new(now),
        }
    }
}

/// Executes the traffic shifts out of this VM's region.
#[derive(Debug, Default)]
pub struct ShiftController {
    active: BTreeMap<ShareKey, ActiveShift>,
    home: BTreeMap<ServiceName, OutcomeWindow>,
}

impl ShiftController {
    /// Creates a controller without shifts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of the rate allowance to which a shift's requests are charged.
    ///
    /// ```
    /// use steer::{ShiftController, ShiftSettings};
    /// let shift = ShiftSettings {
    ///     cap: 20,
    ///     from: "porto".into(),
    ///     ramp_s: 60,
    ///     service: "briefs".into(),
    ///     share: 0.5,
    ///     start: "2026-01-01T00:00:00Z".parse().unwrap(),
    ///     to: "faro".into(),
    /// };
    /// assert_eq!(ShiftController::key(&shift).to_string(), "shift briefs porto > faro");
    /// ```
    pub fn key(shift: &ShiftSettings) -> ShareKey {
        ShareKey::Shift {
            from: shift.from.clone(),
            service: shift.service.clone(),
            to: shift.to.clone(),
        }
    }

    /// Removes the shifts whose keys are not listed.
    pub fn retain(&mut self, keys: &[ShareKey]) {
        self.active.retain(|key, _| keys.contains(key));
    }

    fn active_shift(&mut self, key: &ShareKey, now: Instant) -> &mut ActiveShift {
        self.active.entry(key.clone()).or_insert_with(|| ActiveShift::new(now))
    }

    /// Advances a shift's ramp and returns its phase if that changed.
    ///
    /// `started` tells whether the configured start has passed, `warm` is the fraction of the
    /// receiving region's slots in service, and `latency` is the one-way network latency to it.
    pub fn step(
        &mut self,
        shift: &ShiftSettings,
        started: bool,
        warm: f64,
        latency: Duration,
        now: Instant,
    ) -> Option<ShiftPhase> {
        let home = self.home.get_mut(&shift.service).and_then(|window| window.mean_time(now));
        let active = self.active_shift(&Self::key(shift), now);
        let observations = ShiftObservations {
            denied: active.capacity_requests.failed_fraction(now),
            failed: active.shifted.failed_fraction(now),
            home_time: home.map(|time| time + latency * 2),
            completed: active.shifted.count(now),
            shifted_time: active.shifted.mean_time(now),
            warm,
        };
        active.ramp.step(shift, started, &observations, now)
    }

    /// Returns the region to which the next request of a service is shifted, if any.
    pub fn choose_region(&mut self, service: &ServiceName) -> Option<RegionName> {
        for (key, active) in &mut self.active {
            if let ShareKey::Shift { service: shifted, to, .. } = key
                && shifted == service
                && active.ramp.shifts_next()
            {
                return Some(to.clone());
            }
        }
        None
    }

    /// Records whether the receiving region granted a request for capacity.
    pub fn record_grant(&mut self, key: &ShareKey, granted: bool, now: Instant) {
        if let Some(active) = self.active.get_mut(key) {
            active.capacity_requests.record(granted, Duration::ZERO, now);
        }
    }

    /// Records the outcome of a shifted request.
    pub fn record_shifted(&mut self, key: &ShareKey, good: bool, time: Duration, now: Instant) {
        if let Some(active) = self.active.get_mut(key) {
            active.shifted.record(good, time, now);
        }
    }

    /// Records the outcome of a request that stayed in the home region.
    pub fn record_home(&mut self, service: &ServiceName, good: bool, time: Duration, now: Instant) {
        self.home.entry(service.clone()).or_default().record(good, time, now);
    }

    /// Returns the mean response time of a service's requests in the home region.
    pub fn home_time(&mut self, service: &ServiceName, now: Instant) -> Option<Duration> {
        self.home.get_mut(service)?.mean_time(now)
    }

    /// Returns the share of traffic that is shifted now, and the phase.
    pub fn progress(&self, key: &ShareKey) -> (f64, ShiftPhase) {
        let ramp = self.active.get(key).map(|active| &active.ramp);
        ramp.map_or((0.0, ShiftPhase::Waiting), |ramp| (ramp.moving(), ramp.phase()))
    }
}
