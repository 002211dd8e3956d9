//! Contract tests of the `Platform` trait, which run the same cases against all implementations.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::{ConnectionPool, HttpPlatform};
use lab::{PlatformFaults, PlatformStandIn};
use std::{fmt::Write, net::TcpListener, sync::Arc, time::Duration};
use steer::{Expected, NoMeter, Platform, PlatformBreaker, PlatformError, WatchBatch};

/// Maximum duration of a watch call.
const WATCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Formats a result without the details that differ between runs.
fn render<T: std::fmt::Debug>(result: &Result<T, PlatformError>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(PlatformError::Invalid(_)) => "invalid".to_owned(),
        Err(PlatformError::Lost(_)) => "lost".to_owned(),
        Err(PlatformError::Unavailable(_)) => "unavailable".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn render_batch(result: Result<WatchBatch, PlatformError>) -> String {
    let rows = |batch: WatchBatch| {
        let objects: Vec<_> = batch
            .objects
            .iter()
            .map(|o| (o.path.to_string(), o.value.clone(), o.version))
            .collect();
        (objects, batch.revision)
    };
    render(&result.map(rows))
}

/// Clears the faults and makes a successful call, which closes the circuit breaker.
async fn clear_faults(port: &dyn Platform, platform: &PlatformStandIn) {
    platform.set_faults(PlatformFaults::new());
    port.read("a/y").await.unwrap();
}

/// Runs all cases of the contract against an adapter that is connected to the stand-in for the
/// platform.
async fn run_contract(port: &dyn Platform, platform: &PlatformStandIn) -> String {
    let mut table = String::new();
    let t = &mut table;
    let version = Expected::Version;
    writeln!(t, "read nothing: {}", render(&port.read("a/x").await.map(|o| o.is_none()))).unwrap();
    writeln!(t, "create: {}", render(&port.write("a/x", "1", Expected::Absent).await)).unwrap();
    writeln!(t, "create again: {}", render(&port.write("a/x", "2", Expected::Absent).await))
        .unwrap();
    writeln!(t, "update: {}", render(&port.write("a/x", "2", version(1)).await)).unwrap();
    writeln!(t, "update of an old version: {}", render(&port.write("a/x", "3", version(1)).await))
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
        render(&port.write("a/l", &large, Expected::Absent).await)
    )
    .unwrap();
    let largest = port.write("a/l", &large[1..], Expected::Absent).await;
    writeln!(t, "a value of a megabyte: {}", render(&largest)).unwrap();
    writeln!(t, "watch after 2: {}", render_batch(port.watch("a/r", 2, WATCH_TIMEOUT).await))
        .unwrap();
    writeln!(
        t,
        "watch without a change: {}",
        render_batch(port.watch("a/r", 3, WATCH_TIMEOUT).await)
    )
    .unwrap();
    let deleted = platform.delete("a/x", "operator");
    writeln!(
        t,
        "watch of a deletion: {}",
        render_batch(port.watch("a/x", deleted - 1, WATCH_TIMEOUT).await)
    )
    .unwrap();
    writeln!(t, "read of a deletion: {}", render(&port.read("a/x").await.map(|o| o.is_none())))
        .unwrap();

    platform.set_faults(PlatformFaults::new().skip_watches(true));
    writeln!(t, "a watch that skips: {}", render_batch(port.watch("a/r", 2, WATCH_TIMEOUT).await))
        .unwrap();
    platform.set_faults(PlatformFaults::new().repeat_watches(true));
    writeln!(
        t,
        "a watch that repeats: {}",
        render_batch(port.watch("a/r", 3, WATCH_TIMEOUT).await)
    )
    .unwrap();
    platform.set_faults(PlatformFaults::new().lose_answers(1));
    writeln!(
        t,
        "a write whose answer is lost: {}",
        render(&port.write("a/y", "1", Expected::Absent).await)
    )
    .unwrap();
    platform.set_faults(PlatformFaults::new());
    let kept = port.read("a/y").await.map(|o| o.is_some_and(|o| o.value.as_deref() == Some("1")));
    writeln!(t, "  took effect: {}", render(&kept)).unwrap();
    platform.set_faults(PlatformFaults::new().outage(true));
    writeln!(t, "outage, read: {}", render(&port.read("a/y").await.map(|_| ()))).unwrap();
    writeln!(t, "outage, write: {}", render(&port.write("a/z", "1", Expected::Absent).await))
        .unwrap();
    writeln!(t, "outage, watch: {}", render_batch(port.watch("a/", 0, WATCH_TIMEOUT).await))
        .unwrap();
    writeln!(t, "outage, list of VMs: {}", render(&port.vms().await)).unwrap();
    clear_faults(port, platform).await;
    platform.set_faults(PlatformFaults::new().delay(Duration::from_secs(3)));
    writeln!(t, "slow, read: {}", render(&port.read("a/y").await.map(|_| ()))).unwrap();
    writeln!(t, "slow, write: {}", render(&port.write("a/q", "1", Expected::Absent).await))
        .unwrap();
    clear_faults(port, platform).await;
    platform.set_faults(PlatformFaults::new().write_rate(0).read_rate(0));
    writeln!(t, "too many writes: {}", render(&port.write("a/z", "1", Expected::Absent).await))
        .unwrap();
    writeln!(t, "too many reads: {}", render(&port.read("a/y").await.map(|_| ()))).unwrap();
    platform.set_faults(PlatformFaults::new().read_lag(Duration::from_secs(600)));
    writeln!(t, "a read that lags: {}", render(&port.read("a/y").await.map(|o| o.is_none())))
        .unwrap();
    platform.set_faults(PlatformFaults::new());
    platform.roll_back(1);
    writeln!(t, "an older store: {}", render_batch(port.list("a/").await)).unwrap();
    writeln!(
        t,
        "watch above its revision: {}",
        render_batch(port.watch("a/", 9, WATCH_TIMEOUT).await)
    )
    .unwrap();
    table
}

#[tokio::test]
async fn platform_adapters_fulfil_the_contract() {
    let mut tables = Vec::new();
    for guarded in [false, true] {
        let platform = PlatformStandIn::new();
        // An IP address that no other test uses, so that no outgoing connection of another test can
        // take the TCP port.
        let address = TcpListener::bind("127.0.0.3:0").unwrap().local_addr().unwrap();
        platform.serve(address).await.unwrap();
        let http: Arc<dyn Platform> =
            Arc::new(HttpPlatform::new(address, "operator", ConnectionPool::new()));
        let breaker = PlatformBreaker::new(Arc::clone(&http), Arc::new(NoMeter), "vm")
            .wait(Duration::from_secs(10));
        let port = if guarded { Arc::new(breaker) as Arc<dyn Platform> } else { http };
        tables.push(run_contract(&*port, &platform).await);
    }
    insta::assert_snapshot!("http", tables[0]);
    insta::assert_snapshot!("guarded", tables[1]);
}
