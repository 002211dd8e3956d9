//! Graceful shutdown of the connections of listeners.

use std::time::Duration;
use tokio::{sync::watch, time::timeout};
use tokio_util::task::TaskTracker;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ListenerPhase {
    /// Connections are kept alive.
    #[default]
    Open,
    /// HTTP/2 connections are sent `GOAWAY`. HTTP/1.1 connections stay open; the handler ends them
    /// with `Connection: close` on their next response.
    Draining,
    /// Each connection closes once its pending responses are written.
    Closing,
}

/// Drains and closes the connections of all listeners that share this control.
///
/// ```
/// use adapters::{ListenerControl, ListenerPhase};
/// let control = ListenerControl::new();
/// control.set(ListenerPhase::Draining);
/// assert_eq!(control.connections(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ListenerControl {
    pub(super) phase: watch::Sender<ListenerPhase>,
    pub(super) tasks: TaskTracker,
}

impl ListenerControl {
    /// Creates a control in phase [`ListenerPhase::Open`].
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.tasks.len()
    }

    /// Sets the phase of all connections.
    pub fn set(&self, phase: ListenerPhase) {
        self.phase.send_replace(phase);
    }

    /// Closes each connection once its pending responses are written. Returns whether all of them
    /// closed within the timeout.
    pub async fn close(&self, wait: Duration) -> bool {
        self.set(ListenerPhase::Closing);
        self.tasks.close();
        timeout(wait, self.tasks.wait()).await.is_ok()
    }
}
