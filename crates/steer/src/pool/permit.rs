//! A permit for one slot of a target.

use super::{TargetPool, grant::Grant};
use crate::TargetName;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Data on the first attempt of a request that may be hedged; it holds no slot.
#[derive(Clone, Debug)]
pub struct HedgedAttempt(pub(super) Grant);

/// A permit for one slot of one target, released on drop.
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

    /// The data that a hedge of the request needs.
    pub fn hedged_attempt(&self) -> HedgedAttempt {
        HedgedAttempt(self.grant.clone())
    }

    /// Whether the request is a trial of an ejected target.
    pub fn is_trial(&self) -> bool {
        self.grant.trial
    }

    /// Records that the request is being sent, so the target may run it.
    pub fn record_sending(&mut self) {
        self.grant.ended = false;
    }

    /// Records that the head of the response arrived.
    pub fn record_response(&mut self) {
        self.grant.answered = true;
        self.grant.ended = true;
        self.pool.record_response(&self.grant);
    }

    /// Records that the target was unreachable or closed the connection.
    pub fn record_unreachable(&mut self) {
        self.grant.ended = true;
        self.pool.record_failure(&self.grant, None);
    }

    /// Records that the target shed the request, and the pause that it requested.
    pub fn record_shed(&mut self, requested: Option<Duration>) {
        self.grant.ended = true;
        self.pool.record_failure(&self.grant, Some(requested.unwrap_or_default()));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.release(&self.grant);
    }
}
