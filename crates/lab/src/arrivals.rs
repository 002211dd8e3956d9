//! Seeded arrivals of requests: an open loop, whatever the answers.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// One kind of request that a deployment's callers send.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Bytes of the request body.
    pub body: usize,
    /// Name of the class.
    pub class: &'static str,
    /// Host name of the service.
    pub host: &'static str,
    /// Mean service time in milliseconds.
    pub mean_ms: f64,
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: &'static str,
    /// Requests a second over the whole fleet.
    pub rate: f64,
    /// Part of requests that take ten times as long.
    pub stragglers: f64,
}

const VITRINE: &[Workload] = &[
    Workload {
        body: 0,
        class: "read",
        host: "briefs.vitrine.example",
        mean_ms: 20.0,
        method: "GET",
        path: "/briefs/1",
        rate: 600.0,
        stragglers: 0.005,
    },
    Workload {
        body: 0,
        class: "report",
        host: "briefs.vitrine.example",
        mean_ms: 200.0,
        method: "GET",
        path: "/reports/1",
        rate: 15.0,
        stragglers: 0.02,
    },
    Workload {
        body: 0,
        class: "preview",
        host: "media.vitrine.example",
        mean_ms: 30.0,
        method: "GET",
        path: "/previews/1",
        rate: 150.0,
        stragglers: 0.005,
    },
    Workload {
        body: 4 << 20,
        class: "upload",
        host: "media.vitrine.example",
        mean_ms: 100.0,
        method: "PUT",
        path: "/uploads/1",
        rate: 6.0,
        stragglers: 0.02,
    },
    Workload {
        body: 0,
        class: "cut",
        host: "media.vitrine.example",
        mean_ms: 600.0,
        method: "GET",
        path: "/cuts/1",
        rate: 10.0,
        stragglers: 0.05,
    },
    Workload {
        body: 200,
        class: "approve",
        host: "payouts.vitrine.example",
        mean_ms: 40.0,
        method: "POST",
        path: "/approvals",
        rate: 40.0,
        stragglers: 0.0,
    },
    Workload {
        body: 0,
        class: "read",
        host: "payouts.vitrine.example",
        mean_ms: 15.0,
        method: "GET",
        path: "/payouts/1",
        rate: 100.0,
        stragglers: 0.0,
    },
];

const ZADRUGA: &[Workload] = &[
    Workload {
        body: 0,
        class: "read",
        host: "calendar.zadruga.example",
        mean_ms: 12.0,
        method: "GET",
        path: "/calendar/1",
        rate: 800.0,
        stragglers: 0.002,
    },
    Workload {
        body: 200,
        class: "claim",
        host: "claims.zadruga.example",
        mean_ms: 40.0,
        method: "POST",
        path: "/claims",
        rate: 60.0,
        stragglers: 0.0,
    },
    Workload {
        body: 0,
        class: "read",
        host: "claims.zadruga.example",
        mean_ms: 15.0,
        method: "GET",
        path: "/claims/1",
        rate: 150.0,
        stragglers: 0.0,
    },
    Workload {
        body: 0,
        class: "read",
        host: "archive.zadruga.example",
        mean_ms: 25.0,
        method: "GET",
        path: "/surveys/1",
        rate: 120.0,
        stragglers: 0.005,
    },
    Workload {
        body: 6 << 20,
        class: "upload",
        host: "archive.zadruga.example",
        mean_ms: 120.0,
        method: "PUT",
        path: "/surveys/1",
        rate: 12.0,
        stragglers: 0.02,
    },
];

/// What the callers of a deployment send.
///
/// ```
/// assert!(lab::workloads("vitrine").iter().any(|w| w.class == "upload"));
/// ```
pub fn workloads(deployment: &str) -> &'static [Workload] {
    if deployment == "zadruga" { ZADRUGA } else { VITRINE }
}

/// One request that will be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start of the run.
    pub at: Duration,
    /// Number of the caller's home region.
    pub region: usize,
    /// Service time.
    pub work: Duration,
    /// Place in the list of workloads.
    pub workload: usize,
}

/// Poisson arrivals of all workloads, in order of time, the same for the same seed.
#[derive(Debug)]
pub struct Arrivals {
    next: Vec<Duration>,
    regions: usize,
    rng: StdRng,
    workloads: &'static [Workload],
}

impl Arrivals {
    /// Makes the arrivals of a run.
    pub fn new(workloads: &'static [Workload], regions: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let next = workloads.iter().map(|w| exponential(&mut rng, 1.0 / w.rate)).collect();
        Self { next, regions, rng, workloads }
    }
}

fn exponential(rng: &mut StdRng, mean_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_s)
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let (index, at) = self.next.iter().copied().enumerate().min_by_key(|(_, at)| *at)?;
        let workload = &self.workloads[index];
        self.next[index] = at + exponential(&mut self.rng, 1.0 / workload.rate);
        let straggles = self.rng.random_bool(workload.stragglers);
        let spread = self.rng.random_range(0.5..1.5);
        let factor = if straggles { 10.0 } else { 1.0 };
        let work = Duration::from_secs_f64(workload.mean_ms / 1e3 * spread * factor);
        let region = self.rng.random_range(0..self.regions);
        Some(Arrival { at, region, work, workload: index })
    }
}
