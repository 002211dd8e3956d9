//! The state of an entry VM as peers see it.

use derive_more::Display;

/// State of an entry VM's life cycle.
///
/// ```
/// assert!(steer::VmState::Serving.accepts_work());
/// assert!(!steer::VmState::Draining.accepts_work());
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum VmState {
    /// Finishes its work and takes no more.
    #[display("draining")]
    Draining,
    /// Has no settings yet.
    #[display("joining")]
    Joining,
    /// Takes work.
    #[display("serving")]
    Serving,
    /// Has ended.
    #[display("stopped")]
    Stopped,
}

impl VmState {
    /// Tells whether a VM in this state takes new work.
    ///
    /// ```
    /// assert!(!steer::VmState::Joining.accepts_work());
    /// ```
    pub fn accepts_work(self) -> bool {
        self == Self::Serving
    }

    /// Place in the order of the life cycle, which goes one way only.
    ///
    /// ```
    /// use steer::VmState;
    /// assert!(VmState::Joining.rank() < VmState::Serving.rank());
    /// ```
    pub fn rank(self) -> u8 {
        match self {
            Self::Draining => 2,
            Self::Joining => 0,
            Self::Serving => 1,
            Self::Stopped => 3,
        }
    }
}
