//! What a run does: its load, its length, and what happens in it.

use crate::{PlatformFaults, Workload};
use std::time::Duration;
use steer::MemberName;

/// Who steers the requests of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The entry VMs.
    Current,
    /// Round robin over the targets whose last load report shows a free slot.
    Naive,
}

/// Something that happens during a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Cuts or heals the links of a region, by number.
    CutRegion(usize, bool),
    /// Cuts or heals all links of an availability zone, by number.
    CutZone(u8, bool),
    /// Kills an entry VM.
    KillEntry(u8),
    /// Makes targets lose their warmth: the first requests take longer.
    CoolRegion(usize),
    /// Takes targets of the first services out through their load report, by name.
    LeaveTargets(Vec<String>),
    /// Stops an entry VM's process without ending it, or lets it go on.
    PauseEntry(u8, bool),
    /// Cuts or heals every VM's way to the platform.
    PlatformDown(bool),
    /// Makes the platform fail in a stated way from now on.
    PlatformFails(PlatformFaults),
    /// Writes a settings document; `{NOW}` stands for the time.
    PutSettings(String, String),
    /// Makes targets slower, by name.
    SlowTargets(Vec<String>, f64),
    /// Starts an entry VM anew.
    StartEntry(u8),
    /// Asks an entry VM to stop.
    StopEntry(u8),
}

/// A run: load, length, seed and events.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What happens, by time after the start.
    pub actions: Vec<(Duration, Action)>,
    /// Factor on the size of uploads.
    pub body_factor: usize,
    /// A member that sends more than its share, with the factor.
    pub flood: Option<(MemberName, f64)>,
    /// Time with arrivals.
    pub length: Duration,
    /// What links between regions can carry, as a multiple of their cap.
    pub line_rate: f64,
    /// Part of all slots that the arrivals keep busy on average.
    pub load: f64,
    /// Classes that are left out.
    pub omit: Vec<&'static str>,
    /// Who steers.
    pub policy: Policy,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Callers send a request again when it was refused as not run, this many times.
    pub repeats: u32,
}

impl Scenario {
    /// Makes a run at a load without events.
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
            line_rate: 1.0,
            load,
            omit: Vec::new(),
            policy: Policy::Current,
            repeats: 0,
            seed,
        }
    }

    /// Adds an event.
    pub fn at(mut self, seconds: f64, action: Action) -> Self {
        self.actions.push((Duration::from_secs_f64(seconds), action));
        self
    }

    /// Sets the factor on the size of uploads.
    pub fn body_factor(mut self, factor: usize) -> Self {
        self.body_factor = factor;
        self
    }

    /// Sets what links can carry, as a multiple of their cap.
    pub fn line_rate(mut self, factor: f64) -> Self {
        self.line_rate = factor;
        self
    }

    /// Sets a member that sends more than its share.
    pub fn flood(mut self, member: &str, factor: f64) -> Self {
        self.flood = Some((member.into(), factor));
        self
    }

    /// Leaves a class out.
    pub fn omit(mut self, class: &'static str) -> Self {
        self.omit.push(class);
        self
    }

    /// Sets who steers.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Lets callers repeat what was refused as not run.
    pub fn repeats(mut self, repeats: u32) -> Self {
        self.repeats = repeats;
        self
    }

    /// Tells whether a workload is left out.
    pub fn leaves_out(&self, workload: &Workload) -> bool {
        self.omit.contains(&workload.class)
    }
}
