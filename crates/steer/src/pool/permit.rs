//! A slot that is held.

use super::TargetPool;
use crate::TargetName;
use std::{net::SocketAddr, sync::Arc};

/// One slot of one target; it is given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) address: SocketAddr,
    pub(super) pool: Arc<TargetPool>,
    pub(super) target: TargetName,
}

impl Permit {
    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name of the target.
    pub fn target(&self) -> &TargetName {
        &self.target
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.release(&self.target);
    }
}
