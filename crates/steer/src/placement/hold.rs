//! Reasons for which a target gets no requests.

use super::Belief;
use derive_more::Display;
use tokio::time::Instant;

/// Kind of the reason for which a target gets no requests.
///
/// ```
/// assert_eq!(steer::HoldCause::BackOff.to_string(), "back-off");
/// ```
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldCause {
    /// Connections to the target failed.
    #[display("back-off")]
    BackOff,
    /// The quota of this VM for a cold target is used up.
    #[display("cold")]
    Cold,
    /// The operators evacuated the availability zone.
    #[display("evacuated")]
    Evacuated,
    /// The target leaves.
    #[display("leaving")]
    Leaving,
    /// This VM's part of the rate that the target takes is used up.
    #[display("limited")]
    Limited,
    /// Another target has the address.
    #[display("misdirected")]
    Misdirected,
    /// The target asked for no requests for some time.
    #[display("paused")]
    Paused,
    /// The target has just returned from a pause and has enough requests for now.
    #[display("returning")]
    Returning,
    /// The incarnation is no longer registered.
    #[display("unregistered")]
    Unregistered,
}

/// Why a target gets no requests now, what that is based on, and when it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// What the reason is based on.
    pub belief: Belief,
    /// The reason.
    pub cause: HoldCause,
    /// When requests are admitted again; `None` if only news of the target can end it.
    pub until: Option<Instant>,
}
