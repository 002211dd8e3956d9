//! Bytes of control traffic by part.

use derive_more::Display;
use std::sync::atomic::{AtomicU64, Ordering};

/// A part of the control traffic.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ControlPart {
    /// Introductions and heartbeats with what changed.
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
    /// All parts, sorted by name.
    pub const ALL: [Self; 3] = [Self::Heartbeats, Self::Other, Self::Settings];
}

/// Bytes of one part of the control traffic since the start.
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

/// Counts the bytes of control traffic by part.
///
/// ```
/// use steer::{ControlPart, ControlUsage};
/// let usage = ControlUsage::default();
/// usage.note(ControlPart::Settings, 120, 4000);
/// assert_eq!(usage.part(ControlPart::Settings).received, 4000);
/// ```
#[derive(Debug, Default)]
pub struct ControlUsage {
    parts: [Counters; ControlPart::ALL.len()],
}

impl ControlUsage {
    /// Adds one message that was sent and what was received for it, in bytes.
    pub fn note(&self, part: ControlPart, sent: usize, received: usize) {
        let counters = &self.parts[part as usize];
        counters.messages.fetch_add(1, Ordering::Relaxed);
        counters.received.fetch_add(received as u64, Ordering::Relaxed);
        counters.sent.fetch_add(sent as u64, Ordering::Relaxed);
    }

    /// What one part used since the start.
    pub fn part(&self, part: ControlPart) -> PartUsage {
        let counters = &self.parts[part as usize];
        PartUsage {
            messages: counters.messages.load(Ordering::Relaxed),
            received: counters.received.load(Ordering::Relaxed),
            sent: counters.sent.load(Ordering::Relaxed),
        }
    }
}
