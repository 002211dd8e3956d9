//! Opens, drains and closes the connections of listeners.

use std::time::Duration;
use tokio::{sync::watch, time::timeout};
use tokio_util::task::TaskTracker;

/// What listeners do with their connections.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ListenerPhase {
    /// Connections are kept.
    #[default]
    Open,
    /// HTTP/2 connections are told to go away; HTTP/1.1 ones hear it with their next answer.
    Draining,
    /// Each connection closes as soon as its answers are written.
    Closing,
}

/// Opens, drains and closes the connections of the listeners that it was given to.
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
    /// Makes a control under which connections are kept.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.tasks.len()
    }

    /// Moves to a phase.
    pub fn set(&self, phase: ListenerPhase) {
        self.phase.send_replace(phase);
    }

    /// Closes the connections once their answers are written; tells whether all closed in time.
    pub async fn close(&self, wait: Duration) -> bool {
        self.set(ListenerPhase::Closing);
        self.tasks.close();
        timeout(wait, self.tasks.wait()).await.is_ok()
    }
}
