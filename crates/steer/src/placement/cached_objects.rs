//! Objects that a target has recently handled.

use super::ObjectHash;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// The objects that a target recently handled for this VM, with the time of the last response.
///
/// ```
/// use steer::{ObjectHash, CachedObjects};
/// use tokio::time::Instant;
/// let (mut cached, now) = (CachedObjects::default(), Instant::now());
/// let object = ObjectHash::new("reads", b"17");
/// assert!(!cached.has(object, now));
/// cached.record(object, now);
/// assert!(cached.has(object, now));
/// assert!(!cached.has(object, now + CachedObjects::LIFETIME));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CachedObjects {
    last: BTreeMap<ObjectHash, Instant>,
}

impl CachedObjects {
    /// Time for which a target is assumed to keep an object cached.
    pub const LIFETIME: Duration = Duration::from_secs(20);
    /// Maximum number of objects tracked per target; targets cache fewer.
    const MAX_OBJECTS: usize = 128;

    /// Returns whether the target has recently handled an object.
    pub fn has(&self, object: ObjectHash, now: Instant) -> bool {
        self.last.get(&object).is_some_and(|at| now.duration_since(*at) < Self::LIFETIME)
    }

    /// Records that the target has handled an object.
    pub fn record(&mut self, object: ObjectHash, now: Instant) {
        self.last.insert(object, now);
        if self.last.len() <= Self::MAX_OBJECTS {
            return;
        }
        let oldest = self.last.iter().min_by_key(|(_, at)| **at).map(|(object, _)| *object);
        if let Some(oldest) = oldest {
            self.last.remove(&oldest);
        }
    }
}
