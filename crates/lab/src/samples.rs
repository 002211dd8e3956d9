//! What is sampled while a run goes on.

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

/// Time between two samples.
const PERIOD: Duration = Duration::from_millis(100);
/// Samples in a second.
const A_SECOND: usize = 10;

/// One sample.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time after the start.
    pub at: Duration,
    /// Requests at each target.
    pub busy: BTreeMap<TargetName, u32>,
    /// Bytes over each link so far, forward and backward.
    pub links: BTreeMap<String, (u64, u64)>,
}

/// Samples of a run.
#[derive(Clone, Debug, Default)]
pub struct Samples(Vec<Sample>);

/// Samples that are still being taken.
#[derive(Debug)]
pub struct Sampling(Arc<Mutex<Samples>>);

impl Sampling {
    /// Ends the sampling and gives what was taken.
    pub fn take(self) -> Samples {
        std::mem::take(&mut self.0.lock().expect("no sampler panics"))
    }
}

impl Samples {
    /// Starts to sample a fleet until the tasks end.
    pub fn start(fleet: &Fleet, start: Instant, tasks: &mut JoinSet<()>) -> Sampling {
        let samples = Arc::new(Mutex::new(Self::default()));
        let shared = Arc::clone(&samples);
        let (targets, links) = (fleet.targets.clone(), fleet.links.clone());
        tasks.spawn(async move {
            let mut ticks = interval(PERIOD);
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
        Sampling(samples)
    }

    /// The samples in order.
    pub fn iter(&self) -> impl Iterator<Item = &Sample> {
        self.0.iter()
    }

    /// Most bytes a second over any link in one direction.
    pub fn most_link_rate(&self) -> f64 {
        let windows = self.0.windows(A_SECOND + 1);
        let rates = windows.flat_map(|window| {
            let (first, last) = (&window[0], &window[A_SECOND]);
            let seconds = (last.at - first.at).as_secs_f64();
            last.links.iter().map(move |(name, (forward, backward))| {
                let (f, b) = first.links.get(name).copied().unwrap_or_default();
                (forward - f).max(backward - b) as f64 / seconds
            })
        });
        rates.fold(0.0, f64::max)
    }

    /// Time after which the named targets have no request left for good.
    pub fn idle_since(&self, names: &[String]) -> Option<Duration> {
        let busy = |sample: &&Sample| names.iter().any(|n| sample.busy.get(n.as_str()) != Some(&0));
        let last = self.0.iter().rposition(|sample| busy(&sample));
        last.map_or(Some(Duration::ZERO), |i| self.0.get(i + 1).map(|sample| sample.at))
    }
}
