//! The platform's check whether VMs take callers.

use crate::World;
use adapters::ConnectionPool;
use http::Request;
use std::{io, time::Duration};
use steer::empty_body;
use tokio::time::{Instant, sleep};

/// Longest start of the fleet.
const START: Duration = Duration::from_secs(20);
/// Pause between two checks.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until all VMs take callers.
///
/// # Errors
///
/// Where one does not in time.
pub(crate) async fn wait_ready(world: &World) -> io::Result<()> {
    let pool = ConnectionPool::new();
    let start = Instant::now();
    for ports in &world.ports {
        loop {
            let request = Request::get("/-/ready").header("host", "soak.example");
            let request = request.body(empty_body()).map_err(io::Error::other)?;
            let answer = pool.send(ports.ready, request).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                break;
            }
            if start.elapsed() > START {
                return Err(io::Error::other("a VM did not get ready"));
            }
            sleep(PAUSE).await;
        }
    }
    Ok(())
}
