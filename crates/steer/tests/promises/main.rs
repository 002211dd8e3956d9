//! Tests of the guarantees for requests and for stopping, on simulated histories with fake ports.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod at_most_once;
mod poison;
mod stop_entry;
mod support;

/// Runs a simulation in paused time.
pub(crate) fn run<T>(history: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(history)
}
