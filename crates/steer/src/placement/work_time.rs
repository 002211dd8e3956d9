//! Mean work time of a service.

use std::time::Duration;

/// Moving average of the time for which a request occupies a slot.
///
/// ```
/// use std::time::Duration;
/// let mut time = steer::WorkTime::default();
/// time.record(Duration::from_millis(400));
/// assert!((time.get() - 0.4).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    mean: Option<f64>,
}

impl WorkTime {
    /// Assumed work time in seconds before the first sample.
    const INITIAL_SECONDS: f64 = 0.3;
    /// Weight of the newest sample in the moving average.
    const WEIGHT: f64 = 0.05;

    /// Returns the mean work time in seconds.
    pub fn get(&self) -> f64 {
        self.mean.unwrap_or(Self::INITIAL_SECONDS)
    }

    /// Records the work time of one request.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(self.mean.map_or(time, |mean| mean + (time - mean) * Self::WEIGHT));
    }
}
