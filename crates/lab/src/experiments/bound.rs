//! Checks a measured figure against a limit.

use derive_more::Display;

/// Category of a bound, which determines the weight of the bound in the score of an experiment.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Time until a drain is complete.
    #[display("drain time")]
    DrainTime,
    /// Efficient and fair use of capacity, within its limits.
    #[display("headroom")]
    Headroom,
    /// Delay of short requests that share targets or links with long ones.
    #[display("head-of-line blocking")]
    HeadOfLine,
    /// Latency of responses.
    #[display("latency")]
    Latency,
    /// Correctness, for example that no request fails or runs twice.
    #[display("promise")]
    Promise,
    /// Latency of the slowest responses while some targets are slow.
    #[display("tail latency")]
    TailLatency,
}

impl Measure {
    /// Returns the weight of a bound in the score of an experiment on a deployment.
    ///
    /// ```
    /// use lab::Measure;
    /// assert_eq!(Measure::Headroom.weight("vitrine"), 2.0);
    /// assert_eq!(Measure::Headroom.weight("zadruga"), 1.0);
    /// ```
    pub fn weight(self, deployment: &str) -> f64 {
        match (deployment, self) {
            ("vitrine", Self::Headroom | Self::DrainTime)
            | ("zadruga", Self::Latency | Self::HeadOfLine) => 2.0,
            _ => 1.0,
        }
    }
}

/// A measured figure, and the limit that it must not cross.
#[derive(Clone, Debug)]
pub struct Bound {
    /// Upper limit of the figure, or lower limit if `at_least` is set.
    pub limit: f64,
    /// The measured figure.
    pub figure: f64,
    /// Whether the limit is a lower limit.
    pub at_least: bool,
    /// Category of the bound.
    pub measure: Measure,
    /// Description of the bound in reports.
    pub text: String,
}

impl Bound {
    /// Creates a bound with an upper limit.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(Bound::at_most(Measure::Latency, "p99 relative to the ideal", 1.2, 1.3).holds());
    /// ```
    pub fn at_most(measure: Measure, text: impl Into<String>, figure: f64, limit: f64) -> Self {
        Self { limit, figure, at_least: false, measure, text: text.into() }
    }

    /// Creates a bound with a lower limit.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(!Bound::at_least(Measure::Headroom, "goodput", 0.5, 0.95).holds());
    /// ```
    pub fn at_least(measure: Measure, text: impl Into<String>, figure: f64, limit: f64) -> Self {
        Self { limit, figure, at_least: true, measure, text: text.into() }
    }

    /// Creates a bound of the category [`Measure::Promise`] on a count that must be 0.
    ///
    /// ```
    /// assert!(lab::Bound::none("requests that ran twice", 0).holds());
    /// ```
    pub fn none(text: impl Into<String>, count: u64) -> Self {
        Self::at_most(Measure::Promise, text, count as f64, 0.0)
    }

    /// Returns whether the figure is within the limit; NaN never is.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(!Bound::at_most(Measure::Latency, "p99", f64::NAN, 1.0).holds());
    /// ```
    pub fn holds(&self) -> bool {
        if self.at_least { self.figure >= self.limit } else { self.figure <= self.limit }
    }

    /// Returns 1 if the bound holds, or else the ratio of figure to limit (limit to figure for an
    /// upper limit), clamped to the range from 0 to 1. A ratio that isn't finite counts as 0.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert_eq!(Bound::at_most(Measure::Latency, "p99", 2.0, 1.0).score(), 0.5);
    /// ```
    pub fn score(&self) -> f64 {
        if self.holds() {
            return 1.0;
        }
        let ratio = if self.at_least { self.figure / self.limit } else { self.limit / self.figure };
        if ratio.is_finite() { ratio.clamp(0.0, 1.0) } else { 0.0 }
    }
}
