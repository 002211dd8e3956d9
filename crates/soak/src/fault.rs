//! Faults and planned changes that are injected into VMs, connections and the store.

use lab::StoreFault;
use std::time::Duration;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
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
    /// The operator evacuates a zone for this long.
    Evacuate(usize, Duration),
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
