//! Description of a run: its load, duration and actions.

use crate::{PlatformFaults, Workload};
use std::time::Duration;
use steer::MemberName;

/// What routes the requests of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The entry VMs route them.
    Current,
    /// Round robin over the targets whose last load report shows a free slot.
    Naive,
}

/// A fault or change that a scenario applies at a set time.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduledAction {
    /// Cuts or restores all links of a region, given by index.
    CutRegion(usize, bool),
    /// Cuts or restores all links of an availability zone, given by number.
    CutZone(u8, bool),
    /// Kills an entry VM with SIGKILL.
    KillEntry(u8),
    /// Makes the targets of a region, given by index, cold: their next requests take longer.
    CoolRegion(usize),
    /// Makes targets, given by name, announce in their load reports that they are leaving.
    LeaveTargets(Vec<String>),
    /// Suspends the process of an entry VM with SIGSTOP, or resumes it.
    PauseEntry(u8, bool),
    /// Cuts or restores the links from all zones to the platform.
    PlatformDown(bool),
    /// Sets the faults that the platform injects from now on.
    PlatformFails(PlatformFaults),
    /// Writes a settings document, given by path and content; `{NOW}` becomes the current time.
    PutSettings(String, String),
    /// Multiplies the service times of targets, given by name, by a factor.
    SlowTargets(Vec<String>, f64),
    /// Restarts an entry VM that has stopped.
    StartEntry(u8),
    /// Asks an entry VM to shut down, by SIGTERM.
    StopEntry(u8),
}

/// A run: its load, duration, seed and actions.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Actions with their times since the start of the run.
    pub actions: Vec<(Duration, ScheduledAction)>,
    /// Factor on the size of uploads.
    pub body_factor: usize,
    /// A member that exceeds its share of the traffic, and the factor by which it does.
    pub flood: Option<(MemberName, f64)>,
    /// Duration of the arrivals.
    pub length: Duration,
    /// Capacity of the links between regions, divided by their cap in the settings.
    pub capacity_factor: f64,
    /// Fraction of all slots that the arrivals keep busy on average.
    pub load: f64,
    /// Classes whose requests are omitted.
    pub omit: Vec<&'static str>,
    /// What routes the requests.
    pub policy: Policy,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Maximum number of times that a caller retries a request that was refused as not run.
    pub max_retries: u32,
}

impl Scenario {
    /// Creates a run with a constant load and no actions.
    ///
    /// ```
    /// use lab::Scenario;
    /// use std::time::Duration;
    /// let scenario = Scenario::new(0.8, Duration::from_secs(10), 1);
    /// assert!(scenario.actions.is_empty());
    /// ```
    pub fn new(load: f64, length: Duration, seed: u64) -> Self {
        Self {
            actions: Vec::new(),
            body_factor: 1,
            flood: None,
            length,
            capacity_factor: 1.0,
            load,
            omit: Vec::new(),
            policy: Policy::Current,
            max_retries: 0,
            seed,
        }
    }

    /// Adds an action at a time, in seconds after the start.
    pub fn at(mut self, seconds: f64, action: ScheduledAction) -> Self {
        self.actions.push((Duration::from_secs_f64(seconds), action));
        self
    }

    /// Sets the factor on the size of uploads.
    pub fn body_factor(mut self, factor: usize) -> Self {
        self.body_factor = factor;
        self
    }

    /// Sets the capacity of the links between regions, divided by their cap in the settings.
    pub fn capacity_factor(mut self, factor: f64) -> Self {
        self.capacity_factor = factor;
        self
    }

    /// Sets a member that exceeds its share of the traffic by a factor.
    pub fn flood(mut self, member: &str, factor: f64) -> Self {
        self.flood = Some((member.into(), factor));
        self
    }

    /// Omits the requests of a class.
    pub fn omit(mut self, class: &'static str) -> Self {
        self.omit.push(class);
        self
    }

    /// Sets what routes the requests.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets how many times a caller retries a request that was refused as not run, at most.
    pub fn max_retries(mut self, max_retries: u32) -> Self {
        self.max_retries = max_retries;
        self
    }

    /// Returns whether a workload is omitted.
    pub fn omits(&self, workload: &Workload) -> bool {
        self.omit.contains(&workload.class)
    }
}
