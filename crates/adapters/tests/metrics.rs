//! What the metrics address serves.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::StatsdMeter;
use std::time::Duration;
use steer::Meter;

#[test]
fn sums_up_counters_levels_and_times() {
    let (meter, sums) = StatsdMeter::summed();
    for ms in 1..=100 {
        meter.time("requests.time", Duration::from_millis(ms));
        meter.count("requests.served", 1);
    }
    meter.count("requests.refused.no-room", 3);
    meter.gauge("fleet.live", 8);
    meter.gauge("fleet.live", 7);
    meter.time("requests.time", Duration::from_secs(600));
    insta::assert_snapshot!(sums.text());
}
