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
    /// Completes its requests and accepts no new ones.
    #[display("draining")]
    Draining,
    /// Has no settings yet.
    #[display("joining")]
    Joining,
    /// Accepts work.
    #[display("serving")]
    Serving,
    /// Has ended.
    #[display("stopped")]
    Stopped,
}

impl VmState {
    /// Whether a VM in this state accepts new work.
    ///
    /// ```
    /// assert!(!steer::VmState::Joining.accepts_work());
    /// ```
    pub fn accepts_work(self) -> bool {
        self == Self::Serving
    }

    /// Position in the one-way order of the life cycle.
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
