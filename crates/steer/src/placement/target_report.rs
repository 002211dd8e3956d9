//! What a target's answer says beside the answer itself.

use crate::TargetName;
use std::time::Duration;

/// Load of a target at the moment of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that the target runs at a time.
    pub slots: u32,
    /// How long work takes there now, 1 as usual.
    pub slowness: f64,
    /// Requests that wait at the target.
    pub waiting: u32,
}

/// What a target did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Another target has the address, and the request was not run.
    Misdirected,
    /// The target refused the request and did not run it.
    NotRun,
    /// The target ran the request.
    Ran,
}

/// Facts that ride on a target's response as an extension.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetReport {
    /// Load, where the target tells it.
    pub load: Option<LoadSample>,
    /// What became of the request.
    pub verdict: Verdict,
}

/// Which target a request is meant for and how long its work is wanted; rides on a request as an
/// extension.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetIdentity {
    /// Time that the work may still take.
    pub left: Duration,
    /// Name of the target.
    pub name: TargetName,
}
