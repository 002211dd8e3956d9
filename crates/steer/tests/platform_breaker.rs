//! Tests that the circuit breaker limits calls to a failing platform and soon detects its recovery.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod fleet;

use fleet::{FakeNetwork, FakePlatform};
use std::{fmt::Write, sync::Arc, time::Duration};
use steer::{NoMeter, Platform, PlatformBreaker};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn limits_calls_during_an_outage_and_recovers_quickly() {
    let mut table = String::new();
    for name in ["vm-1", "vm-2", "vm-3"] {
        let network = Arc::new(FakeNetwork::default());
        let port =
            PlatformBreaker::new(FakePlatform::for_zone(&network, "z"), Arc::new(NoMeter), name);
        let calls = || *network.platform.calls.lock().unwrap();
        port.read("a").await.unwrap();
        *network.platform.down.lock().unwrap() = true;
        let before = calls();
        let mut attempted = 0;
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(3600) {
            assert!(port.read("a").await.is_err());
            attempted += 1;
            sleep(Duration::from_millis(100)).await;
        }
        let reached = calls() - before;
        *network.platform.down.lock().unwrap() = false;
        let recovery_start = Instant::now();
        while port.read("a").await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
        assert!(recovery_start.elapsed() < Duration::from_secs(5));
        assert!(reached * 10 < attempted, "{reached} of {attempted}");
        writeln!(table, "{name}: {reached} of {attempted} calls reached the platform").unwrap();
    }
    insta::assert_snapshot!(table);
}
