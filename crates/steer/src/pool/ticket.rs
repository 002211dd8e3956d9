//! A request that asks a pool for a slot.

use crate::{ClassName, MemberName, RepeatRule, TargetName, Urgency};
use tokio::time::Instant;

/// What admission, choice and retries need to know about a request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Target that an earlier attempt failed on.
    pub avoid: Option<TargetName>,
    /// The request has no body.
    pub bodyless: bool,
    /// Class of the request.
    pub class: ClassName,
    /// When the caller's wait is over.
    pub deadline: Instant,
    /// Member that the request counts for.
    pub member: MemberName,
    /// Whether the request may be sent again.
    pub repeat: RepeatRule,
    /// Largest share of a target's and of the pool's slots that the class may hold.
    pub slot_share: f64,
    /// How soon the class is served.
    pub urgency: Urgency,
    /// The request is at hand whole, so that its time depends on the target alone.
    pub whole: bool,
}

impl Ticket {
    /// Makes the ticket of a bulk request that may not be repeated.
    ///
    /// ```
    /// let ticket = steer::Ticket::new("read", "agency-aurora", tokio::time::Instant::now());
    /// assert_eq!(ticket.urgency, steer::Urgency::Bulk);
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
            whole: false,
        }
    }

    /// Names a target that an earlier attempt failed on.
    pub fn avoid(mut self, target: Option<TargetName>) -> Self {
        self.avoid = target;
        self
    }

    /// Tells that the request has no body.
    pub fn bodyless(mut self, bodyless: bool) -> Self {
        self.bodyless = bodyless;
        self.whole |= bodyless;
        self
    }

    /// Sets whether the request may be sent again.
    pub fn repeat(mut self, repeat: RepeatRule) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the largest share of slots that the class may hold.
    pub fn slot_share(mut self, share: f64) -> Self {
        self.slot_share = share;
        self
    }

    /// Sets how soon the class is served.
    pub fn urgency(mut self, urgency: Urgency) -> Self {
        self.urgency = urgency;
        self
    }

    /// Tells that the request is at hand whole.
    pub fn whole(mut self, whole: bool) -> Self {
        self.whole = whole;
        self
    }

    /// Whether the request can try out a target that may be slow.
    pub(super) fn can_try(&self) -> bool {
        self.bodyless && self.repeat == RepeatRule::Idempotent
    }
}
