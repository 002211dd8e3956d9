//! A slot that is held.

use super::{TargetPool, grant::Grant};
use crate::TargetName;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The first attempt of a request that may be hedged; it holds no slot.
#[derive(Clone, Debug)]
pub struct HedgeOrigin(pub(super) Grant);

/// One slot of one target; it is given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) grant: Grant,
    pub(super) pool: Arc<TargetPool>,
}

impl Permit {
    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.grant.address
    }

    /// Name of the target.
    pub fn target(&self) -> &TargetName {
        &self.grant.target
    }

    /// What a hedge of the request has to know about it.
    pub fn origin(&self) -> HedgeOrigin {
        HedgeOrigin(self.grant.clone())
    }

    /// Whether the request tries out a target that was slowed.
    pub fn is_trial(&self) -> bool {
        self.grant.trial
    }

    /// Notes that the head of an answer came.
    pub fn note_answer(&mut self) {
        self.grant.answered = true;
        self.pool.note_answer(&self.grant);
    }

    /// Notes that the target couldn't be reached, or broke the connection.
    pub fn note_unreachable(&self) {
        self.pool.note_failure(&self.grant, None);
    }

    /// Notes that the target shed the request, and the pause that it asked for.
    pub fn note_shed(&self, asked: Option<Duration>) {
        self.pool.note_failure(&self.grant, Some(asked.unwrap_or_default()));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.release(&self.grant);
    }
}
