//! Freshness of the data from the platform.

use tokio::time::Instant;

/// When this VM's copies of platform data were last confirmed, directly or through a peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformFreshness {
    /// When this VM last read the list of VMs.
    pub list_at: Option<Instant>,
    /// When the settings were last confirmed.
    pub settings_at: Option<Instant>,
}
