//! The contract of the port towards the platform: one table of cases for any adapter.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpPlatform};
use lab::{PlatformFaults, PlatformStandIn};
use std::{fmt::Write, net::TcpListener, sync::Arc, time::Duration};
use steer::{Expected, NoMeter, Platform, PlatformBreaker, PlatformError, WatchBatch};

const WATCH: Duration = Duration::from_millis(300);

/// Shows a result without what differs from run to run.
fn shown<T: std::fmt::Debug>(result: &Result<T, PlatformError>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(PlatformError::Invalid(_)) => "invalid".to_owned(),
        Err(PlatformError::Lost(_)) => "lost".to_owned(),
        Err(PlatformError::Unavailable(_)) => "unavailable".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn rows(result: Result<WatchBatch, PlatformError>) -> String {
    let rows = |batch: WatchBatch| {
        let objects: Vec<_> = batch
            .objects
            .iter()
            .map(|o| (o.path.to_string(), o.value.clone(), o.version))
            .collect();
        (objects, batch.revision)
    };
    shown(&result.map(rows))
}

/// Ends the faults; an answer closes a guard's circuit.
async fn heal(port: &dyn Platform, platform: &PlatformStandIn) {
    platform.set_faults(PlatformFaults::new());
    port.read("a/y").await.unwrap();
}

/// Runs all cases of the contract against an adapter whose platform is the stand-in.
async fn run_contract(port: &dyn Platform, platform: &PlatformStandIn) -> String {
    let mut table = String::new();
    let t = &mut table;
    let version = Expected::Version;
    writeln!(t, "read nothing: {}", shown(&port.read("a/x").await.map(|o| o.is_none()))).unwrap();
    writeln!(t, "create: {}", shown(&port.write("a/x", "1", Expected::Absent).await)).unwrap();
    writeln!(t, "create again: {}", shown(&port.write("a/x", "2", Expected::Absent).await))
        .unwrap();
    writeln!(t, "update: {}", shown(&port.write("a/x", "2", version(1)).await)).unwrap();
    writeln!(t, "update of an old version: {}", shown(&port.write("a/x", "3", version(1)).await))
        .unwrap();
    let race = futures_util::future::join_all(
        (0..20).map(|_| port.write("a/race", "mine", Expected::Absent)),
    );
    let won = race.await.iter().filter(|r| r.is_ok()).count();
    writeln!(t, "twenty creates at once, won: {won}").unwrap();
    let large = "x".repeat((1 << 20) + 1);
    writeln!(
        t,
        "a value above a megabyte: {}",
        shown(&port.write("a/l", &large, Expected::Absent).await)
    )
    .unwrap();
    let most = port.write("a/l", &large[1..], Expected::Absent).await;
    writeln!(t, "a value of a megabyte: {}", shown(&most)).unwrap();
    writeln!(t, "watch after 2: {}", rows(port.watch("a/r", 2, WATCH).await)).unwrap();
    writeln!(t, "watch without a change: {}", rows(port.watch("a/r", 3, WATCH).await)).unwrap();
    let deleted = platform.delete("a/x", "operator");
    writeln!(t, "watch of a deletion: {}", rows(port.watch("a/x", deleted - 1, WATCH).await))
        .unwrap();
    writeln!(t, "read of a deletion: {}", shown(&port.read("a/x").await.map(|o| o.is_none())))
        .unwrap();

    platform.set_faults(PlatformFaults::new().skip_watches(true));
    writeln!(t, "a watch that skips: {}", rows(port.watch("a/r", 2, WATCH).await)).unwrap();
    platform.set_faults(PlatformFaults::new().repeat_watches(true));
    writeln!(t, "a watch that repeats: {}", rows(port.watch("a/r", 3, WATCH).await)).unwrap();
    platform.set_faults(PlatformFaults::new().lose_answers(1));
    writeln!(
        t,
        "a write whose answer is lost: {}",
        shown(&port.write("a/y", "1", Expected::Absent).await)
    )
    .unwrap();
    platform.set_faults(PlatformFaults::new());
    let kept = port.read("a/y").await.map(|o| o.is_some_and(|o| o.value.as_deref() == Some("1")));
    writeln!(t, "  took effect: {}", shown(&kept)).unwrap();
    platform.set_faults(PlatformFaults::new().outage(true));
    writeln!(t, "outage, read: {}", shown(&port.read("a/y").await.map(|_| ()))).unwrap();
    writeln!(t, "outage, write: {}", shown(&port.write("a/z", "1", Expected::Absent).await))
        .unwrap();
    writeln!(t, "outage, watch: {}", rows(port.watch("a/", 0, WATCH).await)).unwrap();
    writeln!(t, "outage, list of VMs: {}", shown(&port.vms().await)).unwrap();
    heal(port, platform).await;
    platform.set_faults(PlatformFaults::new().delay(Duration::from_secs(3)));
    writeln!(t, "slow, read: {}", shown(&port.read("a/y").await.map(|_| ()))).unwrap();
    writeln!(t, "slow, write: {}", shown(&port.write("a/q", "1", Expected::Absent).await)).unwrap();
    heal(port, platform).await;
    platform.set_faults(PlatformFaults::new().write_rate(0).read_rate(0));
    writeln!(t, "too many writes: {}", shown(&port.write("a/z", "1", Expected::Absent).await))
        .unwrap();
    writeln!(t, "too many reads: {}", shown(&port.read("a/y").await.map(|_| ()))).unwrap();
    platform.set_faults(PlatformFaults::new().read_lag(Duration::from_secs(600)));
    writeln!(t, "a read that lags: {}", shown(&port.read("a/y").await.map(|o| o.is_none())))
        .unwrap();
    platform.set_faults(PlatformFaults::new());
    platform.go_back(1);
    writeln!(t, "an older store: {}", rows(port.list("a/").await)).unwrap();
    writeln!(t, "watch above its revision: {}", rows(port.watch("a/", 9, WATCH).await)).unwrap();
    table
}

#[tokio::test]
async fn adapters_of_the_platform_keep_the_contract() {
    let mut tables = Vec::new();
    for guarded in [false, true] {
        let platform = PlatformStandIn::new();
        // An address of its own, so that no connection of another test can take the port.
        let address = TcpListener::bind("127.0.0.3:0").unwrap().local_addr().unwrap();
        platform.serve(address).await.unwrap();
        let http: Arc<dyn Platform> =
            Arc::new(HttpPlatform::new(address, "operator", ConnectionPool::new()));
        let guard = PlatformBreaker::new(Arc::clone(&http), Arc::new(NoMeter), "vm")
            .wait(Duration::from_secs(10));
        let port = if guarded { Arc::new(guard) as Arc<dyn Platform> } else { http };
        tables.push(run_contract(&*port, &platform).await);
    }
    insta::assert_snapshot!("http", tables[0]);
    insta::assert_snapshot!("guarded", tables[1]);
}
