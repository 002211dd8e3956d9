//! Periodic samples of the load of targets and links during a run.

use crate::Fleet;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use steer::TargetName;
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples per second.
const SAMPLES_PER_SECOND: usize = 10;

/// Load of the targets and links at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time since the start of the run.
    pub at: Duration,
    /// Requests in progress at each target.
    pub busy: BTreeMap<TargetName, u32>,
    /// Total bytes sent over each link, forward and backward.
    pub links: BTreeMap<String, (u64, u64)>,
}

/// Samples of a run, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Samples(Vec<Sample>);

/// Handle of the task that collects samples.
#[derive(Debug)]
pub struct Sampler(Arc<Mutex<Samples>>);

impl Sampler {
    /// Takes the samples collected so far.
    pub fn take(self) -> Samples {
        std::mem::take(&mut self.0.lock().expect("no sampler panics"))
    }
}

impl Samples {
    /// Spawns a task that samples a fleet until `tasks` is shut down.
    pub fn start(fleet: &Fleet, start: Instant, tasks: &mut JoinSet<()>) -> Sampler {
        let samples = Arc::new(Mutex::new(Self::default()));
        let shared = Arc::clone(&samples);
        let (targets, links) = (fleet.targets.clone(), fleet.links.clone());
        tasks.spawn(async move {
            let mut ticks = interval(SAMPLE_INTERVAL);
            loop {
                ticks.tick().await;
                let sample = Sample {
                    at: start.elapsed(),
                    busy: targets.iter().map(|(name, t)| (name.clone(), t.busy())).collect(),
                    links: links
                        .iter()
                        .map(|((a, b), link)| (format!("{a}-{b}"), link.bytes()))
                        .collect(),
                };
                shared.lock().expect("no sampler panics").0.push(sample);
            }
        });
        Sampler(samples)
    }

    /// Iterates over the samples in order of time.
    pub fn iter(&self) -> impl Iterator<Item = &Sample> {
        self.0.iter()
    }

    /// Maximum rate over one second in one direction of any link, in bytes per second.
    pub fn max_link_rate(&self) -> f64 {
        let windows = self.0.windows(SAMPLES_PER_SECOND + 1);
        let rates = windows.flat_map(|window| {
            let (first, last) = (&window[0], &window[SAMPLES_PER_SECOND]);
            let seconds = (last.at - first.at).as_secs_f64();
            last.links.iter().map(move |(name, (forward, backward))| {
                let (f, b) = first.links.get(name).copied().unwrap_or_default();
                (forward - f).max(backward - b) as f64 / seconds
            })
        });
        rates.fold(0.0, f64::max)
    }

    /// Time from which the named targets stay idle until the end, or `None` if they are busy in the
    /// last sample.
    pub fn idle_since(&self, names: &[String]) -> Option<Duration> {
        let busy = |sample: &&Sample| names.iter().any(|n| sample.busy.get(n.as_str()) != Some(&0));
        let last = self.0.iter().rposition(|sample| busy(&sample));
        last.map_or(Some(Duration::ZERO), |i| self.0.get(i + 1).map(|sample| sample.at))
    }
}
