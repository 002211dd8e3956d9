//! A request that asks a pool for a slot.

use crate::{ClassName, MemberName, Urgency};
use tokio::time::Instant;

/// What admission needs to know about a request.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Class of the request.
    pub class: ClassName,
    /// When the caller's wait is over.
    pub deadline: Instant,
    /// Member that the request counts for.
    pub member: MemberName,
    /// How soon the class is served.
    pub urgency: Urgency,
}
