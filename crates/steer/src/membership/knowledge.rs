//! How old the knowledge from the platform is.

use tokio::time::Instant;

/// When the platform last confirmed what this VM knows, by itself or through a peer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Knowledge {
    /// When this VM last read the list of VMs.
    pub list_at: Option<Instant>,
    /// When the settings were last confirmed.
    pub settings_at: Option<Instant>,
}
