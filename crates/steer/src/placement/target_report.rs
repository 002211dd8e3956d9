//! Metadata that accompanies a target's response.

use super::LimitNotice;
use crate::TargetName;
use std::time::Duration;

/// Load of a target at the time of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Current work time relative to the usual one, which is 1.
    pub slowness: f64,
    /// Number of requests queued at the target.
    pub waiting: u32,
}

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetOutcome {
    /// A different target has the address; the request did not run.
    Misdirected,
    /// The target refused the request; it did not run.
    NotRun,
    /// The target ran the request.
    Ran,
}

/// Time for which a target that refused a request wants no more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseRequest {
    /// The time from the response on.
    For(Duration),
    /// The target named a time that can't be used.
    Unclear,
}

/// Response extension with metadata from the target.
///
/// ```
/// use steer::{TargetOutcome, TargetReport};
/// assert!(!TargetReport::new(TargetOutcome::Ran).leaving);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetReport {
    /// Whether the target leaves and wants no new requests.
    pub leaving: bool,
    /// What the target says about the rate of requests that it takes.
    pub limit: LimitNotice,
    /// Load of the target, if it was reported.
    pub load: Option<LoadSample>,
    /// Outcome of the request.
    pub outcome: TargetOutcome,
    /// Pause that the target asked for with its refusal.
    pub pause: Option<PauseRequest>,
}

impl TargetReport {
    /// Creates a report without a load, of a target that serves.
    pub fn new(outcome: TargetOutcome) -> Self {
        Self { leaving: false, limit: LimitNotice::Absent, load: None, outcome, pause: None }
    }
}

/// Request extension with the intended target and the remaining time budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetIdentity {
    /// Remaining time budget of the work.
    pub remaining: Duration,
    /// Name of the intended target.
    pub name: TargetName,
}
