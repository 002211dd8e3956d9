//! Readiness checks of the VMs, as the platform makes them.

use crate::SoakFleet;
use adapters::ConnectionPool;
use http::Request;
use std::{io, time::Duration};
use steer::empty_body;
use tokio::time::{Instant, sleep};

/// Maximum time for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until all VMs report ready.
///
/// # Errors
///
/// Fails if a VM is not ready in time.
pub(crate) async fn wait_ready(fleet: &SoakFleet) -> io::Result<()> {
    let pool = ConnectionPool::new();
    let start = Instant::now();
    for addresses in &fleet.addresses {
        loop {
            let request = Request::get("/-/ready").header("host", "soak.example");
            let request = request.body(empty_body()).map_err(io::Error::other)?;
            let response = pool.send(addresses.ready, request).await;
            if response.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other("a VM did not become ready in time"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
