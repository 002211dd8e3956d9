//! A bound that a figure must keep.

use derive_more::Display;

/// What a bound is about.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Time until a drain has ended.
    #[display("drain time")]
    DrainTime,
    /// Room that is left, and limits that are kept.
    #[display("headroom")]
    Headroom,
    /// Short work behind long work.
    #[display("head-of-line blocking")]
    HeadOfLine,
    /// Time until an answer.
    #[display("latency")]
    Latency,
    /// A promise that must always hold.
    #[display("promise")]
    Promise,
    /// Slowest answers while some targets are slow.
    #[display("tail latency")]
    TailLatency,
}

impl Measure {
    /// Weight in the score of a deployment.
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

/// A figure with the limit that it must keep.
#[derive(Clone, Debug)]
pub struct Bound {
    /// Highest allowed figure, or lowest where `at_least` is set.
    pub limit: f64,
    /// The figure that was measured.
    pub figure: f64,
    /// The figure must not be below the limit.
    pub at_least: bool,
    /// What the bound is about.
    pub measure: Measure,
    /// What must hold.
    pub text: String,
}

impl Bound {
    /// A figure that must not pass a limit.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(Bound::at_most(Measure::Latency, "p99 by ideal", 1.2, 1.3).holds());
    /// ```
    pub fn at_most(measure: Measure, text: impl Into<String>, figure: f64, limit: f64) -> Self {
        Self { limit, figure, at_least: false, measure, text: text.into() }
    }

    /// A figure that must reach a limit.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(!Bound::at_least(Measure::Headroom, "goodput", 0.5, 0.95).holds());
    /// ```
    pub fn at_least(measure: Measure, text: impl Into<String>, figure: f64, limit: f64) -> Self {
        Self { limit, figure, at_least: true, measure, text: text.into() }
    }

    /// A count that must be zero.
    ///
    /// ```
    /// assert!(lab::Bound::none("double runs", 0).holds());
    /// ```
    pub fn none(text: impl Into<String>, count: u64) -> Self {
        Self::at_most(Measure::Promise, text, count as f64, 0.0)
    }

    /// Tells whether the figure keeps the limit; a figure that is no number doesn't.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert!(!Bound::at_most(Measure::Latency, "p99", f64::NAN, 1.0).holds());
    /// ```
    pub fn holds(&self) -> bool {
        if self.at_least { self.figure >= self.limit } else { self.figure <= self.limit }
    }

    /// Part of the limit that is reached, from 0 to 1.
    ///
    /// ```
    /// use lab::{Bound, Measure};
    /// assert_eq!(Bound::at_most(Measure::Latency, "p99", 2.0, 1.0).score(), 0.5);
    /// ```
    pub fn score(&self) -> f64 {
        if self.holds() {
            return 1.0;
        }
        let part = if self.at_least { self.figure / self.limit } else { self.limit / self.figure };
        if part.is_finite() { part.clamp(0.0, 1.0) } else { 0.0 }
    }
}
