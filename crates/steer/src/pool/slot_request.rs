//! A request for a slot of a pool.

use crate::{ClassName, MemberName, RepeatRule, TargetName, Urgency};
use tokio::time::Instant;

/// The properties of a request that admission, target choice and retries depend on.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Target of an earlier failed attempt, avoided if another one is available.
    pub avoid: Option<TargetName>,
    /// The request has no body.
    pub bodyless: bool,
    /// Class of the request.
    pub class: ClassName,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Member that is charged for the request.
    pub member: MemberName,
    /// Whether the request may be sent again.
    pub repeat: RepeatRule,
    /// Maximum share of a target's and of the pool's slots that the class may hold.
    pub slot_share: f64,
    /// Priority of the class.
    pub urgency: Urgency,
    /// The request is fully buffered, so that its response time depends on the target alone.
    pub buffered: bool,
}

impl SlotRequest {
    /// Describes a bulk request that must not be repeated.
    ///
    /// ```
    /// let request = steer::SlotRequest::new("read", "agency-aurora", tokio::time::Instant::now());
    /// assert_eq!(request.urgency, steer::Urgency::Bulk);
    /// ```
    pub fn new(
        class: impl Into<ClassName>,
        member: impl Into<MemberName>,
        deadline: Instant,
    ) -> Self {
        Self {
            avoid: None,
            bodyless: false,
            class: class.into(),
            deadline,
            member: member.into(),
            repeat: RepeatRule::default(),
            slot_share: 1.0,
            urgency: Urgency::default(),
            buffered: false,
        }
    }

    /// Sets the target of an earlier failed attempt.
    pub fn avoid(mut self, target: Option<TargetName>) -> Self {
        self.avoid = target;
        self
    }

    /// Sets whether the request has no body.
    pub fn bodyless(mut self, bodyless: bool) -> Self {
        self.bodyless = bodyless;
        self.buffered |= bodyless;
        self
    }

    /// Sets whether the request may be sent again.
    pub fn repeat(mut self, repeat: RepeatRule) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the maximum share of slots that the class may hold.
    pub fn slot_share(mut self, share: f64) -> Self {
        self.slot_share = share;
        self
    }

    /// Sets the priority of the class.
    pub fn urgency(mut self, urgency: Urgency) -> Self {
        self.urgency = urgency;
        self
    }

    /// Sets whether the request is fully buffered.
    pub fn buffered(mut self, buffered: bool) -> Self {
        self.buffered = buffered;
        self
    }

    /// Whether the request is suitable as a trial of a target that may be slow.
    pub(super) fn can_be_trial(&self) -> bool {
        self.bodyless && self.repeat == RepeatRule::Idempotent
    }
}
