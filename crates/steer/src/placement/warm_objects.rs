//! Objects that a target has handled lately.

use super::ObjectHash;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The objects that this VM has lately sent to a target, with the time of the last answer.
///
/// ```
/// use steer::{ObjectHash, WarmObjects};
/// use tokio::time::Instant;
/// let (mut warm, now) = (WarmObjects::default(), Instant::now());
/// let object = ObjectHash::new("reads", b"17");
/// assert!(!warm.has(object, now));
/// warm.note(object, now);
/// assert!(warm.has(object, now));
/// assert!(!warm.has(object, now + WarmObjects::LIFETIME));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WarmObjects {
    last: BTreeMap<ObjectHash, Instant>,
}

impl WarmObjects {
    /// Time for which a target is trusted to remember an object.
    pub const LIFETIME: Duration = Duration::from_secs(20);
    /// Most objects that are remembered a target; targets keep fewer.
    const MOST: usize = 128;

    /// Whether the target has lately handled an object.
    pub fn has(&self, object: ObjectHash, now: Instant) -> bool {
        self.last.get(&object).is_some_and(|at| now.duration_since(*at) < Self::LIFETIME)
    }

    /// Notes that the target has handled an object.
    pub fn note(&mut self, object: ObjectHash, now: Instant) {
        self.last.insert(object, now);
        if self.last.len() <= Self::MOST {
            return;
        }
        let oldest = self.last.iter().min_by_key(|(_, at)| **at).map(|(object, _)| *object);
        if let Some(oldest) = oldest {
            self.last.remove(&oldest);
        }
    }
}
