//! What is done to processes, connections and the store.

use lab::StoreFault;
use std::time::Duration;

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Passes on each chunk after a delay.
    Delay(Duration),
    /// Passes on what the connecting side sends and swallows what comes back.
    Mute,
    /// Nothing.
    #[default]
    None,
    /// Resets all connections and refuses new ones.
    Reset,
    /// Takes connections and passes nothing on; connections that were open stay silent for good.
    Silent,
}

/// One fault or planned change of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The operator writes so many new configurations in quick succession.
    Configure(u32),
    /// The operator empties a zone for a time.
    Evacuate(usize, Duration),
    /// A VM gets SIGHUP.
    HangUp(usize),
    /// A VM is killed, and started again after a time.
    Kill(usize, Duration),
    /// All VMs are killed at once, and started again after a time.
    KillAll(Duration),
    /// A VM is stopped by SIGSTOP for a time.
    Pause(usize, Duration),
    /// The store forgets its history.
    Compact,
    /// The store misbehaves for a time.
    Store(StoreFault, Duration),
    /// The connections between a VM and the store are spoiled for a time.
    StoreLink(usize, LinkFault, Duration),
    /// A target drains, leaves, and comes back as a new incarnation.
    Drain(usize),
    /// The connections to a target are spoiled for a time.
    TargetLink(usize, LinkFault, Duration),
    /// A VM gets SIGTERM, and is started again when it has ended.
    Terminate(usize),
}
