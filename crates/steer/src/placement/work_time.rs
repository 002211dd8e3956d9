//! How long a service's work usually takes.

use std::time::Duration;

/// Moving average of the time that a slot is taken by a request.
///
/// ```
/// use std::time::Duration;
/// let mut time = steer::WorkTime::default();
/// time.note(Duration::from_millis(400));
/// assert!((time.get() - 0.4).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    mean: Option<f64>,
}

impl WorkTime {
    /// Time in seconds that is taken before the first answer.
    const FIRST: f64 = 0.3;
    /// Weight of the newest time.
    const WEIGHT: f64 = 0.05;

    /// The usual time in seconds.
    pub fn get(&self) -> f64 {
        self.mean.unwrap_or(Self::FIRST)
    }

    /// Takes the time of one request.
    pub fn note(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.mean = Some(self.mean.map_or(time, |mean| mean + (time - mean) * Self::WEIGHT));
    }
}
