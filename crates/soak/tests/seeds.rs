//! Runs a short soak, and the seeds that have failed before.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use futures_util::stream::{StreamExt, iter};
use soak::{SoakOptions, run_soak};
use std::time::Duration;

/// Seed and length in seconds of the short soak. The seed has not failed before, and the length is
/// less than the default of 30 s.
const SHORT: (u64, u64) = (1, 20);
/// Number of soaks that run side by side, beside the short one. With more, processes wait for the
/// CPU most of the time.
const PARALLEL: usize = 2;

/// Runs a soak, and checks that it finds no broken promise.
async fn soak(seed: u64, seconds: u64) {
    let options = SoakOptions::new(env!("CARGO_BIN_EXE_soak").into(), seed);
    let report = run_soak(&options.length(Duration::from_secs(seconds))).await.unwrap();
    assert!(report.served > 0);
    let found: Vec<String> =
        report.violations.into_values().flatten().map(|v| v.to_string()).collect();
    assert!(found.is_empty(), "seed {seed}, {:?}: {found:#?}", report.steps);
    std::fs::remove_dir_all(report.folder).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults_of_a_seed() {
    soak(SHORT.0, SHORT.1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_faults_of_seeds_that_failed_once() {
    let seeds = include_str!("seeds.txt").lines().filter(|line| !line.starts_with('#'));
    let soaks = seeds.map(|line| {
        let mut words = line.split(' ').map(|word| word.parse::<u64>().ok());
        (words.next().unwrap().unwrap(), words.next().unwrap().unwrap())
    });
    iter(soaks).for_each_concurrent(PARALLEL, |(seed, seconds)| soak(seed, seconds)).await;
}
