//! Counters of control traffic by kind of message.

use derive_more::Display;
use std::sync::atomic::{AtomicU64, Ordering};

/// A kind of control traffic.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ControlPart {
    /// Full heartbeats and exchanges of changes.
    #[display("heartbeats")]
    Heartbeats,
    /// All other messages between entry VMs.
    #[display("other")]
    Other,
    /// Settings between entry VMs.
    #[display("settings")]
    Settings,
}

impl ControlPart {
    /// All kinds, sorted by name.
    pub const ALL: [Self; 3] = [Self::Heartbeats, Self::Other, Self::Settings];
}

/// Messages and bytes of one kind of control traffic since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartUsage {
    /// Messages sent.
    pub messages: u64,
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

#[derive(Debug, Default)]
struct Counters {
    messages: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

/// Counts messages and bytes of control traffic by kind.
///
/// ```
/// use steer::{ControlPart, ControlUsage};
/// let usage = ControlUsage::default();
/// usage.record(ControlPart::Settings, 120, 4000);
/// assert_eq!(usage.part(ControlPart::Settings).received, 4000);
/// ```
#[derive(Debug, Default)]
pub struct ControlUsage {
    parts: [Counters; ControlPart::ALL.len()],
}

impl ControlUsage {
    /// Records one message: the bytes sent and the bytes received.
    pub fn record(&self, part: ControlPart, sent: usize, received: usize) {
        let counters = &self.parts[part as usize];
        counters.messages.fetch_add(1, Ordering::Relaxed);
        counters.received.fetch_add(received as u64, Ordering::Relaxed);
        counters.sent.fetch_add(sent as u64, Ordering::Relaxed);
    }

    /// The counters of one kind since the process started.
    pub fn part(&self, part: ControlPart) -> PartUsage {
        let counters = &self.parts[part as usize];
        PartUsage {
            messages: counters.messages.load(Ordering::Relaxed),
            received: counters.received.load(Ordering::Relaxed),
            sent: counters.sent.load(Ordering::Relaxed),
        }
    }
}
