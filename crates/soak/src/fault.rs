//! Faults and planned changes that are injected into VMs, connections and the store.

use lab::StoreFault;
use std::time::Duration;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Discards data from the client and forwards data from the server.
    Deaf,
    /// Delays each chunk.
    Delay(Duration),
    /// Forwards data from the client and discards data from the server.
    Mute,
    /// No fault.
    #[default]
    None,
    /// Resets open connections, and new ones once they are accepted.
    Reset,
    /// Accepts connections but discards all data. Connections that carried data meanwhile never
    /// recover.
    Silent,
}

/// One fault or planned change of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The operator writes this many configurations in quick succession.
    Configure(u32),
    /// The operator writes a configuration with this many routes more, and later ones keep them.
    Grow(usize),
    /// The operator evacuates a zone for this long.
    Evacuate(usize, Duration),
    /// A target says in its responses that it leaves, drains after this long, and returns as a new
    /// incarnation.
    Leave(usize, Duration),
    /// A target says for this long that it leaves, without draining. It returns later as a new
    /// incarnation.
    LeaveFalsely(usize, Duration),
    /// A target says falsely that it leaves, while a VM receives SIGHUPs and configurations, and then
    /// SIGTERM. The target returns later as a new incarnation.
    LeaveAmidSignals(usize, usize),
    /// A target names a limit on its requests, in thousandths a second, for this long.
    Limit(usize, u32, Duration),
    /// A target names limits that can't be used for this long.
    LimitFalsely(usize, Duration),
    /// A target refuses all requests for a time, and asks to be spared for up to a second time.
    Refuse(usize, Duration, Duration),
    /// A VM is stopped this many times in a row amid configurations, and restarted at once each time:
    /// by SIGTERM and, in the middle of its shutdown, SIGKILL, and the last time by SIGTERM alone.
    RestartSeries(usize, u32),
    /// A VM receives SIGTERM amid SIGHUPs, configurations and a suspension of this length.
    StopAmidChanges(usize, Duration),
    /// A VM receives SIGHUP.
    HangUp(usize),
    /// A VM is killed, and restarted after this delay.
    Kill(usize, Duration),
    /// All VMs are killed at once, and restarted after this delay.
    KillAll(Duration),
    /// A VM is suspended by SIGSTOP for this long.
    Pause(usize, Duration),
    /// The store compacts its history.
    Compact,
    /// The store is faulty for this long.
    Store(StoreFault, Duration),
    /// The connections between a VM and the store are faulty for this long.
    StoreLink(usize, LinkFault, Duration),
    /// A target drains, deregisters, and returns as a new incarnation.
    Drain(usize),
    /// The connections to a target are faulty for this long.
    TargetLink(usize, LinkFault, Duration),
    /// A VM receives SIGTERM, and is restarted once it has exited.
    Terminate(usize),
}

impl Fault {
    /// Whether it affects the whole fleet or a zone, not a single VM or target.
    pub(crate) fn is_global(self) -> bool {
        matches!(
            self,
            Self::Compact
                | Self::Configure(_)
                | Self::Evacuate(..)
                | Self::Grow(_)
                | Self::KillAll(_)
                | Self::Store(..)
        )
    }
}
