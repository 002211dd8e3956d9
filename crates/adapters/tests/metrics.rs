//! Tests the text output of aggregated metrics.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use adapters::StatsdMeter;
use std::time::Duration;
use steer::Meter;

#[test]
fn aggregates_counters_gauges_and_timers() {
    let (meter, aggregator) = StatsdMeter::in_process();
    for ms in 1..=100 {
        meter.time("requests.time", Duration::from_millis(ms));
        meter.count("requests.served", 1);
    }
    meter.count("requests.refused.no-room", 3);
    meter.gauge("fleet.live", 8);
    meter.gauge("fleet.live", 7);
    meter.time("requests.time", Duration::from_secs(600));
    insta::assert_snapshot!(aggregator.text());
}
